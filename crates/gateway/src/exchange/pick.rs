//! Picks the server of an attempt: in the node's own region first, and in another one where the own
//! one is full or has none (see [`keeljunction_core::serving::spill`]).
//!
//! The versions that the request may go to are tried within each region: a roll-out that has begun
//! in one region draws no requests of another one there.

use keeljunction_core::Millis;
use keeljunction_core::serving::choice::{Candidate, Choice, Criteria, choose, shortlist};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::Side;
use keeljunction_core::serving::spill::{Cause, Offer, Settled, Way, get_region, list_far, settle};
use keeljunction_core::serving::throughput::Throughput;

use super::admission::Exchange;
use super::rejection::Rejection;
use crate::metrics::RegionLabels;
use crate::node::state::State;
use crate::node::{Node, ask_loads, rollouts};

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
}

/// A server for an attempt.
pub(super) struct Pick {
    /// The server.
    pub server: Server,
    /// Why the request leaves its region, where it does.
    pub spill: Option<Cause>,
}

/// What the servers of one region offer, with the best of them.
struct Found {
    offer: Offer,
    server: Option<Server>,
}

impl Found {
    const NOTHING: Self = Self { offer: Offer::None, server: None };
}

/// The servers of one region that a choice considers, and how.
#[derive(Clone, Copy)]
struct Place<'a> {
    /// The region and why the request leaves for it; `None` for the node's own one.
    far: Option<(&'a str, Cause)>,
    criteria: Criteria,
    /// Whether loads are requested from the nodes that keep them before the choice.
    is_load_requested: bool,
    /// Whether only servers of the version that was picked are considered.
    is_version_fixed: bool,
}

impl Place<'_> {
    /// Returns `true` if a server stands in the region.
    fn holds(&self, node: &Node, server: &Server) -> bool {
        match self.far {
            Some((region, _)) => get_region(&node.topology, &server.data_centre) == region,
            None => !node.is_crossing(&server.data_centre),
        }
    }
}

/// Picks the server of the next attempt, or says why there is none.
pub(super) async fn pick(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
) -> Result<Pick, Rejection> {
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
fn is_version_elsewhere(node: &Node, exchange: &Exchange, side: Side) -> bool {
    if !node.topology.is_multi_region() || !matches!(side, Side::Target | Side::TargetFirst) {
        return false;
    }
    let now = node.now();
    node.with(|state| {
        let ready = state.directory.iter_ready(&exchange.service);
        let mut of_version = ready.filter(|server| state.rollouts.is_allowed(side, server));
        let is_near = |server: &Server| !node.is_crossing(&server.data_centre);
        state.rollouts.is_accepted(now, &exchange.service) && !of_version.any(is_near)
    })
}

/// Returns the result of a choice that stays in the node's own region.
fn conclude(found: Found) -> Result<Pick, Rejection> {
    match (found.server, found.offer) {
        (Some(server), _) => Ok(Pick { server, spill: None }),
        (None, Offer::Busy(retry_after)) => Err(Rejection { reason: Refusal::Busy, retry_after }),
        (None, _) => Err(Rejection { reason: Refusal::NoServer, retry_after: SERVER_RETRY_AFTER }),
    }
}

/// The choice among other regions.
struct Crossing<'a> {
    node: &'a Node,
    exchange: &'a Exchange,
    attempts: Attempts<'a>,
    side: Side,
    cause: Cause,
    near: Place<'a>,
}

/// Whether a request may go to another region.
enum Gate {
    Open(Way),
    Closed,
    /// The link's budget is used up; the time until it recovers, in milliseconds.
    LinkFull(Millis),
}

impl Crossing<'_> {
    /// Tries the other regions, the nearest first.
    async fn run(self, found: Found) -> Result<Pick, Rejection> {
        let node = self.node;
        let regions = node.with(|state| {
            list_far(&node.topology, |region| state.distances.get_round_trip(region))
        });
        let mut offer = found.offer;
        let mut link_wait: Option<Millis> = None;
        for region in regions {
            let way = match self.check(region) {
                Gate::Open(way) => way,
                Gate::Closed => continue,
                Gate::LinkFull(wait) => {
                    link_wait = Some(link_wait.map_or(wait, |known| known.min(wait)));
                    continue;
                }
            };
            let far = self.pick_far(region, &way).await;
            match (settle(offer, far.offer), far.server) {
                (Settled::Far, Some(server)) => {
                    return Ok(Pick { server, spill: Some(self.cause) });
                }
                (Settled::Busy(wait), _) => offer = Offer::Busy(wait),
                _ => {}
            }
        }
        match link_wait {
            Some(wait) if found.server.is_none() => {
                let retry_after = match offer {
                    Offer::Busy(busy) => busy.min(wait),
                    _ => wait,
                };
                Err(Rejection { reason: Refusal::LinkFull, retry_after })
            }
            _ => conclude(Found { offer, ..found }),
        }
    }

    /// Picks a server of another region, within what the way there leaves of the objective.
    async fn pick_far(&self, region: &str, way: &Way) -> Found {
        let place = Place {
            far: Some((region, self.cause)),
            criteria: way.shorten(&self.near.criteria),
            is_load_requested: way.is_load_requested,
            is_version_fixed: self.near.is_version_fixed,
        };
        pick_in(self.node, self.exchange, self.attempts, self.side, &place).await
    }

    /// Checks whether another region has a server, may answer in time, and is within the budget.
    fn check(&self, region: &str) -> Gate {
        let node = self.node;
        let now = node.now();
        let gate = node.with(|state| {
            let mut ready = state.directory.iter_ready(&self.exchange.service);
            let is_there = |server: &Server| {
                let is_tried = self.attempts.tried.contains(&server.id);
                !is_tried && get_region(&node.topology, &server.data_centre) == region
            };
            if !ready.any(is_there) {
                return Gate::Closed;
            }
            let is_silent = state.links.is_silent(now, region);
            let way = Way {
                waited: now - self.attempts.began,
                left: self.exchange.get_left(now),
                round_trip: state.distances.get_round_trip(region),
                transfer: state.links.get_transfer(self.exchange.body_bytes),
                is_load_requested: self.near.is_load_requested && !is_silent,
            };
            let is_lost = is_silent && self.cause == Cause::Full;
            if is_lost || !way.is_borne(&self.near.criteria, self.cause) {
                return Gate::Closed;
            }
            let nodes = state.members.count_own_region();
            match state.links.check(now, region, nodes) {
                Ok(()) => Gate::Open(way),
                Err(wait) => Gate::LinkFull(wait),
            }
        });
        if matches!(gate, Gate::LinkFull(_)) {
            let labels = RegionLabels::of(region);
            node.metrics.link_full.get_or_create(&labels).inc();
        }
        gate
    }
}

/// Returns what the choice depends on, with what is known of the service's servers.
pub(super) fn get_criteria(state: &State, exchange: &Exchange) -> Criteria {
    let throughput = state.throughputs.get(&exchange.service);
    let prefill_rate = throughput.and_then(Throughput::get_prefill_rate);
    Criteria { prefill_rate, ..exchange.criteria }
}

/// Picks a server of the versions that the request may go to. One that may go to a version on
/// trial goes to another where that has no room.
async fn pick_in(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
    side: Side,
    place: &Place<'_>,
) -> Found {
    let allowed = Allowed::new(node, exchange, attempts, side);
    let found = pick_allowed(node, exchange, &allowed, place).await;
    if place.is_version_fixed {
        return found;
    }
    let other = match (side, found.offer) {
        (Side::Canary | Side::Target, Offer::Busy(_) | Offer::None) => Side::Rest,
        (Side::TargetFirst, Offer::None) => Side::Rest,
        (Side::RestFirst, Offer::None) => Side::Target,
        _ => return found,
    };
    let allowed = Allowed::new(node, exchange, attempts, other);
    let second = pick_allowed(node, exchange, &allowed, place).await;
    // Servers of the first choice that are busy are worth a later try.
    if second.offer == Offer::None { found } else { second }
}

/// Which servers a request may go to.
struct Allowed<'a> {
    side: Side,
    /// The only ones, where the side is [`Side::Canary`].
    canaries: Vec<String>,
    attempts: Attempts<'a>,
}

impl<'a> Allowed<'a> {
    fn new(node: &Node, exchange: &Exchange, attempts: Attempts<'a>, side: Side) -> Self {
        let canaries = match side {
            Side::Canary => rollouts::list_canaries(node, &exchange.service),
            _ => Vec::new(),
        };
        Self { side, canaries, attempts }
    }

    fn is_allowed(&self, state: &State, server: &Server) -> bool {
        let is_chosen = self.side != Side::Canary || self.canaries.contains(&server.id);
        let is_of_side = state.rollouts.is_allowed(self.side, server);
        is_chosen && is_of_side && !self.attempts.tried.contains(&server.id)
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
        let is_answered = ask_loads(node, &listed).await;
        if let Some((region, cause)) = place.far {
            node.with(|state| state.links.note_answer(node.now(), region, is_answered));
            if !is_answered && cause == Cause::Full {
                return Found::NOTHING;
            }
        }
        found = pick_among(node, exchange, &place.criteria, ramp_draw, |_, server| {
            listed.contains(&server.id)
        });
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
        let untried = || {
            let ready = state.directory.iter_ready(&exchange.service);
            ready.filter(|server| is_allowed(state, server))
        };
        let sound = untried().filter(|server| !is_avoided(state, exchange, ramp_draw, now, server));
        let draw = fastrand::u64(..);
        let mut listed = shortlist(sound, &exchange.criteria, draw, is_wide);
        if listed.is_empty() {
            listed = shortlist(untried(), &exchange.criteria, draw, is_wide);
        }
        listed.into_iter().map(|server| server.id.clone()).collect()
    })
}

/// Picks one of some servers by what this node knows of their loads.
fn pick_among(
    node: &Node,
    exchange: &Exchange,
    criteria: &Criteria,
    ramp_draw: f64,
    is_candidate: impl Fn(&State, &Server) -> bool,
) -> Found {
    let now = node.now();
    node.with(|state| {
        let throughput = state.throughputs.get(&exchange.service);
        let ready = state.directory.iter_ready(&exchange.service);
        let candidates: Vec<Candidate<'_>> = ready
            .filter(|server| is_candidate(state, server))
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
    })
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
        || state.held.is_full(now, service, id, exchange.body_bytes as u64)
}

/// Returns what the node knows of a server.
pub(super) fn weigh<'a>(
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
