//! The demand for each service, over all nodes, by the region where requests arrive.
//!
//! Each node counts for its own region, and its report names that region. The sums that an aggregator
//! passes on stay apart by region, so that a group may hold nodes of several. Where no regions are
//! known, all nodes count for one without a name.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The demand that one incarnation of a node has seen since its start. The numbers only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandTotals {
    /// Requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens of answers, as far as callers expect.
    pub output_tokens: u64,
}

impl DemandTotals {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }

    fn minus(&self, other: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
        }
    }
}

/// What one node, or the nodes of a group that stand in one region, report of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The region where the requests arrived; empty where no regions are known.
    pub region: String,
    /// Its demand since its start.
    pub totals: DemandTotals,
    /// Requests that it has in flight at servers now.
    pub in_flight: u32,
}

/// The demand for each service, over all nodes.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    /// The region that this node stands in.
    region: String,
    /// What arrived at this node itself, by service.
    own: BTreeMap<String, Counts>,
    peers: BTreeMap<(String, u64), Peer>,
    /// The demand at the nodes that report to this one, since it heard them first.
    group: BTreeMap<Key, DemandTotals>,
    /// The demand at all other nodes, since this node heard them first.
    others: BTreeMap<Key, DemandTotals>,
    /// Services that had a request at some node, also before this node heard that node.
    touched: BTreeSet<String>,
    samples: BTreeMap<String, VecDeque<(Millis, RegionTotals)>>,
}

/// A service and the region where requests to it arrive.
type Key = (String, String);

/// The demand for a service in each region.
pub type RegionTotals = BTreeMap<String, DemandTotals>;

/// The counts of one service and one region.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// The demand since the start of the node that counts.
    totals: DemandTotals,
    /// Requests in flight at servers now.
    in_flight: u32,
}

/// The last report of an incarnation of a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    is_member: bool,
    reported_at: Millis,
    latest: BTreeMap<Key, Counts>,
}

/// The silence after which a peer is out of reach, in milliseconds. Its requests in flight no longer
/// count then.
const OUT_OF_REACH_AFTER: Millis = 2_000;

/// How long samples are kept, in milliseconds.
const KEPT: Millis = 30_000;
/// The least time that a rate must cover, in milliseconds.
const LEAST_COVERED: Millis = 1_500;

impl DemandTracker {
    /// Makes the book of a node that stands in a region.
    pub fn new(region: &str) -> Self {
        Self { region: region.to_owned(), ..Self::default() }
    }

    /// Counts a request to a service.
    pub fn count(&mut self, service: &str, request: &DemandTotals) {
        self.touched.insert(service.to_owned());
        self.own.entry(service.to_owned()).or_default().totals.add(request);
    }

    /// Counts a request that is sent to a server.
    pub fn begin_request(&mut self, service: &str) {
        self.own.entry(service.to_owned()).or_default().in_flight += 1;
    }

    /// Counts that a request to a server has ended.
    pub fn end_request(&mut self, service: &str) {
        if let Some(own) = self.own.get_mut(service) {
            own.in_flight = own.in_flight.saturating_sub(1);
        }
    }

    /// Lists the demand at this node and those that report to it, by service and region.
    pub fn sum_group(&self, now: Millis) -> Vec<(String, Report)> {
        let own = self.own.keys().map(|service| (service.clone(), self.region.clone()));
        let keys: BTreeSet<Key> = own.chain(self.group.keys().cloned()).collect();
        let sum = |key: Key| {
            let own = self.get_own(&key);
            let mut totals = own.totals;
            totals.add(&self.group.get(&key).copied().unwrap_or_default());
            let in_flight = own.in_flight + self.sum_in_flight(now, &key, |peer| peer.is_member);
            let (service, region) = key;
            (service, Report { region, totals, in_flight })
        };
        keys.into_iter().map(sum).collect()
    }

    /// Returns the demand at this node itself, if the key names its own region.
    fn get_own(&self, (service, region): &Key) -> Counts {
        let own = self.own.get(service).filter(|_| *region == self.region);
        own.copied().unwrap_or_default()
    }

    /// Merges what an incarnation of a peer reports, for itself or for its group; `is_member` where
    /// it reports to this node.
    ///
    /// Requests that arrived there before it was first heard do not count: they would look like demand
    /// of that moment to a node that has just started. Neither do those that arrived while it was out
    /// of reach: after a cut of a minute they would look like many times the demand.
    pub fn merge(
        &mut self,
        now: Millis,
        is_member: bool,
        from: (&str, u64),
        reports: &[(String, Report)],
    ) {
        let key = (from.0.to_owned(), from.1);
        let known = self.peers.get(&key);
        let is_in_reach = known.is_some_and(|peer| now < peer.reported_at + OUT_OF_REACH_AFTER);
        let peer = self.peers.entry(key).or_default();
        peer.reported_at = now;
        peer.is_member = is_member;
        for (service, report) in reports {
            if report.totals.requests > 0 {
                self.touched.insert(service.clone());
            }
            let key = (service.clone(), report.region.clone());
            let latest = Counts { totals: report.totals, in_flight: report.in_flight };
            let before = peer.latest.insert(key.clone(), latest);
            let before = before.map_or_else(DemandTotals::default, |before| before.totals);
            if !is_in_reach {
                continue;
            }
            let sums = if is_member { &mut self.group } else { &mut self.others };
            sums.entry(key).or_default().add(&report.totals.minus(&before));
        }
    }

    /// Forgets an incarnation of a peer that is gone; its demand still counts.
    pub fn forget(&mut self, peer: &str, incarnation: u64) {
        self.peers.remove(&(peer.to_owned(), incarnation));
    }

    /// Sums the requests to a service that all nodes have in flight at servers, by the region where
    /// they arrived.
    pub fn get_in_flight(&self, now: Millis, service: &str) -> BTreeMap<String, u32> {
        let peers = self.peers.values().flat_map(|peer| peer.latest.keys());
        let regions = peers.filter(|key| key.0 == service).map(|key| key.1.clone());
        let regions: BTreeSet<String> = regions.chain([self.region.clone()]).collect();
        let sum = |region: String| {
            let key = (service.to_owned(), region);
            let in_flight = self.get_own(&key).in_flight + self.sum_in_flight(now, &key, |_| true);
            (key.1, in_flight)
        };
        regions.into_iter().map(sum).collect()
    }

    fn sum_in_flight(&self, now: Millis, key: &Key, counts: fn(&Peer) -> bool) -> u32 {
        let peers = self.peers.values().filter(|peer| counts(peer));
        let recent = peers.filter(|peer| now < peer.reported_at + OUT_OF_REACH_AFTER);
        recent.filter_map(|peer| peer.latest.get(key)).map(|latest| latest.in_flight).sum()
    }

    /// Notes the totals of all services now, for later rates.
    pub fn sample_all(&mut self, now: Millis) {
        let others = self.group.keys().chain(self.others.keys()).map(|key| &key.0);
        let services: BTreeSet<String> = self.own.keys().chain(others).cloned().collect();
        for service in &services {
            self.sample(now, service);
        }
    }

    /// Returns `true` if no known node has seen a request for a service.
    pub fn is_never_requested(&self, service: &str) -> bool {
        !self.touched.contains(service)
    }

    /// Notes the totals of a service now, for later rates.
    pub fn sample(&mut self, now: Millis, service: &str) {
        let own = self.own.get(service).copied().unwrap_or_default().totals;
        let mut totals = RegionTotals::from([(self.region.clone(), own)]);
        for sums in [&self.group, &self.others] {
            for ((_, region), sum) in sums.iter().filter(|(key, _)| key.0 == service) {
                totals.entry(region.clone()).or_default().add(sum);
            }
        }
        let samples = self.samples.entry(service.to_owned()).or_default();
        samples.push_back((now, totals));
        while samples.front().is_some_and(|(at, _)| at + KEPT < now) {
            samples.pop_front();
        }
    }

    /// Returns the demand for a service within the latest `span`, by the region where it arrived, and
    /// the time that it covers, which begins with the first request; `None` before that time is long
    /// enough for a rate.
    pub fn get_recent(
        &self,
        now: Millis,
        service: &str,
        span: Millis,
    ) -> Option<(RegionTotals, Millis)> {
        let samples = self.samples.get(service)?;
        let (last_at, last) = samples.back()?;
        let recent = || samples.iter().filter(|(at, _)| at + span >= now);
        let is_before_first =
            |totals: &RegionTotals| totals.values().all(|total| total.requests == 0);
        // Before the first request there is no demand to average over.
        let before_first = recent().take_while(|(_, totals)| is_before_first(totals)).last();
        let (first_at, first) = before_first.or_else(|| recent().next())?;
        let least = span.min(LEAST_COVERED);
        let covered = last_at.checked_sub(*first_at).filter(|covered| *covered >= least)?;
        let since_first = |(region, total): (&String, &DemandTotals)| {
            let first = first.get(region).copied().unwrap_or_default();
            (region.clone(), total.minus(&first))
        };
        Some((last.iter().map(since_first).collect(), covered))
    }
}
