//! A part of the list of nodes, by which a node that starts finds the others.
//!
//! Rows of nodes lie in the order of their names' hashes. The first ones in that order are a random sample
//! of all nodes, the same for all that read it, and the last of their keys shows how many there are. What a
//! start costs the table service so grows with the nodes, and not with their square.

use super::entry::Entry;
use super::{Members, short_id};
use crate::Millis;

/// How long the number of nodes that a sample shows counts: until then the list may not be complete.
const COUNTS_FOR: Millis = 10_000;
/// The part of the nodes that a sample showed from which the known ones count: a sample is
/// off by some hundredths, and the list is nearly complete by then.
const MOST_KNOWN_PART: f64 = 0.75;

/// Returns the key of a node's row.
pub fn make_key(name: &str) -> String {
    format!("{:016x}", short_id(name))
}

/// Estimates how many rows there are, from the last key of the first so many.
pub fn estimate_count(last: &str, count: usize) -> usize {
    let Ok(last) = u64::from_str_radix(last, 16) else { return count };
    let all = count as f64 * (u64::MAX as f64 / last.max(1) as f64);
    (all as usize).max(count)
}

impl Members {
    /// Takes over a sample of the list of all nodes, of which there are about `count`; `is_whole` where those
    /// that started together with this one had the time to add themselves.
    pub fn merge_sample(&mut self, now: Millis, entries: Vec<Entry>, count: usize, is_whole: bool) {
        self.estimated = Some((now, count));
        self.merge_list(now, entries, is_whole);
    }

    /// Returns how many nodes there are where `known` of them are known: as many as a sample showed
    /// lately, until most of these are known.
    pub(super) fn correct_count(&self, now: Millis, known: usize) -> usize {
        let lately = self.estimated.filter(|(at, _)| now < at + COUNTS_FOR);
        let estimated = lately.map_or(0, |(_, count)| count);
        let is_most_known = known as f64 >= estimated as f64 * MOST_KNOWN_PART;
        if is_most_known { known } else { estimated }
    }
}
