//! How fast a service's servers read prompts, by what their answers show.
//!
//! Nobody tells a server's speed. The time to the first piece of a short prompt shows the fixed
//! costs; what a long prompt takes beyond that, over its tokens, is a sample of the speed: too low
//! where the request had to wait, too high where more of its prompt was kept than expected. A high
//! quantile of the latest samples is close to the speed of a server that is not busy.

use std::collections::VecDeque;

use crate::Millis;

/// Prompts shorter than this show the fixed costs.
const SHORT_TOKENS: u64 = 300;
/// Prompts longer than this show the speed.
const LONG_TOKENS: u64 = 1_500;
const MOST_SAMPLES: usize = 200;
/// Samples of long prompts before there is a figure.
const LEAST_SAMPLES: usize = 10;
const KEPT: Millis = 30_000;
const SPEED_QUANTILE: f64 = 0.7;
const COST_QUANTILE: f64 = 0.3;

/// The latest samples of one service.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    short: VecDeque<Sample>,
    long: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    tokens: u64,
    first_piece_ms: Millis,
}

impl Pace {
    /// Adds a sample: prompt tokens, and milliseconds from dispatch to the first piece.
    pub fn add(&mut self, now: Millis, tokens: u64, first_piece_ms: Millis) {
        let samples = match tokens {
            ..SHORT_TOKENS => &mut self.short,
            LONG_TOKENS.. => &mut self.long,
            _ => return,
        };
        samples.push_back(Sample { at: now, tokens, first_piece_ms });
        while samples.len() > MOST_SAMPLES
            || samples.front().is_some_and(|sample| sample.at + KEPT < now)
        {
            samples.pop_front();
        }
    }

    /// Returns the prompt tokens that a server reads in a millisecond.
    pub fn get_speed(&self) -> Option<f64> {
        if self.long.len() < LEAST_SAMPLES {
            return None;
        }
        let fixed = self.get_fixed_ms();
        let speed = |sample: &Sample| {
            sample.tokens as f64 / (sample.first_piece_ms as f64 - fixed).max(1.0)
        };
        quantile(self.long.iter().map(speed), SPEED_QUANTILE)
    }

    /// Returns the time to the first piece of a prompt without tokens, in milliseconds.
    pub fn get_fixed_ms(&self) -> f64 {
        let times = self.short.iter().map(|sample| sample.first_piece_ms as f64);
        quantile(times, COST_QUANTILE).unwrap_or(0.0)
    }
}

fn quantile(values: impl Iterator<Item = f64>, part: f64) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get((values.len() as f64 * part) as usize).copied()
}
