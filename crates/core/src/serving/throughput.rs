//! The prefill throughput of a service's servers, estimated from the time to the first token.
//!
//! Servers do not report their throughput. The time to the first token of a short prompt shows the
//! fixed costs. The additional time of a long prompt, relative to its tokens, is a sample of the
//! throughput: too low if the request had to wait, too high if more of its prompt was cached than
//! expected. A high quantile of the latest samples is close to the throughput of a server that is
//! not busy.
//!
//! Servers of one service differ. The samples of each server, of prompts that did not wait, show
//! how much longer it takes than the typical servers of the service.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Prompts with fewer tokens show the fixed costs.
const MAX_SHORT_PROMPT_TOKENS: u64 = 300;
/// Prompts with at least this many tokens show the throughput.
const MIN_LONG_PROMPT_TOKENS: u64 = 1_500;
const SAMPLE_CAPACITY: usize = 200;
/// Samples of long prompts that an estimate requires.
const MIN_SAMPLES: usize = 10;
const SAMPLE_TTL_MS: Millis = 30_000;
const RATE_QUANTILE: f64 = 0.7;
const FIXED_COST_QUANTILE: f64 = 0.3;

/// The latest samples of one service, from this node and its peers.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    short: VecDeque<(Millis, Sample)>,
    long: VecDeque<(Millis, Sample)>,
    servers: HashMap<u64, VecDeque<(Millis, Sample)>>,
    slowness: HashMap<u64, f64>,
    unreported: Vec<Sample>,
}

/// The time to the first token of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The short id of the server.
    pub server: u64,
    /// Whether no other prompt was known to wait at the server.
    pub is_alone: bool,
    /// Prompt tokens.
    pub tokens: u64,
    /// Milliseconds from dispatch to the first token.
    pub first_token_ms: Millis,
}

/// The number of samples in one report, including those of the group.
const REPORT_CAPACITY: usize = 8;
/// The number of samples of one server that are kept.
const SERVER_SAMPLE_CAPACITY: usize = 12;
/// Samples that a rating of a server requires.
const MIN_SERVER_SAMPLES: usize = 5;
/// The longest prompt that rates a server, exclusive: longer ones take disproportionately long.
const MAX_SERVER_SAMPLE_TOKENS: u64 = 15_000;
/// The quantile of a server's cost per token that rates the server. In slower samples the prompt
/// may have waited after all, or its shared prefix was not cached.
const SERVER_COST_QUANTILE: f64 = 0.2;
/// The quantile of all servers, from the fastest, that counts as typical.
const TYPICAL_SERVER_QUANTILE: f64 = 0.4;
/// The step to which slowness is rounded, so that noise does not make one server look better than
/// its peers.
const SLOWNESS_STEP: f64 = 0.25;
/// Servers with a lower slowness count as typical.
const MIN_SLOWNESS: f64 = 1.2;
const MAX_SLOWNESS: f64 = 8.0;

impl Throughput {
    /// Adds a sample of this node.
    pub fn add(&mut self, now: Millis, sample: Sample) {
        let is_inserted = self.insert(now, sample);
        if is_inserted && self.unreported.len() < REPORT_CAPACITY {
            self.unreported.push(sample);
        }
    }

    /// Adds a sample from a peer.
    pub fn merge(&mut self, now: Millis, sample: Sample) {
        self.insert(now, sample);
    }

    /// Adds a sample from a node of this node's group, which is reported to peers.
    pub fn merge_member(&mut self, now: Millis, sample: Sample) {
        self.add(now, sample);
    }

    /// Returns the samples of this node and its group that were not reported to peers yet, and
    /// clears them.
    pub fn take_unreported(&mut self) -> Vec<Sample> {
        std::mem::take(&mut self.unreported)
    }

    fn insert(&mut self, now: Millis, sample: Sample) -> bool {
        if sample.is_alone
            && (MIN_LONG_PROMPT_TOKENS..MAX_SERVER_SAMPLE_TOKENS).contains(&sample.tokens)
        {
            let samples = self.servers.entry(sample.server).or_default();
            push(samples, now, sample, SERVER_SAMPLE_CAPACITY);
        }
        let samples = match sample.tokens {
            ..MAX_SHORT_PROMPT_TOKENS => &mut self.short,
            MIN_LONG_PROMPT_TOKENS.. => &mut self.long,
            _ => return false,
        };
        push(samples, now, sample, SAMPLE_CAPACITY);
        true
    }

    /// Updates the ratings of all servers.
    pub fn rate_servers(&mut self, now: Millis) {
        for samples in self.servers.values_mut() {
            samples.retain(|(at, _)| at + SAMPLE_TTL_MS >= now);
        }
        self.servers.retain(|_, samples| !samples.is_empty());
        let fixed = self.get_fixed_ms();
        let cost = |sample: &Sample| {
            (sample.first_token_ms as f64 - fixed).max(0.0) / sample.tokens as f64
        };
        let enough = self.servers.iter().filter(|(_, s)| s.len() >= MIN_SERVER_SAMPLES);
        let costs = enough.filter_map(|(server, samples)| {
            Some((*server, quantile(samples.iter().map(|(_, s)| cost(s)), SERVER_COST_QUANTILE)?))
        });
        let costs: Vec<(u64, f64)> = costs.collect();
        let typical =
            quantile(costs.iter().map(|(_, cost)| *cost), TYPICAL_SERVER_QUANTILE).unwrap_or(0.0);
        let ratio = |cost: f64| if typical > 0.0 { cost / typical } else { 1.0 };
        self.slowness =
            costs.into_iter().map(|(server, cost)| (server, round_slowness(ratio(cost)))).collect();
    }

    /// Returns the time that a server takes to read a prompt, as a multiple of the service's
    /// typical servers, by its last rating. Returns 1 for typical and for unknown servers.
    pub fn get_slowness(&self, server: u64) -> f64 {
        self.slowness.get(&server).copied().unwrap_or(1.0)
    }

    /// Removes a server.
    pub fn forget(&mut self, server: u64) {
        self.servers.remove(&server);
        self.slowness.remove(&server);
    }

    /// Returns the prompt tokens that a server reads per millisecond.
    pub fn get_prefill_rate(&self) -> Option<f64> {
        if self.long.len() < MIN_SAMPLES {
            return None;
        }
        let fixed = self.get_fixed_ms();
        let speed = |(_, sample): &(Millis, Sample)| {
            sample.tokens as f64 / (sample.first_token_ms as f64 - fixed).max(1.0)
        };
        quantile(self.long.iter().map(speed), RATE_QUANTILE)
    }

    /// Returns the time to the first token of an empty prompt, in milliseconds.
    pub fn get_fixed_ms(&self) -> f64 {
        let times = self.short.iter().map(|(_, sample)| sample.first_token_ms as f64);
        quantile(times, FIXED_COST_QUANTILE).unwrap_or(0.0)
    }
}

/// Rounds the slowness of a server.
fn round_slowness(ratio: f64) -> f64 {
    if ratio < MIN_SLOWNESS {
        return 1.0;
    }
    let steps = (ratio / SLOWNESS_STEP).round();
    (steps * SLOWNESS_STEP).min(MAX_SLOWNESS)
}

/// Adds a sample, and removes samples that are expired or above the capacity.
fn push(samples: &mut VecDeque<(Millis, Sample)>, now: Millis, sample: Sample, capacity: usize) {
    samples.push_back((now, sample));
    while samples.len() > capacity
        || samples.front().is_some_and(|(at, _)| at + SAMPLE_TTL_MS < now)
    {
        samples.pop_front();
    }
}

fn quantile(values: impl Iterator<Item = f64>, fraction: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get((values.len() as f64 * fraction) as usize).copied()
}
