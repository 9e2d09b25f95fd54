//! Requests and parts of prompts that were completed recently.

use super::Fingerprint;
use crate::Millis;

/// How long a completed response shows that a request does not crash servers. Callers repeat a
/// popular request many times per minute, and a version of the servers that it does crash may start
/// at any time.
pub(super) const COMPLETION_TTL_MS: Millis = 60_000;
/// Slots in the table; 49 KB. At the size planned for in two years, a node answers some 400
/// requests per minute.
const CAPACITY: usize = 2_048;
/// Slots that a fingerprint may use. With several of them, two popular requests do not replace each
/// other.
const BUCKET_SIZE: usize = 4;

type Slot = Option<(Fingerprint, Millis)>;

/// Remembers the requests, or the parts of prompts, that were completed recently.
///
/// Each fingerprint has a bucket of slots, in which it replaces the oldest entry. A repeated request
/// returns to its slot, so that popular requests stay known. Time and memory do not depend on the
/// requests.
#[derive(Clone, Debug)]
pub struct CompletedRequests {
    buckets: Vec<[Slot; BUCKET_SIZE]>,
}

impl Default for CompletedRequests {
    fn default() -> Self {
        Self { buckets: vec![[None; BUCKET_SIZE]; CAPACITY / BUCKET_SIZE] }
    }
}

impl CompletedRequests {
    /// Records that a request was completed.
    pub fn record(&mut self, now: Millis, fingerprint: Fingerprint) {
        let bucket = &mut self.buckets[get_bucket(fingerprint)];
        // An empty slot is older than any entry.
        let get_age_key = |slot: &&mut Slot| match slot {
            Some((known, _)) if *known == fingerprint => (0, 0),
            Some((_, at)) => (2, *at),
            None => (1, 0),
        };
        if let Some(slot) = bucket.iter_mut().min_by_key(get_age_key) {
            *slot = Some((fingerprint, now));
        }
    }

    /// Returns `true` if the request was completed recently.
    pub fn is_known(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let known = self.buckets[get_bucket(fingerprint)].iter().flatten();
        let is_same = |(known, _): &&(Fingerprint, Millis)| *known == fingerprint;
        known.into_iter().find(is_same).is_some_and(|(_, at)| now < at + COMPLETION_TTL_MS)
    }
}

fn get_bucket(fingerprint: Fingerprint) -> usize {
    fingerprint.get_number() as usize % (CAPACITY / BUCKET_SIZE)
}
