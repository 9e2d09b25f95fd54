//! How long the responses on each route take.
//!
//! Responses that have ended do not show how long those take that have not. While servers become
//! slower, the long ones are among those that are still open, so the age of these counts too.

use std::collections::{HashMap, VecDeque};

use crate::Millis;

/// Number of recent responses that are kept for each route.
const MAX_SAMPLES: usize = 32;
/// Number of responses below which no estimate is made.
const MIN_SAMPLES: usize = 4;
/// The fraction of the recent responses that ended within the estimate.
const QUANTILE: f64 = 0.9;
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
    ended: Samples,
    /// The arrival times of the requests whose responses are open, in ascending order.
    open: VecDeque<Millis>,
}

/// The most recent response times of a route, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Samples {
    times: Vec<u32>,
    /// The position that the next sample replaces once all positions are filled.
    next: usize,
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
    pub fn record(&mut self, route: &str, time: Millis) {
        self.get_or_insert(route).ended.push(to_sample(time));
    }

    /// Records that a response was abandoned after a time. It would have taken longer, so only a time
    /// above those of all known responses tells anything.
    pub fn record_abandoned(&mut self, route: &str, time: Millis) {
        let ended = &mut self.get_or_insert(route).ended;
        let time = to_sample(time);
        if ended.get_longest().is_some_and(|longest| time > longest) {
            ended.push(time);
        }
    }

    /// Returns the time within which nine of ten recent responses on a route have ended, or `None` if
    /// too few are known. Open ones count once they have taken longer.
    pub fn estimate(&self, now: Millis, route: &str) -> Option<Millis> {
        let known = self.get_known(route)?;
        let mut times: Vec<Millis> = known.ended.times.iter().copied().map(Millis::from).collect();
        let usual = get_quantile(&mut times)?;
        times.extend(known.iter_ages(now).take_while(|age| *age > usual));
        get_quantile(&mut times)
    }

    /// Returns the time of the longest recent response on a route, which may be an open one, or `None`
    /// if too few are known.
    pub fn get_longest(&self, now: Millis, route: &str) -> Option<Millis> {
        let known = self.get_known(route)?;
        let longest = known.ended.get_longest().map(Millis::from);
        longest.max(known.iter_ages(now).next())
    }

    /// Returns a route if enough of its responses have ended.
    fn get_known(&self, route: &str) -> Option<&Route> {
        self.routes.get(route).filter(|known| known.ended.times.len() >= MIN_SAMPLES)
    }

    fn get_or_insert(&mut self, route: &str) -> &mut Route {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        self.routes.entry(route.to_owned()).or_default()
    }
}

impl Route {
    /// Iterates over the ages of the open responses, the oldest first.
    fn iter_ages(&self, now: Millis) -> impl Iterator<Item = Millis> + '_ {
        self.open.iter().map(move |arrived_at| now.saturating_sub(*arrived_at))
    }
}

impl Samples {
    /// Returns the longest time.
    fn get_longest(&self) -> Option<u32> {
        self.times.iter().max().copied()
    }

    fn push(&mut self, time: u32) {
        if self.times.len() < MAX_SAMPLES {
            return self.times.push(time);
        }
        self.times[self.next] = time;
        self.next = (self.next + 1) % MAX_SAMPLES;
    }
}

/// Sorts times and returns the one that [`QUANTILE`] of them do not exceed.
fn get_quantile(times: &mut [Millis]) -> Option<Millis> {
    times.sort_unstable();
    let rank = (times.len() as f64 * QUANTILE).ceil() as usize;
    times.get(rank.saturating_sub(1)).copied()
}

fn to_sample(time: Millis) -> u32 {
    u32::try_from(time).unwrap_or(u32::MAX)
}
