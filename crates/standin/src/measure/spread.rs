//! A figure from several runs.

use std::fmt;

/// The least, middle and greatest of several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The middle one.
    pub middle: f64,
    /// The greatest.
    pub most: f64,
}

impl Spread {
    /// Takes the figures of several runs; of none, all are 0.
    pub fn of(figures: &[f64]) -> Self {
        let mut sorted = figures.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |place: usize| sorted.get(place).copied().unwrap_or(0.0);
        Self {
            least: at(0),
            middle: at(sorted.len() / 2),
            most: at(sorted.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} ({:.2} to {:.2})", self.middle, self.least, self.most)
    }
}
