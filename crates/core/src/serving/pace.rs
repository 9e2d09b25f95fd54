//! How fast a service's servers read prompts, by what their answers show.
//!
//! Nobody tells a server's speed. The prompt tokens of a request over the time to its first piece
//! are a sample: too low where the request had to wait, too high where more of its prompt was kept
//! than expected. A high quantile of the latest samples is close to the speed of a server that is
//! not busy, and falls when all are, which errs towards more servers.

use std::collections::VecDeque;

use crate::Millis;

/// Prompts shorter than this say more of fixed costs than of speed.
const LEAST_TOKENS: u64 = 500;
const MOST_SAMPLES: usize = 200;
/// Samples before there is a figure.
const LEAST_SAMPLES: usize = 12;
const KEPT: Millis = 30_000;
const QUANTILE: f64 = 0.6;

/// The latest samples of one service.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    samples: VecDeque<(Millis, f64)>,
}

impl Pace {
    /// Adds a sample: prompt tokens, and milliseconds from dispatch to the first piece.
    pub fn add(&mut self, now: Millis, prompt_tokens: u64, first_piece_ms: Millis) {
        if prompt_tokens < LEAST_TOKENS {
            return;
        }
        self.samples.push_back((now, prompt_tokens as f64 / first_piece_ms.max(1) as f64));
        while self.samples.len() > MOST_SAMPLES
            || self.samples.front().is_some_and(|(at, _)| at + KEPT < now)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the prompt tokens that a server reads in a millisecond.
    pub fn get(&self) -> Option<f64> {
        if self.samples.len() < LEAST_SAMPLES {
            return None;
        }
        let mut rates: Vec<f64> = self.samples.iter().map(|(_, rate)| *rate).collect();
        rates.sort_unstable_by(f64::total_cmp);
        Some(rates[(rates.len() as f64 * QUANTILE) as usize])
    }
}
