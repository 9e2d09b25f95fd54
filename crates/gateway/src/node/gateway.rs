//! A node: its resources, its view of the deployment, and the messages that wait to be sent.

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::Millis;
use keeljunction_core::serving::backpressure;
use keeljunction_core::serving::members::Entry;
use keeljunction_core::serving::quarantine::Fingerprint;
use keeljunction_core::serving::quota;
use keeljunction_core::serving::shutdown;
use keeljunction_core::serving::stream_origin;
use keeljunction_core::serving::topology::Topology;
use keeljunction_core::serving::usage::{Incarnation, window_at};

use super::active_relays::ActiveRelays;
use super::eviction_signals::EvictionSignals;
use super::interrupted_attempts;
use super::peers::link::Link;
use super::peers::message::Notification;
use super::peers::pending_loads;
use super::peers::pending_queries::PendingQueries;
use super::peers::slots;
use super::process_context::ProcessContext;
use super::reads::SharedReads;
use super::requests_in_flight::{InFlightGuard, RequestsInFlight};
use super::state::{State, get_entry};
use super::stop::{self, Schedule};
use super::stream_archive;
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
    /// Reads of the tables that confirm which software versions are possible.
    pub(super) version_reads: SharedReads,
    /// Reads of the server list for requests that would be refused because it lacks their servers.
    pub(super) server_list_reads: SharedReads,
    /// Reads of the archived origins of streams.
    pub(super) stream_archive_reads: stream_archive::Reads,
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
    /// Records when the process ran.
    pub(super) pulse: stop::Pulse,
    /// When the shutdown began, and when the process exits, once it is shutting down.
    stop_times: stop::Times,
    requests_in_flight: RequestsInFlight,
}

/// The number of fetches in progress for each document.
#[derive(Debug, Default)]
pub(super) struct ActiveFetches {
    pub configuration: AtomicUsize,
    pub servers: AtomicUsize,
}

impl Node {
    /// Creates a node with an empty view of the deployment.
    pub fn new(settings: Settings, platform: Platform, context: ProcessContext) -> Arc<Self> {
        let ProcessContext { incarnation, clock, link, topology, clients, peers } = context;
        let topology = Arc::new(topology);
        let state = State::new(&settings, clock.now(), &incarnation, &topology);
        let http_client = Client::new(CONNECT_TIMEOUT).with_source(settings.node.source_address);
        let backend = backend::Client::new(http_client, platform.header_codec.request_id.clone());
        let mut metrics = Metrics::default();
        metrics.register_cross_region_bytes(link.get_cross_region_bytes_by_region());
        metrics.register_sent_messages(link.get_sent_messages());
        metrics.register_ignored_datagrams(link.get_ignored());
        let pulse = stop::Pulse::new(clock.now());
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
            version_reads: SharedReads::default(),
            server_list_reads: SharedReads::default(),
            stream_archive_reads: stream_archive::Reads::default(),
            interrupted_attempts: interrupted_attempts::Pending::default(),
            eviction_signals: EvictionSignals::default(),
            state: Mutex::new(state),
            active_fetches: ActiveFetches::default(),
            active_relays: ActiveRelays::default(),
            pulse,
            stop_times: stop::Times::default(),
            requests_in_flight: RequestsInFlight::default(),
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
        self.stop_times.is_set()
    }

    /// Records that the process runs, and is able to see a stop signal.
    pub(crate) fn beat(&self) {
        self.pulse.beat(self.now());
    }

    /// Begins the shutdown after a stop signal, and returns when its steps happen, or `None` if it had
    /// already begun.
    pub fn begin_stop(&self) -> Option<Schedule> {
        let grace = Duration::from_secs_f64(self.settings.bounds.grace_s);
        let known = self.with(|state| state.configuration.as_ref().map(|c| c.limits.head_timeout));
        let head_timeout = Duration::from_millis(known.unwrap_or(DEFAULT_CLIENT_HEAD_MS));
        let schedule = Schedule::new(grace, head_timeout);
        let signalled_at = self.pulse.get_earliest_signal();
        let delay = Duration::from_millis(self.now().saturating_sub(signalled_at));
        let has_begun = self.stop_times.begin(signalled_at, &schedule);
        has_begun.then(|| schedule.after_delay(delay))
    }

    /// Returns for how long a stop signal that is seen now may have been pending.
    pub fn get_signal_delay(&self) -> Duration {
        let sent_at = self.pulse.get_earliest_signal();
        Duration::from_millis(self.now().saturating_sub(sent_at))
    }

    /// Returns the progress of the shutdown, or `None` if the node is not shutting down.
    pub fn get_shutdown(&self, now: Millis) -> Option<shutdown::Shutdown> {
        self.stop_times.get_progress(now)
    }

    /// Returns the number of requests whose responses have not ended.
    pub fn get_in_flight(&self) -> usize {
        self.requests_in_flight.get()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.requests_in_flight.begin()
    }

    /// Counts a request of a client account that starts to run.
    pub fn count_usage(&self, account: &str) {
        let length = (self.settings.bounds.report_window_s * 1_000.0) as u64;
        let window = window_at(runtime::unix_ms(), length);
        self.with(|state| state.usage.count(window, state.report_log.get_incarnation(), account));
    }
}
