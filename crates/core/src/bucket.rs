//! Rate limiting with token buckets.

use crate::Millis;

/// A token bucket whose level may fall below zero: units consumed in advance are repaid first.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Units available now; negative while in debt.
    pub available: f64,
    /// Units held back in addition to those available.
    pub reserved: f64,
    refilled_at: Millis,
    /// Refill rate, in units per second.
    rate: f64,
    capacity: f64,
}

impl TokenBucket {
    /// Creates a bucket with the given level. It does not refill until [`TokenBucket::set_limits`]
    /// is called.
    pub fn new(now: Millis, available: f64) -> Self {
        Self { available, reserved: 0.0, refilled_at: now, rate: 0.0, capacity: f64::INFINITY }
    }

    /// Creates a full bucket whose burst is one second's worth of units.
    pub fn full(now: Millis, per_second: u32) -> Self {
        let rate = f64::from(per_second.max(1));
        Self { rate, capacity: rate, ..Self::new(now, rate) }
    }

    /// Takes one unit.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the next unit is available.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        self.refill(now);
        let missing = 1.0 - self.available;
        if missing > 0.0 {
            return Err((missing / self.rate * 1_000.0).ceil() as Millis);
        }
        self.available -= 1.0;
        Ok(())
    }

    /// Returns the bucket with `reserved` units held back in addition to the available ones.
    pub fn reserve(self, reserved: f64) -> Self {
        Self { reserved, ..self }
    }

    /// Refills the bucket at the current rate, then sets the rate and capacity.
    pub fn set_limits(&mut self, now: Millis, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.available = self.available.min(capacity);
    }

    /// Returns the rate and capacity, or `None` until [`TokenBucket::set_limits`] is called.
    pub fn get_limits(&self) -> Option<(f64, f64)> {
        self.capacity.is_finite().then_some((self.rate, self.capacity))
    }

    /// Sets the capacity to zero until the next [`TokenBucket::set_limits`], so that refills only
    /// repay debt.
    pub fn stop_accumulating(&mut self, now: Millis) {
        self.set_limits(now, self.rate, 0.0);
    }

    /// Reduces the reserved units to at most `reserved` and makes the rest available.
    pub fn release(&mut self, reserved: f64) {
        let released = (self.reserved - reserved).max(0.0);
        self.reserved -= released;
        self.available += released;
    }

    /// Adds the units accrued since the last refill.
    pub fn refill(&mut self, now: Millis) {
        let accrued = now.saturating_sub(self.refilled_at) as f64 / 1_000.0 * self.rate;
        self.available = (self.available + accrued).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
