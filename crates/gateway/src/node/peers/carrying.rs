//! What a node keeps of the summaries that it sends to other regions.

use std::collections::BTreeSet;

use keeljunction_core::serving::summary_pacer::SummaryPacer;

use super::audience::Samples;

/// What this node sends to other regions.
#[derive(Debug)]
pub(in crate::node) struct Carrying {
    pub(super) pace: SummaryPacer,
    /// Summaries that crossed, which are sent to the carriers by turns.
    pub(super) sent: usize,
    /// Samples that wait for the next summary that crosses.
    pub(super) samples: Samples,
    /// Regions of which nobody is heard, as they were logged.
    pub(super) lost: BTreeSet<String>,
}

impl Carrying {
    /// Makes the state of a node whose region may send so many kilobits a second to the others.
    pub(in crate::node) fn new(control_kbps: f64) -> Self {
        Self {
            pace: SummaryPacer::new(control_kbps),
            sent: 0,
            samples: Samples::new(),
            lost: BTreeSet::new(),
        }
    }
}
