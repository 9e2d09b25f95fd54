//! The prefill throughput of a service's servers, estimated from the time to the first token.
//!
//! No server reports its throughput. The time to the first token of a short prompt shows the fixed
//! costs. What a long prompt takes beyond that, over its tokens, is a sample of the throughput: too
//! low where the request had to wait, too high where more of its prompt was cached than expected. A
//! high quantile of the latest samples is close to the throughput of a server that is not busy.
//!
//! Servers of one service differ. Each server's own samples, of prompts that did not wait, show how
//! many times longer than the service's typical servers it takes.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Prompts shorter than this show the fixed costs.
const SHORT_TOKENS: u64 = 300;
/// Prompts longer than this show the throughput.
const LONG_TOKENS: u64 = 1_500;
const MOST_SAMPLES: usize = 200;
/// Samples of long prompts before there is an estimate.
const LEAST_SAMPLES: usize = 10;
const KEPT: Millis = 30_000;
const RATE_QUANTILE: f64 = 0.7;
const COST_QUANTILE: f64 = 0.3;

/// The latest samples of one service: this node's own, and those that its peers reported.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    short: VecDeque<(Millis, Sample)>,
    long: VecDeque<(Millis, Sample)>,
    servers: HashMap<u64, VecDeque<(Millis, Sample)>>,
    slowness: HashMap<u64, f64>,
    unreported: Vec<Sample>,
}

/// How long the first token of one answer took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The server, by its short name.
    pub server: u64,
    /// Whether no other prompt was known to wait at the server.
    pub is_alone: bool,
    /// Prompt tokens.
    pub tokens: u64,
    /// Milliseconds from dispatch to the first token.
    pub first_token_ms: Millis,
}

/// The most samples in one report, those of the group included.
const MOST_REPORTED: usize = 8;
/// The samples of one server that are kept.
const SERVER_SAMPLES: usize = 12;
/// Samples of a server before it is rated.
const LEAST_SERVER_SAMPLES: usize = 5;
/// Longer prompts take more than in proportion to their tokens.
const MOST_SERVER_TOKENS: u64 = 15_000;
/// The quantile of a server's cost for a token that rates it: in the others the prompt may have
/// waited all the same, or its shared prefix was not cached.
const COST_OF_SERVER: f64 = 0.2;
/// The quantile of all servers, from the fastest on, that counts as typical.
const TYPICAL_SERVER: f64 = 0.4;
/// Servers are rated in steps, so that chance does not make one look better than its peers.
const SLOWNESS_STEP: f64 = 0.25;
/// A server that is less slow than this is a typical one.
const LEAST_SLOWNESS: f64 = 1.2;
const MOST_SLOWNESS: f64 = 8.0;

impl Throughput {
    /// Adds a sample of this node's own.
    pub fn add(&mut self, now: Millis, sample: Sample) {
        let is_kept = self.keep(now, sample);
        if is_kept && self.unreported.len() < MOST_REPORTED {
            self.unreported.push(sample);
        }
    }

    /// Adds a sample that a peer reported.
    pub fn merge(&mut self, now: Millis, sample: Sample) {
        self.keep(now, sample);
    }

    /// Adds a sample that a node of this node's group reported, and reports it to others.
    pub fn merge_member(&mut self, now: Millis, sample: Sample) {
        self.add(now, sample);
    }

    /// Takes the samples of this node and its group that were not reported to peers yet.
    pub fn take_unreported(&mut self) -> Vec<Sample> {
        std::mem::take(&mut self.unreported)
    }

    fn keep(&mut self, now: Millis, sample: Sample) -> bool {
        if sample.is_alone && (LONG_TOKENS..MOST_SERVER_TOKENS).contains(&sample.tokens) {
            let samples = self.servers.entry(sample.server).or_default();
            push(samples, now, sample, SERVER_SAMPLES);
        }
        let samples = match sample.tokens {
            ..SHORT_TOKENS => &mut self.short,
            LONG_TOKENS.. => &mut self.long,
            _ => return false,
        };
        push(samples, now, sample, MOST_SAMPLES);
        true
    }

    /// Rates all servers again.
    pub fn rate_servers(&mut self, now: Millis) {
        for samples in self.servers.values_mut() {
            samples.retain(|(at, _)| at + KEPT >= now);
        }
        self.servers.retain(|_, samples| !samples.is_empty());
        let fixed = self.get_fixed_ms();
        let cost = |sample: &Sample| {
            (sample.first_token_ms as f64 - fixed).max(0.0) / sample.tokens as f64
        };
        let enough = self.servers.iter().filter(|(_, s)| s.len() >= LEAST_SERVER_SAMPLES);
        let costs = enough.filter_map(|(server, samples)| {
            Some((*server, quantile(samples.iter().map(|(_, s)| cost(s)), COST_OF_SERVER)?))
        });
        let costs: Vec<(u64, f64)> = costs.collect();
        let typical = quantile(costs.iter().map(|(_, cost)| *cost), TYPICAL_SERVER).unwrap_or(0.0);
        let ratio = |cost: f64| if typical > 0.0 { cost / typical } else { 1.0 };
        self.slowness =
            costs.into_iter().map(|(server, cost)| (server, to_step(ratio(cost)))).collect();
    }

    /// Returns how many times longer than the service's typical servers a server takes to read a
    /// prompt, as it was last rated; 1 where it is one of them, or not known.
    pub fn get_slowness(&self, server: u64) -> f64 {
        self.slowness.get(&server).copied().unwrap_or(1.0)
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: u64) {
        self.servers.remove(&server);
        self.slowness.remove(&server);
    }

    /// Returns the prompt tokens that a server reads in a millisecond.
    pub fn get_prefill_rate(&self) -> Option<f64> {
        if self.long.len() < LEAST_SAMPLES {
            return None;
        }
        let fixed = self.get_fixed_ms();
        let speed = |(_, sample): &(Millis, Sample)| {
            sample.tokens as f64 / (sample.first_token_ms as f64 - fixed).max(1.0)
        };
        quantile(self.long.iter().map(speed), RATE_QUANTILE)
    }

    /// Returns the time to the first token of a prompt without tokens, in milliseconds.
    pub fn get_fixed_ms(&self) -> f64 {
        let times = self.short.iter().map(|(_, sample)| sample.first_token_ms as f64);
        quantile(times, COST_QUANTILE).unwrap_or(0.0)
    }
}

/// Rounds how slow a server is.
fn to_step(ratio: f64) -> f64 {
    if ratio < LEAST_SLOWNESS {
        return 1.0;
    }
    let steps = (ratio / SLOWNESS_STEP).round();
    (steps * SLOWNESS_STEP).min(MOST_SLOWNESS)
}

/// Adds a sample; the oldest leave where there are too many, or where they are too old.
fn push(samples: &mut VecDeque<(Millis, Sample)>, now: Millis, sample: Sample, most: usize) {
    samples.push_back((now, sample));
    while samples.len() > most || samples.front().is_some_and(|(at, _)| at + KEPT < now) {
        samples.pop_front();
    }
}

fn quantile(values: impl Iterator<Item = f64>, part: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get((values.len() as f64 * part) as usize).copied()
}
