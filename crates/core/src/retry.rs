//! Whether a request may be sent to another server, and when to try again.
//!
//! All nodes share one budget for each service: a ratio of its requests and a fixed number of
//! repeats in every window, so that a wave of failures cannot multiply the load on what is left. No
//! node asks another. Each takes the ratio of its own requests and an even share of the fixed
//! number, so that the sum stays within the whole however the nodes are cut off.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// What the operator allows over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window besides.
    pub min_retries: f64,
    /// The window's length.
    pub window: Millis,
    /// The fraction of the allowance that is used; the rest is a margin for repeats that callers'
    /// own retries and lost answers add at the edges of windows.
    pub usable_fraction: f64,
}

/// The repeats of one node, by service, in a sliding window.
///
/// # Examples
///
/// ```
/// use keeljunction_core::retry::{Allowance, Budget};
///
/// // A tenth of the requests and one more in any ten seconds.
/// let mut budget = Budget::new(Allowance { ratio: 0.1, min_retries: 1.0, window: 10_000, usable_fraction: 1.0 });
/// assert!(budget.take(0, "llm", 1));
/// assert!(!budget.take(0, "llm", 1));
/// for _ in 0..10 {
///     budget.count_request(0, "llm");
/// }
/// assert!(budget.take(0, "llm", 1));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    services: BTreeMap<String, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl Budget {
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
        let left = self.get_remaining(now, service, nodes);
        if left < 1.0 {
            return false;
        }
        self.services.entry(service.to_owned()).or_default().repeats.push_back(now);
        true
    }

    /// Returns how many repeats are left in the window that ends now.
    pub fn get_remaining(&mut self, now: Millis, service: &str, nodes: usize) -> f64 {
        let Allowance { ratio, min_retries, window, usable_fraction } = self.allowance;
        let counts = self.services.entry(service.to_owned()).or_default();
        expire(&mut counts.requests, now, window);
        expire(&mut counts.repeats, now, window);
        let own_least = min_retries / nodes.max(1) as f64;
        let owed = ratio * counts.requests.len() as f64 + own_least;
        owed * usable_fraction - counts.repeats.len() as f64
    }
}

fn expire(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times.front().is_some_and(|at| at + window <= now) {
        times.pop_front();
    }
}

/// Computes a wait before try number `attempt` (from 1), doubled each time, with full jitter.
///
/// `random` is drawn evenly from 0 to 1. The wait lies between half and the whole of the bound.
pub fn backoff(attempt: u32, base: Millis, most: Millis, random: f64) -> Millis {
    let bound = base.saturating_mul(1 << attempt.saturating_sub(1).min(16)).min(most);
    let half = bound / 2;
    half + ((bound - half) as f64 * random) as Millis
}
