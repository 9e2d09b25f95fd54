//! Counts of responses and their latencies.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// The longest latency that is recorded exactly, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant digits of latencies. A version counts as slow from about 1.5 times the latency.
const SIGNIFICANT_DIGITS: u8 = 1;

/// A histogram of latencies in milliseconds, with one significant digit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "LatencyCounts", into = "LatencyCounts")]
pub struct Latencies(Histogram<u32>);

/// Latencies as they are sent: each value with its count.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LatencyCounts(Vec<(u64, u32)>);

impl Default for Latencies {
    #[expect(clippy::expect_used, reason = "the bounds are constants that the histogram takes")]
    fn default() -> Self {
        Self(
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
                .expect("valid bounds"),
        )
    }
}

impl From<LatencyCounts> for Latencies {
    fn from(counts: LatencyCounts) -> Self {
        let mut latencies = Self::default();
        for (value, count) in counts.0 {
            latencies.0.saturating_record_n(value, count);
        }
        latencies
    }
}

impl From<Latencies> for LatencyCounts {
    fn from(latencies: Latencies) -> Self {
        let counts = latencies.0.iter_recorded();
        Self(counts.map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value())).collect())
    }
}

impl Latencies {
    /// Adds a latency.
    pub fn record(&mut self, latency: Millis) {
        self.0.saturating_record(latency.max(1));
    }

    /// Returns the number of latencies.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns `true` if there are no latencies.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the latency that the given fraction of all latencies do not exceed.
    pub fn get_quantile(&self, fraction: f64) -> Millis {
        self.0.value_at_quantile(fraction)
    }

    /// Counts the latencies above `above`, up to `up_to`.
    pub fn count_between(&self, above: f64, up_to: f64) -> u64 {
        let up_to = up_to.min(MAX_LATENCY_MS as f64) as u64;
        let above = above.min(MAX_LATENCY_MS as f64) as u64;
        if up_to <= above {
            return 0;
        }
        self.0.count_between(above + 1, up_to)
    }

    /// Returns the fraction of all latencies that are above `above`, up to `up_to`.
    pub fn get_frequency(&self, above: f64, up_to: f64) -> f64 {
        self.count_between(above, up_to) as f64 / self.len().max(1) as f64
    }

    fn add(&mut self, other: &Self) {
        for bucket in other.0.iter_recorded() {
            self.0.saturating_record_n(bucket.value_iterated_to(), bucket.count_at_value());
        }
    }

    /// Returns the latencies since an earlier state, or none if the earlier state has more,
    /// because a counted node is gone.
    fn since(&self, before: &Self) -> Self {
        let mut added = self.0.clone();
        match added.subtract(&before.0) {
            Ok(()) => Self(added),
            Err(_) => Self::default(),
        }
    }
}

/// Responses of the servers of some version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Good responses.
    pub good: u64,
    /// Responses that failed, broke off, or did not arrive.
    pub failed: u64,
    /// Responses that broke off because the process of their server ended.
    pub interrupted: u64,
    /// Latencies of good responses, except those of servers that just started.
    pub latencies: Latencies,
}

impl Tally {
    /// Counts a good response, with its latency if that is known to be typical.
    pub fn record_success(&mut self, latency: Option<Millis>) {
        self.good += 1;
        if let Some(latency) = latency {
            self.latencies.record(latency);
        }
    }

    /// Counts a failed response.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }

    /// Counts a response that broke off because the process of its server ended.
    pub fn record_interruption(&mut self) {
        self.interrupted += 1;
    }

    /// Returns the number of responses, without interrupted ones, which say nothing of responses.
    pub fn len(&self) -> u64 {
        self.good + self.failed
    }

    /// Returns `true` if there are no responses.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        self.interrupted += other.interrupted;
        self.latencies.add(&other.latencies);
    }

    /// Returns the difference from an earlier state.
    fn since(&self, before: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(before.good),
            failed: self.failed.saturating_sub(before.failed),
            interrupted: self.interrupted.saturating_sub(before.interrupted),
            latencies: self.latencies.since(&before.latencies),
        }
    }
}

/// The part of a response that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Until the first token; for a response that is not streamed, until its end.
    FirstToken,
    /// The rest of a stream: the mean time between two chunks, in milliseconds.
    Stream,
}

/// The unit of comparison between versions: responses of one route, in one phase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Series {
    /// The route's name.
    pub route: String,
    /// The phase.
    pub phase: Phase,
}

/// Responses of the target version and of the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Responses of the target version.
    pub target: Tally,
    /// Responses of all other versions.
    pub baseline: Tally,
}

impl Comparison {
    /// Returns the difference from an earlier state.
    pub(super) fn since(&self, before: &Self) -> Self {
        Self {
            target: self.target.since(&before.target),
            baseline: self.baseline.since(&before.baseline),
        }
    }
}

/// Responses of a service since a rollout was ordered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tallies(BTreeMap<Series, Comparison>);

impl Tallies {
    /// Returns the tally of a series, for the target version or for the others.
    pub fn get_mut(&mut self, series: Series, is_target: bool) -> &mut Tally {
        let comparison = self.0.entry(series).or_default();
        if is_target { &mut comparison.target } else { &mut comparison.baseline }
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Self) {
        for (series, comparison) in &other.0 {
            let sum = self.0.entry(series.clone()).or_default();
            sum.target.add(&comparison.target);
            sum.baseline.add(&comparison.baseline);
        }
    }

    /// Iterates over all series.
    pub fn iter(&self) -> impl Iterator<Item = (&Series, &Comparison)> {
        self.0.iter()
    }

    /// Returns the number of failures of the target version, in all phases.
    pub fn count_failed(&self) -> u64 {
        self.0.values().map(|comparison| comparison.target.failed).sum()
    }

    /// Returns the number of interrupted responses of the target version and of the others, in all
    /// phases.
    pub(super) fn count_interrupted(&self) -> (u64, u64) {
        let count = |tally: fn(&Comparison) -> &Tally| {
            self.0.values().map(|comparison| tally(comparison).interrupted).sum()
        };
        (count(|comparison| &comparison.target), count(|comparison| &comparison.baseline))
    }

    /// Returns the latency to the first token that the given fraction of all responses of the target
    /// version, or of the others, do not exceed; `None` without responses.
    pub fn get_first_token_quantile(&self, is_target: bool, fraction: f64) -> Option<Millis> {
        let mut latencies = Latencies::default();
        for comparison in self.iter_first_tokens() {
            let tally = if is_target { &comparison.target } else { &comparison.baseline };
            latencies.add(&tally.latencies);
        }
        (!latencies.is_empty()).then(|| latencies.get_quantile(fraction))
    }

    /// Returns the number of responses of the target version. Each counts once, with its first
    /// token.
    pub fn count_target(&self) -> u64 {
        self.iter_first_tokens().map(|comparison| comparison.target.len()).sum()
    }

    /// Returns the number of responses of the others. Each counts once, with its first token.
    pub fn count_others(&self) -> u64 {
        self.iter_first_tokens().map(|comparison| comparison.baseline.len()).sum()
    }

    fn iter_first_tokens(&self) -> impl Iterator<Item = &Comparison> {
        let first = self.0.iter().filter(|(series, _)| series.phase == Phase::FirstToken);
        first.map(|(_, comparison)| comparison)
    }
}
