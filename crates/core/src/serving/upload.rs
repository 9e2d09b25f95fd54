//! Whether a request's body comes fast enough.
//!
//! A node reads a body whole before it sends the request on, and holds memory for it meanwhile.
//! It asks at regular ticks whether what came since is enough.

use std::collections::VecDeque;

use crate::Millis;

/// The least bytes a second of an upload. A poor mobile link brings as many. At fewer, a body of a
/// few hundred kilobytes takes longer than its caller's deadline.
const LEAST_BYTES_PER_SECOND: u64 = 8_000;
/// The ticks of a window. A node that slept meanwhile counts one tick for its sleep, so that its
/// callers are not blamed for it.
const TICKS: u64 = 4;

/// How fast the body of one request comes.
#[derive(Clone, Debug)]
pub struct RateMonitor {
    window: Millis,
    length: Option<u64>,
    /// The bytes that had come at each tick of the window.
    marks: VecDeque<u64>,
}

impl RateMonitor {
    /// Begins a body. In each `window`, in milliseconds, it has to bring the least rate's bytes, or
    /// the rest of its length where that is known and less.
    pub fn new(window: Millis, length: Option<u64>) -> Self {
        Self { window, length, marks: VecDeque::from([0]) }
    }

    /// Returns the time between two ticks, in milliseconds.
    pub fn get_tick_interval(&self) -> Millis {
        (self.window / TICKS).max(1)
    }

    /// Notes a tick and the bytes that have come by then; returns `true` if they are too few.
    ///
    /// # Examples
    ///
    /// ```
    /// use keeljunction_core::serving::upload::RateMonitor;
    ///
    /// let mut pace = RateMonitor::new(4_000, None);
    /// assert!(!pace.record_tick(10));
    /// assert!(!pace.record_tick(10));
    /// assert!(!pace.record_tick(10));
    /// assert!(pace.record_tick(10));
    /// ```
    pub fn record_tick(&mut self, received: u64) -> bool {
        self.marks.push_back(received);
        if self.marks.len() as u64 <= TICKS {
            return false;
        }
        let before = self.marks.pop_front().unwrap_or(0);
        let least = LEAST_BYTES_PER_SECOND * self.window / 1_000;
        let rest = self.length.map_or(least, |length| length.saturating_sub(before));
        received - before < least.min(rest)
    }
}
