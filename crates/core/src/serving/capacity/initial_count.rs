//! The servers that a new holder of the duties finds.

use crate::Millis;

/// The time without a new server after which a list that is confirmed since counts as complete, in
/// milliseconds.
const SETTLE: Millis = 1_500;

/// The servers of a service as a new holder of the duty finds them: they list themselves one by one.
///
/// Before the first request the number found is the best estimate of the need. Taken from a part of
/// the list, it would give up the other servers (`docs/design/starts.md`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InitialCount {
    count: u32,
    grown_at: Option<Millis>,
}

impl InitialCount {
    /// Notes the servers that are listed now; returns the most that were listed.
    ///
    /// `is_idle` is `true` if the service had no request yet: until it has one, servers that list
    /// themselves late count too. `known_at` is when the list was last known to be the newest.
    pub fn record(
        &mut self,
        now: Millis,
        listed: u32,
        is_idle: bool,
        known_at: Option<Millis>,
    ) -> u32 {
        let is_open = is_idle || !self.is_complete(known_at);
        if self.grown_at.is_none() || (is_open && listed > self.count) {
            *self = Self { count: listed, grown_at: Some(now) };
        }
        self.count
    }

    /// Returns `true` if the list had stopped to grow for a while when it was last known to be the
    /// newest, at `known_at`. The silence of a list that is not confirmed proves nothing.
    pub fn is_complete(&self, known_at: Option<Millis>) -> bool {
        let complete_at = self.grown_at.map(|at| at + SETTLE);
        complete_at.zip(known_at).is_some_and(|(complete_at, known_at)| known_at >= complete_at)
    }
}
