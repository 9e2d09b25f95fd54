//! The demand for each service over all nodes, by the region where requests arrive.
//!
//! Each node counts the requests of its own region, which its report names. An aggregator passes on
//! separate sums for each region, so its group may span several regions. Without regions, all nodes
//! count for one region with an empty name.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The demand that an incarnation of a node has seen since its start. The numbers only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandTotals {
    /// Requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens of responses, as callers expect them.
    pub output_tokens: u64,
}

impl DemandTotals {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }

    fn subtract(&self, other: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
        }
    }
}

/// A report on a service from a node, or from the nodes of a group that are in the same region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The region where the requests arrived; empty if there are no regions.
    pub region: String,
    /// The demand since the start.
    pub totals: DemandTotals,
    /// Requests that are in flight at servers.
    pub in_flight: u32,
}

/// Tracks the demand for each service over all nodes.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    /// The region of this node.
    region: String,
    /// The demand that arrived at this node, by service.
    own: BTreeMap<String, Counts>,
    peers: BTreeMap<(String, u64), Peer>,
    /// The demand at the nodes that report to this one, since this node first heard them.
    group: BTreeMap<Key, DemandTotals>,
    /// The demand at all other nodes, since this node first heard them.
    others: BTreeMap<Key, DemandTotals>,
    /// Services that had a request at any node, even before this node heard that node.
    requested: BTreeSet<String>,
    samples: BTreeMap<String, VecDeque<(Millis, RegionTotals)>>,
}

/// A service and the region where requests to it arrive.
type Key = (String, String);

/// The demand for a service in each region.
pub type RegionTotals = BTreeMap<String, DemandTotals>;

/// The counts for a service and a region.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// The demand since the start of the counting node.
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

/// The silence after which a peer is unreachable. Its requests in flight no longer count then.
const REACHABILITY_TIMEOUT_MS: Millis = 2_000;

/// How long samples are kept.
const SAMPLE_TTL_MS: Millis = 30_000;
/// The minimum time that a rate must cover.
const MIN_COVERED_TIME_MS: Millis = 1_500;

impl DemandTracker {
    /// Creates the tracker of a node in a region.
    pub fn new(region: &str) -> Self {
        Self { region: region.to_owned(), ..Self::default() }
    }

    /// Counts a request to a service.
    pub fn count(&mut self, service: &str, request: &DemandTotals) {
        self.requested.insert(service.to_owned());
        self.own.entry(service.to_owned()).or_default().totals.add(request);
    }

    /// Counts a request that was sent to a server.
    pub fn begin_request(&mut self, service: &str) {
        self.own.entry(service.to_owned()).or_default().in_flight += 1;
    }

    /// Counts the end of a request to a server.
    pub fn end_request(&mut self, service: &str) {
        if let Some(own) = self.own.get_mut(service) {
            own.in_flight = own.in_flight.saturating_sub(1);
        }
    }

    /// Lists the demand at this node and at the nodes that report to it, by service and region.
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

    /// Returns the demand at this node if the key names its own region.
    fn get_own(&self, (service, region): &Key) -> Counts {
        let own = self.own.get(service).filter(|_| *region == self.region);
        own.copied().unwrap_or_default()
    }

    /// Merges the reports of an incarnation of a peer, for itself or for its group.
    ///
    /// `is_member` is `true` if the peer reports to this node.
    ///
    /// Requests that arrived before the peer was first heard do not count: to a node that has just
    /// started, they would look like demand of that moment. Requests that arrived while the peer
    /// was unreachable do not count either: after a partition of a minute, they would look like
    /// many times the demand.
    pub fn merge(
        &mut self,
        now: Millis,
        is_member: bool,
        from: (&str, u64),
        reports: &[(String, Report)],
    ) {
        let key = (from.0.to_owned(), from.1);
        let known = self.peers.get(&key);
        let is_reachable =
            known.is_some_and(|peer| now < peer.reported_at + REACHABILITY_TIMEOUT_MS);
        let peer = self.peers.entry(key).or_default();
        peer.reported_at = now;
        peer.is_member = is_member;
        for (service, report) in reports {
            if report.totals.requests > 0 {
                self.requested.insert(service.clone());
            }
            let key = (service.clone(), report.region.clone());
            let latest = Counts { totals: report.totals, in_flight: report.in_flight };
            let before = peer.latest.insert(key.clone(), latest);
            let before = before.map_or_else(DemandTotals::default, |before| before.totals);
            if !is_reachable {
                continue;
            }
            let sums = if is_member { &mut self.group } else { &mut self.others };
            sums.entry(key).or_default().add(&report.totals.subtract(&before));
        }
    }

    /// Forgets an incarnation of a peer that has left; its demand still counts.
    pub fn forget(&mut self, peer: &str, incarnation: u64) {
        self.peers.remove(&(peer.to_owned(), incarnation));
    }

    /// Returns the number of requests to a service that all nodes have in flight at servers, by the
    /// region where they arrived.
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
        let recent = peers.filter(|peer| now < peer.reported_at + REACHABILITY_TIMEOUT_MS);
        recent.filter_map(|peer| peer.latest.get(key)).map(|latest| latest.in_flight).sum()
    }

    /// Samples the totals of all services, for later rates.
    pub fn sample_all(&mut self, now: Millis) {
        let others = self.group.keys().chain(self.others.keys()).map(|key| &key.0);
        let services: BTreeSet<String> = self.own.keys().chain(others).cloned().collect();
        for service in &services {
            self.sample(now, service);
        }
    }

    /// Returns `true` if no known node has seen a request for a service.
    pub fn is_never_requested(&self, service: &str) -> bool {
        !self.requested.contains(service)
    }

    /// Samples the totals of a service, for later rates.
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
        while samples.front().is_some_and(|(at, _)| at + SAMPLE_TTL_MS < now) {
            samples.pop_front();
        }
    }

    /// Returns the demand for a service within the latest `span`, by the region where it arrived,
    /// and the time that it covers.
    ///
    /// That time starts with the first request. Returns `None` while it is too short for a rate.
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
        let least = span.min(MIN_COVERED_TIME_MS);
        let covered = last_at.checked_sub(*first_at).filter(|covered| *covered >= least)?;
        let since_first = |(region, total): (&String, &DemandTotals)| {
            let first = first.get(region).copied().unwrap_or_default();
            (region.clone(), total.subtract(&first))
        };
        Some((last.iter().map(since_first).collect(), covered))
    }
}
