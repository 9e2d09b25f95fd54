//! Which regions are out of reach, and who carries what crosses between regions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::entry::Entry;
use super::query::PERIOD;
use super::{Across, Member, Members};
use crate::Millis;

/// Carriers of each region that are heard and sent to by turns: where one ends, every second summary
/// still arrives until it is replaced.
const CARRIERS: usize = 2;

/// Periods of the summaries that cross after which a region of which nothing came is overdue. All
/// its aggregators send in each of them, by two carriers in turns.
const OVERDUE_AFTER_CROSSINGS: f64 = 2.5;
/// The silence after which a region is counted as out of reach everywhere, in milliseconds.
const OVERDUE_FOR: Millis = 5_000;

impl Members {
    /// Sets how long messages of other regions take: the time between two summaries that cross, and
    /// the way there, in milliseconds.
    pub fn set_across(&mut self, period: Millis, way: Millis) {
        self.across = Across { period, way };
    }

    /// Returns `true` if what passes between regions goes through carriers: nodes report in groups,
    /// and these stand in several regions.
    pub fn is_crossing(&self) -> bool {
        self.view.is_grouped && self.topology.is_multi_region()
    }

    /// Lists the nodes of each other region to which an aggregator sends what crosses: two that are
    /// heard. Where nobody is heard any may be back: then two others with each turn.
    pub fn list_carriers(&self, now: Millis, turn: usize) -> Vec<Vec<SocketAddr>> {
        if !self.is_crossing() {
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
    pub fn count_near_aggregators(&self) -> usize {
        let others = self.view.ranking.aggregators.iter().filter_map(|name| self.known.get(name));
        1 + others.filter(|member| self.topology.is_near(&member.entry.data_centre)).count()
    }

    /// Lists the nodes of other regions, by address, with their regions.
    pub fn list_far(&self) -> BTreeMap<SocketAddr, String> {
        let far = self.known.values().filter_map(|member| {
            let region = self.get_far_region(&member.entry)?;
            Some((member.entry.address, region.to_owned()))
        });
        far.collect()
    }

    /// Notes a summary of an aggregator of another region, which may come through several carriers,
    /// by the run of its process and the time there; returns `true` if it is newer than those before.
    /// One of another run is taken to be.
    pub fn note_crossed(&mut self, now: Millis, entry: &Entry, run: u32, sent_at: Millis) -> bool {
        self.add(now, entry);
        let Some(member) = self.known.get_mut(&entry.name) else { return false };
        let is_known = member.newest.is_some_and(|(known, at)| known == run && sent_at <= at);
        if !is_known {
            member.newest = Some((run, sent_at));
        }
        !is_known
    }

    /// Returns `true` if nothing came from a whole region for some of the summaries that cross, and
    /// its nodes are not counted as out of reach for long.
    pub fn is_region_overdue(&self, now: Millis) -> bool {
        if !self.topology.is_multi_region() || !self.view.is_grouped {
            return false;
        }
        let mut heard_at: BTreeMap<&str, Millis> = BTreeMap::new();
        for member in self.known.values() {
            let region = self.get_far_region(&member.entry);
            let Some((region, at)) = region.zip(member.heard_at) else { continue };
            let newest = heard_at.entry(region).or_default();
            *newest = at.max(*newest);
        }
        let period = PERIOD.max(Duration::from_millis(self.across.period));
        let least = period.mul_f64(OVERDUE_AFTER_CROSSINGS).as_millis() as Millis;
        heard_at.into_values().any(|at| (least..OVERDUE_FOR).contains(&now.saturating_sub(at)))
    }

    /// Returns `true` if all other regions are out of reach, and most nodes of this one are heard.
    pub fn is_region_alone(&self) -> bool {
        let is_any_other = !self.view.ranking.far.is_empty();
        let is_each_lost = self.view.ranking.far.keys().all(|r| self.lost_regions.contains(r));
        is_any_other && is_each_lost && 2 * self.view.heard > self.view.near
    }

    /// Lists the regions of which nobody is heard.
    pub fn list_lost_regions(&self) -> Vec<String> {
        self.lost_regions.iter().cloned().collect()
    }

    /// Takes over which regions this node's aggregator does not hear.
    pub fn take_lost_regions(&mut self, from: &str, lost: Vec<String>) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.lost_regions = lost.into_iter().collect();
        }
    }

    /// Notes which regions are out of reach. Nothing is known of their nodes meanwhile: none is
    /// taken for silent or gone.
    pub(super) fn note_lost_regions(&mut self, now: Millis) {
        let Some(since) = self.aggregating_since.filter(|_| self.topology.is_multi_region()) else {
            return;
        };
        let far = self.known.values().filter_map(|member| {
            let region = self.get_far_region(&member.entry)?;
            Some((region, self.is_heard(now, member)))
        });
        let mut is_heard: BTreeMap<&str, bool> = BTreeMap::new();
        for (region, heard) in far {
            *is_heard.entry(region).or_default() |= heard;
        }
        let is_overdue = now >= since + self.get_heard_within();
        let silent = is_heard.into_iter().filter(|(_, is_heard)| !is_heard);
        let lost = silent.filter(|(region, _)| is_overdue || self.lost_regions.contains(*region));
        let lost: BTreeSet<String> = lost.map(|(region, _)| region.to_owned()).collect();
        self.lost_regions = lost;
        for member in self.known.values_mut() {
            let region = self.topology.get_region(&member.entry.data_centre);
            if region.is_some_and(|region| self.lost_regions.contains(region)) {
                member.known_at = now;
                member.is_silent = false;
            }
        }
    }

    /// Returns `true` if a node stands in a region out of reach.
    pub(super) fn is_lost(&self, entry: &Entry) -> bool {
        let region = self.get_far_region(entry);
        region.is_some_and(|region| self.lost_regions.contains(region))
    }

    /// Returns the region of a node that stands in another one than this node.
    pub(super) fn get_far_region(&self, entry: &Entry) -> Option<&str> {
        let is_near = self.topology.is_near(&entry.data_centre);
        self.topology.get_region(&entry.data_centre).filter(|_| !is_near)
    }

    /// Returns how much longer a report takes from another region.
    pub(super) fn get_delay_across(&self) -> Duration {
        if !self.topology.is_multi_region() {
            return Duration::ZERO;
        }
        let stretched = Duration::from_millis(self.across.period).saturating_sub(PERIOD);
        stretched + Duration::from_millis(self.across.way)
    }
}
