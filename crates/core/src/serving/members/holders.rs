//! Which nodes hold the record of a stream's origin.
//!
//! Nodes are ranked by rendezvous hashing of the record's key over all known nodes. Those that are not
//! heard rank last: they have probably failed, but this node may also be the one that missed their
//! reports. Copies lie in different data centres while there are several. More nodes are queried
//! than hold a copy, because nodes may differ in which others they know.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::Entry;
use super::{Member, Members};
use crate::serving::stream_origin::{COPIES, HolderId, Shard};
use crate::{Millis, rendezvous};

/// The number of nodes that are queried for a record.
const ASKED_HOLDERS: usize = 6;
/// The number of nodes that are queried before a stream is refused because none of the first ones
/// knows it.
const WIDELY_ASKED_HOLDERS: usize = 24;

/// The nodes that are not stopping, to be ranked for several records.
#[derive(Debug)]
pub struct HolderRanking<'a> {
    own: &'a Entry,
    /// The nodes, including this one.
    nodes: Vec<Candidate<'a>>,
    data_centres: usize,
}

/// A node that may hold records.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    entry: &'a Entry,
    is_live: bool,
}

impl Members {
    /// Returns the nodes to be ranked, as they are known now.
    pub fn get_holder_ranking(&self, now: Millis) -> HolderRanking<'_> {
        let others = self.known.values().filter(|member| !member.is_stopping);
        let others = others
            .map(|member| Candidate { entry: &member.entry, is_live: self.is_live(now, member) });
        let own = Candidate { entry: &self.own, is_live: true };
        let nodes: Vec<Candidate<'_>> = others.chain([own]).collect();
        let data_centres: BTreeSet<&str> =
            nodes.iter().map(|node| node.entry.data_centre.as_str()).collect();
        HolderRanking { own: &self.own, data_centres: data_centres.len(), nodes }
    }

    /// Returns `true` if a node that holds copies is a live member.
    pub fn is_live_holder(&self, now: Millis, holder: HolderId) -> bool {
        let member = self.names.get(&holder).and_then(|name| self.known.get(name));
        member.is_some_and(|member| !member.is_stopping && self.is_live(now, member))
    }

    /// Returns `true` if a node was heard recently, or has just become known. In groups, nodes do not
    /// hear each other, and those that no aggregator has reported as silent count as live.
    fn is_live(&self, now: Millis, member: &Member) -> bool {
        let is_silent = member.is_silent || self.silent_by_aggregator.contains(&member.short);
        let heard_at = member.heard_at.unwrap_or(0).max(member.entered_at);
        !is_silent && (self.view.is_grouped || now < heard_at + self.get_heard_timeout())
    }

    /// Returns the description of another node that holds copies.
    pub fn get_holder(&self, holder: HolderId) -> Option<&Entry> {
        let member = self.names.get(&holder).and_then(|name| self.known.get(name));
        member.map(|member| &member.entry)
    }

    /// Returns `true` if an entry describes this node.
    pub fn is_own(&self, entry: &Entry) -> bool {
        entry.name == self.own.name
    }

    /// Iterates over the other nodes, each of which may hold copies.
    pub fn iter_holders(&self) -> impl Iterator<Item = HolderId> {
        self.known.values().map(|member| member.short)
    }
}

impl<'a> HolderRanking<'a> {
    /// Lists the other nodes that hold a copy of a record of this node. All of them are queried for it,
    /// and they are in different data centres if possible.
    pub fn list_copy_holders(&self, key: u64) -> Vec<&'a Entry> {
        let mut candidates = self.list_candidates(key);
        candidates.truncate(COPIES);
        candidates
    }

    /// Lists the nodes that are queried for the record of a key; this node may be one of them.
    pub fn list_asked_holders(&self, key: u64) -> Vec<&'a Entry> {
        self.rank(key, ASKED_HOLDERS)
    }

    /// Lists the other nodes that are queried if none of the first ones knows the record.
    pub fn list_widely_asked_holders(&self, key: u64) -> Vec<&'a Entry> {
        let first = self.list_asked_holders(key);
        let all = self.rank(key, WIDELY_ASKED_HOLDERS);
        let others = all.into_iter().filter(|entry| !first.contains(entry));
        others.filter(|entry| entry.name != self.own.name).collect()
    }

    /// Ranks the other nodes that may hold a copy of a record of this node: the first ones of each
    /// data centre, and then the others that are queried for it.
    pub fn list_candidates(&self, key: u64) -> Vec<&'a Entry> {
        let most = COPIES.div_ceil(self.data_centres.max(1));
        let asked = self.list_asked_holders(key).into_iter();
        let others = asked.filter(|entry| entry.name != self.own.name);
        let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
        let (mut candidates, rest): (Vec<&Entry>, Vec<&Entry>) = others.partition(|entry| {
            let taken = taken.entry(&entry.data_centre).or_default();
            *taken += 1;
            *taken <= most
        });
        candidates.extend(rest);
        candidates
    }

    /// Returns the node that archives the records of a shard; it may be this one.
    pub fn get_archivist(&self, shard: Shard) -> Option<&'a Entry> {
        let key = shard.get_number();
        let first = self.nodes.iter().max_by(|one, other| weigh(key, one).cmp(&weigh(key, other)));
        first.map(|node| node.entry)
    }

    /// Returns `true` if a live node is queried for the record of a key.
    pub fn is_asked(&self, key: u64, node: &Entry) -> bool {
        let most = ASKED_HOLDERS.div_ceil(self.data_centres.max(1));
        let rank = weigh(key, &Candidate { entry: node, is_live: true });
        let others = self.nodes.iter().filter(|other| other.entry.name != node.name);
        let same_data_centre = others.filter(|other| other.entry.data_centre == node.data_centre);
        let mut ahead = same_data_centre.filter(|other| weigh(key, other) > rank);
        // The full ranking is expensive, and most nodes of a data centre rank lower than this.
        let is_near = ahead.nth(most.saturating_sub(1)).is_none();
        is_near && self.clone_with_live(node).list_asked_holders(key).contains(&node)
    }

    /// Returns this ranking with a node that is live, whether or not it was heard.
    fn clone_with_live<'b>(&self, node: &'b Entry) -> HolderRanking<'b>
    where
        'a: 'b,
    {
        let others = self.nodes.iter().filter(|other| other.entry.name != node.name).copied();
        let nodes = others.chain([Candidate { entry: node, is_live: true }]).collect();
        HolderRanking { own: self.own, nodes, data_centres: self.data_centres }
    }

    /// Ranks the nodes, and takes the first ones of each data centre.
    fn rank(&self, key: u64, count: usize) -> Vec<&'a Entry> {
        let mut ranked: Vec<(Weight<'a>, &Entry)> =
            self.nodes.iter().map(|node| (weigh(key, node), node.entry)).collect();
        ranked.sort_unstable_by(|one, other| other.0.cmp(&one.0));
        let most = count.div_ceil(self.data_centres.max(1));
        let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
        let mut holders = Vec::with_capacity(count);
        for (_, entry) in ranked {
            if holders.len() == count {
                break;
            }
            let taken = taken.entry(&entry.data_centre).or_default();
            if *taken < most {
                *taken += 1;
                holders.push(entry);
            }
        }
        holders
    }
}

/// The weight of a node for a key. The fields are compared in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Weight<'a> {
    is_live: bool,
    hash: u64,
    name: &'a str,
}

fn weigh<'a>(key: u64, node: &Candidate<'a>) -> Weight<'a> {
    let Candidate { entry, is_live } = *node;
    Weight { is_live, hash: rendezvous::weigh(key, &entry.name), name: &entry.name }
}
