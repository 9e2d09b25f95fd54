//! The rate at which memory is released, from which `Retry-After` is estimated.

use crate::Millis;

/// The shortest `Retry-After`: most small bodies have ended by then.
pub(super) const MIN_RETRY_AFTER_MS: Millis = 100;
/// The longest `Retry-After`: stalled uploads are evicted by then.
pub(super) const MAX_RETRY_AFTER_MS: Millis = 3_000;
/// The window over which the release rate is measured.
const RATE_WINDOW_MS: Millis = 1_000;

/// The bytes that were released recently.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Releases {
    /// The number of the latest release's window, counted from time 0.
    window: u64,
    /// Bytes released in that window.
    bytes: u64,
    /// Bytes released in the previous window.
    previous_bytes: u64,
}

impl Releases {
    /// Counts bytes that are released.
    pub(super) fn add(&mut self, now: Millis, bytes: u64) {
        let window = now / RATE_WINDOW_MS;
        if window != self.window {
            self.previous_bytes = if window == self.window + 1 { self.bytes } else { 0 };
            self.bytes = 0;
            self.window = window;
        }
        self.bytes += bytes;
    }

    /// Estimates the time until `bytes` more bytes have been released.
    pub(super) fn estimate(&self, now: Millis, bytes: u64) -> Millis {
        let windows = (now / RATE_WINDOW_MS).saturating_sub(self.window);
        let rate = if windows <= 1 { self.bytes.max(self.previous_bytes) } else { 0 };
        let wait = (bytes * RATE_WINDOW_MS).checked_div(rate).unwrap_or(MAX_RETRY_AFTER_MS);
        wait.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }
}
