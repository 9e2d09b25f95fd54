//! What a node knows of the platform's tables, got from the few nodes that read them for all.
//!
//! A reader sends each change to all nodes. A change that does not arrive shows at the next
//! question: every node asks a reader some times a second what it knows, and gets what it lacks.
//! The age that the reader tells counts from before the question was sent. A node whose knowledge
//! grows old all the same asks other peers, and reads the tables itself.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Batch;
use serde::{Deserialize, Serialize};

use super::gossip::{self, Message};
use super::{Node, peer_calls, watch};
use crate::event::{self, Event};
use crate::runtime;

/// The time between two questions.
const ASK_PERIOD: Duration = Duration::from_millis(400);
/// The part of the drain bound after which the list of servers counts as old.
const SERVERS_OLD_PART: f64 = 0.85;
/// The part of the time in which a new configuration must be in force after which this node's
/// counts as old: the readers themselves may have lost the table service, all at once.
const CONFIGURATION_OLD_PART: f64 = 0.65;
/// The part of the freshness bound after which the configuration counts as old at the latest.
const CONFIRMATION_OLD_PART: f64 = 0.5;

/// What a node knows of the platform's tables. Ages are in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The configuration's version, and the age of the knowledge that it is the newest.
    pub configuration: Option<(u64, Millis)>,
    /// The version of the list of servers, and the age of the knowledge that it is the newest.
    pub servers: Option<(u64, Millis)>,
}

/// Returns what this node knows.
pub(super) fn get(node: &Node) -> Position {
    let now = node.now();
    node.with(|state| {
        let version = state.configuration.as_ref().map(|known| known.version);
        let servers_age = state.servers_freshness.get_age(now);
        Position {
            configuration: version.zip(state.freshness.get_age(now)),
            servers: servers_age.map(|age| (state.directory.get_version(), age)),
        }
    })
}

/// Says whether the list of servers is older than it may be.
pub(super) fn is_servers_old(node: &Node) -> bool {
    let bound = node.settings.bounds.drain_ms as f64 * SERVERS_OLD_PART;
    let now = node.now();
    !node.with(|state| state.servers_freshness.is_within(now, bound as Millis))
}

/// Says whether the configuration is older than it should be.
pub(super) fn is_configuration_old(node: &Node) -> bool {
    let bound = get_configuration_bound(node);
    let now = node.now();
    !node.with(|state| state.freshness.is_within(now, bound))
}

/// Returns the age at which the configuration counts as old.
fn get_configuration_bound(node: &Node) -> Millis {
    let apply = node.settings.bounds.config_apply_ms as f64 * CONFIGURATION_OLD_PART;
    let confirmation = node.get_fresh_bound() as f64 * CONFIRMATION_OLD_PART;
    apply.min(confirmation) as Millis
}

/// Says whether one reader's answer is not enough, because the last ones did not make this node's
/// configuration young.
fn is_configuration_ageing(node: &Node) -> bool {
    let bound = get_configuration_bound(node) / 2;
    let now = node.now();
    !node.with(|state| state.freshness.is_within(now, bound))
}

/// Asks a reader what it knows, all of them while this node's configuration is ageing, and any
/// peers while its knowledge is old.
pub(super) async fn ask(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    let bound = node.get_fresh_bound();
    let mut was_fresh = true;
    loop {
        runtime::sleep(watch::jitter(ASK_PERIOD)).await;
        let asked_at = node.now();
        let age = node.with(|state| state.freshness.get_age(asked_at));
        let is_fresh = age.is_some_and(|age| age <= bound);
        if is_fresh != was_fresh {
            was_fresh = is_fresh;
            event::emit(&Event::FreshnessChanged { is_fresh, age_ms: age, bound_ms: bound });
        }
        let is_old = is_configuration_old(&node) || is_servers_old(&node);
        let (readers, heard) =
            node.with(|state| (state.peers.get_readers(asked_at), state.peers.get_heard(asked_at)));
        let mut asked = if is_configuration_ageing(&node) { readers } else { pick(&readers) };
        if is_old {
            asked.extend(pick(&heard));
        }
        for address in asked {
            gossip::send(&socket, address, &Message::AskPosition { asked_at }).await;
        }
    }
}

fn pick(addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    match addresses.len() {
        0 => Vec::new(),
        length => vec![addresses[fastrand::usize(..length)]],
    }
}

/// Sends the changes that this node reads to all peers.
pub(super) async fn push(node: Arc<Node>, socket: Arc<Async<UdpSocket>>) {
    while let Ok(message) = node.pushes.1.recv().await {
        gossip::push(&node, &socket, &message).await;
    }
}

/// Takes what a peer knows: confirms what this node has, or gets what it lacks.
pub(super) fn take(node: &Arc<Node>, from: SocketAddr, asked_at: Millis, told: &Position) {
    if let Some((version, age)) = told.configuration {
        let is_known = node.with(|state| {
            let known = state.configuration.as_ref().map(|known| known.version);
            if known >= Some(version) {
                state.freshness.confirm_by_peer(asked_at, age);
            }
            known >= Some(version)
        });
        if !is_known {
            runtime::spawn(peer_calls::get_configuration(node.clone(), from));
        }
    }
    if let Some((version, age)) = told.servers {
        let is_known = node.with(|state| {
            let is_known = state.has_servers && state.directory.get_version() >= version;
            if is_known {
                state.servers_freshness.confirm_by_peer(asked_at, age);
            }
            is_known
        });
        if !is_known {
            let told = ToldServers { version, age, asked_at };
            runtime::spawn(get_newer_servers(node.clone(), from, told));
        }
    }
}

/// What a peer told of its list of servers.
struct ToldServers {
    version: u64,
    /// How long before its answer the peer knew the list to be the newest.
    age: Millis,
    /// When the peer was asked.
    asked_at: Millis,
}

/// Gets the list of servers that a peer told of.
async fn get_newer_servers(node: Arc<Node>, from: SocketAddr, told: ToldServers) {
    peer_calls::get_servers(node.clone(), from).await;
    node.with(|state| {
        // The list that was got may be newer than the one that was told of, and never older.
        if state.has_servers && state.directory.get_version() >= told.version {
            state.servers_freshness.confirm_by_peer(told.asked_at, told.age);
        }
    });
}

/// Takes changes of the list of servers, or gets the whole list where some are missing.
pub(super) fn take_servers(node: &Arc<Node>, from: SocketAddr, batch: Batch) {
    let changes = node.with(|state| match state.has_servers {
        true => state.directory.update(batch),
        false => None,
    });
    match changes {
        Some(changes) => watch::apply(node, changes),
        None => runtime::spawn(peer_calls::get_servers(node.clone(), from)),
    }
}

/// Gets the configuration of a version that a peer has adopted, where it is newer.
pub(super) fn take_version(node: &Arc<Node>, from: SocketAddr, version: u64) {
    let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
    if known < Some(version) {
        runtime::spawn(peer_calls::get_configuration(node.clone(), from));
    }
}
