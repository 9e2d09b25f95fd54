//! How much may be used in a second.

use crate::Millis;

/// A token bucket whose level may fall below zero: what was consumed in advance is paid back first.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Units that are left.
    pub available: f64,
    /// Units besides, which are held back.
    pub reserved: f64,
    filled_at: Millis,
    /// Units a second.
    rate: f64,
    capacity: f64,
}

impl TokenBucket {
    /// Makes a bucket at a level, which does not refill until [`TokenBucket::set_limits`].
    pub fn new(now: Millis, available: f64) -> Self {
        Self { available, reserved: 0.0, filled_at: now, rate: 0.0, capacity: f64::INFINITY }
    }

    /// Makes a full bucket with a burst of one second's units.
    pub fn full(now: Millis, per_second: u32) -> Self {
        let rate = f64::from(per_second.max(1));
        Self { rate, capacity: rate, ..Self::new(now, rate) }
    }

    /// Takes one unit.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which a unit may be there.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        self.refill(now);
        let lacking = 1.0 - self.available;
        if lacking > 0.0 {
            return Err((lacking / self.rate * 1_000.0).ceil() as Millis);
        }
        self.available -= 1.0;
        Ok(())
    }

    /// Holds units back, beside those that are available.
    pub fn reserve(self, reserved: f64) -> Self {
        Self { reserved, ..self }
    }

    /// Refills the bucket at the rate in force until now, and sets the rate in force from now on.
    pub fn set_limits(&mut self, now: Millis, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.available = self.available.min(capacity);
    }

    /// Returns the units a second and the capacity in force; `None` until [`TokenBucket::set_limits`].
    pub fn get_limits(&self) -> Option<(f64, f64)> {
        self.capacity.is_finite().then_some((self.rate, self.capacity))
    }

    /// Saves nothing up until the next [`TokenBucket::set_limits`], beyond what pays back a debt.
    pub fn stop_accumulating(&mut self, now: Millis) {
        self.set_limits(now, self.rate, 0.0);
    }

    /// Holds no more than `reserved` units back, and makes the others available.
    pub fn release(&mut self, reserved: f64) {
        let released = (self.reserved - reserved).max(0.0);
        self.reserved -= released;
        self.available += released;
    }

    /// Adds what was gained until now.
    pub fn refill(&mut self, now: Millis) {
        let gained = now.saturating_sub(self.filled_at) as f64 / 1_000.0 * self.rate;
        self.available = (self.available + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }
}
