//! How much is asked of each service, over all nodes.

use std::collections::{BTreeMap, VecDeque};

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
    peers: BTreeMap<(String, u64), BTreeMap<String, DemandTotals>>,
    samples: BTreeMap<String, VecDeque<(Millis, DemandTotals)>>,
}

/// How long samples are kept.
const KEPT: Millis = 30_000;

impl DemandBook {
    /// Counts a request to a service.
    pub fn count(&mut self, service: &str, prompt_tokens: u64, output_tokens: u64) {
        let totals = DemandTotals { requests: 1, prompt_tokens, output_tokens };
        self.own.entry(service.to_owned()).or_default().add(&totals);
    }

    /// Lists what this life was asked for.
    pub fn get_own(&self) -> Vec<(String, DemandTotals)> {
        self.own.iter().map(|(service, totals)| (service.clone(), *totals)).collect()
    }

    /// Takes over what a life of a peer was asked for.
    pub fn hear(&mut self, peer: &str, life: u64, totals: &[(String, DemandTotals)]) {
        let totals = totals.iter().cloned().collect();
        self.peers.insert((peer.to_owned(), life), totals);
    }

    /// Notes the totals of a service now, for later rates.
    pub fn sample(&mut self, now: Millis, service: &str) {
        let mut total = self.own.get(service).copied().unwrap_or_default();
        for known in self.peers.values().filter_map(|services| services.get(service)) {
            total.add(known);
        }
        let samples = self.samples.entry(service.to_owned()).or_default();
        samples.push_back((now, total));
        while samples.front().is_some_and(|(at, _)| at + KEPT < now) {
            samples.pop_front();
        }
    }

    /// Returns what was asked of a service within the latest `span`, and the time that it covers.
    pub fn within(
        &self,
        now: Millis,
        service: &str,
        span: Millis,
    ) -> Option<(DemandTotals, Millis)> {
        let samples = self.samples.get(service)?;
        let (last_at, last) = samples.back()?;
        let (first_at, first) = samples.iter().find(|(at, _)| at + span >= now)?;
        let covered = last_at.checked_sub(*first_at).filter(|covered| *covered > 0)?;
        Some((last.minus(first), covered))
    }
}
