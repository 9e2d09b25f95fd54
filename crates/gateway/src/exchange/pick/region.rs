//! Picks a server within one region.

use keeljunction_core::Millis;
use keeljunction_core::serving::choice::{Candidate, Choice, Criteria, choose, shortlist};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::rollout::VersionFilter;
use keeljunction_core::serving::spill::{Cause, Offer, get_region};
use keeljunction_core::serving::throughput::Throughput;

use super::Attempts;
use crate::exchange::admission::Exchange;
use crate::node::state::State;
use crate::node::{Node, query_loads, rollouts};

/// The best server of a region, and the region's offer.
pub(super) struct RegionPick {
    /// What the servers of the region offer.
    pub offer: Offer,
    /// The best server.
    pub server: Option<Server>,
}

impl RegionPick {
    /// The result if there is no server.
    pub const NONE: Self = Self { offer: Offer::None, server: None };
}

/// The servers of one region that a choice considers, and the criteria of the choice.
#[derive(Clone, Copy)]
pub(super) struct RegionScope<'a> {
    /// The region and the reason for leaving to it, or `None` for the node's own region.
    pub remote: Option<(&'a str, Cause)>,
    /// Criteria of the choice. The latency objective excludes the time to reach the region.
    pub criteria: Criteria,
    /// Whether loads are queried from the nodes that track them before the choice.
    pub is_load_requested: bool,
    /// Whether only servers of the picked version are considered.
    pub is_version_fixed: bool,
}

impl RegionScope<'_> {
    /// Returns `true` if the server is in the region.
    fn contains(&self, node: &Node, server: &Server) -> bool {
        match self.remote {
            Some((region, _)) => get_region(&node.topology, &server.data_centre) == region,
            None => !node.is_cross_region(&server.data_centre),
        }
    }
}

/// Returns the criteria of the choice, with the measured throughput of the service's servers.
pub(in crate::exchange) fn get_criteria(state: &State, exchange: &Exchange) -> Criteria {
    let throughput = state.throughputs.get(&exchange.service);
    let prefill_rate = throughput.and_then(Throughput::get_prefill_rate);
    Criteria { prefill_rate, ..exchange.criteria }
}

/// Picks a server of the versions that the request may go to. A request that may go to a canary
/// goes to another version if the canaries have no capacity.
pub(super) async fn pick_in_region(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
    version_filter: VersionFilter,
    scope: &RegionScope<'_>,
) -> RegionPick {
    let filter = ServerFilter::new(node, exchange, attempts, version_filter);
    let found = pick_filtered(node, exchange, &filter, scope).await;
    if scope.is_version_fixed {
        return found;
    }
    let is_canary = matches!(version_filter, VersionFilter::Canary | VersionFilter::Target);
    let is_exhausted = match found.offer {
        Offer::None => true,
        Offer::Busy(_) => is_canary,
        _ => false,
    };
    if !is_exhausted {
        return found;
    }
    for other in rollouts::list_fallbacks(node, &exchange.service, version_filter) {
        let filter = ServerFilter::new(node, exchange, attempts, other);
        let second = pick_filtered(node, exchange, &filter, scope).await;
        // Keep the first result if its servers are busy: they are worth a later retry.
        if second.offer != Offer::None {
            return second;
        }
    }
    found
}

/// Selects the servers that a request may go to.
struct ServerFilter<'a> {
    version_filter: VersionFilter,
    /// The only allowed servers if the filter is [`VersionFilter::Canary`].
    canaries: Vec<String>,
    exchange: &'a Exchange,
    attempts: Attempts<'a>,
    now: Millis,
}

impl<'a> ServerFilter<'a> {
    fn new(
        node: &Node,
        exchange: &'a Exchange,
        attempts: Attempts<'a>,
        version_filter: VersionFilter,
    ) -> Self {
        let canaries = match version_filter {
            VersionFilter::Canary => rollouts::list_canaries(node, &exchange.service),
            _ => Vec::new(),
        };
        Self { version_filter, canaries, exchange, attempts, now: node.now() }
    }

    fn is_allowed(&self, state: &State, server: &Server) -> bool {
        let is_chosen =
            self.version_filter != VersionFilter::Canary || self.canaries.contains(&server.id);
        let passes_version_filter = state.rollouts.is_allowed(self.version_filter, server);
        let is_tried = self.attempts.tried.contains(&server.id);
        let is_pin_met = self.exchange.is_pin_met(server);
        is_chosen
            && passes_version_filter
            && is_pin_met
            && !is_tried
            && !self.is_unavailable(state, server)
    }

    /// Returns `true` if the server is throttled, or is skipped because it requires a permit.
    fn is_unavailable(&self, state: &State, server: &Server) -> bool {
        let is_limited = || state.backpressure.requires_permit(self.now, server);
        state.is_throttled(self.now, server) || (self.attempts.skips_limited && is_limited())
    }
}

/// Picks a server of a region that passes the filter.
///
/// If nodes report loads in groups, this node first queries the loads of a few servers, and of more
/// servers if none of these can serve the request in time. Loads of remote servers are queried only
/// once, as each query costs the request a round trip.
async fn pick_filtered(
    node: &Node,
    exchange: &Exchange,
    filter: &ServerFilter<'_>,
    scope: &RegionScope<'_>,
) -> RegionPick {
    let is_allowed = |state: &State, server: &Server| {
        filter.is_allowed(state, server) && scope.contains(node, server)
    };
    let ramp_draw = filter.attempts.ramp_draw;
    if !scope.is_load_requested {
        return pick_from_all(node, exchange, &scope.criteria, ramp_draw, is_allowed);
    }
    let mut found = RegionPick::NONE;
    for is_wide in [false, true] {
        let listed = list_candidates(node, exchange, is_wide, ramp_draw, is_allowed);
        let is_answered = query_loads(node, &listed).await;
        if let Some((region, cause)) = scope.remote {
            node.with(|state| state.link_budgets.record_response(node.now(), region, is_answered));
            if !is_answered && cause == Cause::Full {
                return RegionPick::NONE;
            }
        }
        found = pick_from_list(node, exchange, &scope.criteria, ramp_draw, &listed);
        if scope.remote.is_some() || !needs_wider_query(node, found.offer) {
            break;
        }
    }
    found
}

/// Returns `true` if it is worth querying the loads of more servers. A full server is the last
/// choice of a region; if there are other regions, the request would leave for one of them.
fn needs_wider_query(node: &Node, offer: Offer) -> bool {
    match offer {
        Offer::Busy(_) => true,
        Offer::Full => node.topology.is_multi_region(),
        Offer::Free | Offer::Ejected | Offer::None => false,
    }
}

/// Draws the servers whose loads are queried, from those that are not ejected if there are any.
fn list_candidates(
    node: &Node,
    exchange: &Exchange,
    is_wide: bool,
    ramp_draw: f64,
    is_allowed: impl Fn(&State, &Server) -> bool,
) -> Vec<String> {
    let now = node.now();
    node.with(|state| {
        let ready = || state.directory.iter_ready(&exchange.service);
        let is_untried = |server: &Server| is_allowed(state, server);
        let is_preferred = |server: &Server| {
            is_untried(server) && !is_last_resort(state, exchange, ramp_draw, now, server)
        };
        let draw = fastrand::u64(..);
        let mut listed = shortlist(ready(), &exchange.criteria, draw, is_wide, is_preferred);
        if listed.is_empty() {
            listed = shortlist(ready(), &exchange.criteria, draw, is_wide, is_untried);
        }
        listed.into_iter().map(|server| server.id.clone()).collect()
    })
}

/// Picks a server from all candidates, using the loads known to this node.
fn pick_from_all(
    node: &Node,
    exchange: &Exchange,
    criteria: &Criteria,
    ramp_draw: f64,
    is_candidate: impl Fn(&State, &Server) -> bool,
) -> RegionPick {
    node.with(|state| {
        let ready = state.directory.iter_ready(&exchange.service);
        let servers = ready.filter(|server| is_candidate(state, server));
        pick_one(node, state, exchange, criteria, ramp_draw, servers)
    })
}

/// Picks a server from the list, skipping those that no longer accept work.
fn pick_from_list(
    node: &Node,
    exchange: &Exchange,
    criteria: &Criteria,
    ramp_draw: f64,
    listed: &[String],
) -> RegionPick {
    node.with(|state| {
        let now = node.now();
        let servers = listed.iter().filter_map(|id| state.directory.get_ready(id));
        // A server may have entered backoff, or been replaced by one of another software version under
        // its ID, while the loads were queried.
        let servers = servers
            .filter(|server| !state.is_throttled(now, server) && exchange.is_pin_met(server));
        pick_one(node, state, exchange, criteria, ramp_draw, servers)
    })
}

fn pick_one<'a>(
    node: &Node,
    state: &State,
    exchange: &Exchange,
    criteria: &Criteria,
    ramp_draw: f64,
    servers: impl Iterator<Item = &'a Server>,
) -> RegionPick {
    let now = node.now();
    let throughput = state.throughputs.get(&exchange.service);
    let candidates: Vec<Candidate<'_>> = servers
        .map(|server| Candidate {
            is_ejected: is_last_resort(state, exchange, ramp_draw, now, server),
            ..make_candidate(state, throughput, now, server)
        })
        .collect();
    let choice = choose(&candidates, criteria, fastrand::u64(..));
    let offer = Offer::of(&choice, &candidates);
    let server = match choice {
        Choice::Server(server) => Some(server.clone()),
        Choice::Busy(_) | Choice::None => None,
    };
    RegionPick { offer, server }
}

/// Returns `true` if the server is used only as a last resort: it is ejected, ramping up after an
/// ejection, or holds as many bytes as it may.
fn is_last_resort(
    state: &State,
    exchange: &Exchange,
    ramp_draw: f64,
    now: Millis,
    server: &Server,
) -> bool {
    let (id, service) = (&server.id, &server.service);
    state.health.is_ejected(now, id)
        || state.health.is_ramping(now, id, ramp_draw)
        || state.in_flight_bytes.is_full(now, service, id, exchange.body_bytes as u64)
}

/// Returns a server as a candidate, with its known load and speed.
pub(in crate::exchange) fn make_candidate<'a>(
    state: &State,
    throughput: Option<&Throughput>,
    now: Millis,
    server: &'a Server,
) -> Candidate<'a> {
    Candidate {
        server,
        load: state.loads.total(&server.id),
        is_ejected: state.health.is_ejected(now, &server.id),
        slowness: throughput
            .map_or(1.0, |throughput| throughput.get_slowness(short_id(&server.id))),
    }
}
