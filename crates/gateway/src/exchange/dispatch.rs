//! Sends the request to servers until there is an answer.

use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::Phase;

use super::admission::Exchange;
use super::attempt::{self, Answer, Failed, Order};
use super::notes::{note_choice, note_failure};
use super::pick::{self, Attempts, Pick};
use super::progress::{Progress, Tried};
use super::rejection::Rejection;
use super::respond::{Record, Refused};
use crate::event::{self, Event};
use crate::metrics::ReasonLabels;
use crate::node::{Node, permits, rollouts};

/// `Retry-After` where the server of the last attempt was full, in milliseconds.
const ROOM_RETRY_AFTER: Millis = 250;
/// Attempts that may fail to connect, besides the route's `max_attempts`: they send nothing, and each
/// takes up to 250 ms.
const MOST_CONNECTS: u32 = 3;
/// Servers that may crash under a request before it is sent to no further one: one may crash by chance.
const SERVERS_ENDED: usize = 2;

/// Sends the request to one server after another, as far as its route and the budget allow.
pub(super) async fn run(
    node: &Arc<Node>,
    exchange: &Arc<Exchange>,
    record: &mut Record,
) -> Result<Answer, Refused> {
    node.with(|state| state.retry_budget.count_request(node.now(), &exchange.service));
    let mut progress = Progress::new(record.get_arrival());
    let mut spare: Option<Box<Answer>> = None;
    loop {
        let pick = match next_attempt(node, exchange, &progress).await {
            Ok(pick) => pick,
            Err(rejection) => return give_up(node, exchange, rejection, spare),
        };
        note_choice(node, exchange, record, &pick);
        match try_server(node, exchange, record, &mut progress, &pick, None).await {
            Ok(answer) => return Ok(answer),
            Err(answer) => spare = answer.or(spare),
        }
    }
}

/// Sends the request to the server that was picked, from the event after `last_event_id` on where a stream
/// goes on.
///
/// # Errors
///
/// Returns the server's own answer where it failed the request, and `None` where there is no answer.
async fn try_server(
    node: &Arc<Node>,
    exchange: &Exchange,
    record: &mut Record,
    progress: &mut Progress,
    pick: &Pick,
    last_event_id: Option<u64>,
) -> Result<Answer, Option<Box<Answer>>> {
    let server = &pick.server;
    progress.tried.all.push(server.id.clone());
    node.with(|state| state.rollouts.count_sent(server));
    let sent_at = node.now();
    let order = Order { server, last_event_id, within: exchange.get_left(sent_at) };
    match attempt::send(node, exchange, &order).await {
        Ok(answer) => {
            node.with(|state| {
                if !state.directory.is_superseded(server) {
                    state.health.record_success(&server.id);
                }
            });
            let on_the_way = node.get_round_trip(&server.data_centre);
            let latency = (node.now() - sent_at).saturating_sub(on_the_way);
            let route = &exchange.route.name;
            rollouts::note_success(node, server, route, Phase::FirstToken, latency);
            Ok(answer)
        }
        Err((failed, answer)) => {
            if failed == Failed::NotConnected {
                permits::release_unused(node, server, pick.permit).await;
            }
            note_failure(node, exchange, record, server, failed);
            if failed.may_have_run() {
                let route = &exchange.route.name;
                rollouts::note_failure(node, server, route, Phase::FirstToken);
            }
            progress.note(failed);
            Err(answer)
        }
    }
}

/// Resumes a stream at another server after its last event; returns `None` where no server does.
pub(super) async fn resume(
    node: &Arc<Node>,
    exchange: &Exchange,
    record: &mut Record,
    tried: &mut Tried,
    last_event_id: Option<u64>,
) -> Option<Answer> {
    let mut progress = Progress {
        tried: tried.clone(),
        sent: tried.all.len() as u32,
        last: Some(Failed::Broken),
        may_have_run: true,
        // The caller waits since the stream broke off.
        ..Progress::new(node.now())
    };
    loop {
        let pick = next_attempt(node, exchange, &progress).await.ok()?;
        note_choice(node, exchange, record, &pick);
        let tried_server =
            try_server(node, exchange, record, &mut progress, &pick, last_event_id).await;
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
) -> Result<Pick, Rejection> {
    let now = node.now();
    if exchange.get_left(now) == 0 {
        let reason = if progress.sent > 0 { Refusal::Timeout } else { Refusal::TooLate };
        return Err(reason.into());
    }
    let route = &exchange.route;
    let is_barred = progress.may_have_run && !route.kind.is_repeatable();
    let is_spent = progress.sent >= route.max_attempts.max(1);
    let is_hopeless = progress.tried.all.len() as u32 >= route.max_attempts + MOST_CONNECTS;
    if is_barred || is_spent || is_hopeless {
        let retry_after = pick::get_retry_after(node, exchange, ROOM_RETRY_AFTER);
        return Err(progress.reject(Refusal::NotAccepted, retry_after));
    }
    if let Some(refused_for) = node.get_quarantine_remaining(exchange.fingerprint) {
        return Err(progress.reject_quarantined(refused_for));
    }
    if has_ended_servers(node, exchange, progress) {
        return Err(progress.reject(Refusal::BrokenAnswer, 0));
    }
    if !node.is_configuration_fresh() {
        return Err(progress.reject(Refusal::Stale, ROOM_RETRY_AFTER));
    }
    let attempts = Attempts {
        tried: &progress.tried.all,
        began: progress.began,
        ramp_draw: fastrand::f64(),
        skips_limited: false,
    };
    let pick = pick::pick_permitted(node, exchange, attempts)
        .await
        .map_err(|rejection| progress.reject(rejection.reason, rejection.retry_after))?;
    if let Err(rejection) = check_dispatch(node, exchange, progress, now) {
        permits::release_unused(node, &pick.server, pick.permit).await;
        return Err(rejection);
    }
    Ok(pick)
}

/// Checks whether a request may be sent to the server that was picked since `began`.
fn check_dispatch(
    node: &Node,
    exchange: &Exchange,
    progress: &Progress,
    began: Millis,
) -> Result<(), Rejection> {
    // The choice may have waited for loads. Nothing is sent that no time is left to answer.
    if exchange.get_left(node.now()) == 0 {
        return Err(progress.reject(Refusal::TooLate, 0));
    }
    match progress.sent {
        0 => Ok(()),
        _ => take_repeat(node, exchange, progress, began),
    }
}

/// Takes a repeat from the budget that all nodes share.
fn take_repeat(
    node: &Node,
    exchange: &Exchange,
    progress: &Progress,
    now: Millis,
) -> Result<(), Rejection> {
    let is_allowed = node.with(|state| {
        let nodes = state.members.get_reachability(now).known;
        state.retry_budget.take(now, &exchange.service, nodes)
    });
    if !is_allowed {
        return Err(progress.reject(Refusal::NotAccepted, ROOM_RETRY_AFTER));
    }
    let reason = progress.last.map_or("", Failed::as_str).to_owned();
    node.metrics.retries.get_or_create(&ReasonLabels { reason }).inc();
    Ok(())
}

/// Returns `true` if [`SERVERS_ENDED`] servers crashed under the request and are ejected or gone since:
/// the next one would probably end too. Logs and counts that.
fn has_ended_servers(node: &Node, exchange: &Exchange, progress: &Progress) -> bool {
    if progress.tried.ended.len() < SERVERS_ENDED {
        return false;
    }
    let now = node.now();
    let down = node.with(|state| {
        let is_down =
            |id: &&String| state.health.is_ejected(now, id) || state.directory.get(id).is_none();
        progress.tried.ended.iter().filter(is_down).count()
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

/// Ends without a sound answer: passes on a server's own failure as it is, or else refuses.
fn give_up(
    node: &Node,
    exchange: &Exchange,
    rejection: Rejection,
    spare: Option<Box<Answer>>,
) -> Result<Answer, Refused> {
    if let Some(answer) = spare {
        return Ok(*answer);
    }
    Err(rejection.with_left(exchange.get_left(node.now())))
}
