//! How fast memory is released, from which `Retry-After` is estimated.

use crate::Millis;

/// The shortest `Retry-After`, in milliseconds: most small bodies have ended by then.
pub(super) const LEAST_RETRY_AFTER: Millis = 100;
/// The longest `Retry-After`, in milliseconds: uploads that rest are evicted by then.
pub(super) const MOST_RETRY_AFTER: Millis = 3_000;
/// The time over which the rate of releases is measured, in milliseconds.
const RATE_WINDOW: Millis = 1_000;

/// How many bytes were released of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Releases {
    /// The number of the window of the latest release, counted from time 0.
    window: u64,
    /// Bytes released in that window.
    bytes: u64,
    /// Bytes released in the window before it.
    bytes_before: u64,
}

impl Releases {
    /// Counts bytes that are released now.
    pub(super) fn add(&mut self, now: Millis, bytes: u64) {
        let window = now / RATE_WINDOW;
        if window != self.window {
            self.bytes_before = if window == self.window + 1 { self.bytes } else { 0 };
            self.bytes = 0;
            self.window = window;
        }
        self.bytes += bytes;
    }

    /// Estimates when so many bytes more will have been released.
    pub(super) fn estimate(&self, now: Millis, bytes: u64) -> Millis {
        let windows = (now / RATE_WINDOW).saturating_sub(self.window);
        let rate = if windows <= 1 { self.bytes.max(self.bytes_before) } else { 0 };
        let wait = (bytes * RATE_WINDOW).checked_div(rate).unwrap_or(MOST_RETRY_AFTER);
        wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER)
    }
}
