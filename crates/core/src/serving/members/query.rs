//! What the list of members says to those who send and decide.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::entry::Entry;
use super::{GONE_AFTER, Member, Members, Overview, Role};
use crate::serving::load::short_id;
use crate::serving::quota::Reachability;
use crate::{Millis, rendezvous};

/// The time between two reports. In groups a report passes two aggregators on its way: with 0.4 s a
/// client account that suddenly sent six times its limit exceeded the operator's tolerance.
pub(super) const PERIOD: Duration = Duration::from_millis(200);
/// How many periods a report may take to reach all nodes in groups.
const GROUPED_PERIODS: u32 = 3;
/// A node that was heard within this many periods is in reach.
const HEARD_WITHIN_PERIODS: u32 = 5;
/// The same in groups, where each node hears one other only.
const HEARD_WITHIN_PERIODS_GROUPED: u32 = 10;
/// Nodes that are assumed to be there before the list has been read, for a time at most.
const NODES_WHILE_UNLISTED: usize = 100;
const UNLISTED_FOR: Millis = 3_000;
/// Time after its start in which a node hears the others.
const READS_AFTER: Millis = 1_000;
/// Time after its start in which a node knows who is there, even where the list cannot be read.
const SETTLES_WITHIN: Millis = 4_000;
/// How long an entry that is new to a node is passed on: 300 that are new at once take thirteen
/// messages of 0.4 s each, and some of these get lost.
const PASSED_ON_FOR: Millis = 10_000;
/// Turns of reports in which one known entry is repeated: a node that missed all messages about another
/// one learns of it all the same. With one entry a second from each of seven aggregators a list of 44
/// nodes is through in some 7 s; it costs some 60 bytes in every fifth message.
const REPEAT_TURNS: usize = 5;
/// The most entries that are passed on in one message.
const MOST_PASSED_ON: usize = 24;
/// The most silent nodes that are named in one message.
const MOST_SILENT: usize = 64;

impl Members {
    /// Returns the time between two reports.
    pub fn get_period(&self) -> Duration {
        PERIOD
    }

    pub(super) fn get_heard_within(&self) -> Millis {
        let periods = match self.view.is_grouped {
            true => HEARD_WITHIN_PERIODS_GROUPED,
            false => HEARD_WITHIN_PERIODS,
        };
        (PERIOD * periods).as_millis() as Millis
    }

    /// Returns how many nodes there may be and how many of them are heard, this one included. One
    /// that was listed and not heard yet may be serving. A node that has just started and has not
    /// read the list yet assumes that many others are there.
    ///
    /// A node that has not computed this for some periods, because it slept, hears nobody.
    pub fn get_reachability(&self, now: Millis) -> Reachability {
        let known = match self.overview {
            Some((_, overview)) if !self.view.is_aggregating => overview.known,
            _ => self.view.nodes + self.count_unknown_seeds(),
        };
        let known = self.correct_count(now, known);
        let is_unlisted = !self.is_listed && now < self.started_at + UNLISTED_FOR;
        let is_recent = now < self.view.at + self.get_heard_within();
        Reachability {
            heard: if is_recent { self.view.heard } else { 1 },
            known: if is_unlisted { known.max(NODES_WHILE_UNLISTED) } else { known },
            report_delay: self.get_report_delay().as_millis() as Millis,
            is_grouped: self.view.is_grouped,
        }
    }

    /// Returns how long a report may take to reach all nodes: in groups it passes two aggregators.
    ///
    /// Between regions the second of them sends less often, and the way counts too.
    pub fn get_report_delay(&self) -> Duration {
        let within = if self.view.is_grouped { PERIOD * GROUPED_PERIODS } else { PERIOD };
        within + self.get_transit_delay()
    }

    fn count_unknown_seeds(&self) -> usize {
        let is_known = |seed: &SocketAddr| self.known.values().any(|m| m.entry.address == *seed);
        self.seeds.iter().filter(|seed| !is_known(seed)).count()
    }

    /// Returns what an aggregator says of the whole.
    pub fn get_overview(&self) -> Overview {
        Overview { heard: self.view.heard, known: self.view.nodes }
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
    /// that they are aggregators; all addresses of the settings that are not known yet, too. Where
    /// groups stand in several regions, only those of its own region.
    pub fn list_exchange_peers(&self, now: Millis) -> Vec<SocketAddr> {
        let says_so = self
            .known
            .iter()
            .filter(|(_, member)| member.role == Role::Aggregator && self.is_heard(now, member));
        // Those that are silent too: a cut between two nodes ends only where one goes on to send.
        let silent = self.known.iter().filter(|(_, member)| member.is_silent);
        let far = self.view.ranking.far.values().flatten();
        let others = says_so.chain(silent).map(|(name, _)| name).chain(far);
        let names: BTreeSet<&String> = self.view.ranking.aggregators.iter().chain(others).collect();
        let known = names.into_iter().filter_map(|name| self.known.get(name));
        let is_crossing = self.is_using_carriers();
        let known = known.filter(|m| !is_crossing || self.topology.is_local(&m.entry.data_centre));
        let mut addresses: Vec<SocketAddr> = known.map(|member| member.entry.address).collect();
        for seed in &self.seeds {
            if !self.known.values().any(|member| member.entry.address == *seed) {
                addresses.push(*seed);
            }
        }
        addresses
    }

    /// Lists the entries to pass on: those that were new to this node lately, and those of regions out
    /// of reach, of which a node that starts meanwhile may hear nowhere else. Each turn gives the next
    /// ones, because one message may not hold all. Once in a second any known entry is among them.
    pub fn list_gossip_entries(&self, now: Millis, turn: usize) -> Vec<Entry> {
        let mut joined = self.list_recent(now, turn);
        if joined.len() < MOST_PASSED_ON {
            joined.extend(self.repeat_known(now, turn));
        }
        joined
    }

    /// Returns one entry of all that were heard or heard of lately, the next one each
    /// [`REPEAT_TURNS`]. Each node begins at another one.
    fn repeat_known(&self, now: Millis, turn: usize) -> Option<Entry> {
        if !turn.is_multiple_of(REPEAT_TURNS) {
            return None;
        }
        let is_live = |member: &&Member| now < member.known_at + PASSED_ON_FOR;
        let live: Vec<&Member> = self.known.values().filter(is_live).collect();
        let first = short_id(&self.own.name) as usize;
        let place = first.wrapping_add(turn / REPEAT_TURNS).checked_rem(live.len())?;
        live.get(place).map(|member| member.entry.clone())
    }

    fn list_recent(&self, now: Millis, turn: usize) -> Vec<Entry> {
        let recent = self.known.values().filter(|member| {
            now < member.entered_at + PASSED_ON_FOR || self.is_lost(&member.entry)
        });
        let recent: Vec<&Member> = recent.collect();
        let first = turn * MOST_PASSED_ON % recent.len().max(1);
        let next = recent.iter().cycle().skip(first).take(recent.len().min(MOST_PASSED_ON));
        next.map(|member| member.entry.clone()).collect()
    }

    /// Lists the aggregators that this one expected to hear and did not, by short name.
    pub fn list_silent(&self) -> Vec<u64> {
        let silent = self.known.iter().filter(|(_, member)| member.is_silent);
        silent.take(MOST_SILENT).map(|(_, member)| member.short).collect()
    }

    /// Returns `true` if a node that may be serving, and that reported to this one, was not heard
    /// since a time: neither by this node nor by another aggregator.
    pub fn is_any_node_missing_since(&self, now: Millis, since: Millis) -> bool {
        let serving = self.known.values().filter(|member| !member.is_stopping);
        let mut reporting = serving.filter_map(|member| Some((member, member.heard_at?)));
        reporting.any(|(member, heard_at)| {
            let is_gone = now >= heard_at + GONE_AFTER;
            let was_heard_elsewhere = member.heard_of_at.is_some_and(|at| at > heard_at);
            !is_gone && !was_heard_elsewhere && heard_at < since + member.group_age
        })
    }

    /// Returns `true` if every node that this one hears by itself was heard after a time, and none has started
    /// again since another one. In groups these are the aggregators and the nodes of the own group, and this node must
    /// have aggregated since then: those it did not hear before may be gone unnoticed.
    pub fn is_every_node_heard(&self, heard_since: Millis, running_since: Millis) -> bool {
        let is_none_replaced = self.replaced_at.is_none_or(|at| at < running_since);
        let is_grouped = self.is_grouped();
        let is_hearing_all =
            !is_grouped || self.aggregating_since.is_some_and(|at| at < running_since);
        let is_heard = |member: &Member| match member.heard_at {
            Some(at) => at >= heard_since,
            None => is_grouped,
        };
        is_none_replaced && is_hearing_all && self.known.values().all(is_heard)
    }

    /// Returns `true` if a node that holds the duties was heard of within a time.
    pub fn is_duty_holder_heard(&self, now: Millis, within: Millis) -> bool {
        self.get_duty_holder_age(now).is_some_and(|age| age < within)
    }

    /// Returns how long ago the holder of the duties was heard of.
    pub fn get_duty_holder_age(&self, now: Millis) -> Option<Millis> {
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
    pub fn is_table_reader(&self, now: Millis) -> bool {
        self.is_settled(now) && self.view.readers.contains(&self.own.name)
    }

    /// Lists the addresses of the other nodes that read the platform's tables for all.
    pub fn list_table_readers(&self) -> Vec<SocketAddr> {
        let readers = self.view.readers.iter().filter_map(|name| self.known.get(name));
        readers.map(|member| member.entry.address).collect()
    }

    /// Lists the addresses of the nodes that were heard lately.
    pub fn list_reachable(&self, now: Millis) -> Vec<SocketAddr> {
        let heard = self.known.values().filter(|member| self.is_heard(now, member));
        heard.map(|member| member.entry.address).collect()
    }

    /// Lists the addresses of the nodes of this node's group.
    pub fn get_group_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        self.iter_group(now).map(|entry| entry.address).collect()
    }

    /// Finds the aggregator that owns a key, such as the load of a server; `None` where this node
    /// does itself.
    pub fn find_owner(&self, key: u64) -> Option<SocketAddr> {
        let own = self.view.ranking.is_aggregator.then_some(self.own.name.as_str());
        let names = self.view.ranking.aggregators.iter().map(String::as_str).chain(own);
        let owner = rendezvous::owner_of_hash(key, names)?;
        self.known.get(owner).map(|member| member.entry.address)
    }

    /// Returns `true` if this node owns a key.
    pub fn is_owner(&self, key: u64) -> bool {
        self.view.ranking.is_aggregator && self.find_owner(key).is_none()
    }
}
