//! Gauges of a node's state.

use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{AccountLabels, MemoryKindLabels, RegionLabels, ServiceLabels};

/// Gauges of a node's state, which the node updates before the metrics are rendered.
#[derive(Default)]
pub(crate) struct Gauges {
    pub retries_left: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    pub quota_left: Family<AccountLabels, Gauge<f64, AtomicU64>>,
    pub in_flight: Gauge<i64, AtomicI64>,
    pub ready_servers: Family<ServiceLabels, Gauge>,
    pub configuration_version: Gauge<i64, AtomicI64>,
    pub configuration_age: Gauge<f64, AtomicU64>,
    pub lease_fence: Gauge<i64, AtomicI64>,
    pub nodes_heard: Gauge<i64, AtomicI64>,
    pub nodes: Gauge<i64, AtomicI64>,
    pub connections_opened: Gauge<i64, AtomicI64>,
    pub sampled_out_lines: Gauge<i64, AtomicI64>,
    pub dropped_lines: Gauge<i64, AtomicI64>,
    pub resident: Gauge<i64, AtomicI64>,
    pub memory_held: Family<MemoryKindLabels, Gauge>,
    pub memory_capacity: Gauge<i64, AtomicI64>,
    pub memory_in_use: Gauge<f64, AtomicU64>,
    pub is_short_of_memory: Gauge<i64, AtomicI64>,
    pub descriptors: Gauge<i64, AtomicI64>,
    pub region_round_trip: Family<RegionLabels, Gauge<f64, AtomicU64>>,
    pub read_ahead: Gauge<i64, AtomicI64>,
    pub held_at_servers: Gauge<i64, AtomicI64>,
    pub quarantined: Gauge<i64, AtomicI64>,
    pub limited: Gauge<i64, AtomicI64>,
    pub in_back_off: Gauge<i64, AtomicI64>,
    pub brittle_services: Gauge<i64, AtomicI64>,
    pub bounded_servers: Gauge<i64, AtomicI64>,
    pub skipped_entries: Gauge<i64, AtomicI64>,
    pub stream_records: Gauge<i64, AtomicI64>,
    pub uncopied_streams: Gauge<i64, AtomicI64>,
}

impl Gauges {
    /// Registers all gauges.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "retries_left",
            "Repeats that this node may still make in the window that ends now",
            self.retries_left.clone(),
        );
        registry.register(
            "quota_left_units",
            "Left of the client account's bucket over all nodes, as this node knows it",
            self.quota_left.clone(),
        );
        registry.register("requests_in_flight", "Answers not ended", self.in_flight.clone());
        registry.register("ready_servers", "Servers that take work", self.ready_servers.clone());
        registry.register("configuration_version", "In force", self.configuration_version.clone());
        registry.register_with_unit(
            "configuration_age",
            "Since the configuration was known to be the newest; -1 where it never was",
            Unit::Seconds,
            self.configuration_age.clone(),
        );
        registry.register(
            "lease_fence",
            "Fence of the duty lease; 0 without",
            self.lease_fence.clone(),
        );
        registry.register("nodes_heard", "Nodes in reach, this one too", self.nodes_heard.clone());
        registry.register("nodes_known", "Nodes that may be serving", self.nodes.clone());
        registry.register(
            "server_connections_opened",
            "Connections made to servers",
            self.connections_opened.clone(),
        );
        registry.register(
            "log_lines_sampled_out",
            "Log lines left out",
            self.sampled_out_lines.clone(),
        );
        registry.register("log_lines_dropped", "Log lines lost", self.dropped_lines.clone());
        registry.register_with_unit(
            "resident_memory",
            "Of the process",
            Unit::Bytes,
            self.resident.clone(),
        );
        registry.register_with_unit(
            "memory_held",
            "Reserved for callers and servers",
            Unit::Bytes,
            self.memory_held.clone(),
        );
        registry.register_with_unit(
            "memory_capacity",
            "What may be reserved now",
            Unit::Bytes,
            self.memory_capacity.clone(),
        );
        registry.register(
            "memory_in_use",
            "Part of the memory in use, from 0 to 1",
            self.memory_in_use.clone(),
        );
        registry.register(
            "memory_short",
            "1 while callers should go to other nodes for want of memory",
            self.is_short_of_memory.clone(),
        );
        registry.register("descriptors_open", "Open descriptors", self.descriptors.clone());
        registry.register_with_unit(
            "region_round_trip",
            "Smoothed round trip to nodes of another region; a guess where it was not measured",
            Unit::Seconds,
            self.region_round_trip.clone(),
        );
        registry.register_with_unit(
            "read_ahead_held",
            "Parts of answers that their callers have not taken",
            Unit::Bytes,
            self.read_ahead.clone(),
        );
        registry.register_with_unit(
            "held_at_servers",
            "Bodies of requests that servers have not answered",
            Unit::Bytes,
            self.held_at_servers.clone(),
        );
        registry.register(
            "limited_servers",
            "Servers that take requests with permits only",
            self.limited.clone(),
        );
        registry.register(
            "servers_in_back_off",
            "Servers that take no request from this node for a time",
            self.in_back_off.clone(),
        );
        registry.register(
            "brittle_services",
            "Services whose servers bear only a few rejections per second",
            self.brittle_services.clone(),
        );
        registry.register(
            "bounded_servers",
            "Brittle servers of this node that get fewer requests than they have slots",
            self.bounded_servers.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are refused because servers crashed under them",
            self.quarantined.clone(),
        );
        registry.register(
            "server_entries_skipped",
            "Entries of servers that cannot be read, at a node that reads them for all",
            self.skipped_entries.clone(),
        );
        registry.register(
            "stream_records",
            "Streams whose software version this node has recorded",
            self.stream_records.clone(),
        );
        registry.register(
            "uncopied_streams",
            "Streams of this node whose software version fewer other nodes have recorded than should",
            self.uncopied_streams.clone(),
        );
    }
}
