//! What a client account may use, and how much of that is known.

use crate::Millis;

/// A client account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second; 0 sets no limit.
    pub rate_per_second: f64,
    /// Units that may be used at once besides.
    pub burst: f64,
}

/// The part of a second's units that a limit without a burst saves up.
const LEAST_BURST_SECONDS: f64 = 0.1;

impl Limit {
    /// Returns the most units that are saved up.
    pub(super) fn get_capacity(self) -> f64 {
        self.burst.max(self.rate_per_second * LEAST_BURST_SECONDS)
    }
}

/// How far beyond a limit all nodes together may go, in the operator's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// The length of the sliding window in which use is counted, in seconds.
    pub window_seconds: f64,
    /// The fraction of a window's units that may be used besides.
    pub overshoot: f64,
    /// Units that may be used in a window besides.
    pub slack: f64,
}

impl Tolerance {
    /// Raises a limit by a part of what is tolerated beyond it.
    pub(super) fn raise(self, limit: Limit, part: f64) -> Limit {
        let factor = 1.0 + self.overshoot * part;
        Limit {
            rate_per_second: limit.rate_per_second * factor,
            burst: limit.burst * factor + self.slack * part,
        }
    }

    /// Returns the length of the window, in milliseconds.
    pub(super) fn get_window(self) -> Millis {
        (self.window_seconds * 1_000.0) as Millis
    }

    /// Returns the units that may be used in a window beyond a limit.
    pub(super) fn get_excess(self, limit: Limit) -> f64 {
        let window = limit.rate_per_second * self.window_seconds + limit.burst;
        window * self.overshoot + self.slack
    }
}

/// How many nodes there are, how many of them were heard lately (this one included), and how often
/// they report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachability {
    /// Nodes that were heard lately.
    pub heard: usize,
    /// Nodes that may be serving.
    pub known: usize,
    /// How long a report takes to reach all nodes.
    pub report_delay: Millis,
    /// Whether nodes report in groups: what falls silent then may be many nodes, which go on.
    pub is_grouped: bool,
}

impl Reachability {
    /// Returns the fraction of all nodes that was heard lately.
    pub(in crate::serving) fn get_fraction(self) -> f64 {
        self.heard.max(1) as f64 / self.known.max(self.heard).max(1) as f64
    }

    /// Returns `true` if most nodes were heard lately: no two parts of them can say so of each
    /// other at once for long.
    pub(super) fn is_most_heard(self) -> bool {
        2 * self.heard > self.known
    }
}
