//! Detects from tallies of responses that a version is worse than the others.
//!
//! For each series, and for all of them together, a sequential test (CUSUM of log-likelihood
//! ratios) compares two hypotheses with each new response: that responses are bad as often as those
//! of the other versions, or clearly more often. Good responses of the past do not count in a
//! version's favour, so a version that becomes bad later is detected as early as one that was bad
//! from the start.
//!
//! Responses that a crash of their server interrupted say nothing of the others: the crashes are
//! counted instead ([`Outages`]).
//!
//! Failures and latencies are tested separately. Latencies of one route differ by a factor of more
//! than ten, so no single bound separates slow responses from large requests. Instead, the other
//! versions' latencies on the same route give the expected frequency of each latency range, for a
//! good version and for one that takes several times as long for a fraction of its responses.
//!
//! Whatever delays the responses of all versions at the same time says nothing of one of them: the
//! other versions' evidence since the last call is subtracted. What delays one version's responses
//! for a moment is limited to a part of the threshold ([`Evidence`]).

use std::collections::BTreeMap;

use super::evidence::Evidence;
use super::outages::Outages;
use super::tally::{Comparison, Latencies, Phase, Series, Tallies, Tally};
use crate::Millis;

/// The evidence at which a series is judged bad: none of 2,000 simulated good versions reached it
/// (`rollout_trials`).
const EVIDENCE_THRESHOLD: f64 = 11.0;
/// The maximum evidence of slow responses of one moment. Two moments reach the threshold.
const MAX_SLOW_EVIDENCE_PER_MOMENT: f64 = 8.0;
/// The minimum failure rate that is expected of a good version.
const MIN_FAILURE_RATE: f64 = 0.01;
/// The failure rate of a good version, as a multiple of the baseline's.
const MAX_GOOD_FAILURE_FACTOR: f64 = 1.5;
/// The difference between the failure rates of a bad and a good version.
const BAD_FAILURE_RATE_STEP: f64 = 0.1;
/// The latency up to which responses of the baseline count as equally fast, in milliseconds.
/// Latencies are whole milliseconds, and the scheduling of processes takes several of them on a busy
/// machine.
const MIN_COMPARED_LATENCY_MS: Millis = 5;
/// The quantiles of the baseline's latencies that separate the latency ranges.
const QUANTILES: [f64; 7] = [0.25, 0.5, 0.7, 0.8, 0.9, 0.95, 0.98];
/// The time to the first token of a good version, as a multiple of the baseline's. Its servers
/// start with empty caches, so they read whole prompts, which takes about twice as long.
const COLD_TTFT_FACTOR: f64 = 2.0;
/// The same for the rest of a stream, where caches matter little.
const COLD_STREAM_FACTOR: f64 = 1.25;
/// The latency of the slow responses of a bad version, as a multiple of the baseline's, and their
/// fraction of its responses.
const SLOW_FACTOR: f64 = 4.0;
const SLOW_FRACTION: f64 = 0.3;
/// The minimum frequency that is assumed of a latency range, so that rare ranges do not decide
/// alone.
const MIN_FREQUENCY: f64 = 0.01;
/// The number of baseline latencies that a comparison requires.
const MIN_BASELINE_LATENCIES: u64 = 50;
/// The maximum failure rate that is expected of a good version.
const MAX_FAILURE_RATE: f64 = 0.6;

/// The way in which a version is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Symptom {
    /// Its requests fail more often.
    Failing,
    /// Its responses take longer.
    Slow,
    /// Its servers crash.
    Crashing,
}

impl Symptom {
    /// Returns the name of the symptom in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Slow => "slow",
            Self::Crashing => "crashing",
        }
    }
}

/// A detected regression.
#[derive(Clone, Debug, PartialEq)]
pub struct Regression {
    /// The way in which the version is worse.
    pub symptom: Symptom,
    /// The series that shows it, or `None` for all series together.
    pub series: Option<Series>,
    /// Responses of the target version so far.
    pub answers: u64,
}

/// The evidence against a version so far.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    seen: BTreeMap<Series, Comparison>,
    evidence: BTreeMap<(Symptom, Option<Series>), Evidence>,
    outages: Outages,
}

impl Judge {
    /// Weighs the responses since the last call. `now` is the time since the order, in
    /// milliseconds. Returns the regression, if one is detected.
    pub fn weigh(&mut self, now: Millis, tallies: &Tallies) -> Option<Regression> {
        let answers = tallies.count_target();
        let (target, baseline) = tallies.count_interrupted();
        if self.outages.record(now, target, baseline) {
            return Some(Regression { symptom: Symptom::Crashing, series: None, answers });
        }
        for (series, comparison) in tallies.iter() {
            let seen = self.seen.entry(series.clone()).or_default();
            let new = comparison.since(seen);
            seen.clone_from(comparison);
            let baseline = &comparison.baseline;
            let failures = weigh_failures(&new.target, baseline);
            self.add(Symptom::Failing, series, now, failures);
            let latencies = weigh_latencies(series.phase, &new, &baseline.latencies);
            self.add(Symptom::Slow, series, now, latencies);
        }
        let mut evidence = self.evidence.iter();
        let found = evidence.find(|(_, evidence)| evidence.get_total() >= EVIDENCE_THRESHOLD);
        found.map(|((symptom, series), _)| Regression {
            symptom: *symptom,
            series: series.clone(),
            answers,
        })
    }

    fn add(&mut self, symptom: Symptom, series: &Series, now: Millis, weight: f64) {
        let max_per_moment = match symptom {
            Symptom::Slow => MAX_SLOW_EVIDENCE_PER_MOMENT,
            Symptom::Failing | Symptom::Crashing => f64::INFINITY,
        };
        for series in [None, Some(series.clone())] {
            let evidence = self.evidence.entry((symptom, series)).or_default();
            evidence.add(now, weight, max_per_moment);
        }
    }
}

fn weigh_failures(new: &Tally, baseline: &Tally) -> f64 {
    let baseline_rate = baseline.failed as f64 / baseline.len().max(1) as f64;
    let expected =
        (baseline_rate * MAX_GOOD_FAILURE_FACTOR).clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE);
    get_log_likelihood_ratio(new.failed, new.good, expected, expected + BAD_FAILURE_RATE_STEP)
}

/// Returns the evidence of the target version's new latencies, less that of the other versions' new
/// latencies, for as many responses.
fn weigh_latencies(phase: Phase, new: &Comparison, baseline: &Latencies) -> f64 {
    if baseline.len() < MIN_BASELINE_LATENCIES || new.target.latencies.is_empty() {
        return 0.0;
    }
    let ranges = list_ranges(phase, baseline);
    let weigh = |latencies: &Latencies| -> f64 {
        let weigh_range = |range: &LatencyRange| {
            latencies.count_between(range.above, range.up_to) as f64 * range.weight
        };
        ranges.iter().map(weigh_range).sum()
    };
    let (target, others) = (&new.target.latencies, &new.baseline.latencies);
    let others_mean = weigh(others) / others.len().max(1) as f64;
    weigh(target) - target.len() as f64 * others_mean.max(0.0)
}

/// A range of latencies, in milliseconds.
struct LatencyRange {
    above: f64,
    up_to: f64,
    /// The log-likelihood ratio of a latency in this range.
    weight: f64,
}

/// Lists the ranges that the quantiles of the baseline separate.
fn list_ranges(phase: Phase, baseline: &Latencies) -> Vec<LatencyRange> {
    let cold_factor = match phase {
        Phase::FirstToken => COLD_TTFT_FACTOR,
        Phase::Stream => COLD_STREAM_FACTOR,
    };
    let bounds = QUANTILES.map(|quantile| {
        baseline.get_quantile(quantile).max(MIN_COMPARED_LATENCY_MS) as f64 * cold_factor
    });
    let to_range = |index: usize| {
        let above = index.checked_sub(1).map_or(0.0, |before| bounds[before]);
        let up_to = bounds.get(index).copied().unwrap_or(f64::INFINITY);
        let expected = get_frequency(baseline, above / cold_factor, up_to / cold_factor);
        let slow = get_frequency(baseline, above / SLOW_FACTOR, up_to / SLOW_FACTOR);
        let bad_rate = (1.0 - SLOW_FRACTION) * expected + SLOW_FRACTION * slow;
        let ratio = bad_rate.max(MIN_FREQUENCY) / expected.max(MIN_FREQUENCY);
        LatencyRange { above, up_to, weight: ratio.ln() }
    };
    (0..=bounds.len()).map(to_range).collect()
}

/// Returns the fraction of latencies in a range, where those up to [`MIN_COMPARED_LATENCY_MS`] count
/// as that long.
fn get_frequency(baseline: &Latencies, above: f64, up_to: f64) -> f64 {
    let clamp = |bound: f64| if bound < MIN_COMPARED_LATENCY_MS as f64 { 0.0 } else { bound };
    baseline.get_frequency(clamp(above), clamp(up_to))
}

/// Returns the log-likelihood ratio of bad and good responses, given the expected rates of bad
/// responses of a good and of a bad version.
fn get_log_likelihood_ratio(bad: u64, good: u64, expected: f64, bad_rate: f64) -> f64 {
    let bad_evidence = bad as f64 * (bad_rate / expected).ln();
    let good_evidence = good as f64 * ((1.0 - bad_rate) / (1.0 - expected)).ln();
    bad_evidence + good_evidence
}
