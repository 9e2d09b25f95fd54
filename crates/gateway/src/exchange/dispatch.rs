//! Sends the request to servers until there is an answer.

use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::Phase;
use keeljunction_core::serving::spill::{Cause, get_region};

use super::admission::Exchange;
use super::attempt::{self, Answer, Failed, Order};
use super::pick::{self, Attempts, Pick};
use super::respond::{Record, Refused};
use crate::event::{self, Event};
use crate::metrics::{ReasonLabels, SpillLabels};
use crate::node::{Node, report_begun, rollouts};

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
struct Progress {
    /// Since when the caller waits.
    began: Millis,
    tried: Vec<String>,
    sent: u32,
    last: Option<Failed>,
    may_have_run: bool,
    /// Servers that ended the connection before they answered.
    ended: Vec<String>,
}

impl Progress {
    fn new(began: Millis) -> Self {
        Self {
            began,
            tried: Vec::new(),
            sent: 0,
            last: None,
            may_have_run: false,
            ended: Vec::new(),
        }
    }

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
    let mut progress = Progress::new(record.get_arrival());
    let mut spare: Option<Box<Answer>> = None;
    loop {
        let pick = match next_attempt(node, exchange, &progress).await {
            Ok(pick) => pick,
            Err(stop) => return give_up(node, exchange, stop, spare),
        };
        note_choice(node, exchange, record, &pick);
        let within = exchange.get_left(node.now());
        let order = Order { server: &pick.server, last_event: None, within };
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
    progress.tried.push(order.server.id.clone());
    node.with(|state| state.rollouts.count_sent(order.server));
    let sent_at = node.now();
    match attempt::send(node, exchange, order).await {
        Ok(answer) => {
            node.with(|state| state.health.succeed(&order.server.id));
            let on_the_way = node.get_round_trip(&order.server.data_centre);
            let latency = (node.now() - sent_at).saturating_sub(on_the_way);
            let route = &exchange.route.name;
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
        // Its caller waits since the stream broke off.
        ..Progress::new(node.now())
    };
    loop {
        let pick = next_attempt(node, exchange, &progress).await.ok()?;
        note_choice(node, exchange, record, &pick);
        let within = exchange.get_left(node.now());
        let order = Order { server: &pick.server, last_event, within };
        let tried_server = try_server(node, exchange, record, &mut progress, &order).await;
        tried.clone_from(&progress.tried);
        if let Ok(answer) = tried_server {
            return Some(answer);
        }
    }
}

/// Picks the server of the next attempt, or says why there is none.
async fn next_attempt(node: &Node, exchange: &Exchange, progress: &Progress) -> Result<Pick, Stop> {
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
    let attempts =
        Attempts { tried: &progress.tried, began: progress.began, ramp_draw: fastrand::f64() };
    let pick = pick::pick(node, exchange, attempts)
        .await
        .map_err(|unserved| progress.stop(unserved.reason, unserved.retry_after))?;
    // Servers of other regions may have been asked meanwhile. Nothing is sent without time to answer.
    if exchange.get_left(node.now()) == 0 {
        return Err(progress.stop(Refusal::TooLate, 0));
    }
    if progress.sent > 0 {
        take_repeat(node, exchange, progress, now)?;
    }
    Ok(pick)
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
        body_bytes: exchange.body_bytes,
        attempts: progress.sent,
    });
    true
}

fn note_choice(node: &Node, exchange: &Exchange, record: &mut Record, pick: &Pick) {
    record.attempts += 1;
    let server = &pick.server;
    let now = node.now();
    let (candidates, chosen, criteria) = node.with(|state| {
        let throughput = state.throughputs.get(&exchange.service);
        let candidates = state.directory.iter_ready(&exchange.service).count();
        let chosen = pick::weigh(state, throughput, now, server);
        (candidates, chosen, pick::get_criteria(state, exchange))
    });
    let expected_ms = criteria.estimate(&chosen);
    if let Some(reading_ms) = expected_ms.filter(|_| exchange.has_engine) {
        report_begun(node, &server.id, &exchange.work, reading_ms);
    }
    let is_multi_region = node.topology.is_multi_region();
    let region = is_multi_region.then(|| get_region(&node.topology, &server.data_centre));
    let spill = pick.spill.map(Cause::as_str);
    if let (Some(region), Some(reason)) = (region, spill) {
        node.metrics.spilled.get_or_create(&SpillLabels::of(region, reason)).inc();
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
        region,
        spill,
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
