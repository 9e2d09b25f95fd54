//! The state of a node, shared by all modules.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::Millis;
use keeljunction_core::bundle::{Document, Roll};
use keeljunction_core::directory::Directory;
use keeljunction_core::member::{List, Member, State, Timing};
use keeljunction_core::outcome::Outcome;
use keeljunction_core::rendezvous;
use keeljunction_core::retry::{Allowance, Budget};

use super::Answer;
use super::claims::Claims;
use super::grant::GrantTable;
use super::request::Id;
use crate::backend;
use crate::http;
use crate::metric::Metric;
use crate::peer::{Pool, wire};
use crate::platform;
use crate::runtime::{self, Clock};
use crate::settings::Settings;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEAD_MEMBER_RETENTION_MS: Millis = 600_000;
/// Nodes that read the platform at the full rate. The others receive the data from their peers.
const FULL_RATE_READERS: usize = 3;
/// The window of the retry budget, in milliseconds; the same as in the example settings.
const RETRY_BUDGET_WINDOW_MS: Millis = 10_000;
/// The factor by which the other nodes read it less often.
const REDUCED_RATE_DIVISOR: u64 = 10;

/// The active bundle, with the roll that activated it.
#[derive(Debug)]
pub struct ActiveBundle {
    /// The roll.
    pub roll: Roll,
    /// The signed body.
    pub body: Vec<u8>,
    /// The parsed body.
    pub document: Document,
}

/// A record that this node holds for another node.
#[derive(Clone, Debug)]
pub struct HeldRecord {
    /// The record.
    pub record: wire::Record,
    /// The time of arrival, on this node's clock.
    pub since: Millis,
    /// The deadline of the request.
    pub deadline: Millis,
}

impl HeldRecord {
    /// Returns `true` if the request ended without an answer. A repeated request then starts
    /// afresh.
    pub fn is_failed(&self) -> bool {
        self.record.r#final.as_ref().is_some_and(|ended| ended.outcome != Outcome::Done.as_str())
    }
}

/// An entry node.
pub struct Node {
    /// The node's settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    /// The metrics.
    pub metric: Metric,
    /// The client for the platform.
    pub platform: platform::Client,
    /// The client for backend servers.
    pub backend: backend::Client,
    /// The connection pool for peers.
    pub peers: Pool,
    /// The known nodes.
    pub members: Mutex<List>,
    /// The known backend servers.
    pub directory: Mutex<Directory>,
    /// The answers of current and recent requests.
    pub answers: Mutex<HashMap<Id, Arc<Answer>>>,
    /// The records held for other nodes.
    pub records: Mutex<HashMap<Id, HeldRecord>>,
    /// The queues of shards, and the grants that this node holds.
    pub grants: GrantTable,
    /// The claims that are waiting to be written.
    pub claims: Claims,
    /// Sent once the node has stopped.
    pub stopped: http::StopSignal,
    urgent: (Sender<()>, Receiver<()>),
    active: Mutex<Option<Arc<ActiveBundle>>>,
    budget: Mutex<Budget>,
    in_flight: Mutex<HashMap<String, usize>>,
    is_stopping: AtomicBool,
    is_closed: AtomicBool,
    handled_requests: AtomicUsize,
    running: AtomicUsize,
}

impl Node {
    /// Creates a node that knows only itself. Its peers connect to `peer_address`.
    pub fn new(settings: Settings, peer_address: String) -> Arc<Self> {
        let clock = Clock::new();
        let local = Member {
            name: settings.node.name.clone(),
            data_centre: settings.node.data_centre.clone(),
            address: peer_address,
            incarnation: runtime::unix_ms(),
            state: State::Alive,
        };
        let timing = Timing {
            suspicion: settings.membership.suspicion_ms,
            dead_retention: DEAD_MEMBER_RETENTION_MS,
        };
        let http = http::Client::new(CONNECT_TIMEOUT);
        let allowance = Allowance::own(
            settings.routing.retry_per_mille as f64 / 1_000.0,
            settings.routing.retry_burst as f64,
            RETRY_BUDGET_WINDOW_MS,
        );
        let budget = Budget::new(clock.now(), allowance);
        Arc::new(Self {
            clock,
            metric: Metric::new(settings.statsd),
            platform: platform::Client::new(settings.platform.clone(), http.clone()),
            backend: backend::make_client(http),
            peers: Pool::new(&settings.peer_credential),
            members: Mutex::new(List::new(local, timing)),
            directory: Mutex::default(),
            answers: Mutex::default(),
            records: Mutex::default(),
            grants: GrantTable::default(),
            claims: Claims::new(),
            stopped: http::StopSignal::new(),
            urgent: async_channel::bounded(1),
            active: Mutex::default(),
            budget: Mutex::new(budget),
            in_flight: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            handled_requests: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            settings,
        })
    }

    /// Returns the node's name.
    pub fn get_name(&self) -> &str {
        &self.settings.node.name
    }

    /// Returns the time on the node's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the active bundle.
    pub fn get_active_bundle(&self) -> Option<Arc<ActiveBundle>> {
        runtime::lock(&self.active).clone()
    }

    /// Returns the number of the active roll, or 0 if there is none.
    pub fn get_roll(&self) -> u64 {
        self.get_active_bundle().map_or(0, |active| active.roll.number)
    }

    /// Activates a bundle if its roll is newer. Returns `true` if it was activated.
    pub fn activate(&self, active: ActiveBundle) -> bool {
        use keeljunction_core::bundle::{Adoption, adopt};
        let mut current = runtime::lock(&self.active);
        let number = current.as_ref().map_or(0, |active| active.roll.number);
        if adopt(number, active.roll.number) == Adoption::Keep {
            return false;
        }
        *current = Some(Arc::new(active));
        true
    }

    /// Schedules an urgent update to a few peers.
    pub fn notify_peers(&self) {
        // A pending notification already covers this one.
        let _ = self.urgent.0.try_send(());
    }

    /// Waits until an urgent update is scheduled. Returns `false` if the channel is closed.
    pub async fn wait_for_urgent_update(&self) -> bool {
        self.urgent.1.recv().await.is_ok()
    }

    /// Returns `true` if a backend server is leaving.
    pub fn is_leaving(&self, server: &str) -> bool {
        runtime::lock(&self.directory).is_leaving(server)
    }

    /// Returns the names and data centres of the nodes that can be given work.
    pub fn usable_nodes(&self) -> Vec<(String, String)> {
        let members = runtime::lock(&self.members);
        members.iter_usable().map(|m| (m.name.clone(), m.data_centre.clone())).collect()
    }

    /// Returns `true` if this node must read `what` from the platform in this round.
    ///
    /// A few nodes read it in each round. The others read it less often, because their peers tell
    /// them of changes.
    pub fn is_read_due(&self, what: &str, round: u64) -> bool {
        let nodes = self.usable_nodes();
        let order = rendezvous::rank(what, nodes.iter().map(|(name, _)| name.as_str()));
        let is_full_rate_reader =
            order.iter().take(FULL_RATE_READERS).any(|name| *name == self.get_name());
        is_full_rate_reader || round.is_multiple_of(REDUCED_RATE_DIVISOR)
    }

    /// Returns the peer address of a node.
    pub fn get_peer_address(&self, name: &str) -> Option<String> {
        runtime::lock(&self.members).get(name).map(|member| member.address.clone())
    }

    /// Adds a first attempt to the retry budget of a service.
    pub fn count_first_attempt(&self, service: &str) {
        runtime::lock(&self.budget).count_request(self.now(), service);
    }

    /// Takes one retry from the budget of a service. Returns `false` if the budget is exhausted.
    pub fn take_retry(&self, service: &str) -> bool {
        // The settings define the budget of each node, so it is not shared.
        let is_allowed = runtime::lock(&self.budget).take(self.now(), service, 1);
        self.metric.count(if is_allowed { "retries" } else { "retries_denied" }, 1);
        is_allowed
    }

    /// Acquires a permit for a request of an account. Returns `None` if an in-flight limit is
    /// reached.
    pub fn try_acquire_permit(self: &Arc<Self>, account: &str) -> Option<RequestPermit> {
        let limits = &self.settings.limits;
        let mut in_flight = runtime::lock(&self.in_flight);
        let taken = in_flight.entry(account.to_owned()).or_default();
        if *taken >= limits.requests_per_account || self.get_running() >= limits.requests {
            return None;
        }
        *taken += 1;
        self.running.fetch_add(1, Ordering::SeqCst);
        Some(RequestPermit { node: self.clone(), account: account.to_owned() })
    }

    /// Returns the number of running requests.
    pub fn get_running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Returns `true` if the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Marks the node as stopping. Returns `false` if it was stopping already.
    pub fn set_stopping(&self) -> bool {
        !self.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Counts a request until its response begins, when the guard is dropped. It is counted
    /// before it checks whether the node is closed.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.handled_requests.fetch_add(1, Ordering::SeqCst);
        RequestGuard { node: self.clone() }
    }

    /// Returns the number of requests whose responses have not begun.
    pub fn count_requests(&self) -> usize {
        self.handled_requests.load(Ordering::SeqCst)
    }

    /// Returns `true` if the node rejects new requests.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    /// Makes the node reject new requests.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Returns why the node is not ready, or `None` if it is ready.
    pub fn get_unready_reason(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("the node is stopping");
        }
        if self.get_active_bundle().is_none() {
            return Some("no bundle is in force: neither the platform nor a peer has given one");
        }
        None
    }
}

/// A permit for one request in flight. Dropping it releases the permit.
pub struct RequestPermit {
    node: Arc<Node>,
    account: String,
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.node.running.fetch_sub(1, Ordering::SeqCst);
        let mut in_flight = runtime::lock(&self.node.in_flight);
        if let Some(taken) = in_flight.get_mut(&self.account) {
            *taken = taken.saturating_sub(1);
            if *taken == 0 {
                in_flight.remove(&self.account);
            }
        }
    }
}

/// Counts a request whose response has not begun until dropped.
pub struct RequestGuard {
    node: Arc<Node>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.handled_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
