//! Which nodes are reachable and which aggregate, computed once per period.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::Entry;
use super::{GONE_TIMEOUT_MS, Member, Members, ranking, short_id};
use crate::Millis;

/// Periods without an overview after which a node of a group replaces its aggregator.
const OVERVIEW_TIMEOUT_PERIODS: u32 = 8;
/// How long a node of a group avoids an aggregator that fell silent.
const AVOIDANCE_PERIOD_MS: Millis = 10_000;
/// Nodes that read the platform's tables for all nodes, in a cluster with one region.
const TABLE_READERS: usize = 3;
/// Nodes of each region that read the tables, in a cluster with several regions. If both fail,
/// those of another region respond.
const TABLE_READERS_PER_REGION: usize = 2;
/// A node that no aggregator has heard for this many reachability timeouts is not ranked as an
/// aggregator.
const QUIET_TIMEOUT_COUNT: Millis = 2;
const READERS_KEY: &str = "table readers";

/// The state that is computed from the list once per period.
#[derive(Debug, Default)]
pub(super) struct View {
    pub at: Millis,
    pub nodes: usize,
    /// The nodes among them in this node's region, this one included.
    pub local_nodes: usize,
    pub heard: usize,
    pub is_grouped: bool,
    /// Whether this node is ranked as an aggregator, or other nodes report to it as one.
    pub is_aggregating: bool,
    pub ranking: Ranking,
    /// The digest of the known nodes.
    pub digest: u64,
    /// The nodes that read the platform's tables for all nodes, which may include this one.
    pub table_readers: Vec<String>,
}

/// The aggregators, which are recomputed only if the nodes have changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    /// The fingerprint of the nodes that the ranking was computed from.
    pub fingerprint: Option<u64>,
    /// Whether this node is an aggregator.
    pub is_aggregator: bool,
    /// All aggregators by short name, including this node and those of unreachable regions.
    pub ranked: Vec<u64>,
    /// The other aggregators, except those of unreachable regions.
    pub aggregators: Vec<String>,
    /// The aggregators by region, except those of unreachable regions; includes this node if it is
    /// one.
    pub by_region: BTreeMap<String, Vec<String>>,
    /// The aggregators of each other region, including unreachable regions, in the order in which
    /// they serve as carriers.
    pub remote: BTreeMap<String, Vec<String>>,
    /// The aggregator that this node reports to, if this node is none itself.
    pub own_aggregator: Option<String>,
}

impl Members {
    /// Recomputes which nodes are reachable and which aggregate; must be called once per period.
    pub fn refresh(&mut self, now: Millis) {
        self.update_unreachable_regions(now);
        self.expire(now);
        self.mark_silent(now);
        self.rank(now);
        let is_aggregating =
            self.view.ranking.is_aggregator || self.iter_group(now).next().is_some();
        let serving = || self.known.values().filter(|member| !member.is_stopping);
        let nodes = 1 + serving().count();
        let local = serving().filter(|member| self.topology.is_local(&member.entry.data_centre));
        let local_nodes = 1 + local.count();
        self.view.at = now;
        self.view.nodes = nodes;
        self.view.local_nodes = local_nodes;
        self.view.is_grouped = ranking::is_grouped(nodes);
        self.view.is_aggregating = is_aggregating;
        let since = self.aggregating_since.unwrap_or(now);
        self.aggregating_since = is_aggregating.then_some(since);
        self.view.heard = self.count_heard(now, is_aggregating);
        self.view.table_readers = self.select_table_readers(now, is_aggregating);
        self.view.digest = self.compute_digest();
    }

    /// Ranks the nodes again if the candidates for aggregators have changed.
    fn rank(&mut self, now: Millis) {
        if self.has_heard_all(now) {
            self.adopted = None;
        }
        let candidates = self.list_candidates(now);
        let fingerprint = self.compute_fingerprint(now, &candidates);
        if self.view.ranking.fingerprint != Some(fingerprint) {
            let ranking = self.make_ranking(now, fingerprint, &candidates);
            self.apply_ranking(now, ranking);
        }
    }

    /// Computes the fingerprint of all inputs of a ranking.
    fn compute_fingerprint(&self, now: Millis, candidates: &[&Member]) -> u64 {
        let own = match self.get_adopted_ranking() {
            None => 0,
            Some(adopted) => 1 + u64::from(self.contains_self(adopted)),
        };
        candidates.iter().fold(own, |sum: u64, member| {
            let is_avoided = u64::from(now < member.avoided_until);
            let is_unreachable = u64::from(self.is_unreachable(&member.entry));
            let fingerprint = member.short.rotate_left(1) ^ u64::from(member.entry.link_mbps);
            sum.wrapping_add(fingerprint ^ (is_avoided << 63) ^ (is_unreachable << 62))
        })
    }

    fn make_ranking(&self, now: Millis, fingerprint: u64, candidates: &[&Member]) -> Ranking {
        let mut entries: Vec<&Entry> = candidates.iter().map(|member| &member.entry).collect();
        let adopted = self.get_adopted_ranking();
        if adopted.is_none_or(|adopted| self.contains_self(adopted)) {
            entries.push(&self.own);
        }
        let mut aggregators = match adopted {
            Some(_) => entries,
            None => ranking::list_aggregators(&entries),
        };
        let ranked = aggregators.iter().map(|entry| short_id(&entry.name)).collect();
        let remote = ranking::list_remote_aggregators(&self.topology, &aggregators);
        aggregators.retain(|entry| !self.is_unreachable(entry));
        let by_region = ranking::group_by_region(&self.topology, &aggregators);
        let is_aggregator = aggregators.iter().any(|entry| entry.name == self.own.name);
        let others: Vec<&Entry> =
            aggregators.into_iter().filter(|entry| entry.name != self.own.name).collect();
        let own_aggregator = match is_aggregator {
            true => None,
            false => self.pick_aggregator(now, &others),
        };
        Ranking {
            fingerprint: Some(fingerprint),
            is_aggregator,
            ranked,
            aggregators: others.into_iter().map(|entry| entry.name.clone()).collect(),
            by_region,
            remote,
            own_aggregator,
        }
    }

    /// Lists the candidates for aggregators, except this node: those that this node's aggregator
    /// ranks, or all eligible nodes if this node has no aggregator or is one itself.
    fn list_candidates(&self, now: Millis) -> Vec<&Member> {
        match self.get_adopted_ranking() {
            Some(adopted) => self.iter_named(adopted).filter(|member| !member.is_silent).collect(),
            None => self.known.values().filter(|member| self.is_eligible(now, member)).collect(),
        }
    }

    /// Returns the aggregators that this node's aggregator ranks.
    ///
    /// Returns `None` if this node ranks the nodes itself, which includes the case that it knows
    /// none of those aggregators.
    fn get_adopted_ranking(&self) -> Option<&[u64]> {
        let adopted = self.adopted.as_deref()?;
        let is_any_known = self.contains_self(adopted) || self.iter_named(adopted).next().is_some();
        is_any_known.then_some(adopted)
    }

    fn contains_self(&self, nodes: &[u64]) -> bool {
        nodes.contains(&short_id(&self.own.name))
    }

    /// Iterates over the known nodes with these short names.
    fn iter_named(&self, shorts: &[u64]) -> impl Iterator<Item = &Member> {
        let names = shorts.iter().filter_map(|short| self.names.get(short));
        names.filter_map(|name| self.known.get(name))
    }

    /// Picks the aggregator that this node reports to, preferably one that has not fallen silent
    /// recently.
    fn pick_aggregator(&self, now: Millis, aggregators: &[&Entry]) -> Option<String> {
        let is_responsive = |entry: &&&Entry| {
            self.known.get(&entry.name).is_some_and(|member| now >= member.avoided_until)
        };
        let responsive: Vec<&Entry> = aggregators.iter().filter(is_responsive).copied().collect();
        let candidates = if responsive.is_empty() { aggregators } else { &responsive };
        let picked = ranking::pick_aggregator(&self.own, &self.topology, candidates);
        picked.map(|entry| entry.name.clone())
    }

    fn apply_ranking(&mut self, now: Millis, ranking: Ranking) {
        if ranking.own_aggregator != self.view.ranking.own_aggregator {
            self.overview = None;
            self.member_since = now;
        }
        let has_become_aggregator = ranking.is_aggregator && !self.view.ranking.is_aggregator;
        let ranked: BTreeSet<&String> = ranking.aggregators.iter().collect();
        for (name, member) in &mut self.known {
            let is_ranked = ranking.is_aggregator && ranked.contains(name);
            let since = member.ranked_since.unwrap_or(now);
            member.ranked_since = is_ranked.then_some(since);
            if has_become_aggregator {
                // Until now, this node's aggregator tracked which nodes are gone or silent.
                member.known_at = now;
                member.is_silent |= self.silent_by_aggregator.contains(&member.short);
            }
        }
        if has_become_aggregator {
            self.silent_by_aggregator.clear();
        }
        self.view.ranking = ranking;
    }

    /// Removes nodes that have left permanently. Only aggregators receive reports about all nodes.
    fn expire(&mut self, now: Millis) {
        if !self.view.is_aggregating {
            return;
        }
        let names = &mut self.names;
        self.known.retain(|_, member| {
            let is_kept = now < member.known_at + GONE_TIMEOUT_MS;
            if !is_kept {
                names.remove(&member.short);
            }
            is_kept
        });
    }

    /// Marks aggregators that have fallen silent.
    fn mark_silent(&mut self, now: Millis) {
        let timeout = self.get_heard_timeout();
        let unreachable = std::mem::take(&mut self.unreachable_regions);
        for member in self.known.values_mut() {
            if self.topology.is_in_any(&unreachable, &member.entry.data_centre) {
                continue;
            }
            let expected_since = member.ranked_since.map(|since| since.max(member.entered_at));
            let last = expected_since.max(member.heard_at);
            if expected_since.is_some() && last.is_some_and(|last| now >= last + timeout) {
                member.is_silent = true;
            }
        }
        self.unreachable_regions = unreachable;
        let periods = (self.get_period() * OVERVIEW_TIMEOUT_PERIODS).as_millis() as Millis;
        let last = self.overview.map_or(self.member_since, |(at, _)| at.max(self.member_since));
        if now < last + periods {
            return;
        }
        let own_aggregator = self.view.ranking.own_aggregator.clone();
        let silent = own_aggregator.and_then(|name| self.known.get_mut(&name));
        if let Some(member) = silent {
            member.avoided_until = now + AVOIDANCE_PERIOD_MS;
        }
        // Until another aggregator sends its ranking, this node ranks the nodes itself.
        self.adopted = None;
    }

    /// Returns `true` if a node is eligible as an aggregator.
    fn is_eligible(&self, now: Millis, member: &Member) -> bool {
        let is_silent = member.is_silent || self.silent_by_aggregator.contains(&member.short);
        !member.is_stopping && !is_silent && !self.is_quiet(now, member)
    }

    /// Returns `true` if this node has been an aggregator for long enough to have heard of all
    /// nodes.
    ///
    /// Until then, it keeps the ranking of its former aggregator.
    fn has_heard_all(&self, now: Millis) -> bool {
        self.aggregating_since.is_some_and(|since| now >= since + self.get_heard_timeout())
    }

    /// Returns `true` if neither this aggregator nor another one has heard a node for a long time.
    ///
    /// Without this check, the aggregators of a whole data centre that falls silent would be
    /// replaced by other nodes of that data centre, a few at a time, until all of them had been
    /// found silent too.
    fn is_quiet(&self, now: Millis, member: &Member) -> bool {
        if !self.view.is_grouped || !self.has_heard_all(now) || self.is_unreachable(&member.entry) {
            return false;
        }
        let heard_at = member.heard_at.max(member.reported_heard_at).unwrap_or(0);
        now >= heard_at.max(member.entered_at) + QUIET_TIMEOUT_COUNT * self.get_heard_timeout()
    }

    pub(super) fn is_heard(&self, now: Millis, member: &Member) -> bool {
        member.is_heard_within(now, self.get_heard_timeout())
    }

    fn count_heard(&self, now: Millis, is_aggregator: bool) -> usize {
        let heard = self.known.values().filter(|m| !m.is_stopping && self.is_heard(now, m));
        if is_aggregator {
            let in_groups: usize = heard.clone().map(|member| member.group.len()).sum();
            // A node that has just switched to another aggregator may be in two groups.
            return (1 + heard.count() + in_groups).min(self.view.nodes);
        }
        let overview = self.overview.filter(|(at, _)| now < at + self.get_heard_timeout());
        overview.map_or(1, |(_, overview)| overview.heard.max(1))
    }

    /// Lists the table readers of this node's region.
    ///
    /// They are the heard aggregators of the region with the widest links, ordered by rendezvous
    /// hashing, because a reader sends what it reads to all nodes. A node that is not an aggregator
    /// hears no aggregators, and considers all that it ranks.
    fn select_table_readers(&self, now: Millis, is_aggregator: bool) -> Vec<String> {
        let others = self.view.ranking.aggregators.iter().filter_map(|name| self.known.get(name));
        let local = others.filter(|member| self.topology.is_local(&member.entry.data_centre));
        let candidates = local.filter(|member| !is_aggregator || self.is_heard(now, member));
        let mut candidates: Vec<&Entry> = candidates.map(|member| &member.entry).collect();
        if is_aggregator {
            candidates.push(&self.own);
        }
        let ordered = ranking::order_by_link(READERS_KEY, candidates).into_iter();
        let count =
            if self.topology.is_multi_region() { TABLE_READERS_PER_REGION } else { TABLE_READERS };
        ordered.take(count).map(|entry| entry.name.clone()).collect()
    }
}
