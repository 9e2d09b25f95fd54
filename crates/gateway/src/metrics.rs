//! Counters and latency histograms, as OpenMetrics text.
//!
//! Labels are bounded: services, client accounts and outcomes come from the configuration and the code.

use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64};

use keeljunction_core::serving::memory::Kind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::node::Node;
use crate::node::memory::read_resident_bytes;

/// Upper bounds of the latency buckets, in seconds.
const LATENCIES: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 10.0, 20.0];

/// What a request is counted under.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, or empty where none was found.
    pub service: String,
    /// The client account, or empty where none was found.
    pub account: String,
    /// The outcome, one of the names of the code.
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

/// Why a second attempt was made or a server was given up on.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    /// One of the names of the code.
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
    pub fn of(region: &str) -> Self {
        Self { region: region.to_owned() }
    }
}

/// Why requests went to another region.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct SpillLabels {
    /// The region that they went to.
    pub region: String,
    /// One of the names of the code.
    pub reason: String,
}

impl SpillLabels {
    /// Makes the labels of a region and a reason.
    pub fn of(region: &str, reason: &str) -> Self {
        Self { region: region.to_owned(), reason: reason.to_owned() }
    }
}

/// All counters and histograms of a node.
pub struct Metrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from a request's arrival to the first token of its answer, in seconds.
    pub first_token: Family<ServiceLabels, Histogram>,
    /// The longest pause between two pieces of one answer, in seconds.
    pub longest_gap: Family<ServiceLabels, Histogram>,
    /// Time from a request's arrival to the end of its answer, in seconds.
    pub total: Family<ServiceLabels, Histogram>,
    /// Attempts beyond the first.
    pub retries: Family<ReasonLabels, Counter>,
    /// Attempts that failed.
    pub failed_attempts: Family<ReasonLabels, Counter>,
    /// Streams that another server went on with.
    pub resumed: Counter,
    /// Questions for the loads of servers that were not answered in time.
    pub unanswered_load_questions: Counter,
    /// Questions to owners of client accounts that were not answered in time.
    pub unanswered_quota_questions: Counter,
    /// Bytes of requests that were sent to other regions.
    pub region_bytes_sent: Family<RegionLabels, Counter>,
    /// Bytes of answers that came from other regions.
    pub region_bytes_received: Family<RegionLabels, Counter>,
    /// Attempts in other regions.
    pub spilled: Family<SpillLabels, Counter>,
    /// Attempts in other regions that the budget of the link did not allow.
    pub link_full: Family<RegionLabels, Counter>,
    /// Servers that the demand of a region needs, at the holder of the duties.
    pub capacity_need: Family<CapacityLabels, Gauge>,
    /// Servers of both kinds that the plan holds in a region, at the holder of the duties.
    pub capacity_planned: Family<CapacityLabels, Gauge>,
    /// Uploads that were evicted.
    pub uploads_evicted: Family<ReasonLabels, Counter>,
    /// Bytes of answers that were read before their callers asked for them.
    pub read_ahead: Counter,
    /// Callers that were disconnected because they did not read.
    pub callers_disconnected: Family<ReasonLabels, Counter>,
    /// Requests that went to no third server after two had ended under them.
    pub requests_stopped: Counter,
    gauges: Gauges,
}

/// The client account that a figure belongs to.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AccountLabels {
    /// The client account.
    pub account: String,
}

/// What memory is held for.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct KindLabels {
    /// One of the names of the code.
    pub kind: String,
}

#[derive(Default)]
struct Gauges {
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
    memory_held: Family<KindLabels, Gauge>,
    memory_capacity: Gauge<i64, AtomicI64>,
    memory_part: Gauge<f64, AtomicU64>,
    is_short_of_memory: Gauge<i64, AtomicI64>,
    descriptors: Gauge<i64, AtomicI64>,
    region_round_trip: Family<RegionLabels, Gauge<f64, AtomicU64>>,
    read_ahead: Gauge<i64, AtomicI64>,
    held_at_servers: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(LATENCIES);
        let mut metrics = Self {
            registry: Registry::with_prefix("keeljunction"),
            requests: Family::default(),
            first_token: Family::new_with_constructor(histogram),
            longest_gap: Family::new_with_constructor(histogram),
            total: Family::new_with_constructor(histogram),
            retries: Family::default(),
            failed_attempts: Family::default(),
            resumed: Counter::default(),
            unanswered_load_questions: Counter::default(),
            unanswered_quota_questions: Counter::default(),
            region_bytes_sent: Family::default(),
            region_bytes_received: Family::default(),
            spilled: Family::default(),
            link_full: Family::default(),
            capacity_need: Family::default(),
            capacity_planned: Family::default(),
            uploads_evicted: Family::default(),
            read_ahead: Counter::default(),
            callers_disconnected: Family::default(),
            requests_stopped: Counter::default(),
            gauges: Gauges::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "capacity_need",
            "Servers that a region's demand needs",
            self.capacity_need.clone(),
        );
        registry.register(
            "capacity_planned",
            "Servers that the plan holds in a region",
            self.capacity_planned.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Arrival to first token of the answer",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "longest_gap",
            "Longest pause between two pieces of one answer",
            Unit::Seconds,
            self.longest_gap.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "Arrival to end of the answer",
            Unit::Seconds,
            self.total.clone(),
        );
        registry.register("retries", "Attempts beyond the first", self.retries.clone());
        registry.register("failed_attempts", "Attempts that failed", self.failed_attempts.clone());
        registry.register(
            "resumed_streams",
            "Streams gone on with elsewhere",
            self.resumed.clone(),
        );
        registry.register(
            "unanswered_load_questions",
            "Questions for the loads of servers that were not answered in time",
            self.unanswered_load_questions.clone(),
        );
        registry.register(
            "unanswered_quota_questions",
            "Questions to owners of client accounts that were not answered in time",
            self.unanswered_quota_questions.clone(),
        );
        registry.register_with_unit(
            "region_sent",
            "Bodies of requests that went to another region",
            Unit::Bytes,
            self.region_bytes_sent.clone(),
        );
        registry.register_with_unit(
            "region_received",
            "Bodies of answers that came from another region",
            Unit::Bytes,
            self.region_bytes_received.clone(),
        );
        registry.register(
            "spilled_attempts",
            "Attempts in another region, by what the own one lacked",
            self.spilled.clone(),
        );
        registry.register(
            "link_full_attempts",
            "Attempts in another region that the budget of the link did not allow",
            self.link_full.clone(),
        );
        registry.register(
            "uploads_evicted",
            "Bodies that came too slowly, or whose memory was needed",
            self.uploads_evicted.clone(),
        );
        registry.register_with_unit(
            "read_ahead",
            "Parts of answers read before their callers asked for them",
            Unit::Bytes,
            self.read_ahead.clone(),
        );
        registry.register(
            "callers_disconnected",
            "Callers that did not read",
            self.callers_disconnected.clone(),
        );
        registry.register(
            "requests_stopped",
            "Requests that went to no third server after two had ended under them",
            self.requests_stopped.clone(),
        );
        self.gauges.register(registry);
    }

    /// Adds what nodes told those of other regions.
    pub(crate) fn register_crossed(&mut self, crossed: Family<RegionLabels, Counter>) {
        self.registry.register_with_unit(
            "control_crossed",
            "Datagrams sent to nodes of other regions",
            Unit::Bytes,
            crossed,
        );
    }

    /// Renders all metrics as text.
    pub fn render(&self, node: &Node) -> String {
        self.gauges.update(node);
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            let _ = writeln!(text, "# the metrics could not be written");
        }
        text
    }
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
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
            self.memory_part.clone(),
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
    }

    fn update(&self, node: &Node) {
        let now = node.now();
        self.in_flight.set(node.get_in_flight() as i64);
        self.connections_opened.set(node.servers.get_opened() as i64);
        let (sampled_out, dropped) = crate::log::get_losses();
        self.sampled_out_lines.set(sampled_out as i64);
        self.dropped_lines.set(dropped as i64);
        self.resident.set(read_resident_bytes().unwrap_or(0) as i64);
        self.descriptors.set(std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count() as i64));
        node.with(|state| {
            self.read_ahead.set(state.memory.get_held(Kind::ReadAhead) as i64);
            self.held_at_servers.set(state.held.get_total() as i64);
            let age = state.freshness.get_age(now);
            self.configuration_age.set(age.map_or(-1.0, |age| age as f64 / 1_000.0));
            let version = state.configuration.as_ref().map_or(0, |known| known.version);
            self.configuration_version.set(version as i64);
            self.memory_capacity.set(state.memory.get_capacity() as i64);
            self.memory_part.set(state.memory.get_use().part);
            self.is_short_of_memory.set(state.memory.is_short().into());
            for kind in Kind::ALL {
                let labels = KindLabels { kind: kind.as_str().to_owned() };
                let held = state.memory.get_held(kind) as i64;
                self.memory_held.get_or_create(&labels).set(held);
            }
            self.lease_fence.set(state.lease.get_fence(now).unwrap_or(0) as i64);
            for region in node.topology.list_regions() {
                if region != node.topology.get_own() {
                    let round_trip = state.distances.get_round_trip(region) as f64 / 1_000.0;
                    let labels = RegionLabels::of(region);
                    self.region_round_trip.get_or_create(&labels).set(round_trip);
                }
            }
            let reach = state.members.get_reach(now);
            self.nodes_heard.set(reach.heard as i64);
            self.nodes.set(reach.all as i64);
            let Some(configuration) = state.configuration.clone() else { return };
            for service in configuration.services.keys() {
                let ready = state.directory.iter_ready(service).count() as i64;
                let labels = ServiceLabels { service: service.clone() };
                self.ready_servers.get_or_create(&labels).set(ready);
                let retries = state.budget.get_left(now, service, reach.all);
                self.retries_left.get_or_create(&labels).set(retries);
            }
            for account in configuration.accounts.iter().flatten() {
                let Some(left) = state.quotas.get_left(now, &account.name) else { continue };
                let labels = AccountLabels { account: account.name.clone() };
                self.quota_left.get_or_create(&labels).set(left);
            }
        });
    }
}
