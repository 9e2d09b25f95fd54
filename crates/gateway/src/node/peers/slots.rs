//! Acquires the slots of brittle servers from their owners (see
//! [`keeljunction_core::serving::backpressure`]).
//!
//! The owner of a server is the aggregator that owns its load. A node states its requests at the
//! server with each request for a slot, at once when a request ends, and several times per second
//! otherwise. A node that gets no decision sends nothing to the server for a short time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::backpressure::{
    Brittleness, Decision, Holding, InstanceKey, Robustness, SlotRequest,
};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::short_id;

use super::message::{Message, Notification};
use super::notifications::list_aggregators;
use super::permits::{self, UNDECIDED_BACK_OFF_MS};
use crate::node::Node;
use crate::node::state::State;

/// The number of queued changes. Further ones are dropped, and sent with the next repetition.
pub(in crate::node) const CHANGE_CAPACITY: usize = 1_024;
/// The number of reports between two announcements of the brittle services, for nodes that have just
/// started or missed the notification.
const GOSSIP_INTERVAL_TURNS: u64 = 5;

/// What the owner of a server must learn at once.
#[derive(Clone, Debug)]
pub(in crate::node) enum Change {
    /// A request of this node to the server has ended.
    Ended {
        /// The server, by short name.
        server: u64,
    },
    /// The server rejected a request for lack of room.
    Rejected {
        /// The server.
        key: InstanceKey,
        /// The server's data centre.
        data_centre: String,
        /// Rejections per second that the server tolerates.
        max_rejections: u32,
    },
}

/// Acquires a slot of a server; returns `false` if the server has none for this request now.
pub(super) async fn acquire(node: &Node, server: &Server) -> bool {
    let now = node.now();
    let request = node.with(|state| {
        let robustness = state.backpressure.get_robustness(now, &server.service);
        if matches!(robustness, Robustness::Robust(_)) {
            return None;
        }
        let in_flight = state.loads.get_own_of(short_id(&server.id)).requests;
        Some(state.backpressure.claim_slot(now, server, in_flight))
    });
    let Some(request) = request else { return true };
    let key = request.holding.key;
    let owner = permits::find_owner(node, key, &server.data_centre);
    let decision = match &owner {
        Some(owner) => {
            let data_centre = permits::get_region_hint(node, &server.data_centre);
            let make = |query_id| Message::RequestSlot { query_id, request, data_centre };
            permits::request_decision(node, owner, make).await
        }
        None => node.with(|state| decide(state, now, &server.data_centre, &request)),
    };
    let now = node.now();
    let is_granted = node.with(|state| {
        let undecided_for = UNDECIDED_BACK_OFF_MS;
        state.backpressure.apply_slot_decision(now, &request, decision, undecided_for)
    });
    if !is_granted {
        node.metrics.slots_denied.inc();
    }
    is_granted
}

/// Gives up the slot of a request that is not going to be sent.
pub(super) fn release(node: &Node, server: &Server) {
    let server = short_id(&server.id);
    node.with(|state| state.backpressure.end_claim(server));
    record_end(node, server);
}

/// Records that a request is being sent, so that it counts as in flight and no longer as a claim.
pub(crate) fn record_begin(node: &Node, server: &str) {
    node.with(|state| state.backpressure.end_claim(short_id(server)));
}

/// Records that a request to a server has ended, and states the new count to the owner.
pub(crate) fn record_end(node: &Node, server: u64) {
    if node.with(|state| state.backpressure.get_claims().get(server).is_some()) {
        send_later(node, Change::Ended { server });
    }
}

/// Records that a server rejected a request for lack of room.
pub(crate) fn record_rejection(node: &Node, server: &Server) {
    let now = node.now();
    let robustness = node.with(|state| state.backpressure.get_robustness(now, &server.service));
    let Robustness::Brittle(Brittleness { max_rejections: Some(max_rejections), .. }) = robustness
    else {
        return;
    };
    node.metrics.brittle_rejections.inc();
    let (key, data_centre) = (InstanceKey::of(server), server.data_centre.clone());
    send_later(node, Change::Rejected { key, data_centre, max_rejections });
}

fn send_later(node: &Node, change: Change) {
    // The next repetition of all counts includes a change that does not fit.
    if node.slot_changes.0.try_send(change).is_err() {
        log::debug!("too many changes of slots are queued");
    }
}

/// Sends changes to the owners of servers until the process ends.
pub(super) async fn send_changes(node: Arc<Node>) {
    while let Ok(change) = node.slot_changes.1.recv().await {
        match change {
            Change::Ended { server } => {
                let stated = node.with(|state| state_one(state, server));
                send_holdings(&node, stated.into_iter()).await;
            }
            Change::Rejected { key, data_centre, max_rejections } => {
                match permits::find_owner(&node, key, &data_centre) {
                    Some(owner) => {
                        let message = Message::SlotRejected { key, max_rejections };
                        node.link.send(node.now(), owner.address, &message).await;
                    }
                    None => handle_rejection(&node, key, max_rejections),
                }
            }
        }
    }
}

/// Returns this node's count at a server, with the server's data centre.
fn state_one(state: &mut State, server: u64) -> Option<(Holding, String)> {
    let claimed = state.backpressure.get_claims().get(server)?;
    let (key, data_centre) = (claimed.key, claimed.data_centre.clone());
    let in_flight = state.loads.get_own_of(server).requests;
    Some((state.backpressure.state_holding(key, in_flight), data_centre))
}

/// Sends this node's counts to the owners of the servers.
async fn send_holdings(node: &Node, stated: impl Iterator<Item = (Holding, String)>) {
    let mut by_owner: BTreeMap<SocketAddr, Vec<Holding>> = BTreeMap::new();
    for (holding, data_centre) in stated {
        // This node's own count is read with each decision.
        if let Some(owner) = permits::find_owner(node, holding.key, &data_centre) {
            by_owner.entry(owner.address).or_default().push(holding);
        }
    }
    for (owner, holdings) in by_owner {
        node.link.send(node.now(), owner, &Message::SlotsHeld(holdings)).await;
    }
}

/// Repeats all counts of this node, and announces the brittle services; called once per report
/// period.
pub(super) async fn step(node: &Node, turn: u64) {
    let now = node.now();
    let stated: Vec<(Holding, String)> = node.with(|state| {
        let claimed = state.backpressure.get_claims().iter();
        let servers: Vec<u64> = claimed.map(|claimed| claimed.key.server).collect();
        let stated = servers.into_iter().filter_map(|server| state_one(state, server)).collect();
        let State { backpressure, loads, .. } = state;
        backpressure.expire_claims(now, |server| loads.get_own_of(server).requests > 0);
        stated
    });
    send_holdings(node, stated.into_iter()).await;
    if turn.is_multiple_of(GOSSIP_INTERVAL_TURNS) {
        announce_brittle(node, now).await;
    }
}

/// Announces the brittle services to the other aggregators and to this node's group.
async fn announce_brittle(node: &Node, now: Millis) {
    let (brittle, to) = node.with(|state| {
        let brittle = state.backpressure.list_brittle(now);
        if brittle.is_empty() || state.members.get_own_aggregator().is_some() {
            return (Vec::new(), Vec::new());
        }
        let mut to = list_aggregators(state, now);
        to.extend(state.members.get_group_addresses(now));
        (brittle, to)
    });
    if !brittle.is_empty() {
        node.link.send_to_all(now, to, &Message::BrittleServices(brittle)).await;
    }
}

/// Decides as the owner; undecided if this node is not the owner.
fn decide(state: &mut State, now: Millis, data_centre: &str, request: &SlotRequest) -> Decision {
    let server = request.holding.key.server;
    if !state.members.is_load_owner(server, data_centre) {
        return Decision::Undecided;
    }
    let reach = state.members.get_reachability(now);
    let in_flight = state.loads.get_own_of(server).requests;
    state.backpressure.decide_slot(now, request, in_flight, reach)
}

/// Answers another node's request for a slot.
pub(super) async fn answer_request(
    node: &Node,
    from: SocketAddr,
    query_id: u32,
    request: &SlotRequest,
    data_centre: &str,
) {
    let now = node.now();
    let decision = node.with(|state| decide(state, now, data_centre, request));
    node.link.send(now, from, &Message::Slot { query_id, decision }).await;
}

/// Handles a decision. One that arrives too late is corrected by this node's next count.
pub(super) fn handle_decision(node: &Node, query_id: u32, decision: Decision) {
    node.pending_permits.deliver(query_id, decision);
}

/// Handles the counts of another node, as the owner of the servers.
pub(super) fn handle_holdings(node: &Node, holdings: &[Holding]) {
    let now = node.now();
    node.with(|state| {
        holdings.iter().for_each(|holding| state.backpressure.record_holding(now, holding));
    });
}

/// Handles the rejection of a request by a brittle server, as its owner.
pub(super) fn handle_rejection(node: &Node, key: InstanceKey, max_rejections: u32) {
    let now = node.now();
    node.with(|state| {
        let in_flight = state.loads.get_own_of(key.server).requests;
        state.backpressure.record_rejection(now, key, max_rejections, in_flight);
    });
}

/// Notifies the other nodes that the servers of a service have become brittle or robust.
pub(crate) fn notify(node: &Node, observation: Brittleness) {
    node.notify_peers(Notification::BrittlenessChanged(observation));
}

/// Applies another node's observation of a service; returns `true` if it is new.
pub(super) fn apply_brittleness(node: &Node, observation: &Brittleness) -> bool {
    let now = node.now();
    node.with(|state| state.backpressure.merge_brittleness(now, observation))
}
