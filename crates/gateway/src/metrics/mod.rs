//! Counters, histograms and gauges, as OpenMetrics text.
//!
//! | module | does |
//! |---|---|
//! | `registry` | holds counters and histograms, registers and renders all metrics |
//! | `gauges` | reads gauges from the state of the node |
//! | `labels` | defines the labels |
//!
//! The set of labels is bounded: services, client accounts and regions come from the configuration
//! and the settings, all other values from the code.

mod gauges;
mod labels;
mod registry;

pub use labels::{
    AccountLabels, CapacityLabels, MemoryKindLabels, ReasonLabels, RegionLabels, RequestLabels,
    ServiceLabels, SpillLabels,
};
pub use registry::Metrics;
