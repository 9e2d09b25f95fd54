//! The counters and histograms of a node, and the registry that renders them with the gauges.

use std::fmt::Write;

use keeljunction_core::serving::backpressure::Signal;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::gauges::Gauges;
use super::labels::{
    CapacityLabels, ReasonLabels, RegionLabels, RequestLabels, ServiceLabels, SpillLabels,
};
use super::sent_messages::SentMessages;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 10.0, 20.0];

/// Counters by reason.
pub type ReasonCounters = Family<ReasonLabels, Counter>;

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Completed requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from the arrival of a request to the first token of its response, in seconds.
    pub first_token: Family<ServiceLabels, Histogram>,
    /// Longest gap between two chunks of a response, in seconds.
    pub longest_gap: Family<ServiceLabels, Histogram>,
    /// Time from the arrival of a request to the end of its response, in seconds.
    pub total: Family<ServiceLabels, Histogram>,
    /// Retries, which are the attempts after the first.
    pub retries: Family<ReasonLabels, Counter>,
    /// Failed attempts.
    pub failed_attempts: Family<ReasonLabels, Counter>,
    /// Requests that this node sent to servers through peers, by outcome.
    pub relayed_by_peers: ReasonCounters,
    /// Requests that this node relayed to servers for peers, by outcome.
    pub relayed_for_peers: ReasonCounters,
    /// Streams resumed on another server.
    pub resumed: Counter,
    /// Requests that resume streams, by how their origin was found.
    pub stream_resumes: ReasonCounters,
    /// Copies of streams' origins sent to other nodes, by reason.
    pub stream_copies: ReasonCounters,
    /// Queries for the loads of servers that timed out.
    pub unanswered_load_questions: Counter,
    /// Queries to the owners of client accounts that timed out.
    pub unanswered_quota_questions: Counter,
    /// Queries to the owners of rate-limited servers that timed out.
    pub unanswered_permit_questions: Counter,
    /// Permits for rate-limited servers that were denied, or not decided before the timeout.
    pub permits_denied: Counter,
    /// Slots of brittle servers that were denied, or not decided before the timeout.
    pub slots_denied: Counter,
    /// Requests that brittle servers rejected for lack of room.
    pub brittle_rejections: Counter,
    /// Bytes of requests sent to other regions.
    pub region_bytes_sent: Family<RegionLabels, Counter>,
    /// Bytes of responses received from other regions.
    pub region_bytes_received: Family<RegionLabels, Counter>,
    /// Attempts in other regions.
    pub spilled: Family<SpillLabels, Counter>,
    /// Attempts in other regions that were rejected because the link's bandwidth budget was exhausted.
    pub link_full: Family<RegionLabels, Counter>,
    /// Servers required by the demand of a region; set by the holder of the duty lease.
    pub capacity_need: Family<CapacityLabels, Gauge>,
    /// Planned servers of both kinds in a region; set by the holder of the duty lease.
    pub capacity_planned: Family<CapacityLabels, Gauge>,
    /// Evicted uploads.
    pub uploads_evicted: Family<ReasonLabels, Counter>,
    /// Bytes of responses that were read ahead of their callers.
    pub read_ahead: Counter,
    /// Callers disconnected because they did not read.
    pub callers_disconnected: Family<ReasonLabels, Counter>,
    /// Requests stopped because two servers crashed while running them.
    pub requests_stopped: Counter,
    /// Servers that stopped listening after a connection to them was interrupted.
    pub servers_down: Family<ServiceLabels, Counter>,
    /// Servers that still listened after prompts that no server has completed were interrupted.
    pub servers_reset: Family<ServiceLabels, Counter>,
    /// Responses with a backpressure signal, by kind of signal.
    pub signals: Family<ReasonLabels, Counter>,
    /// Windows whose usage was not reported, because it may already have been reported before the table
    /// service was restored from an older copy.
    pub usage_withheld: Counter,
    /// Restorations of the table service from an older copy of its rows.
    pub store_returns: Counter,
    /// Pauses of the process of a second or more.
    pub pauses: Counter,
    pub(crate) gauges: Gauges,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(LATENCY_BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("keeljunction"),
            requests: Family::default(),
            first_token: Family::new_with_constructor(histogram),
            longest_gap: Family::new_with_constructor(histogram),
            total: Family::new_with_constructor(histogram),
            retries: Family::default(),
            failed_attempts: Family::default(),
            relayed_by_peers: Family::default(),
            relayed_for_peers: Family::default(),
            resumed: Counter::default(),
            stream_resumes: Family::default(),
            stream_copies: Family::default(),
            unanswered_load_questions: Counter::default(),
            unanswered_quota_questions: Counter::default(),
            unanswered_permit_questions: Counter::default(),
            permits_denied: Counter::default(),
            slots_denied: Counter::default(),
            brittle_rejections: Counter::default(),
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
            servers_down: Family::default(),
            servers_reset: Family::default(),
            signals: Family::default(),
            usage_withheld: Counter::default(),
            store_returns: Counter::default(),
            pauses: Counter::default(),
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
            "Servers required by the demand of a region",
            self.capacity_need.clone(),
        );
        registry.register(
            "capacity_planned",
            "Planned servers in a region",
            self.capacity_planned.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from the arrival of a request to the first token of its response",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "longest_gap",
            "Longest gap between two chunks of a response",
            Unit::Seconds,
            self.longest_gap.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "Time from the arrival of a request to the end of its response",
            Unit::Seconds,
            self.total.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register("failed_attempts", "Failed attempts", self.failed_attempts.clone());
        registry.register(
            "relayed_by_peers",
            "Requests sent to servers through peers, by outcome",
            self.relayed_by_peers.clone(),
        );
        registry.register(
            "relayed_for_peers",
            "Requests relayed to servers for peers, by outcome",
            self.relayed_for_peers.clone(),
        );
        registry.register(
            "resumed_streams",
            "Streams resumed on another server",
            self.resumed.clone(),
        );
        registry.register(
            "stream_resumes",
            "Requests that resume streams of earlier requests, by how the software version was found",
            self.stream_resumes.clone(),
        );
        registry.register(
            "stream_copies",
            "Copies of the software versions that began streams, sent to other nodes, by reason",
            self.stream_copies.clone(),
        );
        registry.register(
            "unanswered_load_questions",
            "Queries for the loads of servers that timed out",
            self.unanswered_load_questions.clone(),
        );
        registry.register(
            "unanswered_quota_questions",
            "Queries to the owners of client accounts that timed out",
            self.unanswered_quota_questions.clone(),
        );
        registry.register(
            "unanswered_permit_questions",
            "Queries to the owners of rate-limited servers that timed out",
            self.unanswered_permit_questions.clone(),
        );
        registry.register(
            "permits_denied",
            "Permits for rate-limited servers that were denied, or not decided before the timeout",
            self.permits_denied.clone(),
        );
        registry.register(
            "slots_denied",
            "Slots of brittle servers that were denied, or not decided before the timeout",
            self.slots_denied.clone(),
        );
        registry.register(
            "brittle_rejections",
            "Requests rejected by brittle servers for lack of room",
            self.brittle_rejections.clone(),
        );
        registry.register_with_unit(
            "region_sent",
            "Request bodies sent to another region",
            Unit::Bytes,
            self.region_bytes_sent.clone(),
        );
        registry.register_with_unit(
            "region_received",
            "Response bodies received from another region",
            Unit::Bytes,
            self.region_bytes_received.clone(),
        );
        registry.register(
            "spilled_attempts",
            "Attempts in another region, by reason",
            self.spilled.clone(),
        );
        registry.register(
            "link_full_attempts",
            "Attempts in another region rejected by the bandwidth budget of the link",
            self.link_full.clone(),
        );
        registry.register(
            "uploads_evicted",
            "Uploads evicted from memory, by reason",
            self.uploads_evicted.clone(),
        );
        registry.register_with_unit(
            "read_ahead",
            "Response bytes read ahead of the callers",
            Unit::Bytes,
            self.read_ahead.clone(),
        );
        registry.register(
            "callers_disconnected",
            "Callers disconnected because they did not read",
            self.callers_disconnected.clone(),
        );
        registry.register(
            "requests_stopped",
            "Requests stopped because two servers crashed while running them",
            self.requests_stopped.clone(),
        );
        registry.register(
            "servers_down",
            "Servers that stopped listening after a connection to them was interrupted",
            self.servers_down.clone(),
        );
        registry.register(
            "servers_reset",
            "Servers that still listened after prompts that no server has completed were interrupted",
            self.servers_reset.clone(),
        );
        registry.register(
            "server_signals",
            "Responses with a backpressure signal, by kind of signal",
            self.signals.clone(),
        );
        registry.register(
            "pauses",
            "Pauses of the process, or suspensions of its machine, of a second or more",
            self.pauses.clone(),
        );
        registry.register(
            "usage_withheld",
            "Usage windows withheld because they may have been reported before a restore of the table service",
            self.usage_withheld.clone(),
        );
        registry.register(
            "store_returns",
            "Restores of the table service from an older copy of its rows",
            self.store_returns.clone(),
        );
        self.gauges.register(registry);
    }

    /// Registers the counter of datagram bytes sent to nodes of other regions, which the peer link
    /// increments.
    pub(crate) fn register_cross_region_bytes(&mut self, crossed: Family<RegionLabels, Counter>) {
        self.registry.register_with_unit(
            "control_crossed",
            "Datagrams sent to nodes of other regions",
            Unit::Bytes,
            crossed,
        );
    }

    /// Registers the counters of datagrams sent to other nodes, which the peer link increments.
    pub(crate) fn register_sent_messages(&mut self, sent: &SentMessages) {
        self.registry.register(
            "peer_messages",
            "Datagrams sent to other nodes, by message",
            sent.messages.clone(),
        );
        self.registry.register_with_unit(
            "peer_sent",
            "Content of datagrams sent to other nodes, by message",
            Unit::Bytes,
            sent.bytes.clone(),
        );
    }

    /// Registers the counters of ignored datagrams, which the peer link increments.
    pub(crate) fn register_ignored_datagrams(&mut self, ignored: &ReasonCounters) {
        self.registry.register(
            "ignored_datagrams",
            "Datagrams that were ignored, by reason",
            ignored.clone(),
        );
    }

    /// Counts a response with a backpressure signal.
    pub fn count_signal(&self, signal: &Signal) {
        let signals = [
            ("rate_limit", signal.rate_limit.is_some()),
            ("back_off", signal.back_off.is_some()),
            ("leaving", signal.is_leaving),
            ("brittle", signal.max_rejections.is_some()),
        ];
        for (reason, _) in signals.into_iter().filter(|(_, is_set)| *is_set) {
            self.signals.get_or_create(&ReasonLabels { reason: reason.to_owned() }).inc();
        }
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            let _ = writeln!(text, "# the metrics could not be written");
        }
        text
    }
}
