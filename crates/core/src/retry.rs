//! The retry budget and the retry backoff.
//!
//! A budget limits the retries to a service to a ratio of its requests plus a fixed number per
//! window, so that a wave of failures cannot multiply the load on the remaining servers. It belongs
//! to one process or to all nodes together.
//!
//! Nodes that share a budget do not coordinate, and a process knows nothing of what an earlier one
//! spent. The total stays within the allowance all the same, because each process spends only what
//! its own requests pay for:
//!
//! - a request earns a part of the ratio, and a process keeps unused retries up to another part of
//!   the ratio times its requests in the last window. In any window, all processes together use at
//!   most the first part of the requests in that window and the second part of those in the window
//!   before it. The two parts add up to less than the ratio;
//! - a process takes up to eight retries of the fixed number per window before requests have paid
//!   for them, and all nodes that it knows no more than half of the number: from its start if it is
//!   the first one of its node, and otherwise after a whole window, as an earlier process may have
//!   taken them. So a node takes its part once per window, however often it starts. The other half
//!   is for nodes that join or are not known, and for retries that reach their servers late.
//!
//! Neither depends on how often processes start. A node that knows few of the others takes at most
//! eight.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// The part of a shared ratio that requests earn.
const EARNED_FRACTION: f64 = 0.7;
/// The part of a shared ratio, times the requests of the last window, that a process keeps. The
/// rest of the ratio is a margin for retries that reach their servers late.
const KEPT_FRACTION: f64 = 0.25;
/// Most retries of a shared fixed number that a process takes per window.
const MAX_SHARED_FIXED_RETRIES: f64 = 8.0;
/// The part of a shared fixed number that the known nodes take together. The rest is for nodes that
/// are not known and for those that join.
const SHARED_FIXED_FRACTION: f64 = 0.5;
/// Tolerance for rounding in a sum of earned parts.
const ROUNDING: f64 = 1e-9;

/// The retries that a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the sliding window, in milliseconds.
    window: Millis,
    /// Most retries per request in the window.
    ratio: f64,
    /// Retries that a request earns.
    earned_ratio: f64,
    /// Most unused retries that are kept, per request in the window.
    kept_ratio: f64,
    fixed: Fixed,
}

/// Retries per window that requests do not have to pay for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fixed {
    /// A number for this process alone.
    Own(f64),
    /// A number for all nodes together.
    Shared(f64),
}

impl Allowance {
    /// Creates the allowance of a single process: `ratio` retries per request and `min_retries`
    /// more, per window.
    pub const fn own(ratio: f64, min_retries: f64, window: Millis) -> Self {
        let fixed = Fixed::Own(min_retries);
        Self { window, ratio, earned_ratio: ratio, kept_ratio: ratio, fixed }
    }

    /// Creates the allowance of one of the processes that share `ratio` retries per request and
    /// `min_retries` more, per window.
    pub const fn shared(ratio: f64, min_retries: f64, window: Millis) -> Self {
        Self {
            window,
            ratio: ratio * (EARNED_FRACTION + KEPT_FRACTION),
            earned_ratio: ratio * EARNED_FRACTION,
            kept_ratio: ratio * KEPT_FRACTION,
            fixed: Fixed::Shared(min_retries),
        }
    }

    /// Returns the retries per window that requests do not have to pay for, at a process that knows
    /// `nodes` nodes. `may_share` is set if no earlier process of its node has taken
    /// them in the same window.
    fn get_fixed_retries(&self, may_share: bool, nodes: usize) -> f64 {
        match self.fixed {
            Fixed::Own(retries) => retries,
            Fixed::Shared(_) if !may_share => 0.0,
            Fixed::Shared(retries) => {
                let share = SHARED_FIXED_FRACTION * retries / nodes.max(1) as f64;
                share.floor().min(MAX_SHARED_FIXED_RETRIES)
            }
        }
    }
}

/// The retry budget of one process, per service.
///
/// # Examples
///
/// ```
/// use keeljunction_core::retry::{Allowance, Budget};
///
/// // A tenth of the requests, plus one, in any ten seconds.
/// let mut budget = Budget::new(0, Allowance::own(0.1, 1.0, 10_000));
/// assert!(budget.take(0, "llm", 1));
/// assert!(!budget.take(0, "llm", 1));
/// for _ in 0..10 {
///     budget.count_request(0, "llm");
/// }
/// assert!(budget.take(0, "llm", 1));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    /// From when this process may take retries of a shared fixed number. Until then, an earlier
    /// process of its node may have taken some in the same window.
    fixed_from: Millis,
    allowance: Allowance,
    services: BTreeMap<String, Usage>,
}

#[derive(Clone, Debug, Default)]
struct Usage {
    requests: VecDeque<Millis>,
    retries: VecDeque<Retry>,
    /// Retries that requests have earned and that are not used.
    kept: f64,
}

#[derive(Clone, Copy, Debug)]
struct Retry {
    at: Millis,
    /// Whether it was taken of the fixed number.
    is_fixed: bool,
}

impl Budget {
    /// Creates the budget of a process that starts now.
    pub fn new(now: Millis, allowance: Allowance) -> Self {
        Self { fixed_from: now + allowance.window, allowance, services: BTreeMap::new() }
    }

    /// Records that no process of this node has run before this one.
    pub fn record_first_run(&mut self, now: Millis) {
        self.fixed_from = self.fixed_from.min(now);
    }

    /// Records a request to a service.
    pub fn count_request(&mut self, now: Millis, service: &str) {
        let Allowance { earned_ratio, kept_ratio, .. } = self.allowance;
        let usage = self.get_usage(now, service);
        usage.requests.push_back(now);
        usage.kept += earned_ratio;
        usage.limit_kept(kept_ratio);
    }

    /// Takes one retry and returns `true` if the budget allows it. `nodes` is the number of nodes
    /// that are known to share the budget.
    pub fn take(&mut self, now: Millis, service: &str, nodes: usize) -> bool {
        if self.get_remaining(now, service, nodes) < 1.0 {
            return false;
        }
        let usage = self.get_usage(now, service);
        let is_fixed = usage.count_kept() < 1.0;
        if !is_fixed {
            usage.kept -= 1.0;
        }
        usage.retries.push_back(Retry { at: now, is_fixed });
        true
    }

    /// Returns the number of requests to a service in the window that ends now.
    pub fn count_recent_requests(&mut self, now: Millis, service: &str) -> usize {
        self.get_usage(now, service).requests.len()
    }

    /// Returns the number of retries that may be taken now.
    pub fn get_remaining(&mut self, now: Millis, service: &str, nodes: usize) -> f64 {
        let fixed = self.allowance.get_fixed_retries(now >= self.fixed_from, nodes);
        let ratio = self.allowance.ratio;
        let usage = self.get_usage(now, service);
        let fixed_used = usage.retries.iter().filter(|retry| retry.is_fixed).count() as f64;
        let fixed_remaining = (fixed - fixed_used).max(0.0);
        let in_window = ratio * usage.requests.len() as f64 + fixed - usage.retries.len() as f64;
        // A part of a retry from each source does not add up to one.
        let remaining = usage.count_kept() + fixed_remaining.floor();
        remaining.min(in_window + ROUNDING)
    }

    /// Returns the usage of a service in the window that ends now.
    fn get_usage(&mut self, now: Millis, service: &str) -> &mut Usage {
        let Allowance { window, kept_ratio, .. } = self.allowance;
        let usage = self.services.entry(service.to_owned()).or_default();
        let is_expired = |at: Millis| at + window <= now;
        while usage.requests.front().is_some_and(|at| is_expired(*at)) {
            usage.requests.pop_front();
        }
        while usage.retries.front().is_some_and(|retry| is_expired(retry.at)) {
            usage.retries.pop_front();
        }
        usage.limit_kept(kept_ratio);
        usage
    }
}

impl Usage {
    /// Returns the number of whole retries that are kept.
    fn count_kept(&self) -> f64 {
        (self.kept + ROUNDING).floor()
    }

    fn limit_kept(&mut self, kept_ratio: f64) {
        self.kept = self.kept.min(kept_ratio * self.requests.len() as f64);
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
