//! Which nodes there are, which of them are heard, and who aggregates whose reports.
//!
//! Few nodes report to each other directly. Many report in groups, so that what a node sends and
//! receives grows only slowly with their number: each node reports to an aggregator of its data
//! centre, aggregators exchange the sums of their groups, and give each node of their group an
//! overview of the whole. Any node may be an aggregator and any may vanish: a node whose aggregator
//! falls silent picks another one by itself.
//!
//! Where the groups stand in several regions, aggregators exchange sums within their region. To each
//! other region an aggregator sends its summary to one of two carriers by turns, which are two of the
//! aggregators there, and these pass it on in their region as it came. A region of which nobody is
//! heard is out of reach: its nodes aggregate and own nothing meanwhile, and count as serving for as
//! long as that lasts. Where only one way between two regions is cut, the region whose summaries still
//! arrive says so in them, and they are not taken over: either both regions hear each other or neither
//! does, and never do both admit what the other one's nodes use.
//!
//! Nothing that has to hold depends on the list being right. A node that hears few others takes
//! part of the limits only (see [`super::quota`]).
//!
//! | module | does |
//! |---|---|
//! | this one | takes over what is heard |
//! | `ranking` | orders nodes, and says which of them aggregate |
//! | `view` | computes once in each period who is in reach and who aggregates |
//! | `query` | answers those who send and decide |
//! | `owner` | says which aggregator keeps the load of a server |
//! | `regions` | says which regions are out of reach and who carries what crosses between them |
//! | `roster` | spreads the list of all nodes |
//! | `sample` | finds some nodes and their number at a start |

mod entry;
mod owner;
mod query;
mod ranking;
mod regions;
mod roster;
pub mod sample;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::load::short_id;
use super::topology::Topology;
use crate::Millis;

pub use self::entry::Entry;
pub use self::owner::LoadOwner;
pub use self::roster::{RosterDelta, RosterEntry, RosterSummary};

use self::roster::Copied;
use self::view::View;

/// A node that was not heard for this long, and of which no other node heard, is gone for good.
const GONE_AFTER: Millis = 60_000;

/// How a node takes part in the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It exchanges sums with the other aggregators.
    Aggregator,
    /// It reports to an aggregator.
    Member,
}

/// What a node says of itself in a message.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// What it says of itself.
    pub entry: &'a Entry,
    /// Its incarnation: another one counts anew.
    pub incarnation: u64,
    /// Whether it is about to end.
    pub is_stopping: bool,
    /// How it takes part.
    pub role: Role,
    /// Milliseconds since the holder of the duties was heard of, if lately.
    pub holder_age: Option<Millis>,
}

/// What an aggregator says of the whole to the nodes of its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// Nodes that the aggregators hear, themselves included.
    pub heard: usize,
    /// Nodes that may be serving.
    pub known: usize,
}

/// Other nodes, as this node knows them.
#[derive(Debug)]
pub struct Members {
    own: Entry,
    topology: Arc<Topology>,
    started_at: Millis,
    known: BTreeMap<String, Member>,
    names: BTreeMap<u64, String>,
    seeds: Vec<SocketAddr>,
    is_listed: bool,
    /// How many nodes a sample of the list showed, and when.
    estimated: Option<(Millis, usize)>,
    /// Whether the list that was read is not one that nodes still add themselves to.
    is_list_whole: bool,
    holder_heard_at: Option<Millis>,
    /// When a node was last found to have started again.
    replaced_at: Option<Millis>,
    /// What this node's aggregator said last, and when.
    overview: Option<(Millis, Overview)>,
    /// Nodes that this node's aggregator says are silent.
    silent_elsewhere: BTreeSet<u64>,
    /// Since when this node has reported to its aggregator.
    member_since: Millis,
    /// Regions of which nobody is heard.
    lost_regions: BTreeSet<String>,
    /// Since when this node has aggregated, and so hears of the other regions.
    aggregating_since: Option<Millis>,
    /// How long messages of other regions take.
    transit: Transit,
    /// How many entries were added or have changed.
    additions: u64,
    /// When this node last asked another one for its list.
    roster_asked_at: Option<Millis>,
    /// The aggregators by the count of this node's own aggregator, by short name.
    followed: Option<Vec<u64>>,
    view: View,
}

/// How long summaries of other regions take, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Transit {
    /// The time between two summaries of an aggregator.
    period: Millis,
    /// The way from the farthest region, one way.
    way: Millis,
}

#[derive(Debug)]
struct Member {
    entry: Entry,
    /// The short form of its name.
    short: u64,
    incarnation: Option<u64>,
    role: Role,
    /// When it was last heard directly.
    heard_at: Option<Millis>,
    /// When an aggregator last said that it hears it.
    heard_of_at: Option<Millis>,
    /// When it was last listed, heard, or heard of.
    known_at: Millis,
    /// When this node first knew of this entry.
    entered_at: Millis,
    /// The count of this node's additions with this entry.
    added_in: u64,
    /// Its list of nodes, and what this node has got of it.
    copied: Copied,
    is_stopping: bool,
    passed_over_until: Millis,
    /// Since when it has been expected to exchange sums with this node.
    ranked_since: Option<Millis>,
    /// Whether it was expected to be heard and was not.
    is_silent: bool,
    /// Nodes of its group, by short name, where it is an aggregator.
    group: Vec<u64>,
    /// Milliseconds since the node of its group was heard that has been silent for longest.
    group_age: Millis,
    /// The run of its process and the time there of its newest summary, where it stands in another
    /// region.
    newest: Option<(u32, Millis)>,
    /// When its newest summary crossed from another region, whether it was taken over or not.
    crossed_at: Option<Millis>,
}

impl Members {
    /// Makes a list that holds this node only.
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
            replaced_at: None,
            overview: None,
            silent_elsewhere: BTreeSet::new(),
            member_since: now,
            lost_regions: BTreeSet::new(),
            aggregating_since: None,
            transit: Transit::default(),
            additions: 0,
            roster_asked_at: None,
            followed: None,
            view: View::default(),
        };
        members.add_seeds(seeds);
        members.refresh(now);
        members
    }

    /// Sets the regions that the nodes stand in; without this, all stand in one.
    pub fn with_topology(self, topology: Arc<Topology>) -> Self {
        let mut members = Self { topology, ..self };
        // Ranked anew at the next refresh, by the regions.
        members.view.ranking.fingerprint = None;
        members
    }

    /// Returns the regions that the nodes stand in.
    pub fn get_topology(&self) -> &Topology {
        &self.topology
    }

    /// Adds addresses at which a node may listen.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.own.address && !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Takes over the list of all nodes; `is_whole` where those that started together with this one
    /// had the time to add themselves.
    pub fn merge_list(&mut self, now: Millis, entries: Vec<Entry>, is_whole: bool) {
        self.is_listed = true;
        self.is_list_whole |= is_whole;
        for entry in entries {
            self.add(now, &entry);
        }
        self.refresh(now);
    }

    /// Takes over entries that another node passed on.
    pub fn merge_entries(&mut self, now: Millis, entries: &[Entry]) {
        for entry in entries {
            self.add(now, entry);
        }
    }

    /// Adds a node, or notes that it is still listed. An entry at another address replaces an
    /// earlier one only where that node is not heard.
    fn add(&mut self, now: Millis, entry: &Entry) {
        if entry.name == self.own.name {
            return;
        }
        let within = self.get_heard_within();
        let known = self.known.get_mut(&entry.name);
        if let Some(known) = known {
            known.known_at = now;
            let is_heard = known.heard_at.is_some_and(|at| now < at + within);
            if known.entry != *entry && !is_heard {
                known.entry = entry.clone();
                known.entered_at = now;
                self.additions += 1;
                known.added_in = self.additions;
            }
            return;
        }
        self.additions += 1;
        let member = Member { added_in: self.additions, ..Member::new(now, entry.clone()) };
        self.names.insert(member.short, entry.name.clone());
        self.known.insert(entry.name.clone(), member);
    }

    /// Takes over what a node says of itself; returns its former incarnation where it has changed.
    pub fn record_heartbeat(&mut self, now: Millis, heard: &Heartbeat<'_>) -> Option<u64> {
        let name = &heard.entry.name;
        if *name == self.own.name {
            return None;
        }
        self.hear_holder(now, heard.holder_age);
        if !self.known.contains_key(name) {
            self.add(now, heard.entry);
        }
        let member = self.known.get_mut(name)?;
        if member.entry != *heard.entry {
            member.entry = heard.entry.clone();
            member.entered_at = now;
            self.additions += 1;
            member.added_in = self.additions;
        }
        let former = member.incarnation.replace(heard.incarnation);
        member.heard_at = Some(now);
        member.known_at = now;
        member.is_stopping = heard.is_stopping;
        member.role = heard.role;
        member.is_silent = false;
        let replaced = former.filter(|former| *former != heard.incarnation);
        if replaced.is_some() {
            self.replaced_at = Some(now);
        }
        replaced
    }

    /// Notes how long ago the holder of the duties was heard of, by another node.
    fn hear_holder(&mut self, now: Millis, age: Option<Millis>) {
        let heard_at = age.and_then(|age| now.checked_sub(age));
        self.holder_heard_at = self.holder_heard_at.max(heard_at);
    }

    /// Takes over which nodes another aggregator hears of its group, and how long ago it heard the
    /// one that has been silent for longest.
    pub fn record_group(&mut self, now: Millis, name: &str, group: Vec<u64>, group_age: Millis) {
        for short in &group {
            let known = self.names.get(short).and_then(|name| self.known.get_mut(name));
            if let Some(known) = known {
                known.known_at = now;
                known.heard_of_at = Some(now);
            }
        }
        if let Some(member) = self.known.get_mut(name) {
            // What crossed is older than its sender says, by the time on the way.
            let is_near = self.topology.is_local(&member.entry.data_centre);
            let way = if is_near { 0 } else { 2 * self.transit.way };
            member.group = group;
            member.group_age = group_age + way;
        }
    }

    /// Takes over what this node's aggregator says of the whole, and which nodes are silent.
    ///
    /// Overviews of other nodes are ignored: this node may have picked another one since.
    pub fn apply_overview(&mut self, now: Millis, from: &str, overview: Overview, silent: &[u64]) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.overview = Some((now, overview));
            self.silent_elsewhere = silent.iter().copied().collect();
        }
    }
}

impl Members {
    /// Takes over which nodes this node's aggregator ranks as aggregators.
    ///
    /// A node of a group hears of no other node by itself. With the same aggregators as the one that it
    /// reports to, it finds the same owners.
    pub fn follow_aggregators(&mut self, from: &str, aggregators: Vec<u64>) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.followed = Some(aggregators);
        }
    }

    /// Lists the aggregators that this one ranks, itself included, by short name.
    pub fn list_aggregator_ids(&self) -> Vec<u64> {
        self.view.ranking.ranked.clone()
    }
}

impl Member {
    fn is_heard_within(&self, now: Millis, within: Millis) -> bool {
        self.heard_at.is_some_and(|at| now < at + within)
    }

    fn new(now: Millis, entry: Entry) -> Self {
        Self {
            short: short_id(&entry.name),
            entry,
            incarnation: None,
            role: Role::Aggregator,
            heard_at: None,
            heard_of_at: None,
            known_at: now,
            entered_at: now,
            added_in: 0,
            copied: Copied::default(),
            is_stopping: false,
            passed_over_until: 0,
            ranked_since: None,
            is_silent: false,
            group: Vec::new(),
            group_age: 0,
            newest: None,
            crossed_at: None,
        }
    }
}
