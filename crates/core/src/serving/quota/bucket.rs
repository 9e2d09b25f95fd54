//! A token bucket.

use crate::Millis;

/// A token bucket whose level may fall below zero: what was consumed in advance is paid back first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Units that are left.
    pub available: f64,
    filled_at: Millis,
    /// Units a second.
    rate: f64,
    capacity: f64,
}

impl Bucket {
    pub fn new(now: Millis, available: f64) -> Self {
        Self { available, filled_at: now, rate: 0.0, capacity: f64::INFINITY }
    }

    /// Refills the bucket at the rate in force until now, and sets the rate in force from now on.
    pub fn set(&mut self, now: Millis, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.available = self.available.min(capacity);
    }

    pub fn refill(&mut self, now: Millis) {
        let gained = now.saturating_sub(self.filled_at) as f64 / 1_000.0 * self.rate;
        self.available = (self.available + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }
}
