//! Limits of client accounts, the tolerated excess, and how many nodes are reachable.

use crate::Millis;

/// The limit of a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second; 0 means no limit.
    pub rate_per_second: f64,
    /// Units that may be used at once, on top of the rate.
    pub burst: f64,
}

/// The capacity of a bucket without a burst, in seconds of its rate.
const MIN_BURST_SECONDS: f64 = 0.1;

impl Limit {
    /// Returns the capacity of the bucket.
    pub(super) fn get_capacity(self) -> f64 {
        self.burst.max(self.rate_per_second * MIN_BURST_SECONDS)
    }
}

/// The excess over a limit that the operator tolerates over all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// The length of the sliding window in which usage is counted, in seconds.
    pub window_seconds: f64,
    /// The tolerated excess as a fraction of the units of a window.
    pub overshoot: f64,
    /// The tolerated excess in units per window, on top of the fraction.
    pub slack: f64,
}

impl Tolerance {
    /// Raises a limit by a fraction of the tolerated excess.
    pub(super) fn raise(self, limit: Limit, fraction: f64) -> Limit {
        let factor = 1.0 + self.overshoot * fraction;
        Limit {
            rate_per_second: limit.rate_per_second * factor,
            burst: limit.burst * factor + self.slack * fraction,
        }
    }

    /// Returns the length of the window, in milliseconds.
    pub(super) fn get_window(self) -> Millis {
        (self.window_seconds * 1_000.0) as Millis
    }

    /// Returns the units by which a limit may be exceeded in a window.
    pub(super) fn get_excess(self, limit: Limit) -> f64 {
        let window = limit.rate_per_second * self.window_seconds + limit.burst;
        window * self.overshoot + self.slack
    }
}

/// How many nodes exist and are reachable, this node included, and how long reports take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachability {
    /// Nodes that were heard recently, directly or through an aggregator.
    pub heard: usize,
    /// Nodes that may be serving.
    pub known: usize,
    /// The time that a report takes to reach all nodes, in milliseconds.
    pub report_delay: Millis,
    /// Whether nodes report in groups. A silent aggregator may then stand for many nodes that still
    /// serve.
    pub is_grouped: bool,
}

impl Reachability {
    /// Returns the fraction of the known nodes that was heard recently.
    pub(in crate::serving) fn get_fraction(self) -> f64 {
        self.heard.max(1) as f64 / self.known.max(self.heard).max(1) as f64
    }

    /// Returns `true` if a majority of the nodes was heard recently.
    ///
    /// Two disjoint sets of nodes cannot both keep a majority.
    pub(super) fn is_majority_heard(self) -> bool {
        2 * self.heard > self.known
    }
}
