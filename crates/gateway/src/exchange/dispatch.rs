//! Chooses servers and sends the request until there is an answer.

use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::choice::{Candidate, Choice, Criteria, choose, shortlist};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::{Phase, Side};
use keeljunction_core::serving::throughput::Throughput;

use super::admission::Exchange;
use super::attempt::{self, Answer, Failed, Order};
use super::respond::{Record, Refused};
use crate::event::{self, Event};
use crate::metrics::ReasonLabels;
use crate::node::state::State;
use crate::node::{Node, ask_loads, report_begun, rollouts};

/// `Retry-After` where no server takes work, in milliseconds: about what a list of servers takes to
/// reach all nodes.
const SERVER_RETRY_AFTER: Millis = 700;
/// `Retry-After` where the server that was asked was full, in milliseconds.
const ROOM_RETRY_AFTER: Millis = 250;
/// Attempts at connecting, which send nothing and so count for no bound of the operator's.
const MOST_CONNECTS: u32 = 3;

/// Why there is no further attempt, and after how many milliseconds the caller should retry.
#[derive(Clone, Copy, Debug)]
struct Stop {
    reason: Refusal,
    retry_after: Millis,
}

/// How far the attempts at a request have come.
#[derive(Default)]
struct Progress {
    tried: Vec<String>,
    sent: u32,
    last: Option<Failed>,
    may_have_run: bool,
    /// Servers that ended the connection before they answered.
    ended: Vec<String>,
}

impl Progress {
    fn note(&mut self, failed: Failed) {
        if failed != Failed::NotConnected {
            self.sent += 1;
        }
        if failed == Failed::Ended {
            self.ended.extend(self.tried.last().cloned());
        }
        self.may_have_run |= failed.may_have_run();
        self.last = Some(failed);
    }

    /// Returns why the request ends here and when to retry, given both where nothing was tried.
    fn stop(&self, otherwise: Refusal, retry_after: Millis) -> Stop {
        Stop { reason: self.get_refusal(otherwise), retry_after }
    }

    fn get_refusal(&self, otherwise: Refusal) -> Refusal {
        match self.last {
            Some(Failed::Timeout) => Refusal::Timeout,
            _ if self.may_have_run => Refusal::BrokenAnswer,
            Some(_) => Refusal::NotAccepted,
            None => otherwise,
        }
    }
}

/// Sends the request to one server after another, as far as its route and the budget allow.
pub(super) async fn run(
    node: &Arc<Node>,
    exchange: &Arc<Exchange>,
    record: &mut Record,
) -> Result<Answer, Refused> {
    node.with(|state| state.budget.count_request(node.now(), &exchange.service));
    let mut progress = Progress::default();
    let mut spare: Option<Box<Answer>> = None;
    loop {
        let server = match next_attempt(node, exchange, &progress).await {
            Ok(server) => server,
            Err(stop) => return give_up(node, exchange, stop, spare),
        };
        let within = exchange.get_left(node.now());
        let order = Order { server: &server, last_event: None, within };
        match try_server(node, exchange, record, &mut progress, &order).await {
            Ok(answer) => return Ok(answer),
            Err(answer) => spare = answer.or(spare),
        }
    }
}

/// Sends the request to a server; gives the server's own answer where it failed the request.
async fn try_server(
    node: &Arc<Node>,
    exchange: &Exchange,
    record: &mut Record,
    progress: &mut Progress,
    order: &Order<'_>,
) -> Result<Answer, Option<Box<Answer>>> {
    record.attempts += 1;
    progress.tried.push(order.server.id.clone());
    note_choice(node, exchange, record, order.server);
    node.with(|state| state.rollouts.count_sent(order.server));
    let sent_at = node.now();
    match attempt::send(node, exchange, order).await {
        Ok(answer) => {
            node.with(|state| state.health.succeed(&order.server.id));
            let (route, latency) = (&exchange.route.name, node.now() - sent_at);
            rollouts::note_success(node, order.server, route, Phase::FirstToken, latency);
            Ok(answer)
        }
        Err((failed, answer)) => {
            note_failure(node, exchange, record, order.server, failed);
            if failed.may_have_run() {
                let route = &exchange.route.name;
                rollouts::note_failure(node, order.server, route, Phase::FirstToken);
            }
            progress.note(failed);
            Err(answer)
        }
    }
}

/// Lets another server go on with a stream after an event; `None` where none does.
pub(super) async fn resume(
    node: &Arc<Node>,
    exchange: &Exchange,
    record: &mut Record,
    tried: &mut Vec<String>,
    last_event: Option<u64>,
) -> Option<Answer> {
    let mut progress = Progress {
        tried: tried.clone(),
        sent: tried.len() as u32,
        last: Some(Failed::Broken),
        may_have_run: true,
        ended: Vec::new(),
    };
    loop {
        let server = next_attempt(node, exchange, &progress).await.ok()?;
        let within = exchange.get_left(node.now());
        let order = Order { server: &server, last_event, within };
        let tried_server = try_server(node, exchange, record, &mut progress, &order).await;
        tried.clone_from(&progress.tried);
        if let Ok(answer) = tried_server {
            return Some(answer);
        }
    }
}

/// Picks the server of the next attempt, or says why there is none.
async fn next_attempt(
    node: &Node,
    exchange: &Exchange,
    progress: &Progress,
) -> Result<Server, Stop> {
    let now = node.now();
    if exchange.get_left(now) == 0 {
        let reason = if progress.sent > 0 { Refusal::Timeout } else { Refusal::TooLate };
        return Err(Stop { reason, retry_after: 0 });
    }
    let route = &exchange.route;
    let is_barred = progress.may_have_run && !route.kind.is_repeatable();
    let is_spent = progress.sent >= route.max_attempts.max(1);
    let is_hopeless = progress.tried.len() as u32 >= route.max_attempts + MOST_CONNECTS;
    if is_barred || is_spent || is_hopeless {
        return Err(progress.stop(Refusal::NotAccepted, ROOM_RETRY_AFTER));
    }
    if has_brought_down(node, exchange, progress) {
        return Err(progress.stop(Refusal::BrokenAnswer, 0));
    }
    if !node.is_fresh() {
        return Err(progress.stop(Refusal::Stale, ROOM_RETRY_AFTER));
    }
    let server = match pick_allowed(node, exchange, progress).await {
        Picked::Server(server) => server,
        Picked::Busy(wait) => return Err(progress.stop(Refusal::Busy, wait)),
        Picked::None => return Err(progress.stop(Refusal::NoServer, SERVER_RETRY_AFTER)),
    };
    if progress.sent > 0 {
        take_repeat(node, exchange, progress, now)?;
    }
    Ok(server)
}

/// Takes a repeat from the budget that all nodes share.
fn take_repeat(
    node: &Node,
    exchange: &Exchange,
    progress: &Progress,
    now: Millis,
) -> Result<(), Stop> {
    let is_allowed = node.with(|state| {
        let nodes = state.members.get_reach(now).all;
        state.budget.take(now, &exchange.service, nodes)
    });
    if !is_allowed {
        return Err(progress.stop(Refusal::NotAccepted, ROOM_RETRY_AFTER));
    }
    let reason = progress.last.map_or("", Failed::as_str).to_owned();
    node.metrics.retries.get_or_create(&ReasonLabels { reason }).inc();
    Ok(())
}

/// Servers that may end under a request before it is sent to no further one: one may end by chance.
const SERVERS_ENDED: usize = 2;

/// Returns `true` if servers ended under the request, and so would the next one: they are ejected or
/// gone since.
fn has_brought_down(node: &Node, exchange: &Exchange, progress: &Progress) -> bool {
    if progress.ended.len() < SERVERS_ENDED {
        return false;
    }
    let now = node.now();
    let down = node.with(|state| {
        let is_down =
            |id: &&String| state.health.is_ejected(now, id) || state.directory.get(id).is_none();
        progress.ended.iter().filter(is_down).count()
    });
    if down < SERVERS_ENDED {
        return false;
    }
    node.metrics.requests_stopped.inc();
    event::emit(&Event::RequestStopped {
        request: exchange.head.id.as_deref().unwrap_or(""),
        body_bytes: exchange.body.len(),
        attempts: progress.sent,
    });
    true
}

/// A server that was picked, or why there is none.
enum Picked {
    Server(Server),
    Busy(Millis),
    None,
}

/// Picks a server of the versions that the request may go to. One that may go to a version on
/// trial goes to another where that has no room.
async fn pick_allowed(node: &Node, exchange: &Exchange, progress: &Progress) -> Picked {
    let is_first = progress.tried.is_empty();
    let side = rollouts::pick_side(node, &exchange.service, is_first);
    let picked = pick(node, exchange, &Allowed::new(node, exchange, progress, side)).await;
    let other = match (side, &picked) {
        (Side::Canary | Side::Target, Picked::Busy(_) | Picked::None) => Side::Rest,
        (Side::TargetFirst, Picked::None) => Side::Rest,
        (Side::RestFirst, Picked::None) => Side::Target,
        _ => return picked,
    };
    let second = pick(node, exchange, &Allowed::new(node, exchange, progress, other)).await;
    // Servers of the first choice that are busy are worth a later try.
    if matches!(second, Picked::None) { picked } else { second }
}

/// Which servers a request may go to.
struct Allowed<'a> {
    side: Side,
    /// The only ones, where the side is [`Side::Canary`].
    canaries: Vec<String>,
    tried: &'a [String],
}

impl<'a> Allowed<'a> {
    fn new(node: &Node, exchange: &Exchange, progress: &'a Progress, side: Side) -> Self {
        let canaries = match side {
            Side::Canary => rollouts::list_canaries(node, &exchange.service),
            _ => Vec::new(),
        };
        Self { side, canaries, tried: &progress.tried }
    }

    fn is_allowed(&self, state: &State, server: &Server) -> bool {
        let is_chosen = self.side != Side::Canary || self.canaries.contains(&server.id);
        let is_of_side = state.rollouts.is_allowed(self.side, server);
        is_chosen && is_of_side && !self.tried.contains(&server.id)
    }
}

/// Picks one of the servers that are allowed.
///
/// Where nodes report in groups, this node asks for the loads of a few servers first, and of more
/// where none of these can serve in time.
async fn pick(node: &Node, exchange: &Exchange, allowed: &Allowed<'_>) -> Picked {
    if !node.with(|state| state.members.is_grouped()) {
        return pick_among(node, exchange, |state, server| allowed.is_allowed(state, server));
    }
    let mut picked = Picked::None;
    for is_wide in [false, true] {
        let listed = list_candidates(node, exchange, allowed, is_wide);
        ask_loads(node, &listed).await;
        picked = pick_among(node, exchange, |_, server| listed.contains(&server.id));
        if !matches!(picked, Picked::Busy(_)) {
            break;
        }
    }
    picked
}

/// Draws the servers to ask for: of those that are not ejected, where there are any.
fn list_candidates(
    node: &Node,
    exchange: &Exchange,
    allowed: &Allowed<'_>,
    is_wide: bool,
) -> Vec<String> {
    let now = node.now();
    node.with(|state| {
        let untried = || {
            let ready = state.directory.iter_ready(&exchange.service);
            ready.filter(|server| allowed.is_allowed(state, server))
        };
        let sound = untried().filter(|server| !is_avoided(state, exchange, now, server));
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
    is_candidate: impl Fn(&State, &Server) -> bool,
) -> Picked {
    let now = node.now();
    node.with(|state| {
        let throughput = state.throughputs.get(&exchange.service);
        let ready = state.directory.iter_ready(&exchange.service);
        let candidates: Vec<Candidate<'_>> = ready
            .filter(|server| is_candidate(state, server))
            .map(|server| Candidate {
                is_ejected: is_avoided(state, exchange, now, server),
                ..weigh(state, throughput, now, server)
            })
            .collect();
        let prefill_rate = throughput.and_then(Throughput::get_prefill_rate);
        let criteria = Criteria { prefill_rate, ..exchange.criteria };
        match choose(&candidates, &criteria, fastrand::u64(..)) {
            Choice::Server(server) => Picked::Server(server.clone()),
            Choice::Busy(wait) => Picked::Busy(wait),
            Choice::None => Picked::None,
        }
    })
}

/// Returns `true` if a server gets the request only where no other is left: it is ejected, gets its
/// work back gradually, or holds as many bytes as it may.
fn is_avoided(state: &State, exchange: &Exchange, now: Millis, server: &Server) -> bool {
    let (id, service) = (&server.id, &server.service);
    state.health.is_ejected(now, id)
        || state.health.is_ramping(now, id, fastrand::f64())
        || state.held.is_full(now, service, id, exchange.body.len() as u64)
}

/// Tells what the node knows of a server.
fn weigh<'a>(
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

fn note_choice(node: &Node, exchange: &Exchange, record: &Record, server: &Server) {
    let now = node.now();
    let (candidates, chosen, prefill_rate) = node.with(|state| {
        let throughput = state.throughputs.get(&exchange.service);
        let candidates = state.directory.iter_ready(&exchange.service).count();
        (
            candidates,
            weigh(state, throughput, now, server),
            throughput.and_then(Throughput::get_prefill_rate),
        )
    });
    let criteria = Criteria { prefill_rate, ..exchange.criteria };
    let expected_ms = criteria.estimate(&chosen);
    if let Some(reading_ms) = expected_ms.filter(|_| exchange.has_engine) {
        report_begun(node, &server.id, &exchange.work, reading_ms);
    }
    event::emit(&Event::ServerChosen {
        request: &record.id,
        server: &server.id,
        server_version: &server.version,
        service: &exchange.service,
        attempt: record.attempts,
        candidates,
        prompt_tokens: criteria.prompt_tokens,
        waiting_tokens: chosen.load.get_waiting_tokens(),
        slowness: chosen.slowness,
        expected_ms,
        left_ms: exchange.get_left(now),
        version: record.version.unwrap_or(0),
        age_ms: record.age,
    });
}

fn note_failure(
    node: &Node,
    exchange: &Exchange,
    record: &Record,
    server: &Server,
    failed: Failed,
) {
    let now = node.now();
    let pause = node.with(|state| match failed {
        Failed::NotConnected => {
            state.health.fail_to_connect(now, &server.id);
            None
        }
        Failed::Declined | Failed::OtherServer => None,
        Failed::Ended | Failed::Broken | Failed::ServerError | Failed::Timeout => {
            state.health.fail(now, &server.id)
        }
    });
    if let Some(ejected_for_ms) = pause {
        event::emit(&Event::ServerEjected { server: &server.id, ejected_for_ms });
    }
    let reason = failed.as_str();
    let labels = ReasonLabels { reason: reason.to_owned() };
    node.metrics.failed_attempts.get_or_create(&labels).inc();
    event::emit(&Event::AttemptFailed {
        request: exchange.head.id.as_deref().unwrap_or(""),
        server: &server.id,
        attempt: record.attempts,
        may_have_run: failed.may_have_run(),
        why: reason,
    });
}

/// Ends without a sound answer: a server's own failure is passed on as it is.
fn give_up(
    node: &Node,
    exchange: &Exchange,
    stop: Stop,
    spare: Option<Box<Answer>>,
) -> Result<Answer, Refused> {
    if let Some(answer) = spare {
        return Ok(*answer);
    }
    let Stop { reason, retry_after } = stop;
    Err(Refused { reason, retry_after, left: exchange.get_left(node.now()) })
}
