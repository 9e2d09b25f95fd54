//! Which nodes there are, which of them are heard, and who aggregates whose reports.
//!
//! Few nodes report to each other directly. Many report in groups, so that what a node sends and
//! receives grows only slowly with their number: each node reports to an aggregator of its data
//! centre, aggregators exchange the sums of their groups, and give each node of their group an
//! overview of the whole. Any node may be an aggregator and any may vanish: a node whose aggregator
//! falls silent picks another one by itself.
//!
//! Nothing that has to hold depends on the list being right. A node that hears few others takes
//! part of the limits only (see [`super::quota`]).

mod entry;
mod ranking;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::load::short_id;
use super::quota::Reach;
use crate::{Millis, succession};

pub use self::entry::Entry;

/// The time between two reports while all nodes report to each other.
const PERIOD: Duration = Duration::from_millis(200);
/// The time between two reports in groups: an overview of some hundred bytes each 0.4 s leaves
/// room below the 8 KB/s of docs/CAPACITY.md.
const GROUPED_PERIOD: Duration = Duration::from_millis(400);
/// A node that was heard within this many periods is in reach.
const HEARD_WITHIN_PERIODS: u32 = 5;
/// An aggregator from which a node of its group hears nothing for this many periods is replaced.
const OVERVIEW_WITHIN_PERIODS: u32 = 4;
/// How long an aggregator that fell silent is passed over by a node of its group.
const PASSED_OVER_FOR: Millis = 10_000;
/// A node that was not heard for this long, and of which no other node heard, is gone for good.
const GONE_AFTER: Millis = 60_000;
/// Nodes that are assumed to be there before the list has been read, for a time at most.
const NODES_WHILE_UNLISTED: usize = 100;
const UNLISTED_FOR: Millis = 3_000;
/// Nodes that read the platform's tables for all.
const READERS: usize = 3;
/// Time after its start in which a node hears the others.
const READS_AFTER: Millis = 1_000;
/// Time after its start in which a node knows who is there, even where the list cannot be read.
const SETTLES_WITHIN: Millis = 4_000;
const READERS_KEY: &str = "table readers";
/// How long an entry that is new to a node is passed on: some periods, since messages get lost.
const PASSED_ON_FOR: Millis = 3_000;
/// The most entries that are passed on in one message.
const MOST_PASSED_ON: usize = 24;
/// The most silent nodes that are named in one message.
const MOST_SILENT: usize = 64;

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
pub struct Heard<'a> {
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
    pub all: usize,
}

/// Other nodes, as this node knows them.
#[derive(Debug)]
pub struct Members {
    own: Entry,
    started_at: Millis,
    known: BTreeMap<String, Member>,
    names: BTreeMap<u64, String>,
    seeds: Vec<SocketAddr>,
    is_listed: bool,
    /// Whether the list that was read is not one that nodes still add themselves to.
    is_list_whole: bool,
    holder_heard_at: Option<Millis>,
    /// What this node's aggregator said last, and when.
    overview: Option<(Millis, Overview)>,
    /// Nodes that this node's aggregator says are silent.
    silent_elsewhere: BTreeSet<u64>,
    /// Since when this node has reported to its aggregator.
    member_since: Millis,
    view: View,
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
}

/// What is computed from the list once in each period.
#[derive(Debug, Default)]
struct View {
    at: Millis,
    nodes: usize,
    heard: usize,
    is_grouped: bool,
    /// Whether this node aggregates: it is ranked so, or nodes take it for an aggregator.
    is_aggregating: bool,
    ranking: Ranking,
    /// The nodes that read the platform's tables for all, this one included where it does.
    readers: Vec<String>,
}

/// Who aggregates, which is computed again only where the nodes have changed.
#[derive(Clone, Debug, Default)]
struct Ranking {
    /// Stands for the nodes that it was computed from.
    fingerprint: Option<u64>,
    /// Whether this node is one of the aggregators.
    is_aggregator: bool,
    /// The other aggregators.
    aggregators: Vec<String>,
    /// The aggregator that this node reports to, where it is none itself.
    own_aggregator: Option<String>,
}

impl Members {
    /// Makes a list that holds this node only.
    pub fn new(now: Millis, own: Entry, seeds: &[SocketAddr]) -> Self {
        let mut members = Self {
            own,
            started_at: now,
            known: BTreeMap::new(),
            names: BTreeMap::new(),
            seeds: Vec::new(),
            is_listed: false,
            is_list_whole: false,
            holder_heard_at: None,
            overview: None,
            silent_elsewhere: BTreeSet::new(),
            member_since: now,
            view: View::default(),
        };
        members.add_seeds(seeds);
        members.refresh(now);
        members
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
    pub fn take_list(&mut self, now: Millis, entries: Vec<Entry>, is_whole: bool) {
        self.is_listed = true;
        self.is_list_whole |= is_whole;
        for entry in entries {
            self.add(now, &entry);
        }
        self.refresh(now);
    }

    /// Takes over entries that another node passed on.
    pub fn take_entries(&mut self, now: Millis, entries: &[Entry]) {
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
            }
            return;
        }
        self.names.insert(short_id(&entry.name), entry.name.clone());
        self.known.insert(entry.name.clone(), Member::new(now, entry.clone()));
    }

    /// Takes over what a node says of itself; returns its former incarnation where it has changed.
    pub fn hear(&mut self, now: Millis, heard: &Heard<'_>) -> Option<u64> {
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
        }
        let former = member.incarnation.replace(heard.incarnation);
        member.heard_at = Some(now);
        member.known_at = now;
        member.is_stopping = heard.is_stopping;
        member.role = heard.role;
        member.is_silent = false;
        former.filter(|former| *former != heard.incarnation)
    }

    /// Notes how long ago the holder of the duties was heard of, by another node.
    fn hear_holder(&mut self, now: Millis, age: Option<Millis>) {
        let heard_at = age.and_then(|age| now.checked_sub(age));
        self.holder_heard_at = self.holder_heard_at.max(heard_at);
    }

    /// Takes over which nodes another aggregator hears of its group, and how long ago it heard the
    /// one that has been silent for longest.
    pub fn take_group(&mut self, now: Millis, name: &str, group: Vec<u64>, group_age: Millis) {
        for short in &group {
            let known = self.names.get(short).and_then(|name| self.known.get_mut(name));
            if let Some(known) = known {
                known.known_at = now;
                known.heard_of_at = Some(now);
            }
        }
        if let Some(member) = self.known.get_mut(name) {
            member.group = group;
            member.group_age = group_age;
        }
    }

    /// Takes over what this node's aggregator says of the whole, and which nodes are silent.
    ///
    /// Overviews of other nodes are ignored: this node may have picked another one since.
    pub fn take_overview(&mut self, now: Millis, from: &str, overview: Overview, silent: &[u64]) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.overview = Some((now, overview));
            self.silent_elsewhere = silent.iter().copied().collect();
        }
    }

    /// Computes anew who is in reach and who aggregates, which must be done once in each period.
    pub fn refresh(&mut self, now: Millis) {
        self.expire(now);
        self.note_silent(now);
        self.rank(now);
        let is_aggregating =
            self.view.ranking.is_aggregator || self.iter_group(now).next().is_some();
        let nodes = 1 + self.known.values().filter(|member| !member.is_stopping).count();
        self.view.at = now;
        self.view.nodes = nodes;
        self.view.is_grouped = ranking::is_grouped(nodes);
        self.view.is_aggregating = is_aggregating;
        self.view.heard = self.count_heard(now, is_aggregating);
        self.view.readers = self.list_readers(now, is_aggregating);
    }

    /// Ranks the nodes again where those that may be aggregators have changed.
    fn rank(&mut self, now: Millis) {
        let usable = self.known.values().filter(|member| self.is_usable(member));
        let fingerprint = usable.clone().fold(0, |sum: u64, member| {
            let is_passed_over = u64::from(now < member.passed_over_until);
            let stands_for = member.short.rotate_left(1) ^ u64::from(member.entry.link_mbps);
            sum.wrapping_add(stands_for ^ (is_passed_over << 63))
        });
        if self.view.ranking.fingerprint == Some(fingerprint) {
            return;
        }
        let mut entries: Vec<&Entry> = usable.map(|member| &member.entry).collect();
        entries.push(&self.own);
        let aggregators = ranking::list_aggregators(&entries);
        let is_aggregator = aggregators.iter().any(|entry| entry.name == self.own.name);
        let others: Vec<&Entry> =
            aggregators.into_iter().filter(|entry| entry.name != self.own.name).collect();
        let own_aggregator = match is_aggregator {
            true => None,
            false => self.pick_aggregator(now, &others),
        };
        let aggregators = others.into_iter().map(|entry| entry.name.clone()).collect();
        let fingerprint = Some(fingerprint);
        self.apply(now, Ranking { fingerprint, is_aggregator, aggregators, own_aggregator });
    }

    /// Picks the aggregator that this node reports to: one that did not fall silent lately, where
    /// there is one.
    fn pick_aggregator(&self, now: Millis, aggregators: &[&Entry]) -> Option<String> {
        let is_sound = |entry: &&&Entry| {
            self.known.get(&entry.name).is_some_and(|member| now >= member.passed_over_until)
        };
        let sound: Vec<&Entry> = aggregators.iter().filter(is_sound).copied().collect();
        let among = if sound.is_empty() { aggregators } else { &sound };
        ranking::pick_aggregator(&self.own, among).map(|entry| entry.name.clone())
    }

    fn apply(&mut self, now: Millis, ranking: Ranking) {
        if ranking.own_aggregator != self.view.ranking.own_aggregator {
            self.overview = None;
            self.member_since = now;
        }
        let has_begun = ranking.is_aggregator && !self.view.ranking.is_aggregator;
        let ranked: BTreeSet<&String> = ranking.aggregators.iter().collect();
        for (name, member) in &mut self.known {
            let is_ranked = ranking.is_aggregator && ranked.contains(name);
            let since = member.ranked_since.unwrap_or(now);
            member.ranked_since = is_ranked.then_some(since);
            if has_begun {
                // Until now this node's aggregator kept the list of those that are gone or silent.
                member.known_at = now;
                member.is_silent |= self.silent_elsewhere.contains(&member.short);
            }
        }
        if has_begun {
            self.silent_elsewhere.clear();
        }
        self.view.ranking = ranking;
    }

    /// Forgets nodes that are gone for good. Only aggregators hear of all nodes.
    fn expire(&mut self, now: Millis) {
        if !self.view.is_aggregating {
            return;
        }
        let names = &mut self.names;
        self.known.retain(|_, member| {
            let is_kept = now < member.known_at + GONE_AFTER;
            if !is_kept {
                names.remove(&member.short);
            }
            is_kept
        });
    }

    /// Notes which aggregators have fallen silent.
    fn note_silent(&mut self, now: Millis) {
        let within = self.get_heard_within();
        for member in self.known.values_mut() {
            let expected_since = member.ranked_since.map(|since| since.max(member.entered_at));
            let last = expected_since.max(member.heard_at);
            if expected_since.is_some() && last.is_some_and(|last| now >= last + within) {
                member.is_silent = true;
            }
        }
        let periods = (self.get_period() * OVERVIEW_WITHIN_PERIODS).as_millis() as Millis;
        let last = self.overview.map_or(self.member_since, |(at, _)| at.max(self.member_since));
        if now < last + periods {
            return;
        }
        let own_aggregator = self.view.ranking.own_aggregator.clone();
        let silent = own_aggregator.and_then(|name| self.known.get_mut(&name));
        if let Some(member) = silent {
            member.passed_over_until = now + PASSED_OVER_FOR;
        }
    }

    /// Returns `true` if a node may be an aggregator.
    fn is_usable(&self, member: &Member) -> bool {
        let is_silent = member.is_silent || self.silent_elsewhere.contains(&member.short);
        !member.is_stopping && !is_silent
    }

    fn is_heard(&self, now: Millis, member: &Member) -> bool {
        member.heard_at.is_some_and(|at| now < at + self.get_heard_within())
    }

    fn count_heard(&self, now: Millis, is_aggregator: bool) -> usize {
        let heard = self.known.values().filter(|m| !m.is_stopping && self.is_heard(now, m));
        if is_aggregator {
            let through: usize = heard.clone().map(|member| member.group.len()).sum();
            // A node that has just turned to another aggregator may be in two groups.
            return (1 + heard.count() + through).min(self.view.nodes);
        }
        let overview = self.overview.filter(|(at, _)| now < at + self.get_heard_within());
        overview.map_or(1, |(_, overview)| overview.heard.max(1))
    }

    /// Lists the readers: of the aggregators that are heard, those with the widest links, which have
    /// to send what they read to all, the first in rendezvous order. A node that is no aggregator
    /// assumes those that it ranks.
    fn list_readers(&self, now: Millis, is_aggregator: bool) -> Vec<String> {
        let others = self.view.ranking.aggregators.iter().filter_map(|name| self.known.get(name));
        let alive = others.filter(|member| !is_aggregator || self.is_heard(now, member));
        let mut alive: Vec<&Entry> = alive.map(|member| &member.entry).collect();
        if is_aggregator {
            alive.push(&self.own);
        }
        let ordered = ranking::order_by_link(READERS_KEY, alive).into_iter();
        ordered.take(READERS).map(|entry| entry.name.clone()).collect()
    }

    /// Returns the time between two reports.
    pub fn get_period(&self) -> Duration {
        if self.view.is_grouped { GROUPED_PERIOD } else { PERIOD }
    }

    fn get_heard_within(&self) -> Millis {
        (self.get_period() * HEARD_WITHIN_PERIODS).as_millis() as Millis
    }

    /// Returns how many nodes there may be and how many of them are heard, this one included. One
    /// that was listed and not heard yet may be serving. A node that has just started and has not
    /// read the list yet assumes that many others are there.
    ///
    /// A node that has not computed this for some periods, because it slept, hears nobody.
    pub fn get_reach(&self, now: Millis) -> Reach {
        let known = match self.overview {
            Some((_, overview)) if !self.view.is_aggregating => overview.all,
            _ => self.view.nodes + self.count_unknown_seeds(),
        };
        let is_unlisted = !self.is_listed && now < self.started_at + UNLISTED_FOR;
        let is_recent = now < self.view.at + self.get_heard_within();
        Reach {
            heard: if is_recent { self.view.heard } else { 1 },
            all: if is_unlisted { known.max(NODES_WHILE_UNLISTED) } else { known },
            period: self.get_delay().as_millis() as Millis,
            is_grouped: self.view.is_grouped,
        }
    }

    /// Returns how long a report may take to reach all nodes: in groups it passes two aggregators.
    pub fn get_delay(&self) -> Duration {
        if self.view.is_grouped { GROUPED_PERIOD * 3 } else { PERIOD }
    }

    fn count_unknown_seeds(&self) -> usize {
        let is_known = |seed: &SocketAddr| self.known.values().any(|m| m.entry.address == *seed);
        self.seeds.iter().filter(|seed| !is_known(seed)).count()
    }

    /// Returns what an aggregator says of the whole.
    pub fn get_overview(&self) -> Overview {
        Overview { heard: self.view.heard, all: self.view.nodes }
    }

    /// Returns `true` if nodes report in groups.
    pub fn is_grouped(&self) -> bool {
        self.view.is_grouped
    }

    /// Returns `true` if this node is an aggregator, or nodes take it for one and report to it.
    pub fn is_aggregator(&self) -> bool {
        self.view.is_aggregating
    }

    /// Returns the aggregator that this node reports to, where it is none itself.
    pub fn get_own_aggregator(&self) -> Option<&Entry> {
        if self.view.is_aggregating {
            return None;
        }
        let name = self.view.ranking.own_aggregator.as_ref()?;
        self.known.get(name).map(|member| &member.entry)
    }

    /// Lists the nodes that report to this one.
    pub fn iter_group(&self, now: Millis) -> impl Iterator<Item = &Entry> {
        let within = self.get_heard_within();
        let members = self.known.values().filter(|member| member.role == Role::Member);
        let heard = members.filter(move |m| m.heard_at.is_some_and(|at| now < at + within));
        heard.map(|member| &member.entry)
    }

    /// Returns the short names of the nodes that report to this one, and how long ago the one was
    /// heard that has been silent for longest.
    pub fn get_group(&self, now: Millis) -> (Vec<u64>, Millis) {
        let group: Vec<&Entry> = self.iter_group(now).collect();
        let heard_at = group.iter().filter_map(|entry| self.known.get(&entry.name)?.heard_at);
        let age = heard_at.min().map_or(0, |at| now.saturating_sub(at));
        (group.into_iter().map(|entry| short_id(&entry.name)).collect(), age)
    }

    /// Lists the nodes with which this aggregator exchanges sums: the others, and those that say
    /// that they are aggregators; all addresses of the settings that are not known yet, too.
    pub fn list_exchange(&self, now: Millis) -> Vec<SocketAddr> {
        let within = self.get_heard_within();
        let says_so = self.known.iter().filter(|(_, member)| {
            member.role == Role::Aggregator && member.heard_at.is_some_and(|at| now < at + within)
        });
        // Those that are silent too: a cut between two nodes ends only where one goes on to send.
        let silent = self.known.iter().filter(|(_, member)| member.is_silent);
        let others = says_so.chain(silent).map(|(name, _)| name);
        let names: BTreeSet<&String> = self.view.ranking.aggregators.iter().chain(others).collect();
        let known = names.into_iter().filter_map(|name| self.known.get(name));
        let mut addresses: Vec<SocketAddr> = known.map(|member| member.entry.address).collect();
        for seed in &self.seeds {
            if !self.known.values().any(|member| member.entry.address == *seed) {
                addresses.push(*seed);
            }
        }
        addresses
    }

    /// Lists some of the entries that were new to this node lately, for others; `random` draws them.
    pub fn list_joined(&self, now: Millis, random: u64) -> Vec<Entry> {
        let recent = self.known.values().filter(|member| now < member.entered_at + PASSED_ON_FOR);
        let mut recent: Vec<&Member> = recent.collect();
        recent.sort_unstable_by_key(|member| member.short ^ random);
        recent.truncate(MOST_PASSED_ON);
        recent.into_iter().map(|member| member.entry.clone()).collect()
    }

    /// Lists the aggregators that this one expected to hear and did not, by short name.
    pub fn list_silent(&self) -> Vec<u64> {
        let silent = self.known.iter().filter(|(_, member)| member.is_silent);
        silent.take(MOST_SILENT).map(|(_, member)| member.short).collect()
    }

    /// Returns `true` if a node that may be serving, and that reported to this one, was not heard
    /// since a time: neither by this node nor by another aggregator.
    pub fn is_any_unheard_since(&self, now: Millis, since: Millis) -> bool {
        let serving = self.known.values().filter(|member| !member.is_stopping);
        let mut reporting = serving.filter_map(|member| Some((member, member.heard_at?)));
        reporting.any(|(member, heard_at)| {
            let is_gone = now >= heard_at + GONE_AFTER;
            let was_heard_elsewhere = member.heard_of_at.is_some_and(|at| at > heard_at);
            !is_gone && !was_heard_elsewhere && heard_at < since + member.group_age
        })
    }

    /// Returns `true` if a node that holds the duties was heard of within a time.
    pub fn is_holder_heard(&self, now: Millis, within: Millis) -> bool {
        self.get_holder_age(now).is_some_and(|age| age < within)
    }

    /// Returns how long ago the holder of the duties was heard of.
    pub fn get_holder_age(&self, now: Millis) -> Option<Millis> {
        self.holder_heard_at.map(|at| now.saturating_sub(at))
    }

    /// Returns `true` if this node knows who else is there. One that has just started takes itself
    /// for the first of all until it hears the others.
    pub fn is_settled(&self, now: Millis) -> bool {
        let least = if self.is_list_whole { READS_AFTER } else { SETTLES_WITHIN };
        now >= self.started_at + least
    }

    /// Returns `true` if this node reads the platform's tables for all: one of a few, by an order
    /// that all nodes which hear each other share.
    pub fn is_reader(&self, now: Millis) -> bool {
        self.is_settled(now) && self.view.readers.contains(&self.own.name)
    }

    /// Lists the addresses of the other nodes that read the platform's tables for all.
    pub fn get_readers(&self) -> Vec<SocketAddr> {
        let readers = self.view.readers.iter().filter_map(|name| self.known.get(name));
        readers.map(|member| member.entry.address).collect()
    }

    /// Lists the addresses of the nodes that were heard lately.
    pub fn get_heard(&self, now: Millis) -> Vec<SocketAddr> {
        let heard = self.known.values().filter(|member| self.is_heard(now, member));
        heard.map(|member| member.entry.address).collect()
    }

    /// Lists the addresses of the nodes of this node's group.
    pub fn get_group_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        self.iter_group(now).map(|entry| entry.address).collect()
    }

    /// Finds which aggregator keeps the load of a server; `None` where this node does itself.
    pub fn find_load_owner(&self, server: u64) -> Option<SocketAddr> {
        let own = self.view.ranking.is_aggregator.then_some(self.own.name.as_str());
        let names = self.view.ranking.aggregators.iter().map(String::as_str).chain(own);
        let owner = succession::owner_of_number(server, names)?;
        self.known.get(owner).map(|member| member.entry.address)
    }
}

impl Member {
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
            is_stopping: false,
            passed_over_until: 0,
            ranked_since: None,
            is_silent: false,
            group: Vec::new(),
            group_age: 0,
        }
    }
}
