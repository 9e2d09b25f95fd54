//! Sends the request to servers until one responds.

use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::rollout::Phase;

use super::admission::Exchange;
use super::attempt::{self, AttemptParams, FailedAttempt, ServerResponse};
use super::attempt_error::AttemptError;
use super::begin;
use super::notes::{record_choice, record_failure};
use super::pick::{self, Attempts, Pick};
use super::progress::{AttemptProgress, Tried};
use super::rejection::Rejection;
use super::respond::{RefusalResponse, RequestRecord};
use super::stopping;
use crate::event::{self, Event};
use crate::metrics::ReasonLabels;
use crate::node::{Node, permits, rollouts, server_paths};

/// `Retry-After` in milliseconds if the server of the last attempt had no capacity.
const FULL_RETRY_AFTER_MS: Millis = 250;
/// Attempts that may fail to connect in addition to the route's `max_attempts`. They send nothing,
/// and each takes up to 250 ms.
const MAX_FAILED_CONNECTS: u32 = 3;
/// Number of servers that may crash while running a request before it is no longer retried. A
/// single crash may be a coincidence.
const MAX_CRASHED_SERVERS: usize = 2;

/// Sends the request to one server after another, within the attempts of its route and the retry budget.
pub(super) async fn run(
    node: &Arc<Node>,
    exchange: &Arc<Exchange>,
    record: &mut RequestRecord,
) -> Result<ServerResponse, RefusalResponse> {
    node.with(|state| state.retry_budget.count_request(node.now(), &exchange.service));
    let mut progress = AttemptProgress::new(record.get_arrival());
    let mut fallback: Option<Box<ServerResponse>> = None;
    loop {
        if !can_begin_elsewhere(node, exchange, &progress) {
            return give_up(node, exchange, progress.reject_stopping(), fallback);
        }
        let pick = match next_attempt(node, exchange, &progress).await {
            Ok(pick) => pick,
            Err(rejection) => return give_up(node, exchange, rejection, fallback),
        };
        record_choice(node, exchange, record, &pick, exchange.head.last_event_id);
        match try_server(node, exchange, record, &mut progress, &pick, None).await {
            Ok(response) => {
                begin::record(node, exchange, &response).await;
                return Ok(response);
            }
            Err(response) => fallback = response.or(fallback),
        }
    }
}

/// Sends the request to the picked server. A resumed stream continues after `last_event_id`.
///
/// # Errors
///
/// Returns the server's error response if it failed the request, or `None` if there is no response.
async fn try_server(
    node: &Arc<Node>,
    exchange: &Exchange,
    record: &mut RequestRecord,
    progress: &mut AttemptProgress,
    pick: &Pick,
    last_event_id: Option<u64>,
) -> Result<ServerResponse, Option<Box<ServerResponse>>> {
    let server = &pick.server;
    progress.tried.all.push(server.id.clone());
    node.with(|state| state.rollouts.count_sent(server));
    let sent_at = node.now();
    let params =
        AttemptParams { server, last_event_id, timeout: exchange.get_time_remaining(sent_at) };
    let sent = attempt::send(node, exchange, &params).await;
    match sent.and_then(|response| check_software(node, exchange, response)) {
        Ok(response) => {
            node.with(|state| {
                if !state.directory.is_superseded(server) {
                    state.health.record_success(&server.id);
                }
            });
            let round_trip = node.get_round_trip(&server.data_centre);
            let latency = (node.now() - sent_at).saturating_sub(round_trip);
            let route = &exchange.route.name;
            rollouts::record_success(node, server, route, Phase::FirstToken, latency);
            Ok(response)
        }
        Err((error, response)) => {
            if error == AttemptError::NotConnected {
                node.with(|state| state.rollouts.refund_sent(server));
                permits::return_unused(node, server, pick.permit).await;
            }
            record_failure(node, exchange, record, server, error);
            if error.may_have_run() {
                let route = &exchange.route.name;
                let is_broken = matches!(error, AttemptError::Ended | AttemptError::Cut);
                server_paths::report_failure(node, server, route, Phase::FirstToken, is_broken);
            }
            progress.record_failure(error);
            Err(response)
        }
    }
}

/// Checks that a response to a request that resumes a stream comes from the picked software version:
/// the server may have been replaced under its ID while the request was on its way.
fn check_software(
    node: &Node,
    exchange: &Exchange,
    response: ServerResponse,
) -> Result<ServerResponse, FailedAttempt> {
    let is_pinned = exchange.pin.get().is_some();
    let server = &response.server;
    match is_pinned && node.with(|state| state.directory.is_software_replaced(server)) {
        true => Err((AttemptError::Broken, None)),
        false => Ok(response),
    }
}

/// Resumes a stream on another server after its last event. Returns `None` if no server resumes it.
pub(super) async fn resume(
    node: &Arc<Node>,
    exchange: &Exchange,
    record: &mut RequestRecord,
    tried: &mut Tried,
    last_event_id: Option<u64>,
) -> Option<ServerResponse> {
    let mut progress = AttemptProgress {
        tried: tried.clone(),
        sent_attempts: tried.all.len() as u32,
        last_error: Some(AttemptError::Broken),
        may_have_run: true,
        // The caller has been waiting since the stream was interrupted.
        ..AttemptProgress::new(node.now())
    };
    loop {
        let pick = next_attempt(node, exchange, &progress).await.ok()?;
        record_choice(node, exchange, record, &pick, last_event_id);
        let tried_server =
            try_server(node, exchange, record, &mut progress, &pick, last_event_id).await;
        tried.clone_from(&progress.tried);
        let Ok(response) = tried_server else { continue };
        if response.is_event_stream() {
            return Some(response);
        }
        record_failure(node, exchange, record, &pick.server, AttemptError::Broken);
        progress.record_failure(AttemptError::Broken);
    }
}

/// Picks the server for the next attempt, or returns why there is none.
async fn next_attempt(
    node: &Node,
    exchange: &Exchange,
    progress: &AttemptProgress,
) -> Result<Pick, Rejection> {
    let now = node.now();
    if exchange.get_time_remaining(now) == 0 {
        let reason = if progress.sent_attempts > 0 { Refusal::Timeout } else { Refusal::TooLate };
        return Err(reason.into());
    }
    let route = &exchange.route;
    let is_retry_unsafe = progress.may_have_run && !route.kind.is_repeatable();
    let is_attempt_limit_reached = progress.sent_attempts >= route.max_attempts.max(1);
    let is_connect_limit_reached =
        progress.tried.all.len() as u32 >= route.max_attempts + MAX_FAILED_CONNECTS;
    if is_retry_unsafe || is_attempt_limit_reached || is_connect_limit_reached {
        let retry_after = pick::get_retry_after(node, exchange, FULL_RETRY_AFTER_MS);
        return Err(progress.reject(Refusal::NotAccepted, retry_after));
    }
    if let Some(quarantined_for) = exchange.get_quarantine_remaining(node) {
        return Err(progress.reject_quarantined(quarantined_for));
    }
    if has_crashed_servers(node, exchange, progress) {
        return Err(progress.reject(Refusal::BrokenAnswer, 0));
    }
    if !node.is_configuration_fresh() {
        return Err(progress.reject(Refusal::Stale, FULL_RETRY_AFTER_MS));
    }
    if exchange.pin.get().is_some_and(|pin| pin.is_gone(node)) {
        return Err(progress.reject_version_gone());
    }
    let attempts = Attempts {
        tried: &progress.tried.all,
        waiting_since: progress.waiting_since,
        ramp_draw: fastrand::f64(),
        skips_limited: false,
    };
    let pick = pick::pick_permitted(node, exchange, attempts)
        .await
        .map_err(|rejection| progress.reject(rejection.reason, rejection.retry_after))?;
    if let Err(rejection) = check_before_send(node, exchange, progress, now) {
        permits::release(node, &pick.server, pick.permit).await;
        return Err(rejection);
    }
    Ok(pick)
}

/// Returns `false` if the node is shutting down, a server has declined or failed the request meanwhile,
/// and it would probably not end before the exit at another one. Its caller can use another node.
fn can_begin_elsewhere(node: &Node, exchange: &Exchange, progress: &AttemptProgress) -> bool {
    if progress.tried.all.is_empty() {
        return true;
    }
    let request = exchange.head.id.as_deref().unwrap_or("");
    stopping::can_end(node, request, &exchange.route.name, exchange.deadline)
}

/// Checks that the request may still be sent to the server whose selection started at `started_at`.
fn check_before_send(
    node: &Node,
    exchange: &Exchange,
    progress: &AttemptProgress,
    started_at: Millis,
) -> Result<(), Rejection> {
    // Selecting a server may have waited for load reports. A request whose deadline has passed
    // is not sent.
    if exchange.get_time_remaining(node.now()) == 0 {
        return Err(progress.reject(Refusal::TooLate, 0));
    }
    match progress.sent_attempts {
        0 => Ok(()),
        _ => take_retry(node, exchange, progress, started_at),
    }
}

/// Takes a retry from the budget that all nodes share.
fn take_retry(
    node: &Node,
    exchange: &Exchange,
    progress: &AttemptProgress,
    now: Millis,
) -> Result<(), Rejection> {
    let (service, request) = (&exchange.service, exchange.head.id.as_deref().unwrap_or(""));
    let is_allowed = node.with(|state| {
        let nodes = state.members.get_reachability(now).known;
        let is_allowed = state.retry_budget.take(now, service, nodes);
        let requests = state.retry_budget.count_recent_requests(now, service);
        let remaining = state.retry_budget.get_remaining(now, service, nodes);
        let event =
            Event::RetryDecided { request, service, is_allowed, nodes, requests, remaining };
        event::emit(&event);
        is_allowed
    });
    if !is_allowed {
        return Err(progress.reject(Refusal::NotAccepted, FULL_RETRY_AFTER_MS));
    }
    let reason = progress.last_error.map_or("", AttemptError::as_str).to_owned();
    node.metrics.retries.get_or_create(&ReasonLabels { reason }).inc();
    Ok(())
}

/// Returns `true` if [`MAX_CRASHED_SERVERS`] servers crashed while running the request and are
/// still ejected or gone, as the next one would probably crash too. Logs and counts such a request.
fn has_crashed_servers(node: &Node, exchange: &Exchange, progress: &AttemptProgress) -> bool {
    if progress.tried.disconnected.len() < MAX_CRASHED_SERVERS {
        return false;
    }
    let now = node.now();
    let down = node.with(|state| {
        let is_down =
            |id: &&String| state.health.is_ejected(now, id) || state.directory.get(id).is_none();
        progress.tried.disconnected.iter().filter(is_down).count()
    });
    if down < MAX_CRASHED_SERVERS {
        return false;
    }
    node.metrics.requests_stopped.inc();
    event::emit(&Event::RequestStopped {
        request: exchange.head.id.as_deref().unwrap_or(""),
        body_bytes: exchange.body_bytes,
        attempts: progress.sent_attempts,
    });
    true
}

/// Ends the request without a valid response: forwards a server's error response if there is one,
/// and rejects the request otherwise.
fn give_up(
    node: &Node,
    exchange: &Exchange,
    rejection: Rejection,
    fallback: Option<Box<ServerResponse>>,
) -> Result<ServerResponse, RefusalResponse> {
    if let Some(response) = fallback {
        return Ok(*response);
    }
    Err(rejection.with_time_remaining(exchange.get_time_remaining(node.now())))
}
