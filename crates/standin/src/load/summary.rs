//! What a load run showed.

use hdrhistogram::Histogram;
use serde_json::{Value, json};

const MOST_MICROS: u64 = 120_000_000;

/// What a load run showed, per kind of call or as a whole.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Time to the first token or to the whole answer of a plain call, in microseconds.
    pub first: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub gap: Histogram<u64>,
    /// Whole answers.
    pub done: u64,
    /// Answers with outcome `not_run`.
    pub refused: u64,
    /// Anything else.
    pub failed: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// Whole answers that were not the right ones.
    pub wrong: u64,
    /// Callers that retried after `Retry-After`.
    pub returned: u64,
    /// Of these, those that were served then.
    pub admitted: u64,
}

impl Summary {
    /// Starts empty.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are constants that fit.
    #[allow(clippy::expect_used)]
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MOST_MICROS, 3).expect("the bounds fit");
        Self {
            first: histogram(),
            gap: histogram(),
            done: 0,
            refused: 0,
            failed: 0,
            tokens: 0,
            wrong: 0,
            returned: 0,
            admitted: 0,
        }
    }

    /// Adds another summary.
    pub fn add(&mut self, other: &Summary) {
        let _ = self.first.add(&other.first);
        let _ = self.gap.add(&other.gap);
        self.done += other.done;
        self.refused += other.refused;
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.wrong += other.wrong;
        self.returned += other.returned;
        self.admitted += other.admitted;
    }

    /// Returns a quantile of the first-token time, in milliseconds.
    pub fn first_ms(&self, quantile: f64) -> f64 {
        self.first.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns a quantile of the time between tokens, in milliseconds.
    pub fn gap_ms(&self, quantile: f64) -> f64 {
        self.gap.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Writes the figures.
    pub fn to_json(&self) -> Value {
        json!({
            "done": self.done, "refused": self.refused, "failed": self.failed, "wrong": self.wrong,
            "tokens": self.tokens, "returned": self.returned, "admitted": self.admitted,
            "first_ms": { "p50": self.first_ms(0.5), "p95": self.first_ms(0.95), "p99": self.first_ms(0.99) },
            "gap_ms": { "p50": self.gap_ms(0.5), "p95": self.gap_ms(0.95), "p99": self.gap_ms(0.99) },
        })
    }
}

impl Default for Summary {
    fn default() -> Self {
        Self::new()
    }
}
