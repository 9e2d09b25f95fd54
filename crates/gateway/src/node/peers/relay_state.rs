//! The state of summaries that a node sends to other regions.

use std::collections::BTreeSet;

use keeljunction_core::serving::summary_pacer::SummaryPacer;

use super::report_target::Samples;

/// The state of summaries that this node sends to other regions.
#[derive(Debug)]
pub(in crate::node) struct RelayState {
    pub(super) pace: SummaryPacer,
    /// The number of summaries sent, which rotates the carriers.
    pub(super) sent: usize,
    /// Samples for the next summary to other regions.
    pub(super) samples: Samples,
    /// Unreachable regions, as last logged.
    pub(super) unreachable_regions: BTreeSet<String>,
}

impl RelayState {
    /// Creates the state for a region that may send `control_kbps` kilobits a second to the others.
    pub(in crate::node) fn new(control_kbps: f64) -> Self {
        Self {
            pace: SummaryPacer::new(control_kbps),
            sent: 0,
            samples: Samples::new(),
            unreachable_regions: BTreeSet::new(),
        }
    }
}
