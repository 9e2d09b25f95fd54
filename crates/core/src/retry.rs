//! The retry budget and the retry backoff.
//!
//! All nodes share one budget per service: a ratio of its requests plus a fixed number of retries
//! per window, so that a wave of failures cannot multiply the load on the remaining servers. Nodes
//! do not coordinate. Each node uses the ratio of its own requests and an equal share of the fixed
//! number, so the total stays within the budget under any network partition.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// The retries that the operator allows over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window, independent of the number of requests.
    pub min_retries: f64,
    /// Length of the sliding window, in milliseconds.
    pub window: Millis,
    /// The fraction of the allowance that may be used. The rest is a margin for retries by callers
    /// and lost responses that add up at window boundaries.
    pub usable_fraction: f64,
}

/// The retry budget of one node, per service, over a sliding window.
///
/// # Examples
///
/// ```
/// use keeljunction_core::retry::{Allowance, Budget};
///
/// // A tenth of the requests, plus one, in any ten seconds.
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
    services: BTreeMap<String, Usage>,
}

#[derive(Clone, Debug, Default)]
struct Usage {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, services: BTreeMap::new() }
    }

    /// Records a request to a service.
    pub fn count_request(&mut self, now: Millis, service: &str) {
        let window = self.allowance.window;
        let usage = self.services.entry(service.to_owned()).or_default();
        usage.requests.push_back(now);
        expire(&mut usage.requests, now, window);
    }

    /// Takes one retry and returns `true` if the budget of this node, one of `nodes`, allows it.
    pub fn take(&mut self, now: Millis, service: &str, nodes: usize) -> bool {
        let remaining = self.get_remaining(now, service, nodes);
        if remaining < 1.0 {
            return false;
        }
        self.services.entry(service.to_owned()).or_default().retries.push_back(now);
        true
    }

    /// Returns the number of requests to a service in the window that ends now.
    pub fn count_recent_requests(&mut self, now: Millis, service: &str) -> usize {
        let Some(usage) = self.services.get_mut(service) else { return 0 };
        expire(&mut usage.requests, now, self.allowance.window);
        usage.requests.len()
    }

    /// Returns the number of retries remaining in the window that ends now.
    pub fn get_remaining(&mut self, now: Millis, service: &str, nodes: usize) -> f64 {
        let Allowance { ratio, min_retries, window, usable_fraction } = self.allowance;
        let usage = self.services.entry(service.to_owned()).or_default();
        expire(&mut usage.requests, now, window);
        expire(&mut usage.retries, now, window);
        let own_min_retries = min_retries / nodes.max(1) as f64;
        let allowed = ratio * usage.requests.len() as f64 + own_min_retries;
        allowed * usable_fraction - usage.retries.len() as f64
    }
}

fn expire(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times.front().is_some_and(|at| at + window <= now) {
        times.pop_front();
    }
}

/// Returns the backoff before attempt number `attempt` (from 1): exponential, with equal jitter.
///
/// `random` is drawn uniformly from 0 to 1. The backoff lies between half the bound and the bound.
pub fn back_off(attempt: u32, base: Millis, max: Millis, random: f64) -> Millis {
    let bound = base.saturating_mul(1 << attempt.saturating_sub(1).min(16)).min(max);
    let half = bound / 2;
    half + ((bound - half) as f64 * random) as Millis
}
