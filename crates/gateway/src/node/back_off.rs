//! Delays between retries.

use std::time::Duration;

use crate::runtime;

/// The delay after the first failure. It doubles with each failure, up to the maximum.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(60);
const MAX_BACK_OFF: Duration = Duration::from_millis(500);

/// Randomizes a period between 75 % and 125 %, so that nodes do not make their calls at the same
/// time.
pub fn jitter(period: Duration) -> Duration {
    period.mul_f64(0.75 + 0.5 * fastrand::f64())
}

/// A delay that grows exponentially with each failure.
#[derive(Debug, Default)]
pub struct BackOff {
    failures: u32,
}

impl BackOff {
    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits, longer after each failure.
    pub async fn wait(&mut self) {
        let bound = INITIAL_BACK_OFF * (1 << self.failures.min(5));
        self.failures += 1;
        runtime::sleep(jitter(bound.min(MAX_BACK_OFF))).await;
    }
}
