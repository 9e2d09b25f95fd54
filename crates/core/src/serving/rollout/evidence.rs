//! Adds up the evidence against a version.
//!
//! The sum never falls below zero, so that good responses of the past do not count in a version's
//! favour. Responses that arrive within moments of each other may share a cause that says nothing
//! of the version, such as a pause of a machine, so their evidence can be limited.

use std::collections::VecDeque;

use crate::Millis;

/// The period within which responses may share a cause. It covers a pause of several hundred
/// milliseconds and the reports of all nodes on it.
const MOMENT_MS: Millis = 1_000;

/// The sum at some time.
#[derive(Clone, Copy, Debug)]
struct Point {
    at: Millis,
    total: f64,
}

/// The evidence against a version in one series, or in all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    total: f64,
    /// The sums of the last moment, and the latest one before it.
    recent: VecDeque<Point>,
}

impl Evidence {
    /// Adds a log-likelihood ratio. The sum rises by up to `max_per_moment` within a moment. `now` is
    /// the time since the order, in milliseconds.
    pub fn add(&mut self, now: Millis, weight: f64, max_per_moment: f64) {
        let is_before = |point: &Point| point.at + MOMENT_MS <= now;
        while self.recent.get(1).is_some_and(is_before) {
            self.recent.pop_front();
        }
        let has_before = self.recent.front().is_some_and(is_before);
        let initial = if has_before { f64::INFINITY } else { 0.0 };
        let lowest = self.recent.iter().map(|point| point.total).fold(initial, f64::min);
        self.total = (self.total + weight).clamp(0.0, lowest + max_per_moment);
        let point = Point { at: now, total: self.total };
        match self.recent.back_mut().filter(|last| last.at == now) {
            Some(last) => *last = point,
            None => self.recent.push_back(point),
        }
    }

    /// Returns the sum of the evidence.
    pub fn get_total(&self) -> f64 {
        self.total
    }
}
