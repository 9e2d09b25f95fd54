//! Keeps and asks for the loads of servers, where nodes report in groups.
//!
//! Each server's load is kept by one of the aggregators of its region, which all nodes find by
//! themselves. Nodes report to it at once what they send to the server, and soon what ends there.
//! Before a node chooses, it asks for the loads of the few servers that it considers. What that costs
//! depends on the requests and not on the number of nodes, and the answer is some milliseconds old.
//!
//! Answers from other regions are waited for as long as measured round trips say. Each answer is a
//! measurement ([`super::carry::note_round_trip`]), also one that comes too late.

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

/// How long answers from the own region are waited for: some times the way there and back. Those
/// from other regions are waited for as long as measured round trips say. A server whose load is not
/// known by then is judged by what this node sent there itself.
const ANSWERS_WITHIN: Duration = Duration::from_millis(25);
/// How long an answer counts, in milliseconds.
const ANSWER_VALID_FOR: Millis = 100;
/// How long a peer's load counts after its last message, in milliseconds.
const CHANGE_VALID_FOR: Millis = 2_500;
/// Reports between two repetitions of all that this node has in flight.
const REPEAT_TURNS: u64 = 4;
/// First tokens and ends of requests gather for this long: a server looks busier than it is
/// meanwhile.
const GATHER: Duration = Duration::from_millis(40);
/// Answers are kept under this name, which no node bears.
const ANSWERS: &str = "";

/// Servers whose load one node keeps, by short name.
#[derive(Debug, Default)]
struct Kept {
    servers: Vec<u64>,
    /// The region of the one who keeps it, where that is another one.
    far_region: Option<String>,
}

/// Asks for the loads of some servers, and returns once they are known or the time for that is
/// over; `false` where nobody answered.
pub(crate) async fn query(node: &Node, servers: &[String]) -> bool {
    let by_owner = node.with(|state| {
        let requested = servers.iter().map(|id| {
            let server = state.directory.get(id);
            (short_id(id), server.map_or("", |server| server.data_centre.as_str()))
        });
        sort_by_owner(&state.members, requested)
    });
    if by_owner.is_empty() {
        return true;
    }
    let within = get_wait(node, &by_owner);
    let waiting = node.pending_loads.begin(by_owner.len());
    let question = waiting.number;
    for (owner, Kept { servers, .. }) in by_owner {
        let message = Message::AskLoads { question, node: node.incarnation.node.clone(), servers };
        node.link.send(node.now(), owner, &message).await;
    }
    if runtime::timeout(within, waiting.done.recv()).await.is_none() {
        node.metrics.unanswered_load_questions.inc();
    }
    waiting.is_any_answered()
}

/// Returns how long answers are waited for, some of which come from other regions.
fn get_wait(node: &Node, by_owner: &BTreeMap<SocketAddr, Kept>) -> Duration {
    let near = ANSWERS_WITHIN.as_millis() as Millis;
    let far = by_owner.values().filter_map(|kept| kept.far_region.as_deref());
    let longest =
        node.with(|state| far.map(|region| state.round_trips.get_timeout(region, near)).max());
    longest.map_or(ANSWERS_WITHIN, Duration::from_millis)
}

/// Sorts servers, given with their data centres, by the node that keeps their load, without those
/// that this node keeps itself.
fn sort_by_owner<'a>(
    members: &Members,
    servers: impl Iterator<Item = (u64, &'a str)>,
) -> BTreeMap<SocketAddr, Kept> {
    let mut by_owner: BTreeMap<SocketAddr, Kept> = BTreeMap::new();
    for (server, data_centre) in servers {
        let Some(owner) = members.find_load_owner(server, data_centre) else { continue };
        let kept = by_owner.entry(owner.address).or_default();
        kept.servers.push(server);
        kept.far_region = owner.remote_region.map(str::to_owned);
    }
    by_owner
}

/// Returns the data centres of all servers by short name; none where there is one region only.
fn get_data_centres(node: &Node, state: &State) -> HashMap<u64, String> {
    if !node.topology.is_multi_region() {
        return HashMap::new();
    }
    let servers = state.directory.iter();
    servers.map(|server| (short_id(&server.id), server.data_centre.clone())).collect()
}

/// Returns a server's data centre; none where there is one region only, or where it is gone.
fn get_data_centre(node: &Node, server: &str) -> String {
    if !node.topology.is_multi_region() {
        return String::new();
    }
    node.with(|state| state.directory.get(server).map(|known| known.data_centre.clone()))
        .unwrap_or_default()
}

/// Answers another node with what all but that one have in flight.
pub(super) async fn answer(
    node: &Node,
    from: SocketAddr,
    question: u32,
    asking: &str,
    servers: &[u64],
) {
    let loads = node.with(|state| {
        let others = |server: &u64| {
            let mut load = state.loads.get_others(asking, *server);
            load.add(&state.loads.get_own_of(*server));
            (*server, load)
        };
        servers.iter().map(others).collect()
    });
    node.link.send(node.now(), from, &Message::Loads { question, loads }).await;
}

/// Takes an answer.
pub(super) fn take(node: &Node, question: u32, loads: Vec<(u64, Load)>) {
    let valid_until = node.now() + ANSWER_VALID_FOR;
    node.with(|state| {
        for (server, load) in loads {
            state.loads.merge_server(valid_until, ANSWERS, server, load);
        }
    });
    node.pending_loads.answer(question);
}

/// Takes what another node has in flight at servers whose load this node keeps.
pub(super) fn take_change(node: &Node, peer: &str, loads: Vec<(u64, Load)>) {
    let valid_until = node.now() + CHANGE_VALID_FOR;
    node.with(|state| {
        for (server, load) in loads {
            state.loads.merge_server(valid_until, peer, server, load);
        }
    });
}

/// Notes that what this node has in flight at a server has changed.
pub(crate) fn note_change(node: &Node, server: &str, is_urgent: bool) {
    if node.with(|state| state.members.is_grouped()) {
        let data_centre = get_data_centre(node, server);
        node.pending_loads.change(Change { server: short_id(server), data_centre, is_urgent });
    }
}

/// Repeats all that this node has in flight, each few reports.
pub(super) fn repeat(node: &Node, turn: u64) {
    if !turn.is_multiple_of(REPEAT_TURNS) {
        return;
    }
    let (own, mut data_centres) =
        node.with(|state| (state.loads.get_own(), get_data_centres(node, state)));
    for (server, _) in own {
        let data_centre = data_centres.remove(&server).unwrap_or_default();
        node.pending_loads.change(Change { server, data_centre, is_urgent: false });
    }
}

/// Sends changes for as long as the process runs: urgent ones at once, with all that wait.
pub(super) async fn send_changes(node: Arc<Node>) {
    let changes = &node.pending_loads.changes.1;
    while let Ok(first) = changes.recv().await {
        let mut servers = BTreeMap::from([(first.server, first.data_centre)]);
        let until = node.now() + GATHER.as_millis() as Millis;
        let mut is_urgent = first.is_urgent;
        while !is_urgent {
            let left = Duration::from_millis(until.saturating_sub(node.now()));
            let Some(Ok(next)) = runtime::timeout(left, changes.recv()).await else { break };
            servers.insert(next.server, next.data_centre);
            is_urgent = next.is_urgent;
        }
        while let Ok(next) = changes.try_recv() {
            servers.insert(next.server, next.data_centre);
        }
        send_own(&node, servers).await;
    }
}

/// Sends what this node has in flight at some servers, given with their data centres.
async fn send_own(node: &Node, servers: BTreeMap<u64, String>) {
    let changed = servers.iter().map(|(server, data_centre)| (*server, data_centre.as_str()));
    let by_owner = node.with(|state| sort_by_owner(&state.members, changed));
    for (owner, Kept { servers, .. }) in by_owner {
        let loads = node.with(|state| {
            servers.into_iter().map(|server| (server, state.loads.get_own_of(server))).collect()
        });
        let message = Message::LoadChanged { node: node.incarnation.node.clone(), loads };
        node.link.send(node.now(), owner, &message).await;
    }
}
