//! How much is asked of each service, over all nodes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// What one incarnation of a node was asked for since its start. The numbers only grow.
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

/// What one node, or a group of nodes, reports of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What it was asked for since its start.
    pub totals: DemandTotals,
    /// Requests that it has in flight at servers now.
    pub in_flight: u32,
}

/// What is asked of each service, over all nodes.
#[derive(Clone, Debug, Default)]
pub struct DemandBook {
    own: BTreeMap<String, Report>,
    peers: BTreeMap<(String, u64), Peer>,
    /// What the nodes that report to this one were asked for since it heard them first.
    group: BTreeMap<String, DemandTotals>,
    /// What all other nodes were asked for since this node heard them first.
    others: BTreeMap<String, DemandTotals>,
    /// Services of which some node was asked for something, also before this node heard it.
    touched: BTreeSet<String>,
    samples: BTreeMap<String, VecDeque<(Millis, DemandTotals)>>,
}

/// The last report of an incarnation of a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    is_member: bool,
    reported_at: Millis,
    latest: BTreeMap<String, Report>,
}

/// How long a peer's requests in flight count after its last report.
const IN_FLIGHT_VALID_FOR: Millis = 2_000;

/// How long samples are kept.
const KEPT: Millis = 30_000;
/// The time that a rate must cover at least.
const LEAST_COVERED: Millis = 1_500;

impl DemandBook {
    /// Counts a request to a service.
    pub fn count(&mut self, service: &str, request: &DemandTotals) {
        self.touched.insert(service.to_owned());
        self.own.entry(service.to_owned()).or_default().totals.add(request);
    }

    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, service: &str) {
        self.own.entry(service.to_owned()).or_default().in_flight += 1;
    }

    /// Counts that a request to a server has ended.
    pub fn end(&mut self, service: &str) {
        if let Some(own) = self.own.get_mut(service) {
            own.in_flight = own.in_flight.saturating_sub(1);
        }
    }

    /// Lists what this node and those that report to it were asked for.
    pub fn sum_group(&self, now: Millis) -> Vec<(String, Report)> {
        let services = self.own.keys().chain(self.group.keys());
        let services: BTreeSet<&String> = services.collect();
        let sum = |service: &String| {
            let mut report = self.own.get(service).copied().unwrap_or_default();
            report.totals.add(&self.group.get(service).copied().unwrap_or_default());
            report.in_flight += self.sum_in_flight(now, service, |peer| peer.is_member);
            (service.clone(), report)
        };
        services.into_iter().map(sum).collect()
    }

    /// Merges what an incarnation of a peer reports, for itself or for its group; `is_member` where
    /// it reports to this node.
    ///
    /// What it was asked for before it was first heard does not count: it would look like demand of
    /// that moment to a node that has just started.
    pub fn merge(
        &mut self,
        now: Millis,
        is_member: bool,
        from: (&str, u64),
        reports: &[(String, Report)],
    ) {
        let key = (from.0.to_owned(), from.1);
        let is_first = !self.peers.contains_key(&key);
        let peer = self.peers.entry(key).or_default();
        peer.reported_at = now;
        peer.is_member = is_member;
        for (service, report) in reports {
            if report.totals.requests > 0 {
                self.touched.insert(service.clone());
            }
            let before = peer.latest.insert(service.clone(), *report);
            let before = before.map_or_else(DemandTotals::default, |before| before.totals);
            if is_first {
                continue;
            }
            let sums = if is_member { &mut self.group } else { &mut self.others };
            sums.entry(service.clone()).or_default().add(&report.totals.minus(&before));
        }
    }

    /// Forgets an incarnation of a peer that is gone; what it was asked for still counts.
    pub fn forget(&mut self, peer: &str, incarnation: u64) {
        self.peers.remove(&(peer.to_owned(), incarnation));
    }

    /// Sums the requests to a service that all nodes have in flight at servers.
    pub fn get_in_flight(&self, now: Millis, service: &str) -> u32 {
        let own = self.own.get(service).map_or(0, |own| own.in_flight);
        own + self.sum_in_flight(now, service, |_| true)
    }

    fn sum_in_flight(&self, now: Millis, service: &str, counts: fn(&Peer) -> bool) -> u32 {
        let peers = self.peers.values().filter(|peer| counts(peer));
        let recent = peers.filter(|peer| now < peer.reported_at + IN_FLIGHT_VALID_FOR);
        recent.filter_map(|peer| peer.latest.get(service)).map(|report| report.in_flight).sum()
    }

    /// Notes the totals of all services now, for later rates.
    pub fn sample_all(&mut self, now: Millis) {
        let services = self.own.keys().chain(self.group.keys()).chain(self.others.keys());
        let services: BTreeSet<String> = services.cloned().collect();
        for service in &services {
            self.sample(now, service);
        }
    }

    /// Returns `true` if no node that is known was asked for anything of a service.
    pub fn is_untouched(&self, service: &str) -> bool {
        !self.touched.contains(service)
    }

    /// Notes the totals of a service now, for later rates.
    pub fn sample(&mut self, now: Millis, service: &str) {
        let mut total = self.own.get(service).copied().unwrap_or_default().totals;
        for sums in [&self.group, &self.others] {
            total.add(&sums.get(service).copied().unwrap_or_default());
        }
        let samples = self.samples.entry(service.to_owned()).or_default();
        samples.push_back((now, total));
        while samples.front().is_some_and(|(at, _)| at + KEPT < now) {
            samples.pop_front();
        }
    }

    /// Returns what was asked of a service within the latest `span`, and the time that it covers,
    /// which begins with the first request; `None` before that time is long enough to tell.
    pub fn within(
        &self,
        now: Millis,
        service: &str,
        span: Millis,
    ) -> Option<(DemandTotals, Millis)> {
        let samples = self.samples.get(service)?;
        let (last_at, last) = samples.back()?;
        let recent = || samples.iter().filter(|(at, _)| at + span >= now);
        // Before the first request there is no demand to average over.
        let before_first = recent().take_while(|(_, total)| total.requests == 0).last();
        let (first_at, first) = before_first.or_else(|| recent().next())?;
        let least = span.min(LEAST_COVERED);
        let covered = last_at.checked_sub(*first_at).filter(|covered| *covered >= least)?;
        Some((last.minus(first), covered))
    }
}
