//! What a node knows.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
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
use keeljunction_core::serving::rollout;
use keeljunction_core::serving::round_trip::RoundTrips;
use keeljunction_core::serving::spill::LinkBudgets;
use keeljunction_core::serving::table_version::TableVersion;
use keeljunction_core::serving::throughput::Throughput;
use keeljunction_core::serving::topology::Topology;
use keeljunction_core::serving::usage::{
    FrozenWindows, Incarnation, Ledger, ReportFilter, count_retained_windows, window_at,
};

use super::document::Document;
use super::interrupted_attempts;
use super::peers::audience::{Audience, Samples};
use super::peers::carrying::Carrying;
use super::peers::link::Link;
use super::peers::message::Notification;
use super::peers::pending_loads;
use super::peers::questions::Questions;
use super::skipped;
use super::uploads::Uploads;
use crate::active_responses::ActiveResponses;
use crate::http::{Client, StopSignal};
use crate::metrics::Metrics;
use crate::port::Platform;
use crate::runtime::{self, Clock, lock};
use crate::settings::Settings;

/// The part of the revocation bound in which a configuration may be acted on without being
/// confirmed. A request that was sent after a key's removal and the bound arrives, and is checked,
/// later than that; the rest is left for clocks that drift.
const FRESH_PART: f64 = 0.95;
/// Notifications for other nodes that wait to be sent; more are dropped, and show in the next report.
const NOTIFICATION_CAPACITY: usize = 256;
/// A server that does not take a connection within this time is passed over: the way there takes
/// some milliseconds, and a lost opening packet is sent again only after a second.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);
/// How long callers are taken to use a connection that rests, where no configuration is known, in
/// milliseconds.
const REST_WHILE_UNKNOWN: Millis = 15_000;
/// A connection that rests is kept open this many times as long as callers use it.
const REST_FACTOR: u32 = 2;
/// The fraction of the operator's retry budget that nodes use: callers' own retries and lost answers
/// add to it at the edges of windows.
const BUDGET_USED: f64 = 0.7;
/// Bytes of a megabyte, as the settings count them.
pub(super) const BYTES_PER_MB: f64 = 1_000_000.0;
/// The part of the process's memory that may be held for callers and servers. The rest is for what
/// the node knows, for its sockets, and for what the allocator keeps.
const HELD_PART: f64 = 0.4;
/// The part of a lease that its holder leaves unused.
const LEASE_MARGIN_PART: f64 = 0.2;

/// A node: its settings, its adapter, and what it knows.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The adapter to the platform.
    pub platform: Platform,
    /// The steady clock.
    pub clock: Clock,
    /// Which region each data centre stands in.
    pub topology: Arc<Topology>,
    /// This incarnation of the node.
    pub incarnation: Incarnation,
    /// Connections to servers.
    pub http_client: Client,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Answers on their way to callers.
    pub active_responses: ActiveResponses,
    /// The signal on which the listeners close.
    pub closing: StopSignal,
    /// Datagrams between nodes.
    pub(super) link: Link,
    /// Notifications for other nodes that wait to be sent.
    pub(super) notifications: (Sender<Notification>, Receiver<Notification>),
    /// Requests for loads that wait for answers, and changed loads that wait to be sent.
    pub(super) pending_loads: pending_loads::Pending,
    /// Requests that the owners of their client accounts decide about.
    pub(super) pending_decisions: Questions<quota::Decision>,
    /// Requests for permits of limited servers that wait for decisions.
    pub(super) pending_permits: Questions<backpressure::Decision>,
    /// Runs that broke off at servers that may have ended.
    pub(super) interrupted_attempts: interrupted_attempts::Pending,
    /// Signals to uploads that are evicted.
    pub(crate) uploads: Uploads,
    /// What the node knows of the deployment.
    pub state: Mutex<State>,
    /// What is being got from peers.
    pub(super) fetching: Fetching,
    is_stopping: AtomicBool,
    in_flight: AtomicUsize,
}

/// How many calls for each document are going on.
#[derive(Debug, Default)]
pub(super) struct Fetching {
    pub configuration: AtomicUsize,
    pub servers: AtomicUsize,
}

/// The row of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationRow {
    /// Its key.
    pub key: String,
    /// The version at which the table holds it.
    pub row_version: TableVersion,
    /// The version of the configuration in it.
    pub version: u64,
}

/// What a node knows of the deployment.
pub struct State {
    /// The eras of the table service.
    pub eras: Eras,
    /// The configuration in force, once one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// The same, as the operator wrote it, for peers.
    pub configuration_document: Option<Arc<Document>>,
    /// The row that it was read from, where this node has read it itself.
    pub configuration_row: Option<ConfigurationRow>,
    /// When it was last known to be the newest.
    pub freshness: Freshness,
    /// The servers.
    pub directory: Directory,
    /// When the list of servers was last known to be the newest.
    pub servers_freshness: Freshness,
    /// Entries of the list that cannot be read.
    pub skipped_entries: skipped::Entries,
    /// How busy the servers are.
    pub loads: LoadTracker,
    /// What the servers' answers showed.
    pub health: Health,
    /// What servers say about the requests that follow.
    pub backpressure: backpressure::Tracker,
    /// Bytes of requests that each server holds for this node.
    pub server_held_bytes: in_flight_bytes::Limiter,
    /// Requests that crash servers.
    pub quarantine: quarantine::Tracker,
    /// What client accounts have used.
    pub quotas: Quotas,
    /// Repeats.
    pub retry_budget: Budget,
    /// Requests that began.
    pub usage: Ledger,
    /// Windows of them that were frozen.
    pub frozen: FrozenWindows,
    /// Which windows of them the next summary holds.
    pub(super) outgoing_usage: ReportFilter,
    /// Tokens requested, by service.
    pub demand: DemandTracker,
    /// Moves of services to other versions.
    pub rollouts: rollout::Registry,
    /// How fast the servers of each service read prompts.
    pub throughputs: HashMap<String, Throughput>,
    /// Other nodes.
    pub members: Members,
    /// Round trips to other regions.
    pub round_trips: RoundTrips,
    /// The budgets of the links to other regions.
    pub region_links: LinkBudgets,
    /// Summaries that this node sends to other regions.
    pub(super) carrying: Carrying,
    /// Memory that is held for callers and servers.
    pub memory: MemoryBudget,
    /// Whom this node reports its counts to.
    pub(super) audience: Audience,
    /// Which of its counts have arrived there.
    pub handover: ReportLog,
    /// Samples of throughput for the nodes of this node's group.
    pub(super) samples: Samples,
    /// The lease of the duties.
    pub lease: DutyLease,
}

impl State {
    /// Forgets what a server's answers showed.
    pub(super) fn forget_server(&mut self, server: &Server) {
        self.health.forget(&server.id);
        self.rollouts.forget_server(&server.id);
        if let Some(throughput) = self.throughputs.get_mut(&server.service) {
            throughput.forget(short_id(&server.id));
        }
    }
}

impl State {
    /// Returns `true` if a server takes no request now, by what it said in its answers.
    pub(crate) fn is_in_backoff(&self, now: Millis, server: &Server) -> bool {
        self.backpressure.get_wait(now, server).is_some()
    }

    /// Returns the shortest time until a server of a service takes a request again, of those that take
    /// none now by what they said in their answers; `None` where there is none.
    pub(crate) fn get_min_backoff(&self, now: Millis, service: &str) -> Option<Millis> {
        let servers = self.directory.iter_ready(service);
        servers.filter_map(|server| self.backpressure.get_wait(now, server)).min()
    }

    /// Returns `true` if no server of a service takes requests now, by what they said in their answers.
    pub(crate) fn is_service_in_backoff(&self, now: Millis, service: &str) -> bool {
        self.directory.iter_ready(service).all(|server| self.is_in_backoff(now, server))
    }

    /// Counts this node's requests in flight at servers of a service that have another version than
    /// a roll-out moves to.
    pub(super) fn count_on_other_versions(&self, order: &rollout::Order) -> u32 {
        let others = self.directory.iter_service(&order.service);
        let others = others.filter(|server| server.version != order.target_version);
        others.map(|server| self.loads.get_own_of(short_id(&server.id)).requests).sum()
    }

    /// Lists what this node and those that report to it counted of roll-outs.
    pub(super) fn report_rollouts(&self) -> Vec<rollout::Report> {
        self.rollouts.report_group(|order| self.count_on_other_versions(order))
    }
}

impl Node {
    /// Makes a node that knows nothing yet.
    pub fn new(
        settings: Settings,
        platform: Platform,
        closing: StopSignal,
        start: Start,
    ) -> Arc<Self> {
        let Start { incarnation, clock, link, topology } = start;
        let topology = Arc::new(topology);
        let bounds = settings.bounds;
        let due = (bounds.usage_late_s * 1_000.0) as Millis;
        let windows_kept =
            count_retained_windows(due, (bounds.report_window_s * 1_000.0) as Millis);
        let allowance = Allowance {
            ratio: bounds.retry_budget_ratio,
            min_retries: bounds.budget_min_retries,
            window: (bounds.budget_window_s * 1_000.0) as Millis,
            usable_fraction: BUDGET_USED,
        };
        let tolerance = Tolerance {
            window_seconds: bounds.quota_window_s,
            overshoot: bounds.quota_overshoot,
            slack: bounds.quota_slack,
        };
        let margin = (bounds.lease_ms as f64 * LEASE_MARGIN_PART) as Millis;
        let state = State {
            eras: Eras::default(),
            configuration: None,
            configuration_document: None,
            configuration_row: None,
            demand: DemandTracker::new(topology.get_own_region()),
            rollouts: rollout::Registry::default(),
            throughputs: HashMap::new(),
            freshness: Freshness::default(),
            directory: Directory::default(),
            servers_freshness: Freshness::default(),
            skipped_entries: skipped::Entries::default(),
            loads: LoadTracker::default(),
            health: Health::default(),
            backpressure: backpressure::Tracker::new(fastrand::f64()),
            server_held_bytes: in_flight_bytes::Limiter::default(),
            quarantine: quarantine::Tracker::default(),
            quotas: Quotas::new(clock.now(), tolerance),
            retry_budget: Budget::new(allowance),
            usage: Ledger::default(),
            frozen: FrozenWindows::new(windows_kept),
            outgoing_usage: ReportFilter::default(),
            members: Members::new(clock.now(), get_entry(&settings), &settings.seeds)
                .with_topology(topology.clone()),
            round_trips: RoundTrips::default(),
            region_links: LinkBudgets::new(settings.regions.spill_mbps),
            carrying: Carrying::new(settings.regions.control_kbps),
            memory: make_accountant(&settings, incarnation.number),
            audience: Audience::default(),
            handover: ReportLog::new(incarnation.clone()),
            samples: Samples::new(),
            lease: DutyLease::new(
                incarnation.node.clone(),
                incarnation.number,
                bounds.lease_ms,
                margin,
            ),
        };
        let mut metrics = Metrics::default();
        metrics.register_cross_region_bytes(link.get_crossed_by_region());
        Arc::new(Self {
            settings,
            platform,
            clock,
            topology,
            incarnation,
            http_client: Client::new(CONNECT_WITHIN),
            metrics,
            active_responses: ActiveResponses::default(),
            closing,
            link,
            notifications: async_channel::bounded(NOTIFICATION_CAPACITY),
            pending_loads: pending_loads::Pending::default(),
            pending_decisions: Questions::default(),
            pending_permits: Questions::default(),
            interrupted_attempts: interrupted_attempts::Pending::default(),
            uploads: Uploads::default(),
            state: Mutex::new(state),
            fetching: Fetching::default(),
            is_stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        })
    }

    /// Returns the time on the node's steady clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Runs a step on what the node knows.
    pub fn with<T>(&self, step: impl FnOnce(&mut State) -> T) -> T {
        step(&mut lock(&self.state))
    }

    /// Returns how old the knowledge that the configuration is the newest may be.
    pub fn get_fresh_bound(&self) -> Millis {
        (self.settings.bounds.revoke_ms as f64 * FRESH_PART) as Millis
    }

    /// Returns how long a caller's new connection may rest between two requests.
    ///
    /// The configuration holds how long callers use connections that rest. A later one may hold a longer
    /// time, and a connection must not close while its caller may use it.
    pub fn get_rest_bound(&self) -> Duration {
        let known = self.with(|state| state.configuration.as_ref().map(|c| c.limits.idle_timeout));
        Duration::from_millis(known.unwrap_or(REST_WHILE_UNKNOWN)) * REST_FACTOR
    }

    /// Returns `true` if requests that carry a key may be dispatched.
    pub fn is_configuration_fresh(&self) -> bool {
        if !self.settings.bounds.strict_revoke {
            return true;
        }
        let now = self.now();
        self.with(|state| state.freshness.is_within(now, self.get_fresh_bound()))
    }

    /// Sends news to the other nodes soon.
    pub(crate) fn notify_peers(&self, notification: Notification) {
        if self.notifications.0.try_send(notification).is_err() {
            log::debug!("too much news waits: the rest shows in the next report");
        }
    }

    /// Returns what this node says of itself to the others.
    pub(super) fn get_entry(&self) -> Entry {
        get_entry(&self.settings)
    }

    /// Returns `true` if the node should get new connections.
    pub fn is_ready(&self) -> bool {
        let knows = self.with(|state| state.configuration.is_some() && state.directory.is_known());
        knows && !self.is_stopping() && self.is_configuration_fresh() && !self.is_short_of_memory()
    }

    /// Returns the milliseconds for which a request is still refused because servers crashed under it;
    /// `None` where it is served.
    pub fn get_quarantine_remaining(&self, fingerprint: Fingerprint) -> Option<Millis> {
        let now = self.now();
        self.with(|state| state.quarantine.get_quarantine_left(now, fingerprint))
    }

    /// Returns `true` if callers should go to other nodes, for want of memory.
    pub fn is_short_of_memory(&self) -> bool {
        self.with(|state| state.memory.is_under_pressure())
    }

    /// Returns `true` if the node is about to end.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Begins to stop; returns whether it had not begun before.
    pub fn begin_stop(&self) -> bool {
        !self.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Returns the requests whose answers have not ended.
    pub fn get_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { node: self.clone() }
    }

    /// Counts that a request of a client account began to run now.
    pub fn count_usage(&self, account: &str) {
        let length = (self.settings.bounds.report_window_s * 1_000.0) as u64;
        let window = window_at(runtime::unix_ms(), length);
        self.with(|state| state.usage.count(window, state.handover.get_incarnation(), account));
    }
}

/// What a run of the process has of its own, before the node is made.
pub struct Start {
    /// The run.
    pub incarnation: Incarnation,
    /// Its steady clock.
    pub clock: Clock,
    /// Its socket for datagrams between nodes.
    pub link: Link,
    /// Which region each data centre stands in.
    pub topology: Topology,
}

/// Makes the accountant of what may be held for callers and servers. Each run of a node draws anew
/// at which level of its memory callers should go elsewhere.
fn make_accountant(settings: &Settings, run: u64) -> MemoryBudget {
    let bytes = settings.limits.memory_mb * BYTES_PER_MB;
    let draw = fastrand::Rng::with_seed(run).f64();
    MemoryBudget::new((bytes * HELD_PART) as u64, bytes as u64, draw)
}

fn get_entry(settings: &Settings) -> Entry {
    Entry {
        name: settings.node.name.clone(),
        address: settings.listen.peers,
        data_centre: settings.node.data_centre.clone(),
        link_mbps: settings.limits.link_mbps as u32,
    }
}

/// A request whose answer has not ended.
pub struct InFlightGuard {
    node: Arc<Node>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
