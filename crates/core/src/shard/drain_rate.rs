//! How fast a queue drains, and when there will be room.

use crate::Millis;

/// The weight of the newest gap in the running mean, in thousandths.
const NEWEST_PER_MILLE: u64 = 100;
/// The shortest and longest `Retry-After`.
const RETRY_BOUNDS_MS: (Millis, Millis) = (200, 30_000);

/// A running mean of the time between two grants ending, and the places promised to callers.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    gap_micros: u64,
    last: Option<Millis>,
    booked_until_micros: u64,
}

impl DrainRate {
    pub(super) fn new(first_gap_ms: Millis) -> Self {
        Self { gap_micros: first_gap_ms.max(1) * 1000, last: None, booked_until_micros: 0 }
    }

    /// Notes that a grant ended.
    pub(super) fn ended(&mut self, now: Millis) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last) * 1000;
            let kept = self.gap_micros * (1000 - NEWEST_PER_MILLE);
            self.gap_micros = ((kept + gap * NEWEST_PER_MILLE) / 1000).max(1);
        }
        self.last = Some(now);
    }

    /// Estimates how long `ahead` requests take to drain.
    pub(super) fn wait_for(&self, ahead: usize) -> Millis {
        self.gap_micros * ahead as u64 / 1000
    }

    /// Books the next place for a caller that is refused, and says when to come back.
    ///
    /// Places are spread at the drain rate, so that those who come back find room and do not
    /// come all at once.
    pub(super) fn book(&mut self, now: Millis, ahead: usize) -> Millis {
        let earliest = (now + self.wait_for(ahead)) * 1000;
        self.booked_until_micros = self.booked_until_micros.max(earliest) + self.gap_micros;
        let wait = (self.booked_until_micros / 1000).saturating_sub(now);
        let bounded = wait.clamp(RETRY_BOUNDS_MS.0, RETRY_BOUNDS_MS.1);
        self.booked_until_micros = self.booked_until_micros.min((now + RETRY_BOUNDS_MS.1) * 1000);
        bounded
    }
}
