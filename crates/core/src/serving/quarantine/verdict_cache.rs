//! The verdicts that a node knows.

use std::collections::BTreeMap;

use super::{Fingerprint, Standing, Verdict};
use crate::Millis;

/// The number of verdicts. Each quarantined request has crashed three servers.
const CAPACITY: usize = 256;
/// The number of verdicts in one report; some 200 bytes. A node that has just started knows all
/// verdicts of a full cache after 32 reports, which take some 7 s.
const GOSSIP_BATCH_SIZE: usize = 8;
/// A verdict that expires this much later than the known one was decided again. A smaller
/// difference is the time in transit.
const MIN_RENEWAL_MS: Millis = 20_000;

/// The verdicts that a node knows, until they expire.
#[derive(Clone, Debug, Default)]
pub struct VerdictCache {
    entries: BTreeMap<Fingerprint, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    verdict: Verdict,
    until: Millis,
}

impl VerdictCache {
    /// Merges a verdict. Returns `true` if it is new.
    ///
    /// A standing replaces a lower one, and replaces the same one if it was decided again.
    pub fn merge(&mut self, now: Millis, verdict: Verdict) -> bool {
        let until = now + verdict.left;
        let known = self.entries.get(&verdict.fingerprint).filter(|known| now < known.until);
        let is_new = known.is_none_or(|known| {
            let is_renewed = until > known.until + MIN_RENEWAL_MS;
            let (new, old) = (verdict.standing, known.verdict.standing);
            new > old || (new == old && is_renewed)
        });
        if is_new && verdict.left > 0 {
            self.make_room(now);
            self.entries.insert(verdict.fingerprint, Entry { verdict, until });
        }
        is_new && verdict.left > 0
    }

    /// Removes expired verdicts, and the one that expires first if the cache is full.
    fn make_room(&mut self, now: Millis) {
        self.entries.retain(|_, entry| now < entry.until);
        if self.entries.len() >= CAPACITY {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
    }

    /// Returns the verdict on a request.
    pub fn get(&self, now: Millis, fingerprint: Fingerprint) -> Option<Verdict> {
        let entry = self.entries.get(&fingerprint).filter(|entry| now < entry.until)?;
        Some(Verdict { left: entry.until - now, ..entry.verdict })
    }

    /// Returns the milliseconds for which a request is still quarantined, or `None` if it is
    /// served.
    pub fn get_quarantine_remaining(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> Option<Millis> {
        let verdict = self.get(now, fingerprint)?;
        (verdict.standing == Standing::Quarantined).then_some(verdict.left)
    }

    /// Returns the number of quarantined requests.
    pub fn count_quarantined(&self, now: Millis) -> usize {
        self.iter_quarantined(now).count()
    }

    /// Iterates over the quarantined requests.
    pub fn iter_quarantined(&self, now: Millis) -> impl Iterator<Item = Verdict> {
        let valid = self.entries.values().filter(move |entry| now < entry.until);
        let valid = valid.map(move |entry| Verdict { left: entry.until - now, ..entry.verdict });
        valid.filter(|verdict| verdict.standing == Standing::Quarantined)
    }

    /// Returns the next batch of verdicts to gossip.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Verdict> {
        let count = self.entries.len();
        let first = turn * GOSSIP_BATCH_SIZE % count.max(1);
        let next = self.entries.values().cycle().skip(first).take(count.min(GOSSIP_BATCH_SIZE));
        let valid = next.filter(|entry| now < entry.until);
        valid.map(|entry| Verdict { left: entry.until - now, ..entry.verdict }).collect()
    }
}
