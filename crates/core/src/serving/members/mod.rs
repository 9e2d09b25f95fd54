//! Cluster membership: which nodes exist, which of them are heard, and which aggregate reports.
//!
//! A node is *heard* while its reports arrive, here or at an aggregator.
//!
//! In a small cluster all nodes report to each other directly. In a large one they report in
//! groups, so that the traffic of a node grows only slowly with the number of nodes. Each node
//! reports to an aggregator of its data centre. Aggregators exchange the sums of their groups, and
//! send an overview of the cluster to each node of their group. Any node may be an aggregator, and
//! any may fail: a node whose aggregator falls silent picks another one by itself.
//!
//! If the groups span several regions, aggregators exchange sums only within their region. To each
//! other region, an aggregator sends its summary to one of two carriers in turn. The carriers are
//! two aggregators of that region, and forward the summary there unchanged. A region of which no
//! node is heard is unreachable. Meanwhile its nodes aggregate nothing and own nothing, but still
//! count as serving. If the connection between two regions fails in one direction only, the region
//! that misses summaries reports that in its own summaries, and the other region ignores those. Thus
//! either both regions reach each other or neither does, and they never both admit what the other
//! one's nodes use.
//!
//! No guarantee depends on a correct membership list. A node that hears few others uses only a
//! part of the limits (see [`super::quota`]).
//!
//! | module | responsibility |
//! |---|---|
//! | this one | records what other nodes send |
//! | `ranking` | orders nodes and selects the aggregators |
//! | `view` | computes once per period which nodes are reachable and which aggregate |
//! | `query` | answers queries of senders and deciders |
//! | `owner` | finds the aggregator that tracks the load of a server |
//! | `holders` | finds the nodes that hold the record of a stream's origin |
//! | `regions` | detects unreachable regions and selects the carriers between regions |
//! | `roster` | synchronises the list of all nodes |
//! | `sample` | finds some nodes, and estimates their number, at startup |
//! | `timestamp` | orders the messages of a node |

mod entry;
mod holders;
mod owner;
mod query;
mod ranking;
mod regions;
mod roster;
pub mod sample;
mod timestamp;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::load::short_id;
use super::topology::Topology;
use crate::Millis;

pub use self::entry::Entry;
pub use self::holders::HolderRanking;
pub use self::owner::LoadOwner;
pub use self::regions::RemoteSender;
pub use self::roster::{RosterDelta, RosterEntry, RosterSummary};
pub use self::timestamp::Timestamp;

use self::roster::CopyProgress;
use self::view::View;

/// A node that neither this node nor any other heard for this long has left permanently.
const GONE_TIMEOUT_MS: Millis = 60_000;

/// The role of a node in the exchange of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The node exchanges sums with the other aggregators.
    Aggregator,
    /// The node reports to an aggregator.
    Member,
}

/// The state that a node sends with each message.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// The description of the node.
    pub entry: &'a Entry,
    /// The incarnation of the node; a new one counts from zero.
    pub incarnation: u64,
    /// Whether the node is shutting down.
    pub is_stopping: bool,
    /// Its role in the exchange of reports.
    pub role: Role,
    /// Milliseconds since the duty holder was heard of, if that was recent.
    pub holder_age: Option<Millis>,
}

/// The overview of the cluster that an aggregator sends to the nodes of its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// Nodes that the aggregators hear, including themselves.
    pub heard: usize,
    /// Nodes that may be serving.
    pub known: usize,
}

/// The other nodes of the cluster, as this node knows them.
#[derive(Debug)]
pub struct Members {
    own: Entry,
    topology: Arc<Topology>,
    started_at: Millis,
    known: BTreeMap<String, Member>,
    names: BTreeMap<u64, String>,
    seeds: Vec<SocketAddr>,
    is_listed: bool,
    /// The number of nodes estimated from a sample of the list, and the time of the estimate.
    estimated: Option<(Millis, usize)>,
    /// Whether a list was read that all nodes had time to join.
    is_list_whole: bool,
    holder_heard_at: Option<Millis>,
    /// When a node was last found to have restarted.
    restarted_at: Option<Millis>,
    /// The last overview of this node's aggregator, and when it arrived.
    overview: Option<(Millis, Overview)>,
    /// Nodes that this node's aggregator reports as silent, by short name.
    silent_by_aggregator: BTreeSet<u64>,
    /// When this node began to report to its current aggregator.
    member_since: Millis,
    /// Regions from which no node is heard.
    unreachable_regions: BTreeSet<String>,
    /// When this node became an aggregator, which hears the other regions.
    aggregating_since: Option<Millis>,
    /// How long summaries of other regions take.
    transit: Transit,
    /// The version of this node's list: how many entries were added or changed.
    version: u64,
    /// When this node last requested the list of another node.
    roster_requested_at: Option<Millis>,
    /// The aggregators according to this node's own aggregator, by short name.
    adopted: Option<Vec<u64>>,
    view: View,
}

/// How long summaries of other regions take, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Transit {
    /// The time between two summaries of an aggregator.
    period: Millis,
    /// The one-way delay from the farthest region.
    one_way: Millis,
}

#[derive(Debug)]
struct Member {
    entry: Entry,
    /// The short form of its name.
    short: u64,
    incarnation: Option<u64>,
    role: Role,
    /// When this node last heard it directly.
    heard_at: Option<Millis>,
    /// When another aggregator last reported that it hears it.
    reported_heard_at: Option<Millis>,
    /// When it was last listed, heard, or reported as heard.
    known_at: Millis,
    /// When this node learned of this entry.
    entered_at: Millis,
    /// The version of this node's list that added this entry.
    added_in_version: u64,
    /// How much of its list this node has copied.
    copied: CopyProgress,
    is_stopping: bool,
    avoided_until: Millis,
    /// When it became an aggregator that is expected to exchange sums with this node.
    ranked_since: Option<Millis>,
    /// Whether it was expected to be heard and was not.
    is_silent: bool,
    /// The nodes of its group, by short name, if it is an aggregator.
    group: Vec<u64>,
    /// Milliseconds since it last heard the node of its group that has been silent for longest.
    group_age: Millis,
    /// When its newest summary was sent, if it is in another region.
    newest: Option<Timestamp>,
    /// When its newest summary arrived from another region, even if the summary was ignored.
    crossed_at: Option<Millis>,
}

impl Members {
    /// Creates a list that contains only this node.
    pub fn new(now: Millis, own: Entry, seeds: &[SocketAddr]) -> Self {
        let mut members = Self {
            own,
            topology: Arc::default(),
            started_at: now,
            known: BTreeMap::new(),
            names: BTreeMap::new(),
            seeds: Vec::new(),
            is_listed: false,
            estimated: None,
            is_list_whole: false,
            holder_heard_at: None,
            restarted_at: None,
            overview: None,
            silent_by_aggregator: BTreeSet::new(),
            member_since: now,
            unreachable_regions: BTreeSet::new(),
            aggregating_since: None,
            transit: Transit::default(),
            version: 0,
            roster_requested_at: None,
            adopted: None,
            view: View::default(),
        };
        members.add_seeds(seeds);
        members.refresh(now);
        members
    }

    /// Sets the regions of the nodes. Without this call, all nodes are in one region.
    pub fn with_topology(self, topology: Arc<Topology>) -> Self {
        let mut members = Self { topology, ..self };
        // Forces a new ranking, by region, at the next refresh.
        members.view.ranking.fingerprint = None;
        members
    }

    /// Returns the regions of the nodes.
    pub fn get_topology(&self) -> &Topology {
        &self.topology
    }

    /// Adds addresses at which nodes may listen.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.own.address && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Merges the list of all nodes.
    ///
    /// `is_whole` is `true` if nodes that started together with this one had time to add themselves
    /// to the list.
    pub fn merge_list(&mut self, now: Millis, entries: Vec<Entry>, is_whole: bool) {
        self.is_listed = true;
        self.is_list_whole |= is_whole;
        for entry in entries {
            self.add(now, &entry);
        }
        self.refresh(now);
    }

    /// Merges entries received from another node.
    pub fn merge_entries(&mut self, now: Millis, entries: &[Entry]) {
        for entry in entries {
            self.add(now, entry);
        }
    }

    /// Adds a node, or notes that it is still listed.
    ///
    /// An entry with another address replaces the known one only if that node is not heard.
    fn add(&mut self, now: Millis, entry: &Entry) {
        if entry.name == self.own.name {
            return;
        }
        let timeout = self.get_heard_timeout();
        let known = self.known.get_mut(&entry.name);
        if let Some(known) = known {
            known.known_at = now;
            let is_heard = known.heard_at.is_some_and(|at| now < at + timeout);
            if known.entry != *entry && !is_heard {
                known.entry = entry.clone();
                known.entered_at = now;
                // Another process, whose predecessor may have been shut down.
                known.is_stopping = false;
                self.version += 1;
                known.added_in_version = self.version;
            }
            return;
        }
        self.version += 1;
        let member = Member { added_in_version: self.version, ..Member::new(now, entry.clone()) };
        self.names.insert(member.short, entry.name.clone());
        self.known.insert(entry.name.clone(), member);
    }

    /// Records the heartbeat of a node and returns its former incarnation if the node has
    /// restarted.
    pub fn record_heartbeat(&mut self, now: Millis, heard: &Heartbeat<'_>) -> Option<u64> {
        let name = &heard.entry.name;
        if *name == self.own.name {
            return None;
        }
        self.record_duty_holder(now, heard.holder_age);
        if !self.known.contains_key(name) {
            self.add(now, heard.entry);
        }
        let member = self.known.get_mut(name)?;
        if member.entry != *heard.entry {
            member.entry = heard.entry.clone();
            member.entered_at = now;
            self.version += 1;
            member.added_in_version = self.version;
        }
        let former = member.incarnation.replace(heard.incarnation);
        member.heard_at = Some(now);
        member.known_at = now;
        member.is_stopping = heard.is_stopping;
        member.role = heard.role;
        member.is_silent = false;
        let restarted = former.filter(|former| *former != heard.incarnation);
        if restarted.is_some() {
            self.restarted_at = Some(now);
        }
        restarted
    }

    /// Records how long ago another node heard of the duty holder.
    fn record_duty_holder(&mut self, now: Millis, age: Option<Millis>) {
        let heard_at = age.and_then(|age| now.checked_sub(age));
        self.holder_heard_at = self.holder_heard_at.max(heard_at);
    }

    /// Records which nodes of its group another aggregator hears, and how long ago it heard the one
    /// that has been silent for longest.
    pub fn record_group(&mut self, now: Millis, name: &str, group: Vec<u64>, group_age: Millis) {
        for short in &group {
            let known = self.names.get(short).and_then(|name| self.known.get_mut(name));
            if let Some(known) = known {
                known.known_at = now;
                known.reported_heard_at = Some(now);
            }
        }
        if let Some(member) = self.known.get_mut(name) {
            // A summary from another region is older than its sender states, by the transit time.
            let is_local = self.topology.is_local(&member.entry.data_centre);
            let transit = if is_local { 0 } else { 2 * self.transit.one_way };
            member.group = group;
            member.group_age = group_age + transit;
        }
    }

    /// Applies the overview of this node's aggregator, and the list of silent nodes.
    ///
    /// Overviews from other nodes are ignored, because this node may have picked another aggregator
    /// since.
    pub fn apply_overview(&mut self, now: Millis, from: &str, overview: Overview, silent: &[u64]) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.overview = Some((now, overview));
            self.silent_by_aggregator = silent.iter().copied().collect();
        }
    }
}

impl Members {
    /// Adopts the aggregators that this node's aggregator ranks.
    ///
    /// A node of a group hears no other node directly. With the same aggregators as the one that it
    /// reports to, it finds the same owners.
    pub fn follow_aggregators(&mut self, from: &str, aggregators: Vec<u64>) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.adopted = Some(aggregators);
        }
    }

    /// Lists the aggregators, including this node if it is one, by short name.
    pub fn list_aggregator_ids(&self) -> Vec<u64> {
        self.view.ranking.ranked.clone()
    }
}

impl Member {
    fn is_heard_within(&self, now: Millis, timeout: Millis) -> bool {
        self.heard_at.is_some_and(|at| now < at + timeout)
    }

    fn new(now: Millis, entry: Entry) -> Self {
        Self {
            short: short_id(&entry.name),
            entry,
            incarnation: None,
            role: Role::Aggregator,
            heard_at: None,
            reported_heard_at: None,
            known_at: now,
            entered_at: now,
            added_in_version: 0,
            copied: CopyProgress::default(),
            is_stopping: false,
            avoided_until: 0,
            ranked_since: None,
            is_silent: false,
            group: Vec::new(),
            group_age: 0,
            newest: None,
            crossed_at: None,
        }
    }
}
