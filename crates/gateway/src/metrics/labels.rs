//! The labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// What a request is counted under.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, or empty where none was found.
    pub service: String,
    /// The client account, or empty where none was found.
    pub account: String,
    /// The outcome, a name that the code fixes.
    pub outcome: String,
}

/// The service that a latency belongs to.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// The service and the region that a number of servers belongs to.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CapacityLabels {
    /// The service.
    pub service: String,
    /// The region; empty where no regions are known.
    pub region: String,
}

/// Why what is counted happened: an attempt failed or was repeated, an upload was evicted, a caller was
/// disconnected.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    /// A name that the code fixes.
    pub reason: String,
}

/// Another region.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RegionLabels {
    /// The region, or `unknown` for data centres that the settings do not name.
    pub region: String,
}

impl RegionLabels {
    /// Makes the labels of a region.
    pub fn new(region: &str) -> Self {
        Self { region: region.to_owned() }
    }
}

/// Why requests went to another region.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct SpillLabels {
    /// The region that they went to.
    pub region: String,
    /// A name that the code fixes.
    pub reason: String,
}

impl SpillLabels {
    /// Makes the labels of a region and a reason.
    pub fn new(region: &str, reason: &str) -> Self {
        Self { region: region.to_owned(), reason: reason.to_owned() }
    }
}

/// The client account that a figure belongs to.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AccountLabels {
    /// The client account.
    pub account: String,
}

/// What memory is reserved for.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct MemoryKindLabels {
    /// A name that the code fixes.
    pub kind: String,
}
