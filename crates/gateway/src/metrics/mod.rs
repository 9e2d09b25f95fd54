//! Metrics in the OpenMetrics text format.
//!
//! | module | purpose |
//! |---|---|
//! | `registry` | counters and histograms; registers and renders all metrics |
//! | `gauges` | gauges, read from the state of the node |
//! | `labels` | label sets |
//! | `label_text` | escapes the names in labels |
//! | `sent_messages` | counters of the datagrams that a node sends to others |
//!
//! The cardinality of labels is bounded: services, client accounts and regions come from the
//! configuration and the settings, all other values from the code.

mod gauges;
mod label_text;
mod labels;
mod registry;
mod sent_messages;

pub use labels::{
    AccountLabels, CapacityLabels, MemoryKindLabels, ReasonLabels, RegionLabels, RequestLabels,
    ServiceLabels, SpillLabels,
};
pub use registry::{Metrics, ReasonCounters};
pub use sent_messages::SentMessages;
