//! Gauges of a node's state.

use std::sync::atomic::{AtomicI64, AtomicU64};

use keeljunction_core::serving::memory::Kind;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{AccountLabels, MemoryKindLabels, RegionLabels, ServiceLabels};
use crate::node::Node;
use crate::node::memory::read_resident_bytes;

/// Gauges of a node's state, updated when the metrics are rendered.
#[derive(Default)]
pub(super) struct Gauges {
    retries_left: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    quota_left: Family<AccountLabels, Gauge<f64, AtomicU64>>,
    in_flight: Gauge<i64, AtomicI64>,
    ready_servers: Family<ServiceLabels, Gauge>,
    configuration_version: Gauge<i64, AtomicI64>,
    configuration_age: Gauge<f64, AtomicU64>,
    lease_fence: Gauge<i64, AtomicI64>,
    nodes_heard: Gauge<i64, AtomicI64>,
    nodes: Gauge<i64, AtomicI64>,
    connections_opened: Gauge<i64, AtomicI64>,
    sampled_out_lines: Gauge<i64, AtomicI64>,
    dropped_lines: Gauge<i64, AtomicI64>,
    resident: Gauge<i64, AtomicI64>,
    memory_held: Family<MemoryKindLabels, Gauge>,
    memory_capacity: Gauge<i64, AtomicI64>,
    memory_in_use: Gauge<f64, AtomicU64>,
    is_short_of_memory: Gauge<i64, AtomicI64>,
    descriptors: Gauge<i64, AtomicI64>,
    region_round_trip: Family<RegionLabels, Gauge<f64, AtomicU64>>,
    read_ahead: Gauge<i64, AtomicI64>,
    held_at_servers: Gauge<i64, AtomicI64>,
    quarantined: Gauge<i64, AtomicI64>,
    limited: Gauge<i64, AtomicI64>,
    in_back_off: Gauge<i64, AtomicI64>,
    brittle_services: Gauge<i64, AtomicI64>,
    bounded_servers: Gauge<i64, AtomicI64>,
    skipped_entries: Gauge<i64, AtomicI64>,
    stream_records: Gauge<i64, AtomicI64>,
    uncopied_streams: Gauge<i64, AtomicI64>,
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

    /// Sets all gauges to the state of the node.
    pub fn update(&self, node: &Node) {
        let now = node.now();
        self.in_flight.set(node.get_in_flight() as i64);
        self.connections_opened.set(node.get_http_client().get_opened_count() as i64);
        let (sampled_out, dropped) = crate::log::get_suppressed_counts();
        self.sampled_out_lines.set(sampled_out as i64);
        self.dropped_lines.set(dropped as i64);
        self.resident.set(read_resident_bytes().unwrap_or(0) as i64);
        self.descriptors.set(std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count() as i64));
        node.with(|state| {
            self.read_ahead.set(state.memory.get_held(Kind::ReadAhead) as i64);
            self.held_at_servers.set(state.in_flight_bytes.get_total() as i64);
            self.skipped_entries.set(state.skipped_entries.count() as i64);
            self.stream_records.set(state.stream_origins.len() as i64);
            self.uncopied_streams.set(state.stream_origins.count_incomplete() as i64);
            self.quarantined.set(state.quarantine.count_quarantined(now) as i64);
            self.in_back_off.set(state.backpressure.count_in_back_off(now) as i64);
            self.brittle_services.set(state.backpressure.count_brittle(now) as i64);
            self.bounded_servers.set(state.backpressure.count_bounded() as i64);
            self.limited.set(state.backpressure.count_limited() as i64);
            let age = state.freshness.get_age(now);
            self.configuration_age.set(age.map_or(-1.0, |age| age as f64 / 1_000.0));
            let version = state.configuration.as_ref().map_or(0, |known| known.version);
            self.configuration_version.set(version as i64);
            self.memory_capacity.set(state.memory.get_capacity() as i64);
            self.memory_in_use.set(state.memory.get_usage().part);
            self.is_short_of_memory.set(state.memory.is_under_pressure().into());
            for kind in Kind::ALL {
                let labels = MemoryKindLabels { kind: kind.as_str().to_owned() };
                let held = state.memory.get_held(kind) as i64;
                self.memory_held.get_or_create(&labels).set(held);
            }
            self.lease_fence.set(state.lease.get_fence(now).unwrap_or(0) as i64);
            for region in node.topology.list_regions() {
                if region != node.topology.get_own_region() {
                    let round_trip = state.round_trips.get_round_trip(region) as f64 / 1_000.0;
                    let labels = RegionLabels::new(region);
                    self.region_round_trip.get_or_create(&labels).set(round_trip);
                }
            }
            let reach = state.members.get_reachability(now);
            self.nodes_heard.set(reach.heard as i64);
            self.nodes.set(reach.known as i64);
            let Some(configuration) = state.configuration.clone() else { return };
            for service in configuration.services.keys() {
                let ready = state.directory.iter_ready(service).count() as i64;
                let labels = ServiceLabels { service: service.clone() };
                self.ready_servers.get_or_create(&labels).set(ready);
                let retries = state.retry_budget.get_remaining(now, service, reach.known);
                self.retries_left.get_or_create(&labels).set(retries);
            }
            for account in configuration.accounts.iter().flatten() {
                let Some(available) = state.quotas.get_available(now, &account.name) else {
                    continue;
                };
                let labels = AccountLabels { account: account.name.clone() };
                self.quota_left.get_or_create(&labels).set(available);
            }
        });
    }
}
