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

/// What the servers of one region offer, with the best of them.
pub(super) struct Found {
    /// What they offer.
    pub offer: Offer,
    /// The best one.
    pub server: Option<Server>,
}

impl Found {
    /// There is no server.
    pub const NOTHING: Self = Self { offer: Offer::None, server: None };
}

/// The servers of one region that a choice considers, and how.
#[derive(Clone, Copy)]
pub(super) struct Place<'a> {
    /// The region and why the request leaves for it; `None` for the node's own one.
    pub far: Option<(&'a str, Cause)>,
    /// What bears on the choice, with the objective that the way there leaves.
    pub criteria: Criteria,
    /// Whether loads are requested from the nodes that keep them before the choice.
    pub is_load_requested: bool,
    /// Whether only servers of the version that was picked are considered.
    pub is_version_fixed: bool,
}

impl Place<'_> {
    /// Returns `true` if a server stands in the region.
    fn holds(&self, node: &Node, server: &Server) -> bool {
        match self.far {
            Some((region, _)) => get_region(&node.topology, &server.data_centre) == region,
            None => !node.is_cross_region(&server.data_centre),
        }
    }
}

/// Returns what the choice depends on, with what is known of the service's servers.
pub(in crate::exchange) fn get_criteria(state: &State, exchange: &Exchange) -> Criteria {
    let throughput = state.throughputs.get(&exchange.service);
    let prefill_rate = throughput.and_then(Throughput::get_prefill_rate);
    Criteria { prefill_rate, ..exchange.criteria }
}

/// Picks a server of the versions that the request may go to. One that may go to a version on
/// trial goes to another where that has no room.
pub(super) async fn pick_in(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
    side: VersionFilter,
    place: &Place<'_>,
) -> Found {
    let allowed = Allowed::new(node, exchange, attempts, side);
    let found = pick_allowed(node, exchange, &allowed, place).await;
    if place.is_version_fixed {
        return found;
    }
    let other = match (side, found.offer) {
        (VersionFilter::Canary | VersionFilter::Target, Offer::Busy(_) | Offer::None) => {
            VersionFilter::Others
        }
        (VersionFilter::PreferTarget, Offer::None) => VersionFilter::Others,
        (VersionFilter::PreferOthers, Offer::None) => VersionFilter::Target,
        _ => return found,
    };
    let allowed = Allowed::new(node, exchange, attempts, other);
    let second = pick_allowed(node, exchange, &allowed, place).await;
    // Servers of the first choice that are busy are worth a later try.
    if second.offer == Offer::None { found } else { second }
}

/// Which servers a request may go to.
struct Allowed<'a> {
    side: VersionFilter,
    /// The only ones, where the side is [`VersionFilter::Canary`].
    canaries: Vec<String>,
    attempts: Attempts<'a>,
    now: Millis,
}

impl<'a> Allowed<'a> {
    fn new(node: &Node, exchange: &Exchange, attempts: Attempts<'a>, side: VersionFilter) -> Self {
        let canaries = match side {
            VersionFilter::Canary => rollouts::list_canaries(node, &exchange.service),
            _ => Vec::new(),
        };
        Self { side, canaries, attempts, now: node.now() }
    }

    fn is_allowed(&self, state: &State, server: &Server) -> bool {
        let is_chosen = self.side != VersionFilter::Canary || self.canaries.contains(&server.id);
        let is_of_side = state.rollouts.is_allowed(self.side, server);
        let is_tried = self.attempts.tried.contains(&server.id);
        is_chosen && is_of_side && !is_tried && !self.is_barred(state, server)
    }

    /// Returns `true` if a server takes no request now, or is left out because of its limit.
    fn is_barred(&self, state: &State, server: &Server) -> bool {
        let is_limited = || state.backpressure.get_limit(self.now, server).is_some();
        state.is_in_backoff(self.now, server) || (self.attempts.skips_limited && is_limited())
    }
}

/// Picks one of the servers of a region that are allowed.
///
/// Where nodes report in groups, this node asks for the loads of a few servers first, and of more
/// where none of these can serve in time. Loads of far servers are requested once only: each time costs
/// the request a round trip.
async fn pick_allowed(
    node: &Node,
    exchange: &Exchange,
    allowed: &Allowed<'_>,
    place: &Place<'_>,
) -> Found {
    let is_allowed = |state: &State, server: &Server| {
        allowed.is_allowed(state, server) && place.holds(node, server)
    };
    let ramp_draw = allowed.attempts.ramp_draw;
    if !place.is_load_requested {
        return pick_among(node, exchange, &place.criteria, ramp_draw, is_allowed);
    }
    let mut found = Found::NOTHING;
    for is_wide in [false, true] {
        let listed = list_candidates(node, exchange, is_wide, ramp_draw, is_allowed);
        let is_answered = query_loads(node, &listed).await;
        if let Some((region, cause)) = place.far {
            node.with(|state| state.region_links.record_reply(node.now(), region, is_answered));
            if !is_answered && cause == Cause::Full {
                return Found::NOTHING;
            }
        }
        found = pick_listed(node, exchange, &place.criteria, ramp_draw, &listed);
        if place.far.is_some() || !is_worth_more(node, found.offer) {
            break;
        }
    }
    found
}

/// Returns `true` if the loads of more servers are worth a request. A full server is the last choice
/// of a region; where there is another one, the request would leave for it.
fn is_worth_more(node: &Node, offer: Offer) -> bool {
    match offer {
        Offer::Busy(_) => true,
        Offer::Full => node.topology.is_multi_region(),
        Offer::Free | Offer::Ejected | Offer::None => false,
    }
}

/// Draws the servers whose loads are requested: of those that are not ejected, where there are any.
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
        let is_sound = |server: &Server| {
            is_untried(server) && !is_avoided(state, exchange, ramp_draw, now, server)
        };
        let draw = fastrand::u64(..);
        let mut listed = shortlist(ready(), &exchange.criteria, draw, is_wide, is_sound);
        if listed.is_empty() {
            listed = shortlist(ready(), &exchange.criteria, draw, is_wide, is_untried);
        }
        listed.into_iter().map(|server| server.id.clone()).collect()
    })
}

/// Picks one of all servers that are candidates, by what this node knows of their loads.
fn pick_among(
    node: &Node,
    exchange: &Exchange,
    criteria: &Criteria,
    ramp_draw: f64,
    is_candidate: impl Fn(&State, &Server) -> bool,
) -> Found {
    node.with(|state| {
        let ready = state.directory.iter_ready(&exchange.service);
        let servers = ready.filter(|server| is_candidate(state, server));
        pick_one(node, state, exchange, criteria, ramp_draw, servers)
    })
}

/// Picks one of the listed servers that still take work.
fn pick_listed(
    node: &Node,
    exchange: &Exchange,
    criteria: &Criteria,
    ramp_draw: f64,
    listed: &[String],
) -> Found {
    node.with(|state| {
        let now = node.now();
        let servers = listed.iter().filter_map(|id| state.directory.get_ready(id));
        // A server may have said something while the loads were waited for.
        let servers = servers.filter(|server| !state.is_in_backoff(now, server));
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
) -> Found {
    let now = node.now();
    let throughput = state.throughputs.get(&exchange.service);
    let candidates: Vec<Candidate<'_>> = servers
        .map(|server| Candidate {
            is_ejected: is_avoided(state, exchange, ramp_draw, now, server),
            ..weigh(state, throughput, now, server)
        })
        .collect();
    let choice = choose(&candidates, criteria, fastrand::u64(..));
    let offer = Offer::of(&choice, &candidates);
    let server = match choice {
        Choice::Server(server) => Some(server.clone()),
        Choice::Busy(_) | Choice::None => None,
    };
    Found { offer, server }
}

/// Returns `true` if a server gets the request only where no other is left: it is ejected, gets its
/// work back gradually, or holds as many bytes as it may.
fn is_avoided(
    state: &State,
    exchange: &Exchange,
    ramp_draw: f64,
    now: Millis,
    server: &Server,
) -> bool {
    let (id, service) = (&server.id, &server.service);
    state.health.is_ejected(now, id)
        || state.health.is_ramping(now, id, ramp_draw)
        || state.server_held_bytes.is_full(now, service, id, exchange.body_bytes as u64)
}

/// Returns what the node knows of a server.
pub(in crate::exchange) fn weigh<'a>(
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
