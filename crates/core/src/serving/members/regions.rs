//! Which regions are out of reach, and who carries what crosses between regions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::entry::Entry;
use super::query::PERIOD;
use super::{Member, Members, Transit};
use crate::Millis;

/// Carriers of each region that are heard and sent to by turns: where one ends, every second summary
/// still arrives until it is replaced.
const CARRIERS: usize = 2;

/// The silence from which a region is overdue, in periods of the summaries that cross. In each period
/// all its aggregators send, by two carriers in turns.
const OVERDUE_AFTER_CROSSINGS: f64 = 2.5;
/// The silence up to which a region is overdue, in milliseconds: by then all nodes count it as out of
/// reach.
const OVERDUE_UNTIL: Millis = 5_000;

impl Members {
    /// Sets how long summaries of other regions take: the time between two of them, and the time on
    /// the way from the farthest region, in milliseconds.
    pub fn set_transit_delay(&mut self, period: Millis, way: Millis) {
        self.transit = Transit { period, way };
    }

    /// Returns `true` if what passes between regions goes through carriers: nodes report in groups,
    /// and these stand in several regions.
    pub fn is_using_carriers(&self) -> bool {
        self.view.is_grouped && self.topology.is_multi_region()
    }

    /// Lists the nodes of each other region to which an aggregator sends what crosses: the first two
    /// aggregators there that are heard. Where none is heard, any may be back: each turn gives the
    /// next two.
    pub fn list_carriers(&self, now: Millis, turn: usize) -> Vec<Vec<SocketAddr>> {
        if !self.is_using_carriers() {
            return Vec::new();
        }
        let regions = self.view.ranking.far.values();
        regions.map(|ranked| self.list_carriers_of(now, turn, ranked)).collect()
    }

    /// Picks the node of each other region to which an aggregator sends its summary with this turn:
    /// each carrier in turn, and each aggregator there where nobody is heard.
    pub fn pick_carriers(&self, now: Millis, turn: usize) -> Vec<SocketAddr> {
        let regions = self.list_carriers(now, turn / CARRIERS).into_iter();
        regions.filter_map(|region| region.get(turn % region.len().max(1)).copied()).collect()
    }

    fn list_carriers_of(&self, now: Millis, turn: usize, ranked: &[String]) -> Vec<SocketAddr> {
        let members: Vec<&Member> = ranked.iter().filter_map(|name| self.known.get(name)).collect();
        let heard = members.iter().filter(|member| self.is_heard(now, member));
        let heard: Vec<SocketAddr> = heard.map(|m| m.entry.address).take(CARRIERS).collect();
        if !heard.is_empty() {
            return heard;
        }
        let first = turn * CARRIERS % members.len().max(1);
        let next = members.iter().cycle().skip(first).take(CARRIERS.min(members.len()));
        next.map(|member| member.entry.address).collect()
    }

    /// Returns how many aggregators of this node's region there are, this one included.
    pub fn count_local_aggregators(&self) -> usize {
        let others = self.view.ranking.aggregators.iter().filter_map(|name| self.known.get(name));
        1 + others.filter(|member| self.topology.is_local(&member.entry.data_centre)).count()
    }

    /// Lists the nodes of other regions, by address, with their regions.
    pub fn list_remote_nodes(&self) -> BTreeMap<SocketAddr, String> {
        let far = self.known.values().filter_map(|member| {
            let region = self.get_far_region(&member.entry)?;
            Some((member.entry.address, region.to_owned()))
        });
        far.collect()
    }

    /// Notes a summary of an aggregator of another region; returns `true` if it is newer than those
    /// before.
    ///
    /// A summary may come through several carriers. It is newer if its sender's process has started
    /// anew, so that `run` differs, or if `sent_at`, on the sender's clock, is later.
    pub fn record_remote_summary(
        &mut self,
        now: Millis,
        entry: &Entry,
        run: u32,
        sent_at: Millis,
    ) -> bool {
        self.add(now, entry);
        let Some(member) = self.known.get_mut(&entry.name) else { return false };
        let is_known = member.newest.is_some_and(|(known, at)| known == run && sent_at <= at);
        if !is_known {
            member.newest = Some((run, sent_at));
            member.crossed_at = Some(now);
        }
        !is_known
    }

    /// Lists the regions from which no summary arrives, also none that is not taken over.
    ///
    /// Summaries that cross name these, so that a region learns that only its own way is cut.
    pub fn list_unheard_regions(&self, now: Millis) -> Vec<String> {
        let Some(since) = self.aggregating_since else { return self.list_unreachable_regions() };
        let within = self.get_heard_within();
        let is_arriving = |member: &Member| member.crossed_at.is_some_and(|at| now < at + within);
        self.find_silent_regions(now, since, is_arriving).into_iter().collect()
    }

    /// Returns `true` if a node that does not hear these regions hears the one of this node.
    pub fn is_own_region_heard(&self, unheard_regions: &[String]) -> bool {
        !unheard_regions.iter().any(|region| region == self.topology.get_own_region())
    }

    /// Returns `true` if some region is overdue: nothing came from it for some periods, and not all
    /// nodes count it as out of reach yet.
    pub fn is_region_overdue(&self, now: Millis) -> bool {
        if !self.is_using_carriers() {
            return false;
        }
        let mut heard_at: BTreeMap<&str, Millis> = BTreeMap::new();
        for member in self.known.values() {
            let region = self.get_far_region(&member.entry);
            let Some((region, at)) = region.zip(member.heard_at) else { continue };
            let newest = heard_at.entry(region).or_default();
            *newest = at.max(*newest);
        }
        let period = PERIOD.max(Duration::from_millis(self.transit.period));
        let least = period.mul_f64(OVERDUE_AFTER_CROSSINGS).as_millis() as Millis;
        heard_at.into_values().any(|at| (least..OVERDUE_UNTIL).contains(&now.saturating_sub(at)))
    }

    /// Returns `true` if all other regions are out of reach, and most nodes of this one are heard.
    pub fn is_region_isolated(&self) -> bool {
        let is_any_other = !self.view.ranking.far.is_empty();
        let is_each_lost = self.view.ranking.far.keys().all(|r| self.lost_regions.contains(r));
        is_any_other && is_each_lost && 2 * self.view.heard > self.view.near_nodes
    }

    /// Lists the regions of which nobody is heard.
    pub fn list_unreachable_regions(&self) -> Vec<String> {
        self.lost_regions.iter().cloned().collect()
    }

    /// Takes over which regions this node's aggregator does not hear.
    pub fn set_unreachable_regions(&mut self, from: &str, lost: Vec<String>) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.lost_regions = lost.into_iter().collect();
        }
    }

    /// Notes which regions are out of reach, and keeps their nodes: nothing is known of them
    /// meanwhile, so that none is taken for silent or gone.
    ///
    /// A node that does not aggregate hears no other region, and keeps the regions that its aggregator
    /// reported.
    pub(super) fn note_lost_regions(&mut self, now: Millis) {
        if !self.topology.is_multi_region() {
            return;
        }
        let Some(since) = self.aggregating_since else { return };
        self.lost_regions =
            self.find_silent_regions(now, since, |member| self.is_heard(now, member));
        for member in self.known.values_mut() {
            if self.topology.is_in_any(&self.lost_regions, &member.entry.data_centre) {
                member.known_at = now;
                member.is_silent = false;
            }
        }
    }

    /// Finds the regions of which `is_heard` holds for no node. A node that began to aggregate at
    /// `since` finds no further ones until it has had the time to hear them.
    fn find_silent_regions(
        &self,
        now: Millis,
        since: Millis,
        is_heard: impl Fn(&Member) -> bool,
    ) -> BTreeSet<String> {
        let far = self.known.values().filter_map(|member| {
            let region = self.get_far_region(&member.entry)?;
            Some((region, is_heard(member)))
        });
        let mut is_any_heard: BTreeMap<&str, bool> = BTreeMap::new();
        for (region, heard) in far {
            *is_any_heard.entry(region).or_default() |= heard;
        }
        let has_listened = now >= since + self.get_heard_within();
        let silent = is_any_heard.into_iter().filter(|(_, is_heard)| !is_heard);
        let lost = silent.filter(|(region, _)| has_listened || self.lost_regions.contains(*region));
        lost.map(|(region, _)| region.to_owned()).collect()
    }

    /// Returns `true` if a node stands in a region out of reach.
    pub(super) fn is_lost(&self, entry: &Entry) -> bool {
        let region = self.get_far_region(entry);
        region.is_some_and(|region| self.lost_regions.contains(region))
    }

    /// Returns the region of a node that stands in another one than this node.
    pub(super) fn get_far_region(&self, entry: &Entry) -> Option<&str> {
        let is_near = self.topology.is_local(&entry.data_centre);
        self.topology.get_region(&entry.data_centre).filter(|_| !is_near)
    }

    /// Returns how much longer a report takes from another region than from the node's own.
    pub(super) fn get_transit_delay(&self) -> Duration {
        if !self.topology.is_multi_region() {
            return Duration::ZERO;
        }
        let stretched = Duration::from_millis(self.transit.period).saturating_sub(PERIOD);
        stretched + Duration::from_millis(self.transit.way)
    }
}
