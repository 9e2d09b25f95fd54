//! Counts of answers, and of how long they took.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// The longest latency that is recorded as it is, in milliseconds.
const LONGEST: u64 = 60_000;
/// Significant digits of latencies: a version counts as slow from about half as much again.
const DIGITS: u8 = 1;

/// Latencies in milliseconds, with one significant digit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Recorded", into = "Recorded")]
pub struct Latencies(Histogram<u32>);

/// Latencies as they are sent: each value with its count.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Recorded(Vec<(u64, u32)>);

impl Default for Latencies {
    #[expect(clippy::expect_used, reason = "the bounds are constants that the histogram takes")]
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("valid bounds"))
    }
}

impl From<Recorded> for Latencies {
    fn from(recorded: Recorded) -> Self {
        let mut latencies = Self::default();
        for (value, count) in recorded.0 {
            latencies.0.saturating_record_n(value, count);
        }
        latencies
    }
}

impl From<Latencies> for Recorded {
    fn from(latencies: Latencies) -> Self {
        let recorded = latencies.0.iter_recorded();
        Self(recorded.map(|step| (step.value_iterated_to(), step.count_at_value())).collect())
    }
}

impl Latencies {
    /// Adds a latency.
    pub fn record(&mut self, latency: Millis) {
        self.0.saturating_record(latency.max(1));
    }

    /// Returns how many there are.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns `true` if there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the latency that a fraction of all do not exceed.
    pub fn get_quantile(&self, fraction: f64) -> Millis {
        self.0.value_at_quantile(fraction)
    }

    /// Counts those above a latency, up to another.
    pub fn count_between(&self, above: f64, up_to: f64) -> u64 {
        let up_to = up_to.min(LONGEST as f64) as u64;
        let above = above.min(LONGEST as f64) as u64;
        if up_to <= above {
            return 0;
        }
        self.0.count_between(above + 1, up_to)
    }

    /// Returns which fraction of all lies above a latency, up to another.
    pub fn get_frequency(&self, above: f64, up_to: f64) -> f64 {
        self.count_between(above, up_to) as f64 / self.len().max(1) as f64
    }

    fn add(&mut self, other: &Self) {
        for step in other.0.iter_recorded() {
            self.0.saturating_record_n(step.value_iterated_to(), step.count_at_value());
        }
    }

    /// Returns what was added since an earlier state of these; none where that holds more, because
    /// a node that was counted is gone.
    fn since(&self, before: &Self) -> Self {
        let mut added = self.0.clone();
        match added.subtract(&before.0) {
            Ok(()) => Self(added),
            Err(_) => Self::default(),
        }
    }
}

/// Answers of the servers of some version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Good answers.
    pub good: u64,
    /// Answers that failed, broke off, or did not come.
    pub failed: u64,
    /// Latencies of good answers, but for those of servers that have just started.
    pub latencies: Latencies,
}

impl Tally {
    /// Counts a good answer, with its latency where that is known to be typical.
    pub fn record_success(&mut self, latency: Option<Millis>) {
        self.good += 1;
        if let Some(latency) = latency {
            self.latencies.record(latency);
        }
    }

    /// Counts a failed answer.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }

    /// Returns the number of answers.
    pub fn len(&self) -> u64 {
        self.good + self.failed
    }

    /// Returns `true` if there are no answers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        self.latencies.add(&other.latencies);
    }

    /// Returns what was added since an earlier state of this tally.
    pub(super) fn since(&self, before: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(before.good),
            failed: self.failed.saturating_sub(before.failed),
            latencies: self.latencies.since(&before.latencies),
        }
    }
}

/// Which part of an answer is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Until the first token, or the whole answer where it is no stream.
    FirstToken,
    /// The rest of a stream: the mean time between two pieces, in milliseconds.
    Stream,
}

/// What is compared between versions: answers of one route, in one phase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Series {
    /// The route's name.
    pub route: String,
    /// The phase.
    pub phase: Phase,
}

/// Answers of the new version and of the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Those of the new version.
    pub target: Tally,
    /// Those of all others.
    pub baseline: Tally,
}

/// Answers of a service since a roll-out was ordered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tallies(BTreeMap<Series, Comparison>);

impl Tallies {
    /// Returns the tally of a series for the new version, or for the others.
    pub fn get_mut(&mut self, series: Series, is_target: bool) -> &mut Tally {
        let pair = self.0.entry(series).or_default();
        if is_target { &mut pair.target } else { &mut pair.baseline }
    }

    /// Adds what others counted.
    pub fn add(&mut self, other: &Self) {
        for (series, pair) in &other.0 {
            let sum = self.0.entry(series.clone()).or_default();
            sum.target.add(&pair.target);
            sum.baseline.add(&pair.baseline);
        }
    }

    /// Lists all series.
    pub fn iter(&self) -> impl Iterator<Item = (&Series, &Comparison)> {
        self.0.iter()
    }

    /// Counts the failures of the new version, in all phases.
    pub fn count_failed(&self) -> u64 {
        self.0.values().map(|pair| pair.target.failed).sum()
    }

    /// Counts the answers of the new version: each answer once, with its first token.
    pub fn count_target(&self) -> u64 {
        let first = self.0.iter().filter(|(series, _)| series.phase == Phase::FirstToken);
        first.map(|(_, pair)| pair.target.len()).sum()
    }
}
