//! A sample of the list of nodes, from which a starting node finds the others.
//!
//! The rows of nodes are ordered by the hashes of their names. The first rows are therefore a
//! random sample of all nodes, the same for every reader, and their last key shows how many nodes
//! exist. With the sample, the load of startups on the table service grows linearly with the number
//! of nodes, and not with its square.

use super::entry::Entry;
use super::{Members, short_id};
use crate::Millis;

/// How long the estimate from a sample is used. The list may be incomplete until then.
const ESTIMATE_TTL_MS: Millis = 10_000;
/// The fraction of the estimated nodes from which the known nodes are counted instead.
///
/// The estimate is off by a few hundredths, and the list is almost complete at this fraction.
const MIN_KNOWN_FRACTION: f64 = 0.75;

/// Returns the key of a node's row.
pub fn make_key(name: &str) -> String {
    format!("{:016x}", short_id(name))
}

/// Estimates the total number of rows from the last key of the first `count` rows.
pub fn estimate_count(last: &str, count: usize) -> usize {
    let Ok(last) = u64::from_str_radix(last, 16) else { return count };
    let all = count as f64 * (u64::MAX as f64 / last.max(1) as f64);
    (all as usize).max(count)
}

impl Members {
    /// Merges a sample of the list of all nodes. There are about `count` nodes.
    ///
    /// `is_whole` is `true` if nodes that started together with this one had time to add themselves
    /// to the list.
    pub fn merge_sample(&mut self, now: Millis, entries: Vec<Entry>, count: usize, is_whole: bool) {
        self.estimated = Some((now, count));
        self.merge_list(now, entries, is_whole);
    }

    /// Returns the number of nodes if `known` of them are known.
    ///
    /// This is the recent estimate from a sample until most of the estimated nodes are known.
    pub(super) fn estimate_node_count(&self, now: Millis, known: usize) -> usize {
        let lately = self.estimated.filter(|(at, _)| now < at + ESTIMATE_TTL_MS);
        let estimated = lately.map_or(0, |(_, count)| count);
        let is_most_known = known as f64 >= estimated as f64 * MIN_KNOWN_FRACTION;
        if is_most_known { known } else { estimated }
    }
}
