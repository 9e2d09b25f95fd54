//! How often an aggregator sends its summary to the other regions.
//!
//! Regions share one narrow link. All aggregators of a region together send no more across than a
//! budget: each takes an even part of it, and where its summaries do not fit, they cross less often.
//! Everything else that a node sent across is set off against the next summaries.

use crate::Millis;

/// The longest time between two summaries that cross, in milliseconds. A node of which nothing was
/// heard for 2 s is out of reach: at this period three of four summaries may get lost. A budget that is
/// too small for this is not kept.
const LONGEST_PERIOD: Millis = 500;
/// The time for which an unused part of the budget is kept, in milliseconds: a turn that comes some
/// milliseconds early must not wait for the next one.
const KEPT_FOR: Millis = 200;

/// Paces what one aggregator sends to other regions.
#[derive(Clone, Debug)]
pub struct SummaryPacer {
    /// The budget of the whole region, in bits a millisecond.
    bits_per_ms: f64,
    /// Bits that this aggregator may send by now; below 0 where it sent more than its part.
    available: f64,
    filled_at: Millis,
    /// Bytes that it had sent to other regions at the last call of [`SummaryPacer::is_due`].
    crossed: u64,
    sent_at: Option<Millis>,
    period: Millis,
}

impl SummaryPacer {
    /// Makes the pace for a region that may send so many kilobits a second to the others.
    pub fn new(kbps: f64) -> Self {
        Self {
            // A kilobit a second is a bit a millisecond.
            bits_per_ms: kbps,
            available: 0.0,
            filled_at: 0,
            crossed: 0,
            sent_at: None,
            period: 0,
        }
    }

    /// Returns `true` if a summary may cross now, of one of `senders` aggregators of the region,
    /// where this one has sent `crossed` bytes to other regions since its start.
    pub fn is_due(&mut self, now: Millis, crossed: u64, senders: usize) -> bool {
        let share = self.bits_per_ms / senders.max(1) as f64;
        let filled = share * now.saturating_sub(self.filled_at) as f64;
        let spent = crossed.saturating_sub(self.crossed) as f64 * 8.0;
        self.available = (self.available + filled - spent).min(share * KEPT_FOR as f64);
        self.filled_at = now;
        self.crossed = crossed;
        let is_late = self.sent_at.is_none_or(|at| now >= at + LONGEST_PERIOD);
        is_late || self.available >= 0.0
    }

    /// Notes that a summary crosses now.
    pub fn record_sent(&mut self, now: Millis) {
        if let Some(sent_at) = self.sent_at.replace(now) {
            self.period = now.saturating_sub(sent_at).min(LONGEST_PERIOD);
        }
    }

    /// Returns the time between the last two summaries that crossed; 0 before.
    pub fn get_period(&self) -> Millis {
        self.period
    }
}
