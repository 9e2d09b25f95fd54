//! Tells peers of this node's counts, and hears theirs.
//!
//! Each node sends a small datagram to every other some times a second. Nothing that has to hold
//! depends on one arriving: what is not heard makes a node more careful, never less. A node that
//! cannot confirm its configuration at the table service asks its peers, and counts the age that
//! they tell from before it asked.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use keeljunction_core::Millis;
use keeljunction_core::serving::demand::DemandTotals;
use keeljunction_core::serving::load::Load;
use keeljunction_core::serving::quota::{Reach, UsedUnits};
use keeljunction_core::serving::usage::{Counts, WindowNumber};
use serde::{Deserialize, Serialize};

use super::watch::{Pause, jitter};
use super::{Node, peer_calls};
use crate::event::{self, Event};
use crate::port::{Row, TableName, Transaction, Write};
use crate::runtime;

/// The format of the datagrams; others are passed over.
const FORMAT: u8 = 1;
/// The time between two digests while there are few peers.
const PERIOD: Duration = Duration::from_millis(200);
/// With more peers than this the period grows with their number.
const PEERS_AT_FULL_RATE: usize = 16;
/// A peer that was heard within this many periods is in reach.
const HEARD_WITHIN_PERIODS: u32 = 5;
/// The counts of a peer are used for this many periods.
const COUNTS_LAST_PERIODS: u32 = 7;
/// A peer that was not heard for this long is gone for good.
const GONE_AFTER: Millis = 60_000;
/// The table in which nodes tell their addresses.
const NODES_TABLE: &str = "nodes";
const CALL_WITHIN: Duration = Duration::from_millis(700);
/// The time between two looks at the other nodes' addresses.
const LOOK_AGAIN: Duration = Duration::from_secs(20);
const LONGEST_DATAGRAM: usize = 65_507;
/// Windows of usage in each digest.
const WINDOWS_TOLD: usize = 4;
/// Peers asked at a time.
const PEERS_ASKED: usize = 2;

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    Digest(Box<Digest>),
    /// Asks how recently the peer knew its configuration to be the newest.
    AskFreshness {
        asked_at: Millis,
    },
    /// Answers with the version, and the age of the knowledge that it is the newest.
    TellFreshness {
        asked_at: Millis,
        version: u64,
        age: Millis,
    },
}

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Digest {
    node: String,
    life: u64,
    is_stopping: bool,
    holds_duties: bool,
    loads: Vec<(u64, Load)>,
    used: UsedUnits,
    usage: Vec<(WindowNumber, Counts)>,
    demand: Vec<(String, DemandTotals)>,
}

/// Other nodes, as this node hears them.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddr,
    known: HashMap<String, Peer>,
    candidates: Vec<SocketAddr>,
    holder_heard_at: Option<Millis>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    life: u64,
    heard_at: Millis,
    is_stopping: bool,
}

impl Peers {
    /// Makes a list that holds candidate addresses only.
    pub fn new(seeds: Vec<SocketAddr>, own_address: SocketAddr) -> Self {
        let mut peers = Self {
            own_address,
            known: HashMap::new(),
            candidates: Vec::new(),
            holder_heard_at: None,
        };
        peers.add_seeds(&seeds);
        peers
    }

    /// Adds addresses at which a peer may listen.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.own_address && !self.candidates.contains(seed) {
                self.candidates.push(*seed);
            }
        }
    }

    /// Returns the time between two digests, which grows with the number of peers so that what a
    /// node sends and receives does not.
    fn get_period(&self) -> Duration {
        let stretch = self.known.len().div_ceil(PEERS_AT_FULL_RATE).max(1);
        PERIOD * stretch as u32
    }

    fn get_heard_within(&self) -> Millis {
        (self.get_period() * HEARD_WITHIN_PERIODS).as_millis() as Millis
    }

    /// Returns how many nodes there are and how many of them are heard, this one included.
    pub fn get_reach(&self, now: Millis) -> Reach {
        let alive = self.known.values().filter(|peer| !peer.is_stopping);
        let alive: Vec<&Peer> = alive.filter(|peer| now < peer.heard_at + GONE_AFTER).collect();
        let within = self.get_heard_within();
        let heard = alive.iter().filter(|peer| now < peer.heard_at + within).count();
        Reach { heard: heard + 1, all: alive.len() + 1 }
    }

    /// Says whether a peer that holds the duties was heard within a time.
    pub fn is_holder_heard(&self, now: Millis, within: Millis) -> bool {
        self.holder_heard_at.is_some_and(|at| now < at + within)
    }

    fn get_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.known.values().map(|peer| peer.address).collect();
        for candidate in &self.candidates {
            if !addresses.contains(candidate) {
                addresses.push(*candidate);
            }
        }
        addresses
    }

    fn get_heard(&self, now: Millis) -> Vec<SocketAddr> {
        let within = self.get_heard_within();
        let heard = self.known.values().filter(|peer| now < peer.heard_at + within);
        heard.map(|peer| peer.address).collect()
    }

    /// Notes a digest; returns the former life of the peer, where it has started again.
    fn hear(&mut self, now: Millis, from: SocketAddr, digest: &Digest) -> Option<u64> {
        self.candidates.retain(|candidate| *candidate != from);
        if digest.holds_duties {
            self.holder_heard_at = Some(now);
        }
        let peer = Peer {
            address: from,
            life: digest.life,
            heard_at: now,
            is_stopping: digest.is_stopping,
        };
        let before = self.known.insert(digest.node.clone(), peer);
        before.map(|before| before.life).filter(|life| *life != digest.life)
    }

    fn expire(&mut self, now: Millis) {
        self.known.retain(|_, peer| now < peer.heard_at + GONE_AFTER);
    }
}

/// Binds the socket for datagrams between nodes.
///
/// # Errors
///
/// Returns the system's error.
pub fn bind(address: SocketAddr) -> io::Result<Async<UdpSocket>> {
    Async::<UdpSocket>::bind(address)
}

/// Starts to talk with peers.
pub fn start(node: &Arc<Node>, socket: Async<UdpSocket>) {
    let socket = Arc::new(socket);
    runtime::spawn(register(node.clone()));
    runtime::spawn(listen(node.clone(), socket.clone()));
    runtime::spawn(tell(node.clone(), socket.clone()));
    runtime::spawn(ask(node.clone(), socket));
}

/// Writes this node's address to the table, and reads those of the others there.
async fn register(node: Arc<Node>) {
    let address = node.settings.listen.peers;
    let write = Write {
        table: NODES_TABLE,
        key: node.life.node.clone(),
        value: Some(address.to_string().into_bytes()),
    };
    let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
    let mut pause = Pause::default();
    let mut is_written = false;
    loop {
        if !is_written {
            let writing = (node.platform.table.commit)(transaction.clone());
            is_written = matches!(runtime::within(CALL_WITHIN, writing).await, Some(Ok(_)));
        }
        let reading = (node.platform.table.read)(TableName::Own(NODES_TABLE));
        let read = runtime::within(CALL_WITHIN, reading).await;
        if let (true, Some(Ok(rows))) = (is_written, read) {
            let addresses: Vec<SocketAddr> = rows.rows.iter().filter_map(read_address).collect();
            node.with(|state| state.peers.add_seeds(&addresses));
            pause.reset();
            runtime::sleep(jitter(LOOK_AGAIN)).await;
        } else {
            pause.wait().await;
        }
    }
}

fn read_address(row: &Row) -> Option<SocketAddr> {
    std::str::from_utf8(row.value.as_deref()?).ok()?.parse().ok()
}

async fn listen(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let mut buffer = vec![0; LONGEST_DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            runtime::sleep(PERIOD).await;
            continue;
        };
        let Some(message) = decode(&buffer[..length]) else { continue };
        match message {
            Message::Digest(digest) => hear(&node, from, *digest),
            Message::AskFreshness { asked_at } => answer(&node, &socket, from, asked_at).await,
            Message::TellFreshness { asked_at, version, age } => {
                peer_calls::take_freshness(&node, from, asked_at, version, age);
            }
        }
    }
}

fn hear(node: &Node, from: SocketAddr, digest: Digest) {
    let now = node.now();
    if digest.node == node.life.node {
        return;
    }
    let life =
        keeljunction_core::serving::usage::Life { node: digest.node.clone(), number: digest.life };
    node.with(|state| {
        if let Some(former) = state.peers.hear(now, from, &digest) {
            state.quotas.forget(&digest.node, former);
        }
        state.quotas.hear(&digest.node, digest.life, &digest.used);
        for (window, counts) in &digest.usage {
            state.usage.merge(*window, &life, counts);
        }
        state.demand.hear(&digest.node, digest.life, &digest.demand);
        let counts_last = state.peers.get_period() * COUNTS_LAST_PERIODS;
        let valid_until = now + counts_last.as_millis() as Millis;
        state.loads.hear(valid_until, &digest.node, digest.loads);
    });
}

async fn answer(node: &Node, socket: &Async<UdpSocket>, to: SocketAddr, asked_at: Millis) {
    let now = node.now();
    let known = node.with(|state| {
        let version = state.configuration.as_ref()?.version;
        Some((version, state.freshness.get_age(now)?))
    });
    let Some((version, age)) = known else { return };
    send(socket, to, &Message::TellFreshness { asked_at, version, age }).await;
}

async fn tell(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    loop {
        let now = node.now();
        let is_stopping = node.is_stopping();
        let (digest, addresses, period) = node.with(|state| {
            state.peers.expire(now);
            let digest = Digest {
                node: node.life.node.clone(),
                life: node.life.number,
                is_stopping,
                holds_duties: state.lease.get_fence(now).is_some(),
                loads: state.loads.get_own(),
                used: state.quotas.get_own().clone(),
                usage: latest(state.usage.of_life(&node.life)),
                demand: state.demand.get_own(),
            };
            (digest, state.peers.get_addresses(), state.peers.get_period())
        });
        if let Some(bytes) = encode(&Message::Digest(Box::new(digest))) {
            for address in addresses {
                let _ = socket.send_to(&bytes, address).await;
            }
        }
        runtime::sleep(period).await;
    }
}

/// Asks peers for the freshness of the configuration while the table service does not confirm it.
async fn ask(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let bound = node.get_fresh_bound();
    let mut was_fresh = true;
    loop {
        runtime::sleep(PERIOD).await;
        let now = node.now();
        let (age, heard) =
            node.with(|state| (state.freshness.get_age(now), state.peers.get_heard(now)));
        let is_fresh = age.is_some_and(|age| age <= bound);
        if is_fresh != was_fresh {
            was_fresh = is_fresh;
            event::emit(&Event::FreshnessChanged { is_fresh, age_ms: age, bound_ms: bound });
        }
        if age.is_some_and(|age| age <= bound / 2) {
            continue;
        }
        let start = fastrand::usize(..heard.len().max(1));
        for address in heard.iter().cycle().skip(start).take(PEERS_ASKED.min(heard.len())) {
            send(&socket, *address, &Message::AskFreshness { asked_at: now }).await;
        }
    }
}

fn latest(mut usage: Vec<(WindowNumber, Counts)>) -> Vec<(WindowNumber, Counts)> {
    usage.split_off(usage.len().saturating_sub(WINDOWS_TOLD))
}

async fn send(socket: &Async<UdpSocket>, to: SocketAddr, message: &Message) {
    if let Some(bytes) = encode(message) {
        let _ = socket.send_to(&bytes, to).await;
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    postcard::to_extend(message, vec![FORMAT]).ok()
}

fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, content) = bytes.split_first()?;
    if *format != FORMAT {
        return None;
    }
    postcard::from_bytes(content).ok()
}
