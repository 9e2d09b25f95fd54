//! Counters and latency histograms, as OpenMetrics text.
//!
//! Labels are bounded: services, client accounts and outcomes come from the configuration and the code.

use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use keeljunction_core::serving::memory::Kind;

use crate::node::Node;

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

/// Why a second attempt was made or a server was given up on.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    /// One of the names of the code.
    pub reason: String,
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
    /// Bytes of answers that were read before their callers asked for them.
    pub read_ahead: Counter,
    /// Callers that were let go because they did not read.
    pub callers_let_go: Family<ReasonLabels, Counter>,
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
    descriptors: Gauge<i64, AtomicI64>,
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
            read_ahead: Counter::default(),
            callers_let_go: Family::default(),
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
            "read_ahead",
            "Parts of answers read before their callers asked for them",
            Unit::Bytes,
            self.read_ahead.clone(),
        );
        registry.register(
            "callers_let_go",
            "Callers that did not read",
            self.callers_let_go.clone(),
        );
        registry.register(
            "requests_stopped",
            "Requests that went to no third server after two had ended under them",
            self.requests_stopped.clone(),
        );
        self.gauges.register(registry);
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
        registry.register("descriptors_open", "Open descriptors", self.descriptors.clone());
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
        self.resident.set(read_resident_bytes().unwrap_or(0));
        self.descriptors.set(std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count() as i64));
        node.with(|state| {
            self.read_ahead.set(state.memory.get_held(Kind::ReadAhead) as i64);
            self.held_at_servers.set(state.held.get_total() as i64);
            let age = state.freshness.get_age(now);
            self.configuration_age.set(age.map_or(-1.0, |age| age as f64 / 1_000.0));
            let version = state.configuration.as_ref().map_or(0, |known| known.version);
            self.configuration_version.set(version as i64);
            self.lease_fence.set(state.lease.get_fence(now).unwrap_or(0) as i64);
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

/// Reads the resident memory of the process, in bytes.
fn read_resident_bytes() -> Option<i64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: i64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1024)
}
