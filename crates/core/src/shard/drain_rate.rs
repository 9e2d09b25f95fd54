//! The drain rate of a queue, and the retry times derived from it.

use crate::Millis;

/// The weight of the latest interval in the moving average, in thousandths.
const LATEST_WEIGHT_PER_MILLE: u64 = 100;
/// The minimum and maximum `Retry-After`, in milliseconds.
const RETRY_AFTER_BOUNDS_MS: (Millis, Millis) = (200, 30_000);

/// The moving average of the time between the ends of two grants, and the slots reserved for
/// retries.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    interval_micros: u64,
    last: Option<Millis>,
    reserved_until_micros: u64,
}

impl DrainRate {
    pub(super) fn new(initial_interval_ms: Millis) -> Self {
        Self {
            interval_micros: initial_interval_ms.max(1) * 1000,
            last: None,
            reserved_until_micros: 0,
        }
    }

    /// Records the end of a grant.
    pub(super) fn record_end(&mut self, now: Millis) {
        if let Some(last) = self.last {
            let interval = now.saturating_sub(last) * 1000;
            let weighted_average = self.interval_micros * (1000 - LATEST_WEIGHT_PER_MILLE);
            self.interval_micros =
                ((weighted_average + interval * LATEST_WEIGHT_PER_MILLE) / 1000).max(1);
        }
        self.last = Some(now);
    }

    /// Returns the estimated time in which `ahead` requests drain.
    pub(super) fn estimate_wait(&self, ahead: usize) -> Millis {
        self.interval_micros * ahead as u64 / 1000
    }

    /// Reserves the next slot for a refused caller and returns the time after which it may retry.
    ///
    /// Slots are spaced at the drain rate, so that retries find room and do not arrive all at once.
    pub(super) fn reserve_retry(&mut self, now: Millis, ahead: usize) -> Millis {
        let earliest = (now + self.estimate_wait(ahead)) * 1000;
        self.reserved_until_micros =
            self.reserved_until_micros.max(earliest) + self.interval_micros;
        let wait = (self.reserved_until_micros / 1000).saturating_sub(now);
        let bounded = wait.clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1);
        self.reserved_until_micros =
            self.reserved_until_micros.min((now + RETRY_AFTER_BOUNDS_MS.1) * 1000);
        bounded
    }
}
