//! Label sets of metrics.

use prometheus_client::encoding::EncodeLabelSet;

use super::label_text::LabelText;

/// Labels of a request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, or empty if none was found.
    pub service: LabelText,
    /// The client account, or empty if none was found.
    pub account: LabelText,
    /// The outcome, from a fixed set.
    pub outcome: String,
}

/// Label of a metric per service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: LabelText,
}

/// Labels of a number of servers.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CapacityLabels {
    /// The service.
    pub service: LabelText,
    /// The region, or empty if no regions are configured.
    pub region: LabelText,
}

/// Label with the reason of an event, such as a failed attempt, a retry, an evicted upload or a
/// disconnected caller.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    /// The reason, from a fixed set.
    pub reason: String,
}

/// Label of a metric per kind of message between nodes.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct MessageLabels {
    /// The kind of the message.
    pub message: &'static str,
}

/// Label of a metric per remote region.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RegionLabels {
    /// The region, or `unknown` for data centres that are not in the settings.
    pub region: LabelText,
}

impl RegionLabels {
    /// Creates the label of a region.
    pub fn new(region: &str) -> Self {
        Self { region: region.into() }
    }
}

/// Labels of requests spilled to another region.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct SpillLabels {
    /// The region that they were sent to.
    pub region: LabelText,
    /// The reason, from a fixed set.
    pub reason: String,
}

impl SpillLabels {
    /// Creates the labels of a region and a reason.
    pub fn new(region: &str, reason: &str) -> Self {
        Self { region: region.into(), reason: reason.to_owned() }
    }
}

/// Label of a metric per client account.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AccountLabels {
    /// The client account.
    pub account: LabelText,
}

/// Label of a metric per kind of reserved memory.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct MemoryKindLabels {
    /// The kind, from a fixed set.
    pub kind: String,
}
