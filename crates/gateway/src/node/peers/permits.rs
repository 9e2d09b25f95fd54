//! Asks the owners of limited servers for permits (see [`keeljunction_core::serving::backpressure`]).
//!
//! The owner of a server is the aggregator that keeps its load, which every node finds by itself. A node
//! that gets no decision sends nothing to the server for a while: a limit holds also where its owner is
//! out of reach, and other servers get the request.

use std::net::SocketAddr;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::backpressure::{Decision, InstanceKey, Observation};
use keeljunction_core::serving::directory::Server;

use super::message::Message;
use crate::node::Node;
use crate::node::state::State;

/// How long a decision is waited for: some times the way there and back within a region, and the time
/// for which a small VM lets a task wait. From another region it is waited for as long as the way there
/// and back is measured to take.
const DECIDED_WITHIN: Millis = 40;
/// How long a server gets nothing from a node that got no decision, in milliseconds: one period of
/// reports, after which the node may have found another owner.
const UNDECIDED_FOR: Millis = 200;

/// A permit to send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The server names no limit.
    Unlimited,
    /// It counts at the server's owner; `None` where that is this node.
    Counted(Option<SocketAddr>),
}

/// The node that owns a server.
struct Owner {
    address: SocketAddr,
    /// Its region, where that is another one.
    far_region: Option<String>,
}

/// Takes a permit to send a request to a server; `None` where the server takes none now.
pub(crate) async fn acquire(node: &Node, server: &Server) -> Option<Permit> {
    let now = node.now();
    let sighting = node.with(|state| state.backpressure.get_limit(now, server));
    let permit = match sighting {
        None => Permit::Unlimited,
        Some(sighting) => take_counted(node, server, sighting).await?,
    };
    // The server may have said something while the decision was waited for.
    let now = node.now();
    if node.with(|state| state.is_in_backoff(now, server)) {
        release_unused(node, server, permit).await;
        return None;
    }
    Some(permit)
}

/// Takes a permit of the owner of a limited server.
async fn take_counted(node: &Node, server: &Server, sighting: Observation) -> Option<Permit> {
    let owner = node.with(|state| {
        let found = state.members.find_load_owner(sighting.key.server, &server.data_centre)?;
        let far_region = found.remote_region.map(str::to_owned);
        Some(Owner { address: found.address, far_region })
    });
    let now = node.now();
    let decision = match &owner {
        Some(owner) => ask(node, owner, server, sighting).await,
        None => node.with(|state| decide(state, now, &server.data_centre, &sighting)),
    };
    let now = node.now();
    let is_granted = node.with(|state| {
        state.backpressure.apply_decision(now, sighting.key, decision, UNDECIDED_FOR)
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

/// Asks the owner of a server; undecided where it does not answer in time.
async fn ask(node: &Node, owner: &Owner, server: &Server, sighting: Observation) -> Decision {
    let question = node.pending_permits.begin();
    let data_centre = match node.topology.is_multi_region() {
        true => server.data_centre.clone(),
        false => String::new(),
    };
    let message = Message::AskPermit { question: question.number, sighting, data_centre };
    node.link.send(node.now(), owner.address, &message).await;
    let wait = owner.far_region.as_deref().map_or(DECIDED_WITHIN, |region| {
        node.with(|state| state.round_trips.get_timeout(region, DECIDED_WITHIN))
    });
    let decision = question.wait(Duration::from_millis(wait)).await;
    decision.unwrap_or_else(|| {
        node.metrics.unanswered_permit_questions.inc();
        Decision::Undecided
    })
}

/// Returns the permit of a request that was not sent.
pub(crate) async fn release_unused(node: &Node, server: &Server, permit: Permit) {
    let key = InstanceKey::of(server);
    match permit {
        Permit::Unlimited => {}
        Permit::Counted(None) => node.with(|state| state.backpressure.return_permit(key)),
        Permit::Counted(Some(owner)) => {
            node.link.send(node.now(), owner, &Message::ReturnPermit(key)).await;
        }
    }
}

/// Decides as the owner; undecided where this node is not the owner.
fn decide(state: &mut State, now: Millis, data_centre: &str, sighting: &Observation) -> Decision {
    if !state.members.is_load_owner(sighting.key.server, data_centre) {
        return Decision::Undecided;
    }
    let reach = state.members.get_reachability(now);
    state.backpressure.decide(now, sighting, reach)
}

/// Answers another node.
pub(super) async fn answer(
    node: &Node,
    from: SocketAddr,
    question: u32,
    sighting: &Observation,
    data_centre: &str,
) {
    let now = node.now();
    let key = sighting.key;
    let decision = node.with(|state| decide(state, now, data_centre, sighting));
    node.link.send(now, from, &Message::Permit { question, key, decision }).await;
}

/// Takes a decision. A permit that comes too late is returned.
pub(super) async fn take_answer(
    node: &Node,
    from: SocketAddr,
    question: u32,
    key: InstanceKey,
    decision: Decision,
) {
    let is_taken = node.pending_permits.answer(question, decision);
    if !is_taken && decision == Decision::Granted {
        node.link.send(node.now(), from, &Message::ReturnPermit(key)).await;
    }
}

/// Takes back the permit of a request that another node did not send.
pub(super) fn take_back(node: &Node, key: InstanceKey) {
    node.with(|state| state.backpressure.return_permit(key));
}

/// Takes what another node saw of a server's limit; returns `true` if it is news.
pub(super) fn take_sighting(node: &Node, sighting: &Observation) -> bool {
    let now = node.now();
    node.with(|state| state.backpressure.merge(now, sighting))
}

/// Takes the sightings that came with a report.
pub(super) fn take_sightings(node: &Node, sightings: &[Observation]) {
    for sighting in sightings {
        take_sighting(node, sighting);
    }
}
