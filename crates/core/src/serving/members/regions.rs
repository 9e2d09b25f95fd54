//! Which regions are unreachable, and which nodes carry traffic between regions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::entry::Entry;
use super::query::REPORT_INTERVAL;
use super::timestamp::Timestamp;
use super::{Member, Members, Transit};
use crate::Millis;

/// Carriers per region, which are used in turn.
///
/// If one fails, every second summary still arrives until it is replaced.
const CARRIERS_PER_REGION: usize = 2;

/// The silence after which a region is overdue, in periods of its summaries.
///
/// In each period, all its aggregators send, through two carriers in turn.
const OVERDUE_SUMMARY_PERIODS: f64 = 2.5;
/// The silence up to which a region is overdue. After that, all nodes count it as unreachable.
const MAX_OVERDUE_AGE_MS: Millis = 5_000;

/// The sender of a summary from another region.
#[derive(Clone, Copy, Debug)]
pub struct RemoteSender<'a> {
    /// The description of the node.
    pub entry: &'a Entry,
    /// Whether it is shutting down.
    pub is_stopping: bool,
    /// When it sent the summary.
    pub sent: Timestamp,
}

impl Members {
    /// Sets how long summaries of other regions take: the time between two of them, and the one-way
    /// delay from the farthest region, in milliseconds.
    pub fn set_transit_delay(&mut self, period: Millis, one_way: Millis) {
        self.transit = Transit { period, one_way };
    }

    /// Returns `true` if traffic between regions goes through carriers: nodes report in groups, and
    /// the groups span several regions.
    pub fn is_using_carriers(&self) -> bool {
        self.view.is_grouped && self.topology.is_multi_region()
    }

    /// Lists, for each other region, the nodes to which an aggregator sends its summaries: the
    /// first two aggregators that are heard.
    ///
    /// If none is heard, any of them may be back, so each turn returns the next two.
    pub fn list_carriers(&self, now: Millis, turn: usize) -> Vec<Vec<SocketAddr>> {
        if !self.is_using_carriers() {
            return Vec::new();
        }
        let regions = self.view.ranking.remote.values();
        regions.map(|ranked| self.list_carriers_of(now, turn, ranked)).collect()
    }

    /// Picks the node of each other region to which an aggregator sends its summary in this turn.
    ///
    /// The carriers of a region take turns. If no aggregator of the region is heard, all of them
    /// do.
    pub fn pick_carriers(&self, now: Millis, turn: usize) -> Vec<SocketAddr> {
        let regions = self.list_carriers(now, turn / CARRIERS_PER_REGION).into_iter();
        regions.filter_map(|region| region.get(turn % region.len().max(1)).copied()).collect()
    }

    fn list_carriers_of(&self, now: Millis, turn: usize, ranked: &[String]) -> Vec<SocketAddr> {
        let members: Vec<&Member> = ranked.iter().filter_map(|name| self.known.get(name)).collect();
        let heard = members.iter().filter(|member| self.is_heard(now, member));
        let heard: Vec<SocketAddr> =
            heard.map(|m| m.entry.address).take(CARRIERS_PER_REGION).collect();
        if !heard.is_empty() {
            return heard;
        }
        let first = turn * CARRIERS_PER_REGION % members.len().max(1);
        let next = members.iter().cycle().skip(first).take(CARRIERS_PER_REGION.min(members.len()));
        next.map(|member| member.entry.address).collect()
    }

    /// Returns the number of aggregators in this node's region, this one included.
    pub fn count_local_aggregators(&self) -> usize {
        let others = self.view.ranking.aggregators.iter().filter_map(|name| self.known.get(name));
        1 + others.filter(|member| self.topology.is_local(&member.entry.data_centre)).count()
    }

    /// Lists the nodes of other regions by address, with their regions.
    pub fn list_remote_nodes(&self) -> BTreeMap<SocketAddr, String> {
        let remote = self.known.values().filter_map(|member| {
            let region = self.get_remote_region(&member.entry)?;
            Some((member.entry.address, region.to_owned()))
        });
        remote.collect()
    }

    /// Records a summary from an aggregator of another region; returns `true` if it is newer than
    /// the previous ones.
    ///
    /// A summary may arrive through several carriers.
    ///
    /// It is recorded even if its content is ignored, because its sender does not hear this region.
    /// That the sender is no longer stopping must be known all the same: otherwise a node that was
    /// restarted would get no summaries of this region, and never hear it.
    pub fn record_remote_summary(&mut self, now: Millis, sender: &RemoteSender<'_>) -> bool {
        let RemoteSender { entry, is_stopping, sent } = *sender;
        self.add(now, entry);
        let Some(member) = self.known.get_mut(&entry.name) else { return false };
        let is_newer = member.newest.is_none_or(|newest| sent.is_after(newest));
        if is_newer {
            member.newest = Some(sent);
            member.crossed_at = Some(now);
            member.is_stopping = is_stopping;
        }
        is_newer
    }

    /// Lists the regions from which no summary arrives, not even an ignored one.
    ///
    /// Summaries to other regions contain this list, which shows a region that the connection
    /// failed in its direction only.
    pub fn list_unheard_regions(&self, now: Millis) -> Vec<String> {
        let Some(since) = self.aggregating_since else { return self.list_unreachable_regions() };
        let timeout = self.get_heard_timeout();
        let is_arriving = |member: &Member| member.crossed_at.is_some_and(|at| now < at + timeout);
        self.find_silent_regions(now, since, is_arriving).into_iter().collect()
    }

    /// Returns `true` if a node that does not hear these regions hears the region of this node.
    pub fn is_own_region_heard(&self, unheard_regions: &[String]) -> bool {
        !unheard_regions.iter().any(|region| region == self.topology.get_own_region())
    }

    /// Returns `true` if a region is overdue: nothing has arrived from it for several periods, but
    /// not all nodes count it as unreachable yet.
    pub fn is_region_overdue(&self, now: Millis) -> bool {
        if !self.is_using_carriers() {
            return false;
        }
        let mut heard_at: BTreeMap<&str, Millis> = BTreeMap::new();
        for member in self.known.values() {
            let region = self.get_remote_region(&member.entry);
            let Some((region, at)) = region.zip(member.heard_at) else { continue };
            let newest = heard_at.entry(region).or_default();
            *newest = at.max(*newest);
        }
        let period = REPORT_INTERVAL.max(Duration::from_millis(self.transit.period));
        let least = period.mul_f64(OVERDUE_SUMMARY_PERIODS).as_millis() as Millis;
        heard_at
            .into_values()
            .any(|at| (least..MAX_OVERDUE_AGE_MS).contains(&now.saturating_sub(at)))
    }

    /// Returns `true` if all other regions are unreachable, and a majority of the nodes of this
    /// region is heard.
    pub fn is_region_isolated(&self) -> bool {
        let has_other_regions = !self.view.ranking.remote.is_empty();
        let is_each_unreachable =
            self.view.ranking.remote.keys().all(|r| self.unreachable_regions.contains(r));
        has_other_regions && is_each_unreachable && 2 * self.view.heard > self.view.local_nodes
    }

    /// Lists the regions from which no node is heard.
    pub fn list_unreachable_regions(&self) -> Vec<String> {
        self.unreachable_regions.iter().cloned().collect()
    }

    /// Sets the regions that this node's aggregator does not hear.
    pub fn set_unreachable_regions(&mut self, from: &str, regions: Vec<String>) {
        if self.view.ranking.own_aggregator.as_deref() == Some(from) {
            self.unreachable_regions = regions.into_iter().collect();
        }
    }

    /// Updates the unreachable regions and keeps their nodes: nothing is known of those nodes, so
    /// none of them counts as silent or as gone.
    ///
    /// A node that is not an aggregator hears no other region, and keeps the regions that its
    /// aggregator reported.
    pub(super) fn update_unreachable_regions(&mut self, now: Millis) {
        if !self.topology.is_multi_region() {
            return;
        }
        let Some(since) = self.aggregating_since else { return };
        self.unreachable_regions =
            self.find_silent_regions(now, since, |member| self.is_heard(now, member));
        for member in self.known.values_mut() {
            if self.topology.is_in_any(&self.unreachable_regions, &member.entry.data_centre) {
                member.known_at = now;
                member.is_silent = false;
            }
        }
    }

    /// Finds the regions for whose nodes `is_heard` is never `true`.
    ///
    /// A node that became an aggregator at `since` finds no additional regions until it has had
    /// time to hear them.
    fn find_silent_regions(
        &self,
        now: Millis,
        since: Millis,
        is_heard: impl Fn(&Member) -> bool,
    ) -> BTreeSet<String> {
        let remote = self.known.values().filter_map(|member| {
            let region = self.get_remote_region(&member.entry)?;
            Some((region, is_heard(member)))
        });
        let mut is_any_heard: BTreeMap<&str, bool> = BTreeMap::new();
        for (region, heard) in remote {
            *is_any_heard.entry(region).or_default() |= heard;
        }
        let has_heard_all = now >= since + self.get_heard_timeout();
        let silent = is_any_heard.into_iter().filter(|(_, is_heard)| !is_heard);
        let unreachable = silent
            .filter(|(region, _)| has_heard_all || self.unreachable_regions.contains(*region));
        unreachable.map(|(region, _)| region.to_owned()).collect()
    }

    /// Returns `true` if a node is in an unreachable region.
    pub(super) fn is_unreachable(&self, entry: &Entry) -> bool {
        let region = self.get_remote_region(entry);
        region.is_some_and(|region| self.unreachable_regions.contains(region))
    }

    /// Returns the region of a node if it differs from the region of this node.
    pub(super) fn get_remote_region(&self, entry: &Entry) -> Option<&str> {
        let is_local = self.topology.is_local(&entry.data_centre);
        self.topology.get_region(&entry.data_centre).filter(|_| !is_local)
    }

    /// Returns how much longer a report takes from another region than from this node's own region.
    pub(super) fn get_extra_remote_delay(&self) -> Duration {
        if !self.topology.is_multi_region() {
            return Duration::ZERO;
        }
        let extra_period =
            Duration::from_millis(self.transit.period).saturating_sub(REPORT_INTERVAL);
        extra_period + Duration::from_millis(self.transit.one_way)
    }
}
