//! How long the responses on each route take.

use std::collections::HashMap;

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
    routes: HashMap<String, Samples>,
}

/// The most recent response times of a route, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Samples {
    times: Vec<u32>,
    /// The position that the next sample replaces once all positions are filled.
    next: usize,
}

impl ResponseTimes {
    /// Records the time from the arrival of a request to the end of its response.
    pub fn record(&mut self, route: &str, time: Millis) {
        let time = u32::try_from(time).unwrap_or(u32::MAX);
        if let Some(samples) = self.routes.get_mut(route) {
            return samples.push(time);
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        self.routes.entry(route.to_owned()).or_default().push(time);
    }

    /// Returns the time within which nine of ten recent responses on a route have ended, or `None` if
    /// too few are known.
    pub fn estimate(&self, route: &str) -> Option<Millis> {
        let mut times = self.get_samples(route)?.times.clone();
        times.sort_unstable();
        let rank = (times.len() as f64 * QUANTILE).ceil() as usize;
        times.get(rank.saturating_sub(1)).map(|time| Millis::from(*time))
    }

    /// Returns the time of the longest recent response on a route, or `None` if too few are known.
    pub fn get_longest(&self, route: &str) -> Option<Millis> {
        self.get_samples(route)?.get_longest().map(Millis::from)
    }

    /// Returns the samples of a route if there are enough.
    fn get_samples(&self, route: &str) -> Option<&Samples> {
        self.routes.get(route).filter(|known| known.times.len() >= MIN_SAMPLES)
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
