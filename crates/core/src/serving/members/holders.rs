//! Which nodes hold the record of a stream's origin.
//!
//! Holders are ranked by rendezvous hashing of the record's key over all known nodes, and lie in
//! different data centres while there are several. More nodes are asked than hold a record, because
//! nodes may differ in which others they know.

use std::collections::{BTreeMap, BTreeSet};

use super::Members;
use super::entry::Entry;
use crate::rendezvous;

/// The number of nodes that hold a record.
const RECORD_HOLDERS: usize = 3;
/// The number of nodes that are asked for a record.
const ASKED_HOLDERS: usize = 6;

impl Members {
    /// Lists the nodes that hold the record of a key; this node may be one of them.
    pub fn list_record_holders(&self, key: u64) -> Vec<&Entry> {
        self.rank_holders(key, RECORD_HOLDERS)
    }

    /// Lists the nodes that are asked for the record of a key; this node may be one of them.
    pub fn list_asked_holders(&self, key: u64) -> Vec<&Entry> {
        self.rank_holders(key, ASKED_HOLDERS)
    }

    /// Returns `true` if an entry describes this node.
    pub fn is_own(&self, entry: &Entry) -> bool {
        entry.name == self.own.name
    }

    /// Ranks the nodes that are not stopping, and takes the first ones of each data centre.
    fn rank_holders(&self, key: u64, count: usize) -> Vec<&Entry> {
        let others = self.known.values().filter(|member| !member.is_stopping);
        let nodes = others.map(|member| &member.entry).chain([&self.own]);
        let mut ranked: Vec<(u64, &Entry)> =
            nodes.map(|entry| (rendezvous::weigh(key, &entry.name), entry)).collect();
        ranked.sort_unstable_by(|one, other| (other.0, &other.1.name).cmp(&(one.0, &one.1.name)));
        let data_centres: BTreeSet<&str> =
            ranked.iter().map(|(_, entry)| entry.data_centre.as_str()).collect();
        let most = count.div_ceil(data_centres.len());
        let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
        let mut holders = Vec::with_capacity(count);
        for (_, entry) in ranked {
            let taken = taken.entry(&entry.data_centre).or_default();
            if *taken < most && holders.len() < count {
                *taken += 1;
                holders.push(entry);
            }
        }
        holders
    }
}
