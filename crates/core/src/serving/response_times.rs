//! How long the responses on each route take.
//!
//! Completed responses are a biased sample while others are still open, because the short ones
//! complete first. The upper bound is therefore computed only from requests that arrived long enough
//! ago to have exceeded it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Millis;

/// Number of recent responses that are kept one by one for each route.
const MAX_SAMPLES: usize = 128;
/// Number of the most recent responses from which an estimate is computed.
const ESTIMATE_SAMPLES: usize = 32;
/// Number of responses below which no estimate is made.
const MIN_SAMPLES: usize = 4;
/// The fraction of the recent responses that ended within the estimate.
const QUANTILE: f64 = 0.9;
/// The factor between the longest known response and the upper bound.
const TAIL_FACTOR: f64 = 1.5;
/// Number of responses at which the upper bound exceeds the longest of them by their whole range. The
/// margin grows in inverse proportion to their number, because a small sample is less likely to contain
/// one of the longest responses.
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
    /// Those before them, by the number of the period in which their requests arrived. On a busy route,
    /// all recent responses are of requests that arrived a moment ago.
    earlier: BTreeMap<Millis, Summary>,
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
    /// When the last of these requests arrived.
    last_arrival: Millis,
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

    /// Records that a response was abandoned after a time. It would have taken longer, so the time is
    /// used only as a lower bound: if it exceeds those of all known responses.
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
    /// Only requests that arrived early enough to have exceeded a bound of `limit` are evidence that
    /// responses keep to it. The oldest open response counts as well, with its age.
    pub fn get_upper_bound(&self, now: Millis, route: &str, limit: Millis) -> Option<Millis> {
        let known = self.routes.get(route)?;
        let min_age = (limit as f64 / TAIL_FACTOR) as Millis;
        let Summary { responses, shortest, longest, .. } =
            known.sum_up(|arrived_at| now.saturating_sub(arrived_at) >= min_age)?;
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
            self.push_earlier(oldest);
        }
        self.ended.push_back(sample);
    }

    /// Adds an earlier response to those of its period.
    fn push_earlier(&mut self, sample: Sample) {
        let period = sample.arrived_at / SUMMARY_PERIOD_MS;
        let summary = Summary::from(sample);
        let merged = self.earlier.get(&period).map_or(summary, |known| known.merge(summary));
        self.earlier.insert(period, merged);
        if self.earlier.len() > MAX_SUMMARIES {
            self.earlier.pop_first();
        }
    }

    /// Sums up the responses to requests whose arrival is early enough; returns `None` if there are none.
    fn sum_up(&self, is_early: impl Fn(Millis) -> bool) -> Option<Summary> {
        let recent = self.ended.iter().copied().map(Summary::from);
        let all = recent.chain(self.earlier.values().copied());
        all.filter(|summary| is_early(summary.last_arrival)).reduce(Summary::merge)
    }

    /// Returns the age of the oldest open response.
    fn get_oldest_age(&self, now: Millis) -> Option<Millis> {
        self.open.front().map(|arrived_at| now.saturating_sub(*arrived_at))
    }
}

impl Summary {
    fn merge(self, other: Self) -> Self {
        Self {
            last_arrival: self.last_arrival.max(other.last_arrival),
            responses: self.responses + other.responses,
            shortest: self.shortest.min(other.shortest),
            longest: self.longest.max(other.longest),
        }
    }
}

impl From<Sample> for Summary {
    fn from(sample: Sample) -> Self {
        let Sample { arrived_at, time } = sample;
        Self { last_arrival: arrived_at, responses: 1, shortest: time, longest: time }
    }
}
