//! How many calls may be made in a second.

use crate::Millis;

const MILLI: u64 = 1000;

/// A token bucket that time fills, with a burst of one second's calls.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: u64,
    milli_tokens: u64,
    filled_at: Millis,
}

impl Bucket {
    /// Makes a full bucket.
    pub fn new(now: Millis, per_second: u32) -> Self {
        let per_second = u64::from(per_second.max(1));
        Self { per_second, milli_tokens: per_second * MILLI, filled_at: now }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which a call may be there.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        let gained = now.saturating_sub(self.filled_at) * self.per_second;
        self.milli_tokens = (self.milli_tokens + gained).min(self.per_second * MILLI);
        self.filled_at = now;
        if self.milli_tokens < MILLI {
            return Err((MILLI - self.milli_tokens).div_ceil(self.per_second));
        }
        self.milli_tokens -= MILLI;
        Ok(())
    }
}
