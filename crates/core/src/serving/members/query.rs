//! Queries on the membership list.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::entry::Entry;
use super::{GONE_TIMEOUT_MS, Member, Members, Overview, Role};
use crate::serving::load::short_id;
use crate::serving::quota::Reachability;
use crate::{Millis, rendezvous};

/// The time between two reports.
///
/// In groups, a report passes two aggregators. With 400 ms, a client account that suddenly sent six
/// times its limit exceeded the operator's tolerance.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Periods that a report may take to reach all nodes in groups.
const GROUPED_DELAY_PERIODS: u32 = 3;
/// A node that was heard within this many periods is reachable.
const HEARD_TIMEOUT_PERIODS: u32 = 5;
/// The same limit in groups, where each node hears only one other.
const HEARD_TIMEOUT_PERIODS_GROUPED: u32 = 10;
/// The number of nodes assumed before the list has been read, for a limited time.
const ASSUMED_NODES: usize = 100;
const ASSUMED_NODES_PERIOD_MS: Millis = 3_000;
/// The time after its start within which a node receives reports from the others.
const HEARING_DELAY_MS: Millis = 1_000;
/// The time after its start in which a node learns of the others even if the list cannot be read.
const SETTLE_TIMEOUT_MS: Millis = 4_000;
/// How long a new entry is gossiped.
///
/// 300 entries that are new at once take thirteen messages at 400 ms each, and some messages get
/// lost.
const GOSSIP_PERIOD_MS: Millis = 10_000;
/// The number of report turns between two repetitions of a known entry.
///
/// A node that missed all messages about another one still learns of it. With one entry per second
/// from each of seven aggregators, a list of 44 nodes is repeated in about 7 s, at a cost of some
/// 60 bytes in every fifth message.
const REPEAT_TURNS: usize = 5;
/// The maximum number of entries in a message.
const MAX_GOSSIP_ENTRIES: usize = 24;
/// The largest number of silent nodes listed in a message.
const MAX_SILENT_NODES: usize = 64;

impl Members {
    /// Returns the time between two reports.
    pub fn get_period(&self) -> Duration {
        REPORT_INTERVAL
    }

    pub(super) fn get_heard_timeout(&self) -> Millis {
        let periods = match self.view.is_grouped {
            true => HEARD_TIMEOUT_PERIODS_GROUPED,
            false => HEARD_TIMEOUT_PERIODS,
        };
        (REPORT_INTERVAL * periods).as_millis() as Millis
    }

    /// Returns how many nodes are known and how many of them are heard, this one included.
    ///
    /// A node that is listed but was not heard yet may be serving. A node that has just started and
    /// has not read the list yet assumes that many others exist.
    ///
    /// If the view was not refreshed for several periods, because this process was suspended, only
    /// this node counts as heard.
    pub fn get_reachability(&self, now: Millis) -> Reachability {
        let known = match self.overview {
            Some((_, overview)) if !self.view.is_aggregating => overview.known,
            _ => self.view.nodes + self.count_unknown_seeds(),
        };
        let known = self.estimate_node_count(now, known);
        let is_unlisted = !self.is_listed && now < self.started_at + ASSUMED_NODES_PERIOD_MS;
        let is_recent = now < self.view.at + self.get_heard_timeout();
        Reachability {
            heard: if is_recent { self.view.heard } else { 1 },
            known: if is_unlisted { known.max(ASSUMED_NODES) } else { known },
            report_delay: self.get_report_delay().as_millis() as Millis,
            is_grouped: self.view.is_grouped,
        }
    }

    /// Returns how long a report may take to reach all nodes.
    ///
    /// In groups, a report passes two aggregators. Between regions, the second one sends less
    /// often, and the transit time is added.
    pub fn get_report_delay(&self) -> Duration {
        let local = if self.view.is_grouped {
            REPORT_INTERVAL * GROUPED_DELAY_PERIODS
        } else {
            REPORT_INTERVAL
        };
        local + self.get_extra_remote_delay()
    }

    fn count_unknown_seeds(&self) -> usize {
        let is_known = |seed: &SocketAddr| self.known.values().any(|m| m.entry.address == *seed);
        self.seeds.iter().filter(|seed| !is_known(seed)).count()
    }

    /// Returns the overview of the cluster for the nodes of this node's group.
    pub fn get_overview(&self) -> Overview {
        Overview { heard: self.view.heard, known: self.view.nodes }
    }

    /// Returns `true` if nodes report in groups.
    pub fn is_grouped(&self) -> bool {
        self.view.is_grouped
    }

    /// Returns `true` if this node is ranked as an aggregator, or other nodes report to it as one.
    pub fn is_aggregator(&self) -> bool {
        self.view.is_aggregating
    }

    /// Returns the aggregator that this node reports to, or `None` if this node is an aggregator.
    pub fn get_own_aggregator(&self) -> Option<&Entry> {
        if self.view.is_aggregating {
            return None;
        }
        let name = self.view.ranking.own_aggregator.as_ref()?;
        self.known.get(name).map(|member| &member.entry)
    }

    /// Iterates over the nodes that report to this one.
    pub fn iter_group(&self, now: Millis) -> impl Iterator<Item = &Entry> {
        let timeout = self.get_heard_timeout();
        let members = self.known.values().filter(|member| member.role == Role::Member);
        let heard = members.filter(move |m| m.heard_at.is_some_and(|at| now < at + timeout));
        heard.map(|member| &member.entry)
    }

    /// Returns the short names of the nodes that report to this one, and the time since the one
    /// that has been silent for longest was heard.
    pub fn get_group(&self, now: Millis) -> (Vec<u64>, Millis) {
        let group: Vec<&Entry> = self.iter_group(now).collect();
        let heard_at = group.iter().filter_map(|entry| self.known.get(&entry.name)?.heard_at);
        let age = heard_at.min().map_or(0, |at| now.saturating_sub(at));
        (group.into_iter().map(|entry| short_id(&entry.name)).collect(), age)
    }

    /// Lists the nodes with which this aggregator exchanges sums.
    ///
    /// These are the other ranked aggregators, the nodes that call themselves aggregators, and all
    /// configured addresses whose nodes are not known yet. If groups span several regions, only
    /// nodes of this node's region are listed.
    pub fn list_exchange_peers(&self, now: Millis) -> Vec<SocketAddr> {
        let self_declared = self
            .known
            .iter()
            .filter(|(_, member)| member.role == Role::Aggregator && self.is_heard(now, member));
        // Silent nodes are included: after a partition, two nodes hear each other again only if one
        // of them keeps sending.
        let silent = self.known.iter().filter(|(_, member)| member.is_silent);
        let remote = self.view.ranking.remote.values().flatten();
        let others = self_declared.chain(silent).map(|(name, _)| name).chain(remote);
        let names: BTreeSet<&String> = self.view.ranking.aggregators.iter().chain(others).collect();
        let known = names.into_iter().filter_map(|name| self.known.get(name));
        let is_using_carriers = self.is_using_carriers();
        let known =
            known.filter(|m| !is_using_carriers || self.topology.is_local(&m.entry.data_centre));
        let mut addresses: Vec<SocketAddr> = known.map(|member| member.entry.address).collect();
        for seed in &self.seeds {
            if !self.known.values().any(|member| member.entry.address == *seed) {
                addresses.push(*seed);
            }
        }
        addresses
    }

    /// Lists the entries to pass on in the next message.
    ///
    /// These are entries that are new to this node, and those of unreachable regions, because a
    /// node that starts meanwhile may learn of them nowhere else. Each turn returns the next ones,
    /// since a message may not hold all. Once per second, one entry of all known nodes is added.
    pub fn list_gossip_entries(&self, now: Millis, turn: usize) -> Vec<Entry> {
        let mut joined = self.list_recent_entries(now, turn);
        if joined.len() < MAX_GOSSIP_ENTRIES {
            joined.extend(self.pick_repeated_entry(now, turn));
        }
        joined
    }

    /// Returns the next entry of all recently known nodes, once per [`REPEAT_TURNS`]. Each node
    /// starts at a different entry.
    fn pick_repeated_entry(&self, now: Millis, turn: usize) -> Option<Entry> {
        if !turn.is_multiple_of(REPEAT_TURNS) {
            return None;
        }
        let is_live = |member: &&Member| now < member.known_at + GOSSIP_PERIOD_MS;
        let live: Vec<&Member> = self.known.values().filter(is_live).collect();
        let first = short_id(&self.own.name) as usize;
        let place = first.wrapping_add(turn / REPEAT_TURNS).checked_rem(live.len())?;
        live.get(place).map(|member| member.entry.clone())
    }

    fn list_recent_entries(&self, now: Millis, turn: usize) -> Vec<Entry> {
        let recent = self.known.values().filter(|member| {
            now < member.entered_at + GOSSIP_PERIOD_MS || self.is_unreachable(&member.entry)
        });
        let recent: Vec<&Member> = recent.collect();
        let first = turn * MAX_GOSSIP_ENTRIES % recent.len().max(1);
        let next = recent.iter().cycle().skip(first).take(recent.len().min(MAX_GOSSIP_ENTRIES));
        next.map(|member| member.entry.clone()).collect()
    }

    /// Lists the aggregators that this one expected to hear and did not, by short name.
    pub fn list_silent(&self) -> Vec<u64> {
        let silent = self.known.iter().filter(|(_, member)| member.is_silent);
        silent.take(MAX_SILENT_NODES).map(|(_, member)| member.short).collect()
    }

    /// Returns `true` if a node that may be serving and that reported to this one was not heard
    /// since `since`, neither by this node nor by another aggregator.
    pub fn is_any_node_missing_since(&self, now: Millis, since: Millis) -> bool {
        let serving = self.known.values().filter(|member| !member.is_stopping);
        let mut reporting = serving.filter_map(|member| Some((member, member.heard_at?)));
        reporting.any(|(member, heard_at)| {
            let is_gone = now >= heard_at + GONE_TIMEOUT_MS;
            let was_heard_elsewhere = member.reported_heard_at.is_some_and(|at| at > heard_at);
            !is_gone && !was_heard_elsewhere && heard_at < since + member.group_age
        })
    }

    /// Returns `true` if every node that this one hears directly was heard since `heard_since`, and
    /// none has restarted since `running_since`.
    ///
    /// In groups, these nodes are the aggregators and the nodes of this node's group. This node
    /// must also have been an aggregator since `running_since`: nodes that it did not hear before
    /// may have left unnoticed.
    pub fn is_every_node_heard(&self, heard_since: Millis, running_since: Millis) -> bool {
        let is_none_restarted = self.restarted_at.is_none_or(|at| at < running_since);
        let is_grouped = self.is_grouped();
        let is_hearing_all =
            !is_grouped || self.aggregating_since.is_some_and(|at| at < running_since);
        let is_heard = |member: &Member| match member.heard_at {
            Some(at) => at >= heard_since,
            None => is_grouped,
        };
        is_none_restarted && is_hearing_all && self.known.values().all(is_heard)
    }

    /// Returns `true` if the duty holder was heard of within `timeout`.
    pub fn is_duty_holder_heard(&self, now: Millis, timeout: Millis) -> bool {
        self.get_duty_holder_age(now).is_some_and(|age| age < timeout)
    }

    /// Returns the time since the duty holder was heard of.
    pub fn get_duty_holder_age(&self, now: Millis) -> Option<Millis> {
        self.holder_heard_at.map(|at| now.saturating_sub(at))
    }

    /// Returns `true` if this node has had time to learn of the others.
    ///
    /// A node that has just started considers itself the first of all until reports from others
    /// arrive.
    pub fn is_settled(&self, now: Millis) -> bool {
        let least = if self.is_list_whole { HEARING_DELAY_MS } else { SETTLE_TIMEOUT_MS };
        now >= self.started_at + least
    }

    /// Returns `true` if this node is one of the few that read the platform's tables for all nodes.
    ///
    /// All nodes that hear each other select the same readers.
    pub fn is_table_reader(&self, now: Millis) -> bool {
        self.is_settled(now) && self.view.table_readers.contains(&self.own.name)
    }

    /// Lists the addresses of the other nodes that read the platform's tables for all nodes.
    pub fn list_table_readers(&self) -> Vec<SocketAddr> {
        let readers = self.view.table_readers.iter().filter_map(|name| self.known.get(name));
        readers.map(|member| member.entry.address).collect()
    }

    /// Returns the address at which a node is known to listen.
    pub fn get_address(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).map(|member| member.entry.address)
    }

    /// Lists the addresses of the nodes that were heard recently.
    pub fn list_reachable(&self, now: Millis) -> Vec<SocketAddr> {
        let heard = self.known.values().filter(|member| self.is_heard(now, member));
        heard.map(|member| member.entry.address).collect()
    }

    /// Iterates over the nodes that may relay requests to servers: those that are neither stopping
    /// nor silent. In a small cluster, they were also heard recently.
    pub fn iter_relays(&self, now: Millis) -> impl Iterator<Item = &Entry> {
        let is_grouped = self.view.is_grouped;
        let members = self.known.values().filter(move |member| {
            let is_silent = member.is_silent || self.silent_by_aggregator.contains(&member.short);
            !member.is_stopping && !is_silent && (is_grouped || self.is_heard(now, member))
        });
        members.map(|member| &member.entry)
    }

    /// Lists the addresses of the nodes in this node's group.
    pub fn get_group_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        self.iter_group(now).map(|entry| entry.address).collect()
    }

    /// Finds the aggregator that owns a key, such as the load of a server; `None` if this node owns
    /// it.
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
