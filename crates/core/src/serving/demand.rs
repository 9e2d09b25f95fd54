//! How much is asked of each service, over all nodes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// What one life of a node was asked for since its start. The numbers only grow.
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

/// What is asked of each service, over all nodes.
#[derive(Clone, Debug, Default)]
pub struct DemandBook {
    own: BTreeMap<String, DemandTotals>,
    peers: BTreeMap<(String, u64), PeerDemand>,
    samples: BTreeMap<String, VecDeque<(Millis, DemandTotals)>>,
}

/// What a life of a peer was asked for, by service.
#[derive(Clone, Debug, Default)]
struct PeerDemand {
    /// What it had been asked for when it was first heard.
    at_first: BTreeMap<String, DemandTotals>,
    latest: BTreeMap<String, DemandTotals>,
}

impl PeerDemand {
    /// Returns what it was asked for since it was first heard.
    fn get_since_first(&self, service: &str) -> DemandTotals {
        let latest = self.latest.get(service).copied().unwrap_or_default();
        let at_first = self.at_first.get(service).copied().unwrap_or_default();
        latest.minus(&at_first)
    }
}

/// How long samples are kept.
const KEPT: Millis = 30_000;
/// The time that a rate must cover at least.
const LEAST_COVERED: Millis = 1_500;

impl DemandBook {
    /// Counts a request to a service.
    pub fn count(&mut self, service: &str, request: &DemandTotals) {
        self.own.entry(service.to_owned()).or_default().add(request);
    }

    /// Lists what this life was asked for.
    pub fn get_own(&self) -> Vec<(String, DemandTotals)> {
        self.own.iter().map(|(service, totals)| (service.clone(), *totals)).collect()
    }

    /// Takes over what a life of a peer was asked for.
    ///
    /// What it was asked for before it was first heard does not count: it would look like demand of
    /// that moment to a node that has just started.
    pub fn merge(&mut self, peer: &str, life: u64, totals: &[(String, DemandTotals)]) {
        let totals: BTreeMap<String, DemandTotals> = totals.iter().cloned().collect();
        let known = self.peers.entry((peer.to_owned(), life));
        let known = known
            .or_insert_with(|| PeerDemand { at_first: totals.clone(), latest: BTreeMap::new() });
        known.latest = totals;
    }

    /// Notes the totals of all services now, for later rates.
    pub fn sample_all(&mut self, now: Millis) {
        let peers = self.peers.values().flat_map(|known| known.latest.keys());
        let services: BTreeSet<String> = peers.chain(self.own.keys()).cloned().collect();
        for service in &services {
            self.sample(now, service);
        }
    }

    /// Says whether no life of a node that is known was asked for anything of a service.
    pub fn is_untouched(&self, service: &str) -> bool {
        let peers = self.peers.values().map(|known| &known.latest);
        let mut totals = peers.chain([&self.own]).filter_map(|totals| totals.get(service));
        totals.all(|totals| totals.requests == 0)
    }

    /// Notes the totals of a service now, for later rates.
    pub fn sample(&mut self, now: Millis, service: &str) {
        let mut total = self.own.get(service).copied().unwrap_or_default();
        for known in self.peers.values() {
            total.add(&known.get_since_first(service));
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
