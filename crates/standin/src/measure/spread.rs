//! Aggregation of a figure over several runs.

use std::fmt;

/// The minimum, median and maximum of a figure over several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The minimum.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    /// Aggregates the figures of several runs; all fields are 0 if there are none.
    pub fn of(figures: &[f64]) -> Self {
        let mut sorted = figures.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |index: usize| sorted.get(index).copied().unwrap_or(0.0);
        Self { min: at(0), median: at(sorted.len() / 2), max: at(sorted.len().saturating_sub(1)) }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} ({:.2} to {:.2})", self.median, self.min, self.max)
    }
}
