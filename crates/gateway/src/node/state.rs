//! The node and its view of the deployment.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use async_channel::{Receiver, Sender};
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
use keeljunction_core::serving::quarantine::{self, Fingerprint};
use keeljunction_core::serving::quota::{self, Quotas, Tolerance};
use keeljunction_core::serving::report_log::ReportLog;
use keeljunction_core::serving::response_times::ResponseTimes;
use keeljunction_core::serving::rollout;
use keeljunction_core::serving::round_trip::RoundTrips;
use keeljunction_core::serving::server_path::Paths;
use keeljunction_core::serving::shutdown;
use keeljunction_core::serving::spill::LinkBudgets;
use keeljunction_core::serving::stream_origin;
use keeljunction_core::serving::table_version::TableVersion;
use keeljunction_core::serving::throughput::Throughput;
use keeljunction_core::serving::topology::Topology;
use keeljunction_core::serving::usage::{
    FrozenWindows, Incarnation, Ledger, ReportFilter, count_retained_windows, window_at,
};
use keeljunction_core::serving::version_history::VersionHistory;

use super::active_relays::ActiveRelays;
use super::document::Document;
use super::eviction_signals::EvictionSignals;
use super::interrupted_attempts;
use super::peers::link::Link;
use super::peers::message::Notification;
use super::peers::pending_loads;
use super::peers::pending_queries::PendingQueries;
use super::peers::relay_state::RelayState;
use super::peers::report_target::{ReportTarget, Samples};
use super::peers::slots;
use super::process_context::ProcessContext;
use super::skipped;
use super::stop::Schedule;
use crate::active_responses::ActiveResponses;
use crate::backend;
use crate::http::{Client, Connections, Shutdown};
use crate::metrics::Metrics;
use crate::port::Platform;
use crate::runtime::{self, Clock, lock};
use crate::settings::Settings;

/// The fraction of the revocation bound for which a configuration stays usable without
/// confirmation. A request that was sent later than the bound after a key's removal also arrives,
/// and is checked, later; the rest of the bound allows for clock drift.
const FRESHNESS_FRACTION: f64 = 0.95;
/// Notifications that may wait to be sent. Further ones are dropped; the next report carries their
/// content.
const NOTIFICATION_CAPACITY: usize = 256;
/// The timeout for connecting to a server. A connection takes some milliseconds, and a lost SYN is
/// retransmitted only after a second, so a server that takes longer is skipped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long clients are assumed to reuse an idle connection while no configuration is known.
const DEFAULT_CLIENT_IDLE_MS: Millis = 15_000;
/// How long clients are assumed to take for a request head while no configuration is known.
const DEFAULT_CLIENT_HEAD_MS: Millis = 3_000;
/// The idle timeout of a connection, as a multiple of the time for which clients reuse it.
const IDLE_TIMEOUT_FACTOR: u32 = 2;
/// Bytes per megabyte in the settings.
pub(crate) const BYTES_PER_MB: f64 = 1_000_000.0;
/// The fraction of the process's memory that may buffer data of clients and servers. The rest is
/// for the node's own state, its sockets and the allocator's overhead.
const BUFFER_MEMORY_FRACTION: f64 = 0.4;
/// The fraction of a lease that its holder leaves unused.
const LEASE_MARGIN_FRACTION: f64 = 0.2;

/// A gateway node.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The adapter to the platform.
    pub platform: Platform,
    /// The monotonic clock.
    pub clock: Clock,
    /// The region of each data centre.
    pub topology: Arc<Topology>,
    /// This incarnation of the node.
    pub incarnation: Incarnation,
    /// The client for requests to servers, directly or through peers.
    pub backend: backend::Client,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Responses in transit to clients.
    pub active_responses: ActiveResponses,
    /// The shutdown of the listener for clients.
    pub shutdown: Shutdown,
    /// The connections of clients.
    pub connections: Connections,
    /// The shutdown of the listener for peers.
    pub(super) peer_shutdown: Shutdown,
    /// The connections of peers.
    pub(super) peer_connections: Connections,
    /// The datagram socket for messages between nodes.
    pub(super) link: Link,
    /// The queue of notifications to other nodes.
    pub(super) notifications: (Sender<Notification>, Receiver<Notification>),
    /// Load queries that await answers, and load changes to be sent.
    pub(super) pending_loads: pending_loads::Pending,
    /// Quota queries that await the decision of the account's owner.
    pub(super) pending_decisions: PendingQueries<quota::Decision>,
    /// Permit requests that await the decision of the server's owner.
    pub(super) pending_permits: PendingQueries<backpressure::Decision>,
    /// Changes of the slots that this node uses, to be sent to the owners of the servers.
    pub(super) slot_changes: (Sender<slots::Change>, Receiver<slots::Change>),
    /// Queries for the origins of streams that await the answers of their holders.
    pub(super) pending_stream_origins: PendingQueries<stream_origin::Answer>,
    /// Attempts whose connection broke at a server that may have crashed.
    pub(super) interrupted_attempts: interrupted_attempts::Pending,
    /// Signals to uploads that are evicted from memory.
    pub(crate) eviction_signals: EvictionSignals,
    /// The node's view of the deployment.
    pub state: Mutex<State>,
    /// Fetches from peers that are in progress.
    pub(super) active_fetches: ActiveFetches,
    /// Requests that this node relays for others.
    pub(super) active_relays: ActiveRelays,
    /// When the shutdown began, and when the process exits, once it is shutting down.
    stop_times: OnceLock<StopTimes>,
    in_flight: AtomicUsize,
}

/// The times of a shutdown, on the node's clock.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    began_at: Millis,
    exits_at: Millis,
}

/// The number of fetches in progress for each document.
#[derive(Debug, Default)]
pub(super) struct ActiveFetches {
    pub configuration: AtomicUsize,
    pub servers: AtomicUsize,
}

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
    /// Discards what is known of a server from its responses.
    pub(super) fn forget_server(&mut self, server: &Server) {
        self.health.forget(&server.id);
        self.rollouts.forget_server(&server.id);
        if let Some(throughput) = self.throughputs.get_mut(&server.service) {
            throughput.forget(short_id(&server.id));
        }
    }
}

impl State {
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

impl Node {
    /// Creates a node with an empty view of the deployment.
    pub fn new(settings: Settings, platform: Platform, context: ProcessContext) -> Arc<Self> {
        let ProcessContext { incarnation, clock, link, topology, clients, peers } = context;
        let topology = Arc::new(topology);
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
        let state = State {
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
            quotas: Quotas::new(clock.now(), tolerance),
            retry_budget: Budget::new(clock.now(), allowance),
            usage: Ledger::default(),
            frozen_usage: FrozenWindows::new(windows_kept),
            outgoing_usage: ReportFilter::default(),
            members: Members::new(clock.now(), get_entry(&settings), &settings.seeds)
                .with_topology(topology.clone()),
            round_trips: RoundTrips::default(),
            link_budgets: LinkBudgets::new(settings.regions.spill_mbps),
            summary_relay: RelayState::new(settings.regions.control_kbps),
            memory: make_memory_budget(&settings, incarnation.number),
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
            stream_recovery: stream_origin::Recovery::new(clock.now()),
        };
        let http_client = Client::new(CONNECT_TIMEOUT).with_source(settings.node.source_address);
        let backend = backend::Client::new(http_client, platform.header_codec.request_id.clone());
        let mut metrics = Metrics::default();
        metrics.register_cross_region_bytes(link.get_cross_region_bytes_by_region());
        metrics.register_sent_messages(link.get_sent_messages());
        metrics.register_ignored_datagrams(link.get_ignored());
        Arc::new(Self {
            settings,
            platform,
            clock,
            topology,
            incarnation,
            backend,
            metrics,
            active_responses: ActiveResponses::default(),
            shutdown: clients.shutdown,
            connections: clients.connections,
            peer_shutdown: peers.shutdown,
            peer_connections: peers.connections,
            link,
            notifications: async_channel::bounded(NOTIFICATION_CAPACITY),
            pending_loads: pending_loads::Pending::default(),
            pending_decisions: PendingQueries::default(),
            pending_permits: PendingQueries::default(),
            slot_changes: async_channel::bounded(slots::CHANGE_CAPACITY),
            pending_stream_origins: PendingQueries::default(),
            interrupted_attempts: interrupted_attempts::Pending::default(),
            eviction_signals: EvictionSignals::default(),
            state: Mutex::new(state),
            active_fetches: ActiveFetches::default(),
            active_relays: ActiveRelays::default(),
            stop_times: OnceLock::new(),
            in_flight: AtomicUsize::new(0),
        })
    }

    /// Returns the time on the node's monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Runs a closure on the state while holding its lock.
    pub fn with<T>(&self, step: impl FnOnce(&mut State) -> T) -> T {
        step(&mut lock(&self.state))
    }

    /// Returns the maximum age of the last confirmation that the configuration is the newest.
    pub fn get_max_configuration_age(&self) -> Millis {
        (self.settings.bounds.revoke_ms as f64 * FRESHNESS_FRACTION) as Millis
    }

    /// Returns how long a new client connection may stay idle.
    ///
    /// The configuration sets how long clients reuse idle connections. A later configuration may
    /// allow a longer time, and a connection must not be closed while its client may still use it.
    pub fn get_idle_timeout(&self) -> Duration {
        let known = self.with(|state| state.configuration.as_ref().map(|c| c.limits.idle_timeout));
        Duration::from_millis(known.unwrap_or(DEFAULT_CLIENT_IDLE_MS)) * IDLE_TIMEOUT_FACTOR
    }

    /// Returns `true` if requests with an API key may be dispatched.
    pub fn is_configuration_fresh(&self) -> bool {
        if !self.settings.bounds.strict_revoke {
            return true;
        }
        let now = self.now();
        self.with(|state| state.freshness.is_within(now, self.get_max_configuration_age()))
    }

    /// Queues a notification to the other nodes.
    pub(crate) fn notify_peers(&self, notification: Notification) {
        if self.notifications.0.try_send(notification).is_err() {
            log::debug!("notification queue is full; the next report carries the change");
        }
    }

    /// Returns this node's entry in the roster.
    pub(super) fn get_entry(&self) -> Entry {
        get_entry(&self.settings)
    }

    /// Returns `true` if the node should receive new connections.
    pub fn is_ready(&self) -> bool {
        let knows = self.with(|state| state.configuration.is_some() && state.directory.is_known());
        knows && !self.is_stopping() && self.is_configuration_fresh() && !self.is_short_of_memory()
    }

    /// Finds the first of some requests or parts of prompts that is quarantined because servers
    /// crashed while serving it, and for how many milliseconds it stays so.
    pub fn find_quarantined(&self, fingerprints: &[Fingerprint]) -> Option<(Fingerprint, Millis)> {
        if fingerprints.is_empty() {
            return None;
        }
        let now = self.now();
        self.with(|state| {
            let remaining = |fingerprint: &Fingerprint| {
                let left = state.quarantine.get_quarantine_remaining(now, *fingerprint)?;
                Some((*fingerprint, left))
            };
            fingerprints.iter().find_map(remaining)
        })
    }

    /// Returns `true` if the node lacks memory and clients should use other nodes.
    pub fn is_short_of_memory(&self) -> bool {
        self.with(|state| state.memory.is_under_pressure())
    }

    /// Returns the HTTP client for anything but requests to servers.
    pub(crate) fn get_http_client(&self) -> &Client {
        self.backend.get_http()
    }

    /// Returns `true` if the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stop_times.get().is_some()
    }

    /// Begins the shutdown, and returns when its steps happen, or `None` if it had already begun.
    pub fn begin_stop(&self) -> Option<Schedule> {
        let grace = Duration::from_secs_f64(self.settings.bounds.grace_s);
        let known = self.with(|state| state.configuration.as_ref().map(|c| c.limits.head_timeout));
        let head_timeout = Duration::from_millis(known.unwrap_or(DEFAULT_CLIENT_HEAD_MS));
        let schedule = Schedule::new(grace, head_timeout);
        let began_at = self.now();
        let exits_at = began_at + schedule.ends_after.as_millis() as Millis;
        let times = StopTimes { began_at, exits_at };
        self.stop_times.set(times).is_ok().then_some(schedule)
    }

    /// Returns the progress of the shutdown, or `None` if the node is not shutting down.
    pub fn get_shutdown(&self, now: Millis) -> Option<shutdown::Shutdown> {
        let StopTimes { began_at, exits_at } = *self.stop_times.get()?;
        let elapsed = now.saturating_sub(began_at);
        Some(shutdown::Shutdown { elapsed, remaining: exits_at.saturating_sub(now) })
    }

    /// Returns the number of requests whose responses have not ended.
    pub fn get_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { node: self.clone() }
    }

    /// Counts a request of a client account that starts to run.
    pub fn count_usage(&self, account: &str) {
        let length = (self.settings.bounds.report_window_s * 1_000.0) as u64;
        let window = window_at(runtime::unix_ms(), length);
        self.with(|state| state.usage.count(window, state.report_log.get_incarnation(), account));
    }
}

/// Creates the memory budget. The memory level at which clients should use other nodes is
/// randomized for each run of a node.
fn make_memory_budget(settings: &Settings, seed: u64) -> MemoryBudget {
    let bytes = settings.limits.memory_mb * BYTES_PER_MB;
    let random = fastrand::Rng::with_seed(seed).f64();
    MemoryBudget::new((bytes * BUFFER_MEMORY_FRACTION) as u64, bytes as u64, random)
}

fn get_entry(settings: &Settings) -> Entry {
    Entry {
        name: settings.node.name.clone(),
        address: settings.listen.peers,
        data_centre: settings.node.data_centre.clone(),
        link_mbps: settings.limits.link_mbps as u32,
    }
}

/// A guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    node: Arc<Node>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
