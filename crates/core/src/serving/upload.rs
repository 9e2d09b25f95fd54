//! Checks whether a request's body arrives fast enough.
//!
//! A node reads a body completely before it forwards the request, and holds memory for it
//! meanwhile. At regular ticks it checks whether enough bytes have arrived.

use std::collections::VecDeque;

use crate::Millis;

/// The minimum rate of an upload, in bytes per second: that of a poor mobile link. At a lower rate,
/// a body of a few hundred kilobytes takes longer than its caller's deadline.
const MIN_BYTES_PER_SECOND: u64 = 8_000;
/// Ticks per window. A node that was suspended counts a single tick for the suspension, so that its
/// callers are not blamed for it.
const TICKS_PER_WINDOW: u64 = 4;

/// Monitors the rate at which one request's body arrives.
#[derive(Clone, Debug)]
pub struct RateMonitor {
    window: Millis,
    length: Option<u64>,
    /// The bytes that had arrived at each tick of the window.
    received_at_ticks: VecDeque<u64>,
}

impl RateMonitor {
    /// Creates a monitor for a body of `length` bytes, if known.
    ///
    /// In each `window`, in milliseconds, the bytes of the minimum rate must arrive, or the
    /// remaining bytes of the body if these are fewer.
    pub fn new(window: Millis, length: Option<u64>) -> Self {
        Self { window, length, received_at_ticks: VecDeque::from([0]) }
    }

    /// Returns the time between two ticks, in milliseconds.
    pub fn get_tick_interval(&self) -> Millis {
        (self.window / TICKS_PER_WINDOW).max(1)
    }

    /// Records a tick and the bytes that have arrived so far. Returns `true` if they are too few.
    ///
    /// # Examples
    ///
    /// ```
    /// use keeljunction_core::serving::upload::RateMonitor;
    ///
    /// let mut monitor = RateMonitor::new(4_000, None);
    /// assert!(!monitor.record_tick(10));
    /// assert!(!monitor.record_tick(10));
    /// assert!(!monitor.record_tick(10));
    /// assert!(monitor.record_tick(10));
    /// ```
    pub fn record_tick(&mut self, received: u64) -> bool {
        self.received_at_ticks.push_back(received);
        if self.received_at_ticks.len() as u64 <= TICKS_PER_WINDOW {
            return false;
        }
        let received_before = self.received_at_ticks.pop_front().unwrap_or(0);
        let min_bytes = MIN_BYTES_PER_SECOND * self.window / 1_000;
        let remaining =
            self.length.map_or(min_bytes, |length| length.saturating_sub(received_before));
        received - received_before < min_bytes.min(remaining)
    }
}
