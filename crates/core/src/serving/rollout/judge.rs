//! Finds that a version is worse than the others, from tallies of answers.
//!
//! For each series, and for all together, a sequential test (CUSUM of log likelihood ratios)
//! weighs two hypotheses for each new answer: that it is bad as often as those of the other
//! versions, or clearly more often. A version that turns bad later is found as soon as one that
//! always was, because good answers of the past do not count in its favour.
//!
//! Failures and latencies have a test each. Latencies differ by more than ten times within a route,
//! so that no single bound separates slow answers from large requests: how often each range of latencies
//! is expected, of a good version and of one whose answers in part take several times as long,
//! follows from the other versions' latencies on the same route.

use std::collections::BTreeMap;

use super::tally::{Comparison, Phase, Series, Tallies, Tally};

/// The evidence at which a series is found bad: of 2,000 simulated good versions none was found bad
/// (`rollout_trials`).
const BAD_AT: f64 = 11.0;
/// The least rate of failures that is expected of a good version.
const LEAST_FAILING: f64 = 0.01;
/// How many times as often as the others a good version may fail.
const FAILING_FACTOR: f64 = 1.5;
/// How much more often a bad version fails.
const FAILING_STEP: f64 = 0.1;
/// The quantiles of the others' latencies between which answers are counted.
const QUANTILES: [f64; 7] = [0.25, 0.5, 0.7, 0.8, 0.9, 0.95, 0.98];
/// How many times as long first tokens of a good version may take: its servers have nothing in
/// their caches at first, so that prompts are read whole, which is about twice as much.
const COLD_FACTOR: f64 = 2.0;
/// The same of the rest of a stream, for which caches matter little.
const COLD_STREAM_FACTOR: f64 = 1.25;
/// How many times as long slow answers of a bad version take, and which part of its answers does.
const SLOW_FACTOR: f64 = 4.0;
const SLOW_PART: f64 = 0.3;
/// The least frequency that is assumed of a range of latencies: rare ones must not decide alone.
const LEAST_FREQUENCY: f64 = 0.01;
/// The fewest answers of other versions with which latencies are compared.
const LEAST_COMPARED: u64 = 50;
/// The largest rate of failures that is expected of a good version.
const MOST_EXPECTED: f64 = 0.6;

/// How a version is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Symptom {
    /// Its answers fail more often.
    Failing,
    /// Its answers take longer.
    Slow,
}

impl Symptom {
    /// Names the symptom in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Slow => "slow",
        }
    }
}

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub struct Regression {
    /// How the version is worse.
    pub symptom: Symptom,
    /// Where; `None` over all series together.
    pub series: Option<Series>,
    /// Answers of the new version so far.
    pub answers: u64,
}

/// The evidence against a version so far.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    seen: BTreeMap<Series, Tally>,
    evidence: BTreeMap<(Symptom, Option<Series>), f64>,
}

impl Judge {
    /// Weighs the answers that came since the last time; returns what was found.
    pub fn weigh(&mut self, tallies: &Tallies) -> Option<Regression> {
        for (series, pair) in tallies.iter() {
            let seen = self.seen.entry(series.clone()).or_default();
            let new = pair.target.since(seen);
            seen.clone_from(&pair.target);
            self.add(Symptom::Failing, series, weigh_failures(&new, &pair.baseline));
            self.add(Symptom::Slow, series, weigh_latencies(series.phase, &new, pair));
        }
        let found = self.evidence.iter().find(|(_, evidence)| **evidence >= BAD_AT);
        found.map(|((symptom, series), _)| Regression {
            symptom: *symptom,
            series: series.clone(),
            answers: tallies.count_target(),
        })
    }

    fn add(&mut self, symptom: Symptom, series: &Series, weight: f64) {
        for series in [None, Some(series.clone())] {
            let evidence = self.evidence.entry((symptom, series)).or_default();
            *evidence = (*evidence + weight).max(0.0);
        }
    }
}

fn weigh_failures(new: &Tally, rest: &Tally) -> f64 {
    let usual = rest.failed as f64 / rest.len().max(1) as f64;
    let expected = (usual * FAILING_FACTOR).clamp(LEAST_FAILING, MOST_EXPECTED);
    weigh(new.failed, new.good, expected, expected + FAILING_STEP)
}

fn weigh_latencies(phase: Phase, new: &Tally, pair: &Comparison) -> f64 {
    let rest = &pair.baseline.latencies;
    if rest.len() < LEAST_COMPARED || new.latencies.is_empty() {
        return 0.0;
    }
    let cold_factor = match phase {
        Phase::FirstToken => COLD_FACTOR,
        Phase::Stream => COLD_STREAM_FACTOR,
    };
    let bounds = QUANTILES.map(|quantile| rest.get_quantile(quantile) as f64 * cold_factor);
    let mut weight = 0.0;
    for place in 0..=bounds.len() {
        let from = place.checked_sub(1).map_or(0.0, |before| bounds[before]);
        let to = bounds.get(place).copied().unwrap_or(f64::INFINITY);
        let expected = rest.get_frequency(from / cold_factor, to / cold_factor);
        let slowed = rest.get_frequency(from / SLOW_FACTOR, to / SLOW_FACTOR);
        let feared = (1.0 - SLOW_PART) * expected + SLOW_PART * slowed;
        let ratio = feared.max(LEAST_FREQUENCY) / expected.max(LEAST_FREQUENCY);
        weight += new.latencies.count_between(from, to) as f64 * ratio.ln();
    }
    weight
}

/// Returns the log likelihood ratio of bad and good answers, of two rates at which they are bad.
fn weigh(bad: u64, good: u64, expected: f64, feared: f64) -> f64 {
    let of_bad = bad as f64 * (feared / expected).ln();
    let of_good = good as f64 * ((1.0 - feared) / (1.0 - expected)).ln();
    of_bad + of_good
}
