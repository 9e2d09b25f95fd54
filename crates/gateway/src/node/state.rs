//! The node's view of the deployment.

use std::collections::HashMap;
use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::retry::{Allowance, Budget};
use keeljunction_core::serving::backpressure;
use keeljunction_core::serving::configuration::Configuration;
use keeljunction_core::serving::demand::DemandTracker;
use keeljunction_core::serving::directory::{Directory, Server};
use keeljunction_core::serving::duty_lease::DutyLease;
use keeljunction_core::serving::era::Eras;
use keeljunction_core::serving::freshness::Freshness;
use keeljunction_core::serving::health::Health;
use keeljunction_core::serving::in_flight_bytes;
use keeljunction_core::serving::load::{LoadTracker, short_id};
use keeljunction_core::serving::members::{Entry, Members};
use keeljunction_core::serving::memory::MemoryBudget;
use keeljunction_core::serving::quarantine;
use keeljunction_core::serving::quota::{Quotas, Tolerance};
use keeljunction_core::serving::report_log::ReportLog;
use keeljunction_core::serving::response_times::ResponseTimes;
use keeljunction_core::serving::rollout;
use keeljunction_core::serving::round_trip::RoundTrips;
use keeljunction_core::serving::server_path::Paths;
use keeljunction_core::serving::spill::LinkBudgets;
use keeljunction_core::serving::stream_origin;
use keeljunction_core::serving::table_version::TableVersion;
use keeljunction_core::serving::throughput::Throughput;
use keeljunction_core::serving::topology::Topology;
use keeljunction_core::serving::usage::{
    FrozenWindows, Incarnation, Ledger, ReportFilter, count_retained_windows,
};
use keeljunction_core::serving::version_history::VersionHistory;

use super::document::Document;
use super::peers::relay_state::RelayState;
use super::peers::report_target::{ReportTarget, Samples};
use super::skipped;
use crate::settings::Settings;

/// Bytes per megabyte in the settings.
pub(crate) const BYTES_PER_MB: f64 = 1_000_000.0;
/// The fraction of the process's memory that may buffer data of clients and servers. The rest is
/// for the node's own state, its sockets and the allocator's overhead.
const BUFFER_MEMORY_FRACTION: f64 = 0.4;
/// The fraction of a lease that its holder leaves unused.
const LEASE_MARGIN_FRACTION: f64 = 0.2;

/// The table row of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationRow {
    /// The key of the row.
    pub key: String,
    /// The version of the row in the table.
    pub row_version: TableVersion,
    /// The version of the configuration that the row holds.
    pub version: u64,
}

/// A node's view of the deployment.
pub struct State {
    /// The eras of the table service.
    pub eras: Eras,
    /// The configuration in force; `None` until one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// The configuration as the operator wrote it, for peers.
    pub configuration_document: Option<Arc<Document>>,
    /// The row of the configuration, if this node read it itself.
    pub configuration_row: Option<ConfigurationRow>,
    /// When the configuration was last confirmed to be the newest.
    pub freshness: Freshness,
    /// The server list.
    pub directory: Directory,
    /// When the server list was last confirmed to be the newest.
    pub servers_freshness: Freshness,
    /// The software versions that may be running streams, by service.
    pub version_history: VersionHistory,
    /// Entries of the server list that could not be decoded.
    pub skipped_entries: skipped::Entries,
    /// The load of the servers.
    pub loads: LoadTracker,
    /// The health of the servers, as shown by their responses.
    pub health: Health,
    /// Backpressure that the servers signalled in their responses.
    pub backpressure: backpressure::Tracker,
    /// The paths to the servers.
    pub paths: Paths,
    /// Bytes of requests from this node that each server holds.
    pub in_flight_bytes: in_flight_bytes::Limiter,
    /// Requests that crash servers.
    pub quarantine: quarantine::Tracker,
    /// The usage of quotas by client account.
    pub quotas: Quotas,
    /// The retry budget.
    pub retry_budget: Budget,
    /// Requests started, by client account and window.
    pub usage: Ledger,
    /// Windows of usage whose counts are frozen.
    pub frozen_usage: FrozenWindows,
    /// Selects the usage windows of the next summary.
    pub(super) outgoing_usage: ReportFilter,
    /// Requested tokens, by service.
    pub demand: DemandTracker,
    /// How long the responses on each route take.
    pub response_times: ResponseTimes,
    /// Rollouts of services to other versions.
    pub rollouts: rollout::Registry,
    /// The prompt processing rate of servers, by service.
    pub throughputs: HashMap<String, Throughput>,
    /// The other nodes.
    pub members: Members,
    /// Round-trip times to other regions.
    pub round_trips: RoundTrips,
    /// The bandwidth budgets of the links to other regions.
    pub link_budgets: LinkBudgets,
    /// State of the summaries that this node sends to other regions.
    pub(super) summary_relay: RelayState,
    /// The budget of the memory that buffers data of clients and servers.
    pub memory: MemoryBudget,
    /// The nodes that this node reports its counts to.
    pub(super) report_target: ReportTarget,
    /// The sent reports, and which of them the report target has acknowledged.
    pub report_log: ReportLog,
    /// Throughput samples to be forwarded to this node's group.
    pub(super) samples: Samples,
    /// The lease of the duties.
    pub lease: DutyLease,
    /// The origins of streams.
    pub stream_origins: stream_origin::Registry,
    /// The requests for the copies of origins that this node should hold.
    pub(super) stream_recovery: stream_origin::Recovery,
}

impl State {
    /// Creates an empty view of the deployment, for a process that starts now.
    pub(super) fn new(
        settings: &Settings,
        now: Millis,
        incarnation: &Incarnation,
        topology: &Arc<Topology>,
    ) -> Self {
        let bounds = settings.bounds;
        let due = (bounds.usage_late_s * 1_000.0) as Millis;
        let windows_kept =
            count_retained_windows(due, (bounds.report_window_s * 1_000.0) as Millis);
        let allowance = Allowance::shared(
            bounds.retry_budget_ratio,
            bounds.budget_min_retries,
            (bounds.budget_window_s * 1_000.0) as Millis,
        );
        let tolerance = Tolerance {
            window_seconds: bounds.quota_window_s,
            overshoot: bounds.quota_overshoot,
            slack: bounds.quota_slack,
        };
        let margin = (bounds.lease_ms as f64 * LEASE_MARGIN_FRACTION) as Millis;
        Self {
            eras: Eras::default(),
            configuration: None,
            configuration_document: None,
            configuration_row: None,
            demand: DemandTracker::new(topology.get_own_region()),
            response_times: ResponseTimes::default(),
            rollouts: rollout::Registry::default(),
            throughputs: HashMap::new(),
            freshness: Freshness::default(),
            directory: Directory::default(),
            servers_freshness: Freshness::default(),
            version_history: VersionHistory::default(),
            skipped_entries: skipped::Entries::default(),
            loads: LoadTracker::default(),
            health: Health::default(),
            backpressure: backpressure::Tracker::new(fastrand::f64(), incarnation.number),
            paths: Paths::default(),
            in_flight_bytes: in_flight_bytes::Limiter::default(),
            quarantine: quarantine::Tracker::default(),
            quotas: Quotas::new(now, tolerance),
            retry_budget: Budget::new(now, allowance),
            usage: Ledger::default(),
            frozen_usage: FrozenWindows::new(windows_kept),
            outgoing_usage: ReportFilter::default(),
            members: Members::new(now, get_entry(settings), &settings.seeds)
                .with_topology(topology.clone()),
            round_trips: RoundTrips::default(),
            link_budgets: LinkBudgets::new(settings.regions.spill_mbps),
            summary_relay: RelayState::new(settings.regions.control_kbps),
            memory: make_memory_budget(settings, incarnation.number),
            report_target: ReportTarget::default(),
            report_log: ReportLog::new(incarnation.clone()),
            samples: Samples::new(),
            lease: DutyLease::new(
                incarnation.node.clone(),
                incarnation.number,
                bounds.lease_ms,
                margin,
            ),
            stream_origins: stream_origin::Registry::default(),
            stream_recovery: stream_origin::Recovery::new(now),
        }
    }

    /// Discards the state of a server that comes from its responses.
    pub(super) fn forget_server(&mut self, server: &Server) {
        self.health.forget(&server.id);
        self.rollouts.forget_server(&server.id);
        if let Some(throughput) = self.throughputs.get_mut(&server.service) {
            throughput.forget(short_id(&server.id));
        }
    }

    /// Returns `true` if a server is in a backoff that its responses requested, or if the owner of
    /// its rate limit has denied this node a permit for now.
    pub(crate) fn is_throttled(&self, now: Millis, server: &Server) -> bool {
        self.backpressure.get_wait(now, server).is_some()
    }

    /// Returns the shortest time until a throttled server of a service accepts requests, out of those
    /// that `is_candidate` selects, or `None` if none of these is throttled.
    pub(crate) fn get_min_throttle_wait(
        &self,
        now: Millis,
        service: &str,
        is_candidate: impl Fn(&Server) -> bool,
    ) -> Option<Millis> {
        let servers = self.directory.iter_ready(service).filter(|server| is_candidate(server));
        servers.filter_map(|server| self.backpressure.get_wait(now, server)).min()
    }

    /// Returns `true` if all ready servers of a service that `is_candidate` selects are throttled.
    pub(crate) fn is_service_throttled(
        &self,
        now: Millis,
        service: &str,
        is_candidate: impl Fn(&Server) -> bool,
    ) -> bool {
        let mut servers = self.directory.iter_ready(service).filter(|server| is_candidate(server));
        servers.all(|server| self.is_throttled(now, server))
    }

    /// Counts this node's in-flight requests at servers that do not have the target version of a
    /// rollout.
    pub(super) fn count_in_flight_on_other_versions(&self, order: &rollout::Order) -> u32 {
        let others = self.directory.iter_service(&order.service);
        let others = others.filter(|server| server.version != order.target_version);
        others.map(|server| self.loads.get_own_of(short_id(&server.id)).requests).sum()
    }

    /// Lists the rollout counts of this node and of the nodes that report to it.
    pub(super) fn report_rollouts(&self) -> Vec<rollout::Report> {
        self.rollouts.report_group(|order| self.count_in_flight_on_other_versions(order))
    }
}

/// Creates the memory budget. The memory level at which clients should use other nodes is
/// randomized for each run of a node.
fn make_memory_budget(settings: &Settings, seed: u64) -> MemoryBudget {
    let bytes = settings.limits.memory_mb * BYTES_PER_MB;
    let random = fastrand::Rng::with_seed(seed).f64();
    MemoryBudget::new((bytes * BUFFER_MEMORY_FRACTION) as u64, bytes as u64, random)
}

/// Returns the entry of a node in the roster.
pub(super) fn get_entry(settings: &Settings) -> Entry {
    Entry {
        name: settings.node.name.clone(),
        address: settings.listen.peers,
        data_centre: settings.node.data_centre.clone(),
        link_mbps: settings.limits.link_mbps as u32,
    }
}
