//! Whether a request may be sent to a second server.
//!
//! All nodes share one budget for each service: a part of its requests and a fixed number in every
//! window. No node asks another. Each takes the ratio of its own requests and an even part of the
//! fixed number, so that the sum stays within the whole however the nodes are cut off.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// The part of the owed budget that is used, to leave room for repeats that callers' retries and
/// lost answers add at the edges of windows.
const USED_PART: f64 = 0.7;

/// What the operator allows over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window besides.
    pub least: f64,
    /// The window's length.
    pub window: Millis,
}

/// The repeats of one node, by service, in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    services: BTreeMap<String, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RetryBudget {
    /// Makes an unused budget.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, services: BTreeMap::new() }
    }

    /// Counts a request to a service.
    pub fn count_request(&mut self, now: Millis, service: &str) {
        let window = self.allowance.window;
        let counts = self.services.entry(service.to_owned()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, now, window);
    }

    /// Takes a repeat, where the budget of this node, one of `nodes`, allows it.
    pub fn take(&mut self, now: Millis, service: &str, nodes: usize) -> bool {
        let left = self.get_left(now, service, nodes);
        if left < 1.0 {
            return false;
        }
        self.services.entry(service.to_owned()).or_default().repeats.push_back(now);
        true
    }

    /// Returns how many repeats are left in the window that ends now.
    pub fn get_left(&mut self, now: Millis, service: &str, nodes: usize) -> f64 {
        let window = self.allowance.window;
        let counts = self.services.entry(service.to_owned()).or_default();
        expire(&mut counts.requests, now, window);
        expire(&mut counts.repeats, now, window);
        let own_least = self.allowance.least / nodes.max(1) as f64;
        let owed = self.allowance.ratio * counts.requests.len() as f64 + own_least;
        owed * USED_PART - counts.repeats.len() as f64
    }
}

fn expire(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times.front().is_some_and(|at| at + window <= now) {
        times.pop_front();
    }
}
