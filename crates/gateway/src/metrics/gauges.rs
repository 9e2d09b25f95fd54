//! Gauges of a node's state.

use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{AccountLabels, MemoryKindLabels, ReasonLabels, RegionLabels, ServiceLabels};

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
    pub slot_denials: Family<ReasonLabels, Gauge>,
    pub skipped_entries: Gauge<i64, AtomicI64>,
    pub stream_records: Gauge<i64, AtomicI64>,
    pub uncopied_streams: Gauge<i64, AtomicI64>,
}

impl Gauges {
    /// Registers all gauges.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "retries_left",
            "Retries left to this node in the current window",
            self.retries_left.clone(),
        );
        registry.register(
            "quota_left_units",
            "Units left in the client account's bucket over all nodes, as known to this node",
            self.quota_left.clone(),
        );
        registry.register("requests_in_flight", "Requests in flight", self.in_flight.clone());
        registry.register(
            "ready_servers",
            "Servers that accept requests",
            self.ready_servers.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register_with_unit(
            "configuration_age",
            "Time since the configuration was confirmed as the newest; -1 if it never was",
            Unit::Seconds,
            self.configuration_age.clone(),
        );
        registry.register(
            "lease_fence",
            "Fencing token of the duty lease; 0 if this node does not hold it",
            self.lease_fence.clone(),
        );
        registry.register(
            "nodes_heard",
            "Reachable nodes, including this one",
            self.nodes_heard.clone(),
        );
        registry.register("nodes_known", "Known nodes, including this one", self.nodes.clone());
        registry.register(
            "server_connections_opened",
            "Connections opened to servers",
            self.connections_opened.clone(),
        );
        registry.register(
            "log_lines_sampled_out",
            "Log lines dropped by sampling",
            self.sampled_out_lines.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because the output was blocked",
            self.dropped_lines.clone(),
        );
        registry.register_with_unit(
            "resident_memory",
            "Resident memory of the process",
            Unit::Bytes,
            self.resident.clone(),
        );
        registry.register_with_unit(
            "memory_held",
            "Memory reserved for data of callers and servers, by kind",
            Unit::Bytes,
            self.memory_held.clone(),
        );
        registry.register_with_unit(
            "memory_capacity",
            "Memory that may be reserved",
            Unit::Bytes,
            self.memory_capacity.clone(),
        );
        registry.register(
            "memory_in_use",
            "Fraction of the memory in use, from 0 to 1",
            self.memory_in_use.clone(),
        );
        registry.register(
            "memory_short",
            "1 while the node is short of memory and not ready for callers",
            self.is_short_of_memory.clone(),
        );
        registry.register("descriptors_open", "Open file descriptors", self.descriptors.clone());
        registry.register_with_unit(
            "region_round_trip",
            "Smoothed round-trip time to nodes of another region; an estimate until it is measured",
            Unit::Seconds,
            self.region_round_trip.clone(),
        );
        registry.register_with_unit(
            "read_ahead_held",
            "Response bytes that their callers have not read",
            Unit::Bytes,
            self.read_ahead.clone(),
        );
        registry.register_with_unit(
            "held_at_servers",
            "Bytes of request bodies held by servers",
            Unit::Bytes,
            self.held_at_servers.clone(),
        );
        registry.register(
            "limited_servers",
            "Servers with a rate limit, which require permits",
            self.limited.clone(),
        );
        registry.register(
            "servers_in_back_off",
            "Servers that this node backs off from",
            self.in_back_off.clone(),
        );
        registry.register(
            "brittle_services",
            "Services whose servers tolerate only a few rejections per second",
            self.brittle_services.clone(),
        );
        registry.register(
            "bounded_servers",
            "Brittle servers owned by this node that get fewer requests than they have slots",
            self.bounded_servers.clone(),
        );
        registry.register(
            "slot_denials",
            "Slots of brittle servers that this node denied as their owner, by cause",
            self.slot_denials.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests refused because they crash servers",
            self.quarantined.clone(),
        );
        registry.register(
            "server_entries_skipped",
            "Malformed server entries, at a node that reads the table",
            self.skipped_entries.clone(),
        );
        registry.register(
            "stream_records",
            "Streams whose origin is recorded at this node",
            self.stream_records.clone(),
        );
        registry.register(
            "uncopied_streams",
            "Streams of this node with fewer copies of their origin than required",
            self.uncopied_streams.clone(),
        );
    }
}
