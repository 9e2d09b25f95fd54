//! Whom a node reports its counts to, and the samples that wait for the next report.

use keeljunction_core::serving::throughput::Sample;

/// Samples of how fast servers read prompts in each overview, of all nodes.
const MAX_FORWARDED_SAMPLES: usize = 24;

/// Samples by service, on their way to other nodes.
pub(in crate::node) type Samples = Vec<(String, Vec<Sample>)>;

/// Whom a node reports its counts to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::node) enum ReportTarget {
    /// The other aggregators, or all other nodes where there are no groups.
    #[default]
    AllAggregators,
    /// Its aggregator, by name.
    OwnAggregator(String),
}

/// Keeps samples for the nodes of this node's group, up to as many as an overview holds.
pub(super) fn buffer_samples(kept: &mut Samples, service: String, samples: Vec<Sample>) {
    let count: usize = kept.iter().map(|(_, samples)| samples.len()).sum();
    if count < MAX_FORWARDED_SAMPLES {
        kept.push((service, samples));
    }
}
