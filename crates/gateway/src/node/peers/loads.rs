//! Tracks and queries the load of servers if nodes report in groups.
//!
//! The load of each server is owned by one of the aggregators of its region, which every node
//! determines locally. Nodes report to it a request sent to the server at once, and the end of a
//! request soon after. Before a node picks a server, it queries the loads of the few candidates.
//! The cost depends on the number of requests and not on the number of nodes, and an answer is some
//! milliseconds old.
//!
//! The timeout for answers from other regions follows the measured round-trip times. Each answer is
//! a measurement ([`super::summary_relay::record_round_trip`]), even if it arrives too late.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::load::{Load, short_id};
use keeljunction_core::serving::members::Members;

use super::message::Message;
use super::pending_loads::Change;
use crate::node::Node;
use crate::node::state::State;
use crate::runtime;

/// The timeout for answers from the node's own region, several round trips. For other regions it
/// follows the measured round-trip times. A server without a known load is judged by this node's
/// own requests to it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);
/// How long an answer stays valid.
const ANSWER_TTL_MS: Millis = 100;
/// How long a peer's load stays valid after its last message.
const CHANGE_TTL_MS: Millis = 2_500;
/// The number of reports between repetitions of all loads of this node.
const REPEAT_INTERVAL_TURNS: u64 = 4;
/// The window over which first tokens and ends of requests are batched. Until they are sent, a
/// server appears busier than it is.
const BATCH_WINDOW: Duration = Duration::from_millis(40);
/// The source name under which answers are stored; no node has this name.
const ANSWER_SOURCE: &str = "";

/// Servers whose load is owned by one node, by short name.
#[derive(Debug, Default)]
struct OwnedServers {
    servers: Vec<u64>,
    /// The region of the owner; `None` if it is this node's region.
    remote_region: Option<String>,
}

/// Queries the loads of servers and waits until they are known or the timeout expires; returns
/// `false` if no owner answered.
pub(crate) async fn query(node: &Node, servers: &[String]) -> bool {
    let by_owner = node.with(|state| {
        let requested = servers.iter().map(|id| {
            let server = state.directory.get(id);
            (short_id(id), server.map_or("", |server| server.data_centre.as_str()))
        });
        group_by_owner(&state.members, requested)
    });
    if by_owner.is_empty() {
        return true;
    }
    let within = get_wait(node, &by_owner);
    let pending = node.pending_loads.begin(by_owner.len());
    let query_id = pending.id;
    for (owner, OwnedServers { servers, .. }) in by_owner {
        let message =
            Message::QueryLoads { query_id, node: node.incarnation.node.clone(), servers };
        node.link.send(node.now(), owner, &message).await;
    }
    if runtime::timeout(within, pending.done.recv()).await.is_none() {
        node.metrics.unanswered_load_questions.inc();
    }
    pending.is_any_answered()
}

/// Returns the timeout for answers, which is longer if other regions are queried.
fn get_wait(node: &Node, by_owner: &BTreeMap<SocketAddr, OwnedServers>) -> Duration {
    let local_timeout = QUERY_TIMEOUT.as_millis() as Millis;
    let remote_regions = by_owner.values().filter_map(|owned| owned.remote_region.as_deref());
    let longest = node.with(|state| {
        remote_regions.map(|region| state.round_trips.get_timeout(region, local_timeout)).max()
    });
    longest.map_or(QUERY_TIMEOUT, Duration::from_millis)
}

/// Groups servers, given with their data centres, by the node that owns their load. Servers owned
/// by this node are left out.
fn group_by_owner<'a>(
    members: &Members,
    servers: impl Iterator<Item = (u64, &'a str)>,
) -> BTreeMap<SocketAddr, OwnedServers> {
    let mut by_owner: BTreeMap<SocketAddr, OwnedServers> = BTreeMap::new();
    for (server, data_centre) in servers {
        let Some(owner) = members.find_load_owner(server, data_centre) else { continue };
        let owned = by_owner.entry(owner.address).or_default();
        owned.servers.push(server);
        owned.remote_region = owner.remote_region.map(str::to_owned);
    }
    by_owner
}

/// Returns the data centres of all servers by short name; empty with a single region.
fn get_data_centres(node: &Node, state: &State) -> HashMap<u64, String> {
    if !node.topology.is_multi_region() {
        return HashMap::new();
    }
    let servers = state.directory.iter();
    servers.map(|server| (short_id(&server.id), server.data_centre.clone())).collect()
}

/// Returns the data centre of a server; empty with a single region or if the server is gone.
fn get_data_centre(node: &Node, server: &str) -> String {
    if !node.topology.is_multi_region() {
        return String::new();
    }
    node.with(|state| state.directory.get(server).map(|known| known.data_centre.clone()))
        .unwrap_or_default()
}

/// Answers a query with the load of all nodes except the querying one.
pub(super) async fn answer_query(
    node: &Node,
    from: SocketAddr,
    query_id: u32,
    requester: &str,
    servers: &[u64],
) {
    let loads = node.with(|state| {
        let others = |server: &u64| {
            let mut load = state.loads.get_others(requester, *server);
            load.add(&state.loads.get_own_of(*server));
            (*server, load)
        };
        servers.iter().map(others).collect()
    });
    node.link.send(node.now(), from, &Message::Loads { query_id, loads }).await;
}

/// Handles the answer to a query.
pub(super) fn handle_answer(node: &Node, query_id: u32, loads: Vec<(u64, Load)>) {
    let valid_until = node.now() + ANSWER_TTL_MS;
    node.with(|state| {
        for (server, load) in loads {
            state.loads.merge_server(valid_until, ANSWER_SOURCE, server, load);
        }
    });
    node.pending_loads.answer(query_id);
}

/// Handles a peer's load at servers that this node owns.
pub(super) fn handle_change(node: &Node, peer: &str, loads: Vec<(u64, Load)>) {
    let valid_until = node.now() + CHANGE_TTL_MS;
    node.with(|state| {
        for (server, load) in loads {
            state.loads.merge_server(valid_until, peer, server, load);
        }
    });
}

/// Records that this node's load at a server has changed.
pub(crate) fn record_change(node: &Node, server: &str, is_urgent: bool) {
    if node.with(|state| state.members.is_grouped()) {
        let data_centre = get_data_centre(node, server);
        node.pending_loads.change(Change { server: short_id(server), data_centre, is_urgent });
    }
}

/// Repeats all loads of this node every few reports.
pub(super) fn repeat_own(node: &Node, turn: u64) {
    if !turn.is_multiple_of(REPEAT_INTERVAL_TURNS) {
        return;
    }
    let (own, mut data_centres) =
        node.with(|state| (state.loads.get_own(), get_data_centres(node, state)));
    for (server, _) in own {
        let data_centre = data_centres.remove(&server).unwrap_or_default();
        node.pending_loads.change(Change { server, data_centre, is_urgent: false });
    }
}

/// Sends load changes until the process ends. An urgent change is sent at once, together with all
/// pending ones.
pub(super) async fn send_changes(node: Arc<Node>) {
    let changes = &node.pending_loads.changes.1;
    while let Ok(first) = changes.recv().await {
        let mut servers = BTreeMap::from([(first.server, first.data_centre)]);
        let until = node.now() + BATCH_WINDOW.as_millis() as Millis;
        let mut is_urgent = first.is_urgent;
        while !is_urgent {
            let remaining = Duration::from_millis(until.saturating_sub(node.now()));
            let Some(Ok(next)) = runtime::timeout(remaining, changes.recv()).await else { break };
            servers.insert(next.server, next.data_centre);
            is_urgent = next.is_urgent;
        }
        while let Ok(next) = changes.try_recv() {
            servers.insert(next.server, next.data_centre);
        }
        send_own(&node, servers).await;
    }
}

/// Sends this node's load at servers, given with their data centres.
async fn send_own(node: &Node, servers: BTreeMap<u64, String>) {
    let changed = servers.iter().map(|(server, data_centre)| (*server, data_centre.as_str()));
    let by_owner = node.with(|state| group_by_owner(&state.members, changed));
    for (owner, OwnedServers { servers, .. }) in by_owner {
        let loads = node.with(|state| {
            servers.into_iter().map(|server| (server, state.loads.get_own_of(server))).collect()
        });
        let message = Message::LoadChanged { node: node.incarnation.node.clone(), loads };
        node.link.send(node.now(), owner, &message).await;
    }
}
