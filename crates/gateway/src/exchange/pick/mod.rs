//! Picks the server for an attempt: in the node's own region if possible, and in another region if
//! the own one is full or has no server (see [`keeljunction_core::serving::spill`]).
//!
//! | module | purpose |
//! |---|---|
//! | `region` | picks a server within one region |
//! | `remote` | picks a server in another region |
//! | `permitted` | picks a server that accepts requests, according to its rate limit and backoff |
//!
//! The versions that the request may go to are tried within each region, so a rollout that has
//! started in one region draws no requests from other regions.

mod permitted;
mod region;
mod remote;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::VersionFilter;
use keeljunction_core::serving::spill::{Cause, Offer};

use super::admission::Exchange;
use super::rejection::Rejection;
use crate::node::{Node, Permit, rollouts};
use region::{RegionPick, RegionScope, pick_in_region};
use remote::RemotePick;

pub(super) use permitted::{get_retry_after, pick_permitted};
pub(super) use region::{get_criteria, make_candidate};

/// `Retry-After` in milliseconds if no server accepts work: about the time that a server list takes
/// to reach all nodes.
const NO_SERVER_RETRY_AFTER_MS: Millis = 700;

/// State of the attempts so far.
#[derive(Clone, Copy)]
pub(super) struct Attempts<'a> {
    /// Servers that were tried.
    pub tried: &'a [String],
    /// Time since which the caller has been waiting.
    pub waiting_since: Millis,
    /// Random number from 0 to 1 that decides whether servers ramping up after an ejection get the
    /// request. All steps of a choice share it, so that loads are queried only of servers that may
    /// be chosen.
    pub ramp_draw: f64,
    /// Whether servers that require permits are skipped.
    pub skips_limited: bool,
}

/// The server picked for an attempt.
pub(super) struct Pick {
    /// The server.
    pub server: Server,
    /// Reason for sending the request to another region, if it leaves its region.
    pub spill: Option<Cause>,
    /// Permit to send the request to the server.
    pub permit: Permit,
}

impl Pick {
    /// Creates a pick whose permit has not been acquired yet.
    fn new(server: Server, spill: Option<Cause>) -> Self {
        Self { server, spill, permit: Permit::Unlimited }
    }
}

/// Picks the server for the next attempt, or returns why there is none.
async fn pick(node: &Node, exchange: &Exchange, attempts: Attempts<'_>) -> Result<Pick, Rejection> {
    let Some(version_filter) = pick_version_filter(node, exchange, attempts) else {
        return into_result(RegionPick::NONE);
    };
    let (is_load_requested, criteria) =
        node.with(|state| (state.members.is_grouped(), get_criteria(state, exchange)));
    let local_scope =
        RegionScope { remote: None, criteria, is_load_requested, is_version_fixed: false };
    if is_version_elsewhere(node, exchange, version_filter) {
        let local_scope = RegionScope { is_version_fixed: true, ..local_scope };
        let cause = Cause::NoServer;
        let remote_pick =
            RemotePick { node, exchange, attempts, version_filter, cause, local_scope };
        if let Ok(pick) = remote_pick.run(RegionPick::NONE).await {
            return Ok(pick);
        }
    }
    let found = pick_in_region(node, exchange, attempts, version_filter, &local_scope).await;
    match found.offer.get_cause() {
        Some(cause) if node.topology.is_multi_region() => {
            let remote_pick =
                RemotePick { node, exchange, attempts, version_filter, cause, local_scope };
            remote_pick.run(found).await
        }
        _ => into_result(found),
    }
}

/// Picks the side of a rollout whose servers may receive the request, or returns `None` if the
/// software version that the request is pinned to gets no requests now.
fn pick_version_filter(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
) -> Option<VersionFilter> {
    let service = &exchange.service;
    match exchange.pin.get() {
        Some(pin) => rollouts::pick_resume_filter(node, service, pin.get_version()?),
        None => Some(rollouts::pick_filter(node, service, attempts.tried.is_empty())),
    }
}

/// Returns `true` if an accepted version of the service has servers only in other regions.
///
/// The servers of other versions stop without a drain as soon as the rollout is completed. A
/// region that used them until then would lose the requests sent before it learns of that.
fn is_version_elsewhere(node: &Node, exchange: &Exchange, version_filter: VersionFilter) -> bool {
    if !node.topology.is_multi_region()
        || !matches!(version_filter, VersionFilter::Target | VersionFilter::PreferTarget)
    {
        return false;
    }
    let now = node.now();
    node.with(|state| {
        let ready = state.directory.iter_ready(&exchange.service);
        let mut of_version =
            ready.filter(|server| state.rollouts.is_allowed(version_filter, server));
        let is_local = |server: &Server| !node.is_cross_region(&server.data_centre);
        state.rollouts.is_accepted(now, &exchange.service) && !of_version.any(is_local)
    })
}

/// Returns the result of a choice within the node's own region.
fn into_result(found: RegionPick) -> Result<Pick, Rejection> {
    match (found.server, found.offer) {
        (Some(server), _) => Ok(Pick::new(server, None)),
        (None, Offer::Busy(retry_after)) => Err(Rejection { reason: Refusal::Busy, retry_after }),
        (None, _) => {
            Err(Rejection { reason: Refusal::NoServer, retry_after: NO_SERVER_RETRY_AFTER_MS })
        }
    }
}
