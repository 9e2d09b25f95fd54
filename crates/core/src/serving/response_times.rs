//! How long the responses on each route take.
//!
//! Responses that have ended do not show how long those take that have not: the shortest end first.
//! What nearly all responses keep to is therefore drawn only from requests that arrived long enough
//! ago to show it.

use std::collections::{HashMap, VecDeque};

use crate::Millis;

/// Number of recent responses that are kept one by one for each route.
const MAX_SAMPLES: usize = 128;
/// Number of the most recent responses that an estimate is drawn from.
const ESTIMATE_SAMPLES: usize = 32;
/// Number of responses below which no estimate is made.
const MIN_SAMPLES: usize = 4;
/// The fraction of the recent responses that ended within the estimate.
const QUANTILE: f64 = 0.9;
/// The factor between the longest known response and the upper bound.
const TAIL_FACTOR: f64 = 1.5;
/// Number of responses from which on their range is added once, and not several times, for the upper
/// bound: the fewer are known, the further beyond them is the longest one.
const RANGE_SAMPLES: f64 = 16.0;
/// The period of arrivals, in milliseconds, over which earlier responses are summed up.
const SUMMARY_PERIOD_MS: Millis = 250;
/// Number of such periods that are kept for each route.
const MAX_SUMMARIES: usize = 64;
/// Number of routes that are kept. Routes are removed and renamed, and the samples of those that no
/// longer exist are dropped with all others.
const MAX_ROUTES: usize = 1_024;

/// Recent response times, by route.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    routes: HashMap<String, Route>,
}

/// The responses of a route.
#[derive(Clone, Debug, Default)]
struct Route {
    /// The most recent responses, in the order of their ends.
    ended: VecDeque<Sample>,
    /// Those before them, by the time of arrival. On a busy route, all recent responses are of requests
    /// that arrived a moment ago.
    earlier: VecDeque<Summary>,
    /// The arrival times of the requests whose responses are open, in ascending order.
    open: VecDeque<Millis>,
}

/// A response that has ended.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// When its request arrived.
    arrived_at: Millis,
    /// The time from then until its end, in milliseconds.
    time: Millis,
}

/// The responses to requests that arrived within a period.
#[derive(Clone, Copy, Debug)]
struct Summary {
    /// When the first of these requests arrived, and the last one.
    arrived: (Millis, Millis),
    responses: usize,
    shortest: Millis,
    longest: Millis,
}

impl ResponseTimes {
    /// Records that the response to a request that arrived at a time is open.
    pub fn begin(&mut self, route: &str, arrived_at: Millis) {
        let open = &mut self.get_or_insert(route).open;
        let position = open.partition_point(|other| *other <= arrived_at);
        open.insert(position, arrived_at);
    }

    /// Records that the response to a request that arrived at a time is no longer open.
    pub fn end(&mut self, route: &str, arrived_at: Millis) {
        // The routes may have been dropped meanwhile.
        let Some(known) = self.routes.get_mut(route) else { return };
        if let Ok(position) = known.open.binary_search(&arrived_at) {
            known.open.remove(position);
        }
    }

    /// Records the time from the arrival of a request to the end of its response.
    pub fn record(&mut self, route: &str, arrived_at: Millis, time: Millis) {
        self.get_or_insert(route).push(Sample { arrived_at, time });
    }

    /// Records that a response was abandoned after a time. It would have taken longer, so only a time
    /// above those of all known responses tells anything.
    pub fn record_abandoned(&mut self, route: &str, arrived_at: Millis, time: Millis) {
        let known = self.get_or_insert(route);
        if known.ended.iter().map(|sample| sample.time).max().is_some_and(|longest| time > longest)
        {
            known.push(Sample { arrived_at, time });
        }
    }

    /// Returns the time within which nine of ten recent responses on a route have ended, or `None` if
    /// too few are known. Open ones don't count: most of them are long, whatever the usual time is.
    pub fn estimate(&self, route: &str) -> Option<Millis> {
        let known = self.routes.get(route).filter(|known| known.ended.len() >= MIN_SAMPLES)?;
        let recent = known.ended.iter().rev().take(ESTIMATE_SAMPLES);
        let mut times: Vec<Millis> = recent.map(|sample| sample.time).collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * QUANTILE).ceil() as usize;
        times.get(rank.saturating_sub(1)).copied()
    }

    /// Returns a time that hardly any response on a route exceeds, or `None` if too few are known.
    ///
    /// A bound up to `limit` can be shown only by requests that arrived early enough to have exceeded
    /// it. The others count only if they are open and older than all of these.
    pub fn get_upper_bound(&self, now: Millis, route: &str, limit: Millis) -> Option<Millis> {
        let known = self.routes.get(route)?;
        let shown = (limit as f64 / TAIL_FACTOR) as Millis;
        let Summary { responses, shortest, longest, .. } =
            known.sum_up(|arrived_at| now.saturating_sub(arrived_at) >= shown)?;
        if responses < MIN_SAMPLES {
            return None;
        }
        let longest = longest.max(known.get_oldest_age(now).unwrap_or(0));
        let range = (longest - shortest) as f64 * RANGE_SAMPLES / responses as f64;
        let bound = (longest as f64 * TAIL_FACTOR).max(longest as f64 + range);
        Some(bound as Millis)
    }

    fn get_or_insert(&mut self, route: &str) -> &mut Route {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        self.routes.entry(route.to_owned()).or_default()
    }
}

impl Route {
    fn push(&mut self, sample: Sample) {
        if self.ended.len() >= MAX_SAMPLES
            && let Some(oldest) = self.ended.pop_front()
        {
            self.push_earlier(oldest.into());
        }
        self.ended.push_back(sample);
    }

    /// Adds an earlier response to the last period, or begins another one.
    fn push_earlier(&mut self, response: Summary) {
        match self.earlier.back_mut() {
            Some(last) if last.merge(response).get_period() <= SUMMARY_PERIOD_MS => {
                *last = last.merge(response);
            }
            _ => {
                if self.earlier.len() >= MAX_SUMMARIES {
                    self.earlier.pop_front();
                }
                self.earlier.push_back(response);
            }
        }
    }

    /// Sums up the responses to requests whose arrival is early enough; returns `None` if there are none.
    fn sum_up(&self, is_early: impl Fn(Millis) -> bool) -> Option<Summary> {
        let recent = self.ended.iter().copied().map(Summary::from);
        let all = recent.chain(self.earlier.iter().copied());
        all.filter(|summary| is_early(summary.arrived.1)).reduce(Summary::merge)
    }

    /// Returns the age of the oldest open response.
    fn get_oldest_age(&self, now: Millis) -> Option<Millis> {
        self.open.front().map(|arrived_at| now.saturating_sub(*arrived_at))
    }
}

impl Summary {
    fn merge(self, other: Self) -> Self {
        let (first, last) =
            (self.arrived.0.min(other.arrived.0), self.arrived.1.max(other.arrived.1));
        Self {
            arrived: (first, last),
            responses: self.responses + other.responses,
            shortest: self.shortest.min(other.shortest),
            longest: self.longest.max(other.longest),
        }
    }

    /// Returns the time between the first arrival and the last one.
    fn get_period(&self) -> Millis {
        self.arrived.1 - self.arrived.0
    }
}

impl From<Sample> for Summary {
    fn from(sample: Sample) -> Self {
        let Sample { arrived_at, time } = sample;
        Self { arrived: (arrived_at, arrived_at), responses: 1, shortest: time, longest: time }
    }
}
