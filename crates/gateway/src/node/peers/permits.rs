//! Acquires permits from the owners of limited servers (see
//! [`keeljunction_core::serving::backpressure`]).
//!
//! The owner of a server is the aggregator that owns its load, which every node determines locally.
//! A node that gets no decision sends nothing to the server for a short time: a limit holds even if its
//! owner is unreachable, and the request goes to another server.

use std::net::SocketAddr;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::backpressure::{Decision, InstanceKey, Observation};
use keeljunction_core::serving::directory::Server;

use super::message::Message;
use super::slots;
use crate::node::Node;
use crate::node::state::State;

/// The timeout for a decision: several round trips within a region, and the scheduling delay of a
/// task on a small VM. For other regions it follows the measured round-trip times.
const DECISION_TIMEOUT_MS: Millis = 40;
/// How long a node that got no decision sends nothing to the server: one report period, after which
/// it may have found another owner.
pub(super) const UNDECIDED_BACK_OFF_MS: Millis = 200;

/// A permit to send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The server has no limit.
    Unlimited,
    /// The permit is counted by the server's owner; `None` if that is this node.
    Counted(Option<SocketAddr>),
}

/// The node that owns a server.
pub(super) struct Owner {
    /// Its address for other nodes.
    pub(super) address: SocketAddr,
    /// Its region; `None` if it is this node's region.
    remote_region: Option<String>,
}

/// Acquires a permit to send a request to a server, and a slot if it is brittle; returns `None` if
/// the server does not accept one now.
pub(crate) async fn acquire(node: &Node, server: &Server) -> Option<Permit> {
    if !slots::acquire(node, server).await {
        return None;
    }
    let permit = acquire_permit(node, server).await;
    if permit.is_none() {
        slots::release(node, server);
    }
    permit
}

/// Acquires a permit to send a request to a server, if the server is rate-limited.
async fn acquire_permit(node: &Node, server: &Server) -> Option<Permit> {
    let now = node.now();
    let observation = node.with(|state| state.backpressure.get_limit(now, server));
    let permit = match observation {
        None => Permit::Unlimited,
        Some(observation) => acquire_counted(node, server, observation).await?,
    };
    // The server may have requested a backoff while the decision was pending.
    let now = node.now();
    if node.with(|state| state.is_throttled(now, server)) {
        return_unused(node, server, permit).await;
        return None;
    }
    Some(permit)
}

/// Finds the node that owns a server, or `None` if this node does.
pub(super) fn find_owner(node: &Node, key: InstanceKey, data_centre: &str) -> Option<Owner> {
    node.with(|state| {
        let found = state.members.find_load_owner(key.server, data_centre)?;
        let remote_region = found.remote_region.map(str::to_owned);
        Some(Owner { address: found.address, remote_region })
    })
}

/// Returns the data centre that a message to an owner names; empty with a single region.
pub(super) fn get_region_hint(node: &Node, data_centre: &str) -> String {
    match node.topology.is_multi_region() {
        true => data_centre.to_owned(),
        false => String::new(),
    }
}

/// Acquires a permit from the owner of a limited server.
async fn acquire_counted(node: &Node, server: &Server, observation: Observation) -> Option<Permit> {
    let owner = find_owner(node, observation.key, &server.data_centre);
    let now = node.now();
    let decision = match &owner {
        Some(owner) => {
            let data_centre = get_region_hint(node, &server.data_centre);
            let make = |query_id| Message::RequestPermit { query_id, observation, data_centre };
            request_decision(node, owner, make).await
        }
        None => node.with(|state| decide(state, now, &server.data_centre, &observation)),
    };
    let now = node.now();
    let is_granted = node.with(|state| {
        state.backpressure.apply_decision(now, observation.key, decision, UNDECIDED_BACK_OFF_MS)
    });
    if !is_granted {
        node.metrics.permits_denied.inc();
        return None;
    }
    Some(match decision {
        Decision::Unlimited { .. } => Permit::Unlimited,
        _ => Permit::Counted(owner.map(|owner| owner.address)),
    })
}

/// Requests a decision from the owner of a server, with the message that `make` creates for a query
/// ID; undecided on a timeout.
pub(super) async fn request_decision(
    node: &Node,
    owner: &Owner,
    make: impl FnOnce(u32) -> Message,
) -> Decision {
    let query = node.pending_permits.begin();
    node.link.send(node.now(), owner.address, &make(query.id)).await;
    let wait = owner.remote_region.as_deref().map_or(DECISION_TIMEOUT_MS, |region| {
        node.with(|state| state.round_trips.get_timeout(region, DECISION_TIMEOUT_MS))
    });
    let decision = query.wait(Duration::from_millis(wait)).await;
    decision.unwrap_or_else(|| {
        node.metrics.unanswered_permit_questions.inc();
        Decision::Undecided
    })
}

/// Releases the permit and the slot of a server to which the request is not going to be sent.
pub(crate) async fn release(node: &Node, server: &Server, permit: Permit) {
    slots::release(node, server);
    return_unused(node, server, permit).await;
}

/// Returns the permit of a request that was not sent, whose slot is no longer claimed.
pub(crate) async fn return_unused(node: &Node, server: &Server, permit: Permit) {
    let key = InstanceKey::of(server);
    match permit {
        Permit::Unlimited => {}
        Permit::Counted(None) => node.with(|state| state.backpressure.return_permit(key)),
        Permit::Counted(Some(owner)) => {
            node.link.send(node.now(), owner, &Message::ReleasePermit(key)).await;
        }
    }
}

/// Decides as the owner; undecided if this node is not the owner.
fn decide(
    state: &mut State,
    now: Millis,
    data_centre: &str,
    observation: &Observation,
) -> Decision {
    if !state.members.is_load_owner(observation.key.server, data_centre) {
        return Decision::Undecided;
    }
    let reachability = state.members.get_reachability(now);
    state.backpressure.decide(now, observation, reachability)
}

/// Answers the permit request of another node.
pub(super) async fn answer_request(
    node: &Node,
    from: SocketAddr,
    query_id: u32,
    observation: &Observation,
    data_centre: &str,
) {
    let now = node.now();
    let key = observation.key;
    let decision = node.with(|state| decide(state, now, data_centre, observation));
    node.link.send(now, from, &Message::Permit { query_id, key, decision }).await;
}

/// Handles a decision. A permit that arrives too late is returned.
pub(super) async fn handle_decision(
    node: &Node,
    from: SocketAddr,
    query_id: u32,
    key: InstanceKey,
    decision: Decision,
) {
    let is_taken = node.pending_permits.deliver(query_id, decision);
    if !is_taken && decision == Decision::Granted {
        node.link.send(node.now(), from, &Message::ReleasePermit(key)).await;
    }
}

/// Handles the return of an unused permit by another node.
pub(super) fn handle_release(node: &Node, key: InstanceKey) {
    node.with(|state| state.backpressure.return_permit(key));
}

/// Applies a server limit observed by another node; returns `true` if it is new.
pub(super) fn apply_observation(node: &Node, observation: &Observation) -> bool {
    let now = node.now();
    node.with(|state| state.backpressure.merge(now, observation))
}

/// Applies the server limits in a report.
pub(super) fn apply_observations(node: &Node, observations: &[Observation]) {
    for observation in observations {
        apply_observation(node, observation);
    }
}
