//! Updates the gauges of the metrics to the state of the node.

use keeljunction_core::serving::backpressure::Cause;
use keeljunction_core::serving::memory::Kind;

use super::Node;
use super::memory::read_resident_bytes;
use crate::metrics::{AccountLabels, MemoryKindLabels, ReasonLabels, RegionLabels, ServiceLabels};

/// Sets all gauges to the state of the node.
pub(crate) fn update(node: &Node) {
    let gauges = &node.metrics.gauges;
    let now = node.now();
    gauges.in_flight.set(node.get_in_flight() as i64);
    gauges.connections_opened.set(node.get_http_client().get_opened_count() as i64);
    let (sampled_out, dropped) = crate::log::get_suppressed_counts();
    gauges.sampled_out_lines.set(sampled_out as i64);
    gauges.dropped_lines.set(dropped as i64);
    gauges.resident.set(read_resident_bytes().unwrap_or(0) as i64);
    gauges.descriptors.set(std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count() as i64));
    node.with(|state| {
        gauges.read_ahead.set(state.memory.get_held(Kind::ReadAhead) as i64);
        gauges.held_at_servers.set(state.in_flight_bytes.get_total() as i64);
        gauges.skipped_entries.set(state.skipped_entries.count() as i64);
        gauges.stream_records.set(state.stream_origins.len() as i64);
        gauges.uncopied_streams.set(state.stream_origins.count_incomplete() as i64);
        gauges.quarantined.set(state.quarantine.count_quarantined(now) as i64);
        gauges.in_back_off.set(state.backpressure.count_in_back_off(now) as i64);
        gauges.brittle_services.set(state.backpressure.count_brittle(now) as i64);
        gauges.bounded_servers.set(state.backpressure.count_bounded() as i64);
        for cause in Cause::ALL {
            let labels = ReasonLabels { reason: cause.as_str().to_owned() };
            let denied = state.backpressure.get_slot_denials().get(cause) as i64;
            gauges.slot_denials.get_or_create(&labels).set(denied);
        }
        gauges.limited.set(state.backpressure.count_limited() as i64);
        let age = state.freshness.get_age(now);
        gauges.configuration_age.set(age.map_or(-1.0, |age| age as f64 / 1_000.0));
        let version = state.configuration.as_ref().map_or(0, |known| known.version);
        gauges.configuration_version.set(version as i64);
        gauges.memory_capacity.set(state.memory.get_capacity() as i64);
        gauges.memory_in_use.set(state.memory.get_usage().part);
        gauges.is_short_of_memory.set(state.memory.is_under_pressure().into());
        for kind in Kind::ALL {
            let labels = MemoryKindLabels { kind: kind.as_str().to_owned() };
            let held = state.memory.get_held(kind) as i64;
            gauges.memory_held.get_or_create(&labels).set(held);
        }
        gauges.lease_fence.set(state.lease.get_fence(now).unwrap_or(0) as i64);
        for region in node.topology.list_regions() {
            if region != node.topology.get_own_region() {
                let round_trip = state.round_trips.get_round_trip(region) as f64 / 1_000.0;
                let labels = RegionLabels::new(region);
                gauges.region_round_trip.get_or_create(&labels).set(round_trip);
            }
        }
        let reach = state.members.get_reachability(now);
        gauges.nodes_heard.set(reach.heard as i64);
        gauges.nodes.set(reach.known as i64);
        let Some(configuration) = state.configuration.clone() else { return };
        for service in configuration.services.keys() {
            let ready = state.directory.iter_ready(service).count() as i64;
            let labels = ServiceLabels { service: service.as_str().into() };
            gauges.ready_servers.get_or_create(&labels).set(ready);
            let retries = state.retry_budget.get_remaining(now, service, reach.known);
            gauges.retries_left.get_or_create(&labels).set(retries);
        }
        for account in configuration.accounts.iter().flatten() {
            let Some(available) = state.quotas.get_available(now, &account.name) else {
                continue;
            };
            let labels = AccountLabels { account: account.name.as_str().into() };
            gauges.quota_left.get_or_create(&labels).set(available);
        }
    });
}
