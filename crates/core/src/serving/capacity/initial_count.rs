//! The number of servers that a new duty holder finds.

use crate::Millis;

/// The time without a new server after which a list that has been confirmed since counts as
/// complete.
const SETTLE_PERIOD_MS: Millis = 1_500;

/// The number of servers of a service that a new duty holder finds. Servers list themselves one by
/// one.
///
/// Before the first request, this number is the best estimate of the need. An estimate from an
/// incomplete list would release the remaining servers (`docs/design/starts.md`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InitialCount {
    count: u32,
    last_grown_at: Option<Millis>,
}

impl InitialCount {
    /// Records the number of servers that are listed now; returns the largest number seen.
    ///
    /// `is_idle` is `true` if the service has had no request yet; until it has one, servers that
    /// list themselves late count too. `known_at` is when the list was last confirmed to be
    /// current.
    pub fn record(
        &mut self,
        now: Millis,
        listed: u32,
        is_idle: bool,
        known_at: Option<Millis>,
    ) -> u32 {
        let is_open = is_idle || !self.is_complete(known_at);
        if self.last_grown_at.is_none() || (is_open && listed > self.count) {
            *self = Self { count: listed, last_grown_at: Some(now) };
        }
        self.count
    }

    /// Returns `true` if the list had stopped growing for a while when it was last confirmed to be
    /// current, at `known_at`.
    ///
    /// A list that does not grow proves nothing unless it was confirmed.
    pub fn is_complete(&self, known_at: Option<Millis>) -> bool {
        let complete_at = self.last_grown_at.map(|at| at + SETTLE_PERIOD_MS);
        complete_at.zip(known_at).is_some_and(|(complete_at, known_at)| known_at >= complete_at)
    }
}
