//! Pauses between tries.

use std::time::Duration;

use crate::runtime;

/// The first pause after a failure; doubled up to the longest.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Spreads a period over three quarters to five quarters of itself, so that nodes do not call at
/// once.
pub fn jitter(period: Duration) -> Duration {
    period.mul_f64(0.75 + 0.5 * fastrand::f64())
}

/// A pause that grows with each failure.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits, longer after each failure.
    pub async fn wait(&mut self) {
        let bound = INITIAL_BACKOFF * (1 << self.failures.min(5));
        self.failures += 1;
        runtime::sleep(jitter(bound.min(MAX_BACKOFF))).await;
    }
}
