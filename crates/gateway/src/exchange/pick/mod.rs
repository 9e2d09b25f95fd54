//! Picks the server of an attempt: in the node's own region first, and in another one where the own
//! one is full or has none (see [`keeljunction_core::serving::spill`]).
//!
//! | module | does |
//! |---|---|
//! | `region` | picks a server within one region |
//! | `crossing` | picks a server of another region |
//! | `permitted` | picks a server that takes the request, by what servers say in their answers |
//!
//! The versions that the request may go to are tried within each region: a roll-out that has begun
//! in one region draws no requests of another one there.

mod crossing;
mod permitted;
mod region;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::VersionFilter;
use keeljunction_core::serving::spill::{Cause, Offer};

use super::admission::Exchange;
use super::rejection::Rejection;
use crate::node::{Node, Permit, rollouts};
use crossing::Crossing;
use region::{Found, Place, pick_in};

pub(super) use permitted::{get_retry_after, pick_permitted};
pub(super) use region::{get_criteria, weigh};

/// `Retry-After` where no server takes work, in milliseconds: about what a list of servers takes to
/// reach all nodes.
const SERVER_RETRY_AFTER: Millis = 700;

/// What is known of the attempts so far.
#[derive(Clone, Copy)]
pub(super) struct Attempts<'a> {
    /// Servers that were tried.
    pub tried: &'a [String],
    /// Since when the caller waits.
    pub began: Millis,
    /// Random, from 0 to 1: decides whether the request goes to servers that get their work back
    /// gradually. All steps of a choice share one draw, so that the servers whose loads are requested
    /// are those that may be chosen.
    pub ramp_draw: f64,
    /// Whether servers are left out that take requests with permits only.
    pub skips_limited: bool,
}

/// A server for an attempt.
pub(super) struct Pick {
    /// The server.
    pub server: Server,
    /// Why the request leaves its region, where it does.
    pub spill: Option<Cause>,
    /// The permit to send the request there.
    pub permit: Permit,
}

impl Pick {
    /// Makes the pick of a server whose permit is not taken yet.
    fn new(server: Server, spill: Option<Cause>) -> Self {
        Self { server, spill, permit: Permit::Unlimited }
    }
}

/// Picks the server of the next attempt, or says why there is none.
async fn pick(node: &Node, exchange: &Exchange, attempts: Attempts<'_>) -> Result<Pick, Rejection> {
    let side = rollouts::pick_side(node, &exchange.service, attempts.tried.is_empty());
    let (is_load_requested, criteria) =
        node.with(|state| (state.members.is_grouped(), get_criteria(state, exchange)));
    let near = Place { far: None, criteria, is_load_requested, is_version_fixed: false };
    if is_version_elsewhere(node, exchange, side) {
        let near = Place { is_version_fixed: true, ..near };
        let cause = Cause::NoServer;
        let crossing = Crossing { node, exchange, attempts, side, cause, near };
        if let Ok(pick) = crossing.run(Found::NOTHING).await {
            return Ok(pick);
        }
    }
    let found = pick_in(node, exchange, attempts, side, &near).await;
    match found.offer.get_cause() {
        Some(cause) if node.topology.is_multi_region() => {
            let crossing = Crossing { node, exchange, attempts, side, cause, near };
            crossing.run(found).await
        }
        _ => conclude(found),
    }
}

/// Returns `true` if an accepted version of the service has servers in other regions only.
///
/// The servers of other versions stop as soon as the roll-out is completed, without a drain. A region
/// that used them until then would lose the requests that it sends before it hears of that.
fn is_version_elsewhere(node: &Node, exchange: &Exchange, side: VersionFilter) -> bool {
    if !node.topology.is_multi_region()
        || !matches!(side, VersionFilter::Target | VersionFilter::PreferTarget)
    {
        return false;
    }
    let now = node.now();
    node.with(|state| {
        let ready = state.directory.iter_ready(&exchange.service);
        let mut of_version = ready.filter(|server| state.rollouts.is_allowed(side, server));
        let is_near = |server: &Server| !node.is_cross_region(&server.data_centre);
        state.rollouts.is_accepted(now, &exchange.service) && !of_version.any(is_near)
    })
}

/// Returns the result of a choice that stays in the node's own region.
fn conclude(found: Found) -> Result<Pick, Rejection> {
    match (found.server, found.offer) {
        (Some(server), _) => Ok(Pick::new(server, None)),
        (None, Offer::Busy(retry_after)) => Err(Rejection { reason: Refusal::Busy, retry_after }),
        (None, _) => Err(Rejection { reason: Refusal::NoServer, retry_after: SERVER_RETRY_AFTER }),
    }
}
