//! Requests that were completed recently.

use super::Fingerprint;
use crate::Millis;

/// How long a completed response shows that a request does not crash servers. Callers repeat a
/// popular request many times per minute, and a version of the servers that it does crash may start
/// at any time.
pub(super) const COMPLETION_TTL_MS: Millis = 60_000;
/// Slots in the table; 49 KB. At the size planned for in two years, a node answers some 400
/// requests per minute.
const CAPACITY: usize = 2_048;

/// Remembers the requests that were completed recently.
///
/// Each fingerprint has one slot, which another fingerprint may take over. A repeated request
/// returns to its slot, so that popular requests stay known. Time and memory do not depend on the
/// requests.
#[derive(Clone, Debug)]
pub struct CompletedRequests {
    slots: Vec<Option<(Fingerprint, Millis)>>,
}

impl Default for CompletedRequests {
    fn default() -> Self {
        Self { slots: vec![None; CAPACITY] }
    }
}

impl CompletedRequests {
    /// Records that a request was completed.
    pub fn record(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.slots[get_slot(fingerprint)] = Some((fingerprint, now));
    }

    /// Returns `true` if the request was completed recently.
    pub fn is_known(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let known = self.slots[get_slot(fingerprint)];
        known.is_some_and(|(known, at)| known == fingerprint && now < at + COMPLETION_TTL_MS)
    }
}

fn get_slot(fingerprint: Fingerprint) -> usize {
    fingerprint.get_number() as usize % CAPACITY
}
