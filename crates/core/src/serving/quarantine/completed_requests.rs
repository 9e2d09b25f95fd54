//! Requests that were answered whole.

use super::Fingerprint;
use crate::Millis;

/// How long a whole answer shows that a request does not crash servers, in milliseconds: callers repeat
/// a popular request many times in a minute, and a version of the servers that it does crash may start
/// at any time.
pub(super) const SHOWN_FOR: Millis = 60_000;
/// Places in the table; 49 KB. A node of the two-year size answers some 400 requests a minute.
const PLACES: usize = 2_048;

/// Remembers which requests were answered whole lately.
///
/// Each fingerprint has one place, which another one may take: a request that is repeated comes back into
/// its place, so that the popular ones are known. Time and memory do not depend on the requests.
#[derive(Clone, Debug)]
pub struct CompletedRequests {
    places: Vec<Option<(Fingerprint, Millis)>>,
}

impl Default for CompletedRequests {
    fn default() -> Self {
        Self { places: vec![None; PLACES] }
    }
}

impl CompletedRequests {
    /// Notes that a request was answered whole.
    pub fn record(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.places[place_of(fingerprint)] = Some((fingerprint, now));
    }

    /// Returns `true` if the request was answered whole lately.
    pub fn is_known(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let known = self.places[place_of(fingerprint)];
        known.is_some_and(|(known, at)| known == fingerprint && now < at + SHOWN_FOR)
    }
}

fn place_of(fingerprint: Fingerprint) -> usize {
    fingerprint.get_number() as usize % PLACES
}
