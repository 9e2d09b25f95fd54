//! Asks the owner of a client account whether a request is within its limit.
//!
//! Each node decides by itself while much is left. Near the limit the account's owner decides for
//! all, which every node finds by itself among the aggregators: what a question costs depends on
//! the requests and not on the number of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::configuration::Account;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::quota::{Decision, Limit};

use super::message::Message;
use crate::node::Node;
use crate::node::state::State;

/// How long a decision is waited for: some times the way there and back within a region, and the
/// time for which a small VM lets a task wait. The local share is consumed then.
///
/// From another region it is waited for as long as the way there and back is measured to take.
const DECIDED_WITHIN: Millis = 40;

/// Consumes units of a client account for a request.
///
/// # Errors
///
/// Returns the milliseconds after which the request fits.
pub(crate) async fn consume(node: &Node, account: &Account, units: u64) -> Result<(), Millis> {
    let now = node.now();
    let name = &account.name;
    let limit = get_limit(account);
    let is_filled = node.with(|state| {
        let reach = state.members.get_reachability(now);
        state.quotas.consume_above_low_water(now, name, units, limit, reach)
    });
    if is_filled {
        return Ok(());
    }
    let decision = match node.with(|state| state.members.find_owner(short_id(name))) {
        Some(owner) => ask(node, owner, name, units).await,
        None => node.with(|state| decide(state, now, account, units)),
    };
    let now = node.now();
    node.with(|state| match decision {
        Decision::Undecided => {
            let reach = state.members.get_reachability(now);
            state.quotas.consume_local_share(now, name, units, limit, reach)
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

/// Asks the owner of a client account; undecided where it does not answer in time.
async fn ask(node: &Node, owner: SocketAddr, account: &str, units: u64) -> Decision {
    let question = node.pending_decisions.begin();
    let message =
        Message::AskQuota { question: question.number, account: account.to_owned(), units };
    node.link.send(node.now(), owner, &message).await;
    let decided = question.wait(get_wait(node, owner)).await;
    decided.unwrap_or_else(|| {
        node.metrics.unanswered_quota_questions.inc();
        Decision::Undecided
    })
}

/// Returns how long the decision of an owner is waited for.
fn get_wait(node: &Node, owner: SocketAddr) -> Duration {
    let region = node.link.get_far_region(owner);
    let wait = region
        .map(|region| node.with(|state| state.round_trips.get_timeout(&region, DECIDED_WITHIN)));
    Duration::from_millis(wait.unwrap_or(DECIDED_WITHIN))
}

/// Decides as the owner; undecided where this node is not the owner.
fn decide(state: &mut State, now: Millis, account: &Account, units: u64) -> Decision {
    if !state.members.is_owner(short_id(&account.name)) {
        return Decision::Undecided;
    }
    let reach = state.members.get_reachability(now);
    let limit = get_limit(account);
    match state.members.is_region_isolated() {
        true => state.quotas.decide_for_isolated_region(now, &account.name, units, limit, reach),
        false => state.quotas.decide(now, &account.name, units, limit, reach),
    }
}

/// Answers another node.
pub(super) async fn answer(
    node: &Node,
    from: SocketAddr,
    question: u32,
    account: String,
    units: u64,
) {
    let now = node.now();
    let decision = node.with(|state| {
        let configuration = state.configuration.clone();
        let known = configuration.as_ref().and_then(|known| known.get_account(&account));
        known.map_or(Decision::Undecided, |known| decide(state, now, known, units))
    });
    let message = Message::Quota { question, account, units, decision };
    node.link.send(now, from, &message).await;
}

/// Takes a decision. One that comes too late is refunded: the request has consumed units of the
/// local share meanwhile, or was refused.
pub(super) fn take(node: &Node, question: u32, account: &str, units: u64, decision: Decision) {
    let is_taken = node.pending_decisions.answer(question, decision);
    if !is_taken && decision == Decision::Admitted {
        node.with(|state| state.quotas.refund(account, units));
    }
}
