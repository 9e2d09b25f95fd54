//! Who is in reach and who aggregates, computed once in each period.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::Entry;
use super::{GONE_AFTER, Member, Members, ranking, short_id};
use crate::Millis;

/// An aggregator from which a node of its group hears nothing for this many periods is replaced.
const OVERVIEW_WITHIN_PERIODS: u32 = 8;
/// How long an aggregator that fell silent is passed over by a node of its group.
const PASSED_OVER_FOR: Millis = 10_000;
/// Nodes that read the platform's tables for all, where there is one region.
const READERS: usize = 3;
/// Nodes of each region that read the tables, where there are several: if both fail, those of the
/// other region answer.
const READERS_IN_REGION: usize = 2;
/// A node that no aggregator has heard for so many times the time after which one that is silent is
/// out of reach does not aggregate.
const QUIET_PERIODS: Millis = 2;
const READERS_KEY: &str = "table readers";

/// What is computed from the list once in each period.
#[derive(Debug, Default)]
pub(super) struct View {
    pub at: Millis,
    pub nodes: usize,
    /// Those of them that stand in this node's region, this one included.
    pub near_nodes: usize,
    pub heard: usize,
    pub is_grouped: bool,
    /// Whether this node aggregates: it is ranked so, or nodes take it for an aggregator.
    pub is_aggregating: bool,
    pub ranking: Ranking,
    /// Stands for the known nodes.
    pub digest: u64,
    /// The nodes that read the platform's tables for all, this one included where it does.
    pub readers: Vec<String>,
}

/// Who aggregates, which is computed again only where the nodes have changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    /// Stands for the nodes that it was computed from.
    pub fingerprint: Option<u64>,
    /// Whether this node is one of the aggregators.
    pub is_aggregator: bool,
    /// All aggregators by short name, this node and those of regions out of reach included.
    pub ranked: Vec<u64>,
    /// The other aggregators, but for those of regions out of reach.
    pub aggregators: Vec<String>,
    /// The aggregators of each region but for those out of reach, this node included where it is one.
    pub by_region: BTreeMap<String, Vec<String>>,
    /// The aggregators of the other regions, also of those out of reach, in the order in which they
    /// carry.
    pub far: BTreeMap<String, Vec<String>>,
    /// The aggregator that this node reports to, where it is none itself.
    pub own_aggregator: Option<String>,
}

impl Members {
    /// Computes anew who is in reach and who aggregates, which must be done once in each period.
    pub fn refresh(&mut self, now: Millis) {
        self.note_lost_regions(now);
        self.expire(now);
        self.note_silent(now);
        self.rank(now);
        let is_aggregating =
            self.view.ranking.is_aggregator || self.iter_group(now).next().is_some();
        let serving = || self.known.values().filter(|member| !member.is_stopping);
        let nodes = 1 + serving().count();
        let near = serving().filter(|member| self.topology.is_local(&member.entry.data_centre));
        let near_nodes = 1 + near.count();
        self.view.at = now;
        self.view.nodes = nodes;
        self.view.near_nodes = near_nodes;
        self.view.is_grouped = ranking::is_grouped(nodes);
        self.view.is_aggregating = is_aggregating;
        let since = self.aggregating_since.unwrap_or(now);
        self.aggregating_since = is_aggregating.then_some(since);
        self.view.heard = self.count_heard(now, is_aggregating);
        self.view.readers = self.list_readers(now, is_aggregating);
        self.view.digest = self.compute_digest();
    }

    /// Ranks the nodes again where those that may be aggregators have changed.
    fn rank(&mut self, now: Millis) {
        if self.has_listened(now) {
            self.followed = None;
        }
        let candidates = self.list_candidates(now);
        let fingerprint = self.compute_fingerprint(now, &candidates);
        if self.view.ranking.fingerprint != Some(fingerprint) {
            let ranking = self.make_ranking(now, fingerprint, &candidates);
            self.apply(now, ranking);
        }
    }

    /// Computes what stands for all that a ranking depends on.
    fn compute_fingerprint(&self, now: Millis, candidates: &[&Member]) -> u64 {
        let own = match self.get_followed() {
            None => 0,
            Some(followed) => 1 + u64::from(self.is_own_in(followed)),
        };
        candidates.iter().fold(own, |sum: u64, member| {
            let is_passed_over = u64::from(now < member.passed_over_until);
            let is_lost = u64::from(self.is_lost(&member.entry));
            let stands_for = member.short.rotate_left(1) ^ u64::from(member.entry.link_mbps);
            sum.wrapping_add(stands_for ^ (is_passed_over << 63) ^ (is_lost << 62))
        })
    }

    fn make_ranking(&self, now: Millis, fingerprint: u64, candidates: &[&Member]) -> Ranking {
        let mut entries: Vec<&Entry> = candidates.iter().map(|member| &member.entry).collect();
        let followed = self.get_followed();
        if followed.is_none_or(|followed| self.is_own_in(followed)) {
            entries.push(&self.own);
        }
        let mut aggregators = match followed {
            Some(_) => entries,
            None => ranking::list_aggregators(&entries),
        };
        let ranked = aggregators.iter().map(|entry| short_id(&entry.name)).collect();
        let far = ranking::list_far(&self.topology, &aggregators);
        aggregators.retain(|entry| !self.is_lost(entry));
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
            far,
            own_aggregator,
        }
    }

    /// Lists the nodes that may be aggregators, this one left out: those that this node's aggregator
    /// ranks, or all that are usable where it has none or is one itself.
    fn list_candidates(&self, now: Millis) -> Vec<&Member> {
        match self.get_followed() {
            Some(followed) => {
                self.iter_named(followed).filter(|member| !member.is_silent).collect()
            }
            None => self.known.values().filter(|member| self.is_usable(now, member)).collect(),
        }
    }

    /// Returns the aggregators that this node's own one ranks; `None` where this node ranks nodes itself,
    /// which it does also while it knows none of those.
    fn get_followed(&self) -> Option<&[u64]> {
        let followed = self.followed.as_deref()?;
        let is_any_known = self.is_own_in(followed) || self.iter_named(followed).next().is_some();
        is_any_known.then_some(followed)
    }

    fn is_own_in(&self, nodes: &[u64]) -> bool {
        nodes.contains(&short_id(&self.own.name))
    }

    /// Lists the known nodes of some short names.
    fn iter_named(&self, shorts: &[u64]) -> impl Iterator<Item = &Member> {
        let names = shorts.iter().filter_map(|short| self.names.get(short));
        names.filter_map(|name| self.known.get(name))
    }

    /// Picks the aggregator that this node reports to: one that did not fall silent lately, where
    /// there is one.
    fn pick_aggregator(&self, now: Millis, aggregators: &[&Entry]) -> Option<String> {
        let is_sound = |entry: &&&Entry| {
            self.known.get(&entry.name).is_some_and(|member| now >= member.passed_over_until)
        };
        let sound: Vec<&Entry> = aggregators.iter().filter(is_sound).copied().collect();
        let among = if sound.is_empty() { aggregators } else { &sound };
        let picked = ranking::pick_aggregator(&self.own, &self.topology, among);
        picked.map(|entry| entry.name.clone())
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
        let lost = std::mem::take(&mut self.lost_regions);
        for member in self.known.values_mut() {
            if self.topology.is_in_any(&lost, &member.entry.data_centre) {
                continue;
            }
            let expected_since = member.ranked_since.map(|since| since.max(member.entered_at));
            let last = expected_since.max(member.heard_at);
            if expected_since.is_some() && last.is_some_and(|last| now >= last + within) {
                member.is_silent = true;
            }
        }
        self.lost_regions = lost;
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
        // Until another aggregator says which ones there are, this node ranks them itself.
        self.followed = None;
    }

    /// Returns `true` if a node may be an aggregator.
    fn is_usable(&self, now: Millis, member: &Member) -> bool {
        let is_silent = member.is_silent || self.silent_elsewhere.contains(&member.short);
        !member.is_stopping && !is_silent && !self.is_quiet(now, member)
    }

    /// Returns `true` if this node has aggregated for long enough to have heard of all nodes. Until then
    /// it goes on to follow the aggregators that its own one ranked.
    fn has_listened(&self, now: Millis) -> bool {
        self.aggregating_since.is_some_and(|since| now >= since + self.get_heard_within())
    }

    /// Returns `true` if neither this aggregator nor another one has heard a node for long.
    ///
    /// Where a whole data centre falls silent, its aggregators would be replaced by other nodes there,
    /// a few at a time, until all of these have been found silent too.
    fn is_quiet(&self, now: Millis, member: &Member) -> bool {
        if !self.view.is_grouped || !self.has_listened(now) || self.is_lost(&member.entry) {
            return false;
        }
        let heard_at = member.heard_at.max(member.heard_of_at).unwrap_or(0);
        now >= heard_at.max(member.entered_at) + QUIET_PERIODS * self.get_heard_within()
    }

    pub(super) fn is_heard(&self, now: Millis, member: &Member) -> bool {
        member.is_heard_within(now, self.get_heard_within())
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

    /// Lists the readers of this node's region.
    ///
    /// They are the first in rendezvous order of those aggregators of the region that are heard and
    /// have the widest links: a reader sends what it reads to all. A node that is no aggregator hears
    /// none, and takes all that it ranks.
    fn list_readers(&self, now: Millis, is_aggregator: bool) -> Vec<String> {
        let others = self.view.ranking.aggregators.iter().filter_map(|name| self.known.get(name));
        let near = others.filter(|member| self.topology.is_local(&member.entry.data_centre));
        let alive = near.filter(|member| !is_aggregator || self.is_heard(now, member));
        let mut alive: Vec<&Entry> = alive.map(|member| &member.entry).collect();
        if is_aggregator {
            alive.push(&self.own);
        }
        let ordered = ranking::order_by_link(READERS_KEY, alive).into_iter();
        let count = if self.topology.is_multi_region() { READERS_IN_REGION } else { READERS };
        ordered.take(count).map(|entry| entry.name.clone()).collect()
    }
}
