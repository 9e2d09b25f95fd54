//! The recipients of a node's reports, and samples for the next report.

use keeljunction_core::serving::throughput::Sample;

/// The maximum number of throughput samples of all nodes in an overview.
const MAX_FORWARDED_SAMPLES: usize = 24;

/// Samples by service, to be sent to other nodes.
pub(in crate::node) type Samples = Vec<(String, Vec<Sample>)>;

/// The recipients of a node's reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::node) enum ReportTarget {
    /// The other aggregators, or all other nodes if there are no groups.
    #[default]
    AllAggregators,
    /// The node's aggregator, by name.
    OwnAggregator(String),
}

/// Buffers samples for the nodes of this node's group, up to the number that an overview holds.
pub(super) fn buffer_samples(buffer: &mut Samples, service: String, samples: Vec<Sample>) {
    let count: usize = buffer.iter().map(|(_, samples)| samples.len()).sum();
    if count < MAX_FORWARDED_SAMPLES {
        buffer.push((service, samples));
    }
}
