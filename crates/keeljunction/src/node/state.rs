//! What a node knows.

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
use super::grant::Book;
use super::request::Id;
use crate::http;
use crate::metric::Metric;
use crate::peer::{Pool, wire};
use crate::platform;
use crate::runtime::{self, Clock};
use crate::settings::Settings;

const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const DEAD_MEMORY_MS: Millis = 600_000;
/// Nodes that read the platform at the full rate on behalf of all.
const WATCHERS: usize = 3;
/// The window in which retries are counted against first tries, as in the examples' settings.
const BUDGET_WINDOW_MS: Millis = 10_000;
/// How many times more seldom the others read it.
const SELDOM: u64 = 10;

/// The bundle in force, with the roll that put it there.
#[derive(Debug)]
pub struct Force {
    /// The roll.
    pub roll: Roll,
    /// The body, as it was signed.
    pub body: Vec<u8>,
    /// What it says.
    pub document: Document,
}

/// A record that this node holds for another.
#[derive(Clone, Debug)]
pub struct Held {
    /// The record.
    pub record: wire::Record,
    /// When it came, on this node's clock.
    pub since: Millis,
    /// When the request's answer is of no more use.
    pub deadline: Millis,
}

impl Held {
    /// Returns `true` if the request has ended without its answer, so that asking again begins anew.
    pub fn is_spent(&self) -> bool {
        self.record.r#final.as_ref().is_some_and(|ended| ended.outcome != Outcome::Done.as_str())
    }
}

/// One node.
pub struct Node {
    /// The node's settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    /// Counts and times.
    pub metric: Metric,
    /// The platform.
    pub platform: platform::Client,
    /// The client for backend servers.
    pub http: http::Client,
    /// The connections to peers.
    pub peers: Pool,
    /// The nodes that are known.
    pub members: Mutex<List>,
    /// The backend servers that are known.
    pub directory: Mutex<Directory>,
    /// The requests that this node runs or ran.
    pub answers: Mutex<HashMap<Id, Arc<Answer>>>,
    /// The records held for other nodes.
    pub records: Mutex<HashMap<Id, Held>>,
    /// Queues of shards, and grants that are out.
    pub book: Book,
    /// Claims waiting to be written.
    pub claims: Claims,
    /// Given once the node has stopped.
    pub ended: http::StopSignal,
    urgent: (Sender<()>, Receiver<()>),
    force: Mutex<Option<Arc<Force>>>,
    budget: Mutex<Budget>,
    seats: Mutex<HashMap<String, usize>>,
    is_stopping: AtomicBool,
    is_closed: AtomicBool,
    running: AtomicUsize,
}

impl Node {
    /// Makes a node that knows only itself. Its peers reach it at `peer_address`.
    pub fn new(settings: Settings, peer_address: String) -> Arc<Self> {
        let clock = Clock::new();
        let me = Member {
            name: settings.node.name.clone(),
            data_centre: settings.node.data_centre.clone(),
            address: peer_address,
            incarnation: runtime::unix_ms(),
            state: State::Alive,
        };
        let timing =
            Timing { suspicion: settings.membership.suspicion_ms, dead_retention: DEAD_MEMORY_MS };
        let http = http::Client::new(CONNECT_WITHIN);
        let allowance = Allowance {
            ratio: settings.routing.retry_per_mille as f64 / 1_000.0,
            min_retries: settings.routing.retry_burst as f64,
            window: BUDGET_WINDOW_MS,
            usable_fraction: 1.0,
        };
        Arc::new(Self {
            clock,
            metric: Metric::new(settings.statsd),
            platform: platform::Client::new(settings.platform.clone(), http.clone()),
            http,
            peers: Pool::new(&settings.peer_credential),
            members: Mutex::new(List::new(me, timing)),
            directory: Mutex::default(),
            answers: Mutex::default(),
            records: Mutex::default(),
            book: Book::default(),
            claims: Claims::new(),
            ended: http::StopSignal::new(),
            urgent: async_channel::bounded(1),
            force: Mutex::default(),
            budget: Mutex::new(Budget::new(allowance)),
            seats: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
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

    /// Returns the bundle in force.
    pub fn get_force(&self) -> Option<Arc<Force>> {
        runtime::lock(&self.force).clone()
    }

    /// Returns the number of the roll in force; 0 where there is none.
    pub fn get_roll(&self) -> u64 {
        self.get_force().map_or(0, |force| force.roll.number)
    }

    /// Puts a bundle in force if its roll is newer; returns `true` if it did.
    pub fn set_force(&self, force: Force) -> bool {
        use keeljunction_core::bundle::{Adoption, adopt};
        let mut current = runtime::lock(&self.force);
        let number = current.as_ref().map_or(0, |force| force.roll.number);
        if adopt(number, force.roll.number) == Adoption::Keep {
            return false;
        }
        *current = Some(Arc::new(force));
        true
    }

    /// Has a few peers notified at once of what is new.
    pub fn post_news(&self) {
        // One notification that waits already covers this one.
        let _ = self.urgent.0.try_send(());
    }

    /// Waits until peers must be notified at once; `false` once that cannot be any more.
    pub async fn wait_for_news(&self) -> bool {
        self.urgent.1.recv().await.is_ok()
    }

    /// Returns `true` if a backend server is leaving.
    pub fn is_leaving(&self, server: &str) -> bool {
        runtime::lock(&self.directory).is_leaving(server)
    }

    /// Returns the names and data centres of the nodes that may be given work.
    pub fn usable_nodes(&self) -> Vec<(String, String)> {
        let members = runtime::lock(&self.members);
        members.iter_usable().map(|m| (m.name.clone(), m.data_centre.clone())).collect()
    }

    /// Returns `true` if it is this node's turn to read something of the platform that all nodes want.
    ///
    /// A few nodes read it each time, the others far more seldom: they hear of it from their peers.
    pub fn is_turn_to_read(&self, what: &str, turn: u64) -> bool {
        let nodes = self.usable_nodes();
        let order = rendezvous::rank(what, nodes.iter().map(|(name, _)| name.as_str()));
        let is_watcher = order.iter().take(WATCHERS).any(|name| *name == self.get_name());
        is_watcher || turn.is_multiple_of(SELDOM)
    }

    /// Returns where a node is reached by its peers.
    pub fn get_peer_address(&self, name: &str) -> Option<String> {
        runtime::lock(&self.members).get(name).map(|member| member.address.clone())
    }

    /// Counts a first try of a service.
    pub fn count_try(&self, service: &str) {
        runtime::lock(&self.budget).count_request(self.now(), service);
    }

    /// Takes one retry of a service, if its budget allows it.
    pub fn take_retry(&self, service: &str) -> bool {
        // The settings speak of each node by itself.
        let is_allowed = runtime::lock(&self.budget).take(self.now(), service, 1);
        self.metric.count(if is_allowed { "retries" } else { "retries_denied" }, 1);
        is_allowed
    }

    /// Takes a seat for a request of an account; `None` where all are taken.
    pub fn take_seat(self: &Arc<Self>, account: &str) -> Option<Seat> {
        let limits = &self.settings.limits;
        let mut seats = runtime::lock(&self.seats);
        let taken = seats.entry(account.to_owned()).or_default();
        if *taken >= limits.requests_per_account || self.get_running() >= limits.requests {
            return None;
        }
        *taken += 1;
        self.running.fetch_add(1, Ordering::SeqCst);
        Some(Seat { node: self.clone(), account: account.to_owned() })
    }

    /// Returns how many requests run.
    pub fn get_running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Returns `true` if the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Notes that the node is stopping; returns false where that was known.
    pub fn set_stopping(&self) -> bool {
        !self.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Returns `true` if the node takes nothing new.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    /// Notes that the node takes nothing new.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Explains why the node is not ready; `None` where it is.
    pub fn get_unready(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("the node is stopping");
        }
        if self.get_force().is_none() {
            return Some("no bundle is in force: neither the platform nor a peer has given one");
        }
        None
    }
}

/// A place among the requests in flight, given back when dropped.
pub struct Seat {
    node: Arc<Node>,
    account: String,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.node.running.fetch_sub(1, Ordering::SeqCst);
        let mut seats = runtime::lock(&self.node.seats);
        if let Some(taken) = seats.get_mut(&self.account) {
            *taken = taken.saturating_sub(1);
            if *taken == 0 {
                seats.remove(&self.account);
            }
        }
    }
}
