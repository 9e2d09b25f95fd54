//! Paces the summaries that an aggregator sends to other regions.
//!
//! Regions share one narrow link. All aggregators of a region together may send no more to other
//! regions than a budget. Each gets an equal share of it, and sends its summaries less often if
//! they do not fit. All other traffic of the node to other regions is charged to the same share.

use crate::Millis;

/// The longest time between two summaries. A node that was not heard for 2 s counts as unreachable,
/// so at this period three of four summaries may get lost. A budget that is too small for this
/// period is exceeded.
const MAX_PERIOD_MS: Millis = 500;
/// How long an unused part of the budget is kept, in milliseconds, so that a turn that comes some
/// milliseconds early need not wait for the next one.
const BURST_PERIOD_MS: Millis = 200;

/// Paces what one aggregator sends to other regions.
#[derive(Clone, Debug)]
pub struct SummaryPacer {
    /// The budget of the whole region, in bits per millisecond.
    bits_per_ms: f64,
    /// Bits that this aggregator may send now; negative if it sent more than its share.
    available: f64,
    filled_at: Millis,
    /// Bytes that it had sent to other regions at the last call of [`SummaryPacer::is_due`].
    sent_bytes: u64,
    sent_at: Option<Millis>,
    period: Millis,
}

impl SummaryPacer {
    /// Creates a pacer for a region that may send `kbps` kilobits per second to the others.
    pub fn new(kbps: f64) -> Self {
        Self {
            // One kilobit per second is one bit per millisecond.
            bits_per_ms: kbps,
            available: 0.0,
            filled_at: 0,
            sent_bytes: 0,
            sent_at: None,
            period: 0,
        }
    }

    /// Returns `true` if a summary may be sent now.
    ///
    /// `sent_bytes` is the number of bytes to other regions since the start of this aggregator, and
    /// `senders` is the number of aggregators of the region.
    pub fn is_due(&mut self, now: Millis, sent_bytes: u64, senders: usize) -> bool {
        let share = self.bits_per_ms / senders.max(1) as f64;
        let filled = share * now.saturating_sub(self.filled_at) as f64;
        let spent = sent_bytes.saturating_sub(self.sent_bytes) as f64 * 8.0;
        self.available = (self.available + filled - spent).min(share * BURST_PERIOD_MS as f64);
        self.filled_at = now;
        self.sent_bytes = sent_bytes;
        let is_overdue = self.sent_at.is_none_or(|at| now >= at + MAX_PERIOD_MS);
        is_overdue || self.available >= 0.0
    }

    /// Records that a summary is sent now.
    pub fn record_sent(&mut self, now: Millis) {
        if let Some(sent_at) = self.sent_at.replace(now) {
            self.period = now.saturating_sub(sent_at).min(MAX_PERIOD_MS);
        }
    }

    /// Returns the time between the last two summaries, or 0 before the second one.
    pub fn get_period(&self) -> Millis {
        self.period
    }
}
