//! What a node knows of requests that crash servers.

use std::collections::BTreeMap;

use super::{Fingerprint, Standing, Verdict};
use crate::Millis;

/// The most requests that are listed; each of those that are refused has crashed three servers.
const MOST_LISTED: usize = 256;
/// The most verdicts in one report, some 200 bytes. A node that has just started knows all of a full list
/// after 32 reports, which are some 7 s.
const MOST_PASSED_ON: usize = 8;
/// A verdict that holds for so much longer than the known one was decided anew, in milliseconds; a
/// smaller difference is the time on the way.
const RENEWED: Millis = 20_000;

/// The verdicts that a node knows, until they end.
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
    /// Takes over a verdict; returns `true` if it is news.
    ///
    /// A standing takes the place of a lower one, and of the same one where it was decided anew.
    pub fn merge(&mut self, now: Millis, verdict: Verdict) -> bool {
        let until = now + verdict.left;
        let known = self.entries.get(&verdict.fingerprint).filter(|known| now < known.until);
        let is_news = known.is_none_or(|known| {
            let is_renewed = until > known.until + RENEWED;
            let (new, old) = (verdict.standing, known.verdict.standing);
            new > old || (new == old && is_renewed)
        });
        if is_news && verdict.left > 0 {
            self.make_room(now);
            self.entries.insert(verdict.fingerprint, Entry { verdict, until });
        }
        is_news && verdict.left > 0
    }

    /// Forgets verdicts that have ended, and the one that ends first where there are too many.
    fn make_room(&mut self, now: Millis) {
        self.entries.retain(|_, entry| now < entry.until);
        if self.entries.len() >= MOST_LISTED {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
    }

    /// Returns what is known of a request.
    pub fn get(&self, now: Millis, fingerprint: Fingerprint) -> Option<Verdict> {
        let entry = self.entries.get(&fingerprint).filter(|entry| now < entry.until)?;
        Some(Verdict { left: entry.until - now, ..entry.verdict })
    }

    /// Returns the milliseconds for which a request is still refused; `None` where it is served.
    pub fn get_quarantine_left(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let verdict = self.get(now, fingerprint)?;
        (verdict.standing == Standing::Quarantined).then_some(verdict.left)
    }

    /// Counts the requests that are refused.
    pub fn count_quarantined(&self, now: Millis) -> usize {
        self.iter_quarantined(now).count()
    }

    /// Lists the requests that are refused.
    pub fn iter_quarantined(&self, now: Millis) -> impl Iterator<Item = Verdict> {
        let valid = self.entries.values().filter(move |entry| now < entry.until);
        let valid = valid.map(move |entry| Verdict { left: entry.until - now, ..entry.verdict });
        valid.filter(|verdict| verdict.standing == Standing::Quarantined)
    }

    /// Lists some verdicts for other nodes; each turn gives the next ones.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Verdict> {
        let count = self.entries.len();
        let first = turn * MOST_PASSED_ON % count.max(1);
        let next = self.entries.values().cycle().skip(first).take(count.min(MOST_PASSED_ON));
        let valid = next.filter(|entry| now < entry.until);
        valid.map(|entry| Verdict { left: entry.until - now, ..entry.verdict }).collect()
    }
}
