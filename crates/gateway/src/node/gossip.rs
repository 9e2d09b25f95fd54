//! Tells peers of this node's counts, and hears theirs.
//!
//! Each node sends a small datagram to every other some times a second. Nothing that has to hold
//! depends on one arriving: what is not heard makes a node more careful, never less.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use keeljunction_core::Millis;
use keeljunction_core::serving::demand::DemandTotals;
use keeljunction_core::serving::directory::Batch;
use keeljunction_core::serving::load::{Load, Work};
use keeljunction_core::serving::peers::Heard;
use keeljunction_core::serving::quota;
use keeljunction_core::serving::throughput::Sample;
use keeljunction_core::serving::usage::{Counts, WindowNumber};
use serde::{Deserialize, Serialize};

use super::Node;
use super::position::{self, Position};
use super::state::State;
use super::watch::{self, Pause, jitter};
use crate::port::{Row, TableName, Transaction, Write};
use crate::runtime;

/// The format of the datagrams; others are passed over.
const FORMAT: u8 = 6;
/// The counts of a peer are used for this many periods.
const COUNTS_LAST_PERIODS: u32 = 7;
/// The table in which nodes tell their addresses.
const NODES_TABLE: &str = "nodes";
const CALL_WITHIN: Duration = Duration::from_millis(700);
/// The time between two looks at the other nodes' addresses.
const LOOK_AGAIN: Duration = Duration::from_secs(60);
const AFTER_ERROR: Duration = Duration::from_millis(50);
const LONGEST_DATAGRAM: usize = 65_507;
/// Windows of usage in each digest.
const WINDOWS_TOLD: usize = 4;
/// The part of the link that datagrams to all peers may take.
const LINK_PART: f64 = 0.4;
/// Bytes that are sent without a pause.
const BYTES_AT_ONCE: usize = 12 * 1_024;
/// Shorter pauses are not worth a wake-up.
const LEAST_PAUSE_MS: f64 = 1.0;

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    Digest(Box<Digest>),
    /// Asks what the peer knows of the platform's tables, and how recently.
    AskPosition {
        asked_at: Millis,
    },
    /// Answers with what the peer knows.
    TellPosition {
        asked_at: Millis,
        position: Position,
    },
    /// Tells that the list of servers has changed.
    ServersChanged(Batch),
    /// Tells that the peer has sent a request to a server whose prompt takes long to read.
    RequestBegun {
        node: String,
        server: u64,
        work: Work,
        reading_ms: Millis,
    },
    /// Tells that the peer has adopted a configuration.
    ConfigurationChanged {
        version: u64,
    },
}

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Digest {
    node: String,
    life: u64,
    is_stopping: bool,
    holds_duties: bool,
    link_mbps: u32,
    loads: Vec<(u64, Load)>,
    quota: quota::Report,
    usage: Vec<(WindowNumber, Counts)>,
    demand: Vec<(String, DemandTotals)>,
    throughputs: Vec<(String, Vec<Sample>)>,
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
    runtime::spawn(position::ask(node.clone(), socket.clone()));
    runtime::spawn(position::push(node.clone(), socket));
}

/// Reads the other nodes' addresses from the table, and writes this node's there.
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
        // Two nodes that start together see each other only in what they read after they wrote.
        let was_written = is_written;
        let reading = (node.platform.table.read)(TableName::Own(NODES_TABLE));
        let read = runtime::within(CALL_WITHIN, reading).await;
        let is_read = matches!(read, Some(Ok(_)));
        if let Some(Ok(rows)) = read {
            let addresses: Vec<SocketAddr> = rows.rows.iter().filter_map(read_address).collect();
            node.with(|state| state.peers.take_list(&addresses));
        }
        if !is_written {
            let writing = (node.platform.table.commit)(transaction.clone());
            is_written = matches!(runtime::within(CALL_WITHIN, writing).await, Some(Ok(_)));
        }
        if was_written && is_read {
            pause.reset();
            runtime::sleep(jitter(LOOK_AGAIN)).await;
        } else if !(is_written && is_read) {
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
            runtime::sleep(AFTER_ERROR).await;
            continue;
        };
        let Some(message) = decode(&buffer[..length]) else { continue };
        match message {
            Message::Digest(digest) => hear(&node, from, *digest),
            Message::AskPosition { asked_at } => {
                let position = position::get(&node);
                send(&socket, from, &Message::TellPosition { asked_at, position }).await;
            }
            Message::TellPosition { asked_at, position } => {
                position::take(&node, from, asked_at, &position);
            }
            Message::RequestBegun { node: peer, server, work, reading_ms } => {
                let until = node.now() + reading_ms;
                node.with(|state| state.loads.merge_begun(until, &peer, server, &work));
            }
            Message::ServersChanged(batch) => position::take_servers(&node, from, batch),
            Message::ConfigurationChanged { version } => {
                position::take_version(&node, from, version);
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
        let heard = Heard {
            node: &digest.node,
            life: digest.life,
            is_stopping: digest.is_stopping,
            holds_duties: digest.holds_duties,
            link_mbps: digest.link_mbps,
        };
        if let Some(former) = state.peers.hear(now, from, &heard) {
            state.quotas.forget(&digest.node, former);
        }
        state.quotas.merge(now, &digest.node, digest.life, &digest.quota);
        for (window, counts) in &digest.usage {
            state.usage.merge(*window, &life, counts);
        }
        state.demand.merge(&digest.node, digest.life, &digest.demand);
        for (service, samples) in digest.throughputs {
            let throughput = state.throughputs.entry(service).or_default();
            samples.into_iter().for_each(|sample| throughput.merge(now, sample));
        }
        let counts_last = state.peers.get_period() * COUNTS_LAST_PERIODS;
        let valid_until = now + counts_last.as_millis() as Millis;
        state.loads.merge(valid_until, &digest.node, digest.loads);
    });
}

async fn tell(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    loop {
        let now = node.now();
        let is_stopping = node.is_stopping();
        watch::expire_lapsed(&node);
        let (digest, addresses, period) = node.with(|state| {
            state.peers.expire(now);
            state.demand.sample_all(now);
            state.throughputs.values_mut().for_each(|throughput| throughput.rate_servers(now));
            let digest = Digest {
                node: node.life.node.clone(),
                life: node.life.number,
                is_stopping,
                holds_duties: state.lease.get_fence(now).is_some(),
                link_mbps: node.settings.limits.link_mbps as u32,
                loads: state.loads.get_own(),
                quota: state.quotas.report(now),
                usage: latest(state.usage.of_life(&node.life)),
                demand: state.demand.get_own(),
                throughputs: take_samples(state),
            };
            (digest, state.peers.get_addresses(), state.peers.get_period())
        });
        if let Some(bytes) = encode(&Message::Digest(Box::new(digest))) {
            send_to_all(&node, &socket, &bytes, addresses).await;
        }
        let spent = Duration::from_millis(node.now().saturating_sub(now));
        runtime::sleep(period.saturating_sub(spent)).await;
    }
}

/// Takes the samples of how fast servers read prompts that peers were not told yet.
fn take_samples(state: &mut State) -> Vec<(String, Vec<Sample>)> {
    let throughputs = state.throughputs.iter_mut();
    let unreported =
        throughputs.map(|(service, throughput)| (service.clone(), throughput.take_unreported()));
    unreported.filter(|(_, samples)| !samples.is_empty()).collect()
}

/// Sends what this node has read of the platform's tables to all peers.
pub(super) async fn push(node: &Node, socket: &Async<UdpSocket>, message: &Message) {
    let Some(bytes) = encode(message) else { return };
    let addresses = node.with(|state| state.peers.get_addresses());
    send_to_all(node, socket, &bytes, addresses).await;
}

/// The part of the period between two digests that a prompt takes to read, at the least, for its
/// request to be told at once.
const REPORT_AT_ONCE_PART: f64 = 0.1;

/// Tells all peers of a request that has just been sent to a server, where it will keep the server
/// busy for long.
pub(in crate::node) fn report_begun(node: &Node, server: u64, work: Work, reading_ms: Millis) {
    let period = node.with(|state| state.peers.get_period()).as_millis() as f64;
    if reading_ms as f64 >= period * REPORT_AT_ONCE_PART {
        let peer = node.life.node.clone();
        node.push(Message::RequestBegun { node: peer, server, work, reading_ms });
    }
}

/// Sends a datagram to many peers, no faster than a part of the link carries: what waits in a full
/// link's queue is dropped, and would be the same peers' each time.
async fn send_to_all(
    node: &Node,
    socket: &Async<UdpSocket>,
    bytes: &[u8],
    mut addresses: Vec<SocketAddr>,
) {
    fastrand::shuffle(&mut addresses);
    let bits_per_ms = node.settings.limits.link_mbps * 1_000.0 * LINK_PART;
    let mut sent = 0;
    for address in addresses {
        let _ = socket.send_to(bytes, address).await;
        sent += bytes.len();
        if sent >= BYTES_AT_ONCE {
            let pause = sent as f64 * 8.0 / bits_per_ms;
            if pause >= LEAST_PAUSE_MS {
                runtime::sleep(Duration::from_secs_f64(pause / 1_000.0)).await;
            }
            sent = 0;
        }
    }
}

fn latest(mut usage: Vec<(WindowNumber, Counts)>) -> Vec<(WindowNumber, Counts)> {
    usage.split_off(usage.len().saturating_sub(WINDOWS_TOLD))
}

pub(super) async fn send(socket: &Async<UdpSocket>, to: SocketAddr, message: &Message) {
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
