//! The results of a load run.

use hdrhistogram::Histogram;
use serde_json::{Value, json};

const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// The results of a load run, for one kind of call or in total.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Time to the first token, or to the response head of a plain call, in microseconds.
    pub first_token_micros: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub token_interval_micros: Histogram<u64>,
    /// Number of complete responses.
    pub completed: u64,
    /// Number of rejected calls (outcome `not_run`).
    pub rejected: u64,
    /// Number of calls that failed in any other way.
    pub failed: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of complete responses that differ from the expected output.
    pub mismatched: u64,
    /// Number of calls retried after `Retry-After`.
    pub retried: u64,
    /// Number of retried calls that were completed.
    pub admitted_after_retry: u64,
}

impl Summary {
    /// Creates an empty summary.
    ///
    /// # Panics
    ///
    /// Never panics: the histogram bounds are valid constants.
    #[allow(clippy::expect_used)]
    pub fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
                .expect("the histogram bounds are valid")
        };
        Self {
            first_token_micros: histogram(),
            token_interval_micros: histogram(),
            completed: 0,
            rejected: 0,
            failed: 0,
            tokens: 0,
            mismatched: 0,
            retried: 0,
            admitted_after_retry: 0,
        }
    }

    /// Adds the results of another summary.
    pub fn add(&mut self, other: &Summary) {
        let _ = self.first_token_micros.add(&other.first_token_micros);
        let _ = self.token_interval_micros.add(&other.token_interval_micros);
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.mismatched += other.mismatched;
        self.retried += other.retried;
        self.admitted_after_retry += other.admitted_after_retry;
    }

    /// Returns a quantile of the first-token time, in milliseconds.
    pub fn get_first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token_micros.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns a quantile of the time between tokens, in milliseconds.
    pub fn get_token_interval_ms(&self, quantile: f64) -> f64 {
        self.token_interval_micros.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the results as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "done": self.completed, "refused": self.rejected, "failed": self.failed, "wrong": self.mismatched,
            "tokens": self.tokens, "returned": self.retried, "admitted": self.admitted_after_retry,
            "first_ms": { "p50": self.get_first_token_ms(0.5), "p95": self.get_first_token_ms(0.95), "p99": self.get_first_token_ms(0.99) },
            "gap_ms": { "p50": self.get_token_interval_ms(0.5), "p95": self.get_token_interval_ms(0.95), "p99": self.get_token_interval_ms(0.99) },
        })
    }
}

impl Default for Summary {
    fn default() -> Self {
        Self::new()
    }
}
