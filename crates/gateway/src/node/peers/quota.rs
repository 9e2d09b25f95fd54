//! Asks the owner of a client account whether a request is within the account's limit.
//!
//! Each node decides locally while much of the limit is left. Near the limit, the account's owner
//! decides for all nodes. Every node determines the owner locally from the aggregators, and the
//! cost of the queries depends on the number of requests and not on the number of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::configuration::Account;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::quota::{Decision, Limit};

use super::message::Message;
use crate::node::Node;
use crate::node::state::State;

/// The timeout for a decision: several round trips within a region, and the scheduling delay of a
/// task on a small VM. After it, the node consumes its local share.
///
/// For other regions the timeout follows the measured round-trip times.
const DECISION_TIMEOUT_MS: Millis = 40;

/// Consumes units of a client account for a request.
///
/// # Errors
///
/// Returns the milliseconds after which the request fits the limit.
pub(crate) async fn consume(node: &Node, account: &Account, units: u64) -> Result<(), Millis> {
    let now = node.now();
    let name = &account.name;
    let limit = get_limit(account);
    let is_admitted_locally = node.with(|state| {
        let reachability = state.members.get_reachability(now);
        state.quotas.consume_above_low_water(now, name, units, limit, reachability)
    });
    if is_admitted_locally {
        return Ok(());
    }
    let decision = match node.with(|state| state.members.find_owner(short_id(name))) {
        Some(owner) => query_owner(node, owner, name, units).await,
        None => node.with(|state| decide(state, now, account, units)),
    };
    let now = node.now();
    node.with(|state| match decision {
        Decision::Undecided => {
            let reachability = state.members.get_reachability(now);
            state.quotas.consume_local_share(now, name, units, limit, reachability)
        }
        Decision::Admitted => {
            state.quotas.discard_local_share_savings(now, name);
            Ok(())
        }
        Decision::Refused { retry_after } => {
            state.quotas.discard_local_share_savings(now, name);
            Err(retry_after)
        }
    })
}

fn get_limit(account: &Account) -> Limit {
    Limit { rate_per_second: account.rate_per_second, burst: account.burst }
}

/// Queries the owner of a client account; undecided on a timeout.
async fn query_owner(node: &Node, owner: SocketAddr, account: &str, units: u64) -> Decision {
    let query = node.pending_decisions.begin();
    let message = Message::QueryQuota { query_id: query.id, account: account.to_owned(), units };
    node.link.send(node.now(), owner, &message).await;
    let decided = query.wait(get_wait(node, owner)).await;
    decided.unwrap_or_else(|| {
        node.metrics.unanswered_quota_questions.inc();
        Decision::Undecided
    })
}

/// Returns the timeout for an owner's decision.
fn get_wait(node: &Node, owner: SocketAddr) -> Duration {
    let region = node.link.get_remote_region(owner);
    let wait = region.map(|region| {
        node.with(|state| state.round_trips.get_timeout(&region, DECISION_TIMEOUT_MS))
    });
    Duration::from_millis(wait.unwrap_or(DECISION_TIMEOUT_MS))
}

/// Decides as the owner; undecided if this node is not the owner.
fn decide(state: &mut State, now: Millis, account: &Account, units: u64) -> Decision {
    if !state.members.is_owner(short_id(&account.name)) {
        return Decision::Undecided;
    }
    let reachability = state.members.get_reachability(now);
    let limit = get_limit(account);
    match state.members.is_region_isolated() {
        true => {
            state.quotas.decide_for_isolated_region(now, &account.name, units, limit, reachability)
        }
        false => state.quotas.decide(now, &account.name, units, limit, reachability),
    }
}

/// Answers the query of another node.
pub(super) async fn answer_query(
    node: &Node,
    from: SocketAddr,
    query_id: u32,
    account: String,
    units: u64,
) {
    let now = node.now();
    let decision = node.with(|state| {
        let configuration = state.configuration.clone();
        let known = configuration.as_ref().and_then(|known| known.get_account(&account));
        known.map_or(Decision::Undecided, |known| decide(state, now, known, units))
    });
    let message = Message::Quota { query_id, account, units, decision };
    node.link.send(now, from, &message).await;
}

/// Handles a decision. One that arrives too late is refunded, because the request has consumed
/// units of the local share in the meantime or was refused.
pub(super) fn handle_decision(
    node: &Node,
    query_id: u32,
    account: &str,
    units: u64,
    decision: Decision,
) {
    let is_taken = node.pending_decisions.deliver(query_id, decision);
    if !is_taken && decision == Decision::Admitted {
        node.with(|state| state.quotas.refund(account, units));
    }
}
