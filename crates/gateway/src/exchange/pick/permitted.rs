//! Picks a server that accepts requests, according to its rate limit and backoff.

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::refusal::{Refusal, get_max_wait};

use super::{Attempts, Pick, pick};
use crate::exchange::admission::Exchange;
use crate::exchange::rejection::Rejection;
use crate::node::{Node, permits};

/// Number of denied permits after which a request skips rate-limited servers. Each permit takes a
/// round trip.
const MAX_DENIED_PERMITS: usize = 8;
/// Time in milliseconds after which a request skips rate-limited servers, because the node that
/// issues their permits may not respond.
const MAX_PERMIT_WAIT_MS: Millis = 60;
/// Jitter added to a wait that many callers share: this fraction of the wait plus a minimum in
/// milliseconds.
const JITTER_RATIO: f64 = 0.5;
const MIN_JITTER_MS: Millis = 200;

/// Picks the server for the next attempt and acquires its permit, or returns why there is none.
pub(in crate::exchange) async fn pick_permitted(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
) -> Result<Pick, Rejection> {
    let started_at = node.now();
    let mut denied = 0;
    loop {
        let skips_limited =
            denied == MAX_DENIED_PERMITS || node.now() >= started_at + MAX_PERMIT_WAIT_MS;
        let picked = pick(node, exchange, Attempts { skips_limited, ..attempts }).await;
        let picked = picked.map_err(|rejection| convert_throttled(node, exchange, rejection))?;
        if let Some(permit) = permits::acquire(node, &picked.server).await {
            return Ok(Pick { permit, ..picked });
        }
        if skips_limited {
            // The picked server has just reported that it accepts no requests.
            return Err(convert_throttled(node, exchange, Refusal::NoServer.into()));
        }
        denied += 1;
    }
}

/// Converts the rejection of a request that no server accepts. If servers have announced when they
/// accept requests again, the caller should retry then.
fn convert_throttled(node: &Node, exchange: &Exchange, rejection: Rejection) -> Rejection {
    if rejection.reason != Refusal::NoServer {
        return rejection;
    }
    match get_throttled_retry_after(node, exchange) {
        Some(retry_after) => Rejection { reason: Refusal::Throttled, retry_after },
        None => rejection,
    }
}

/// Returns the time in milliseconds after which the caller of a declined request should retry:
/// `default`, unless no server of the service accepts requests before a later time.
pub(in crate::exchange) fn get_retry_after(
    node: &Node,
    exchange: &Exchange,
    default: Millis,
) -> Millis {
    let now = node.now();
    let is_candidate = |server: &Server| exchange.is_pin_met(server);
    let is_throttled =
        node.with(|state| state.is_service_throttled(now, &exchange.service, is_candidate));
    let throttled_retry_after =
        if is_throttled { get_throttled_retry_after(node, exchange) } else { None };
    throttled_retry_after.unwrap_or(default)
}

/// Returns the time in milliseconds after which a caller should retry if servers are in backoff or
/// at their rate limit, or `None` if there are no such servers.
fn get_throttled_retry_after(node: &Node, exchange: &Exchange) -> Option<Millis> {
    let now = node.now();
    let is_candidate = |server: &Server| exchange.is_pin_met(server);
    let wait =
        node.with(|state| state.get_min_throttle_wait(now, &exchange.service, is_candidate))?;
    Some(add_jitter(wait, get_max_wait(exchange.get_time_remaining(now)), fastrand::f64()))
}

/// Spreads callers with the same wait by a random `draw` from 0 to 1: after the wait if that is
/// within `max_wait`, and over the second half of `max_wait` otherwise.
fn add_jitter(wait: Millis, max_wait: Millis, draw: f64) -> Millis {
    let span = (wait as f64 * JITTER_RATIO) as Millis + MIN_JITTER_MS;
    let (from, to) = match wait < max_wait {
        true => (wait, wait.saturating_add(span).min(max_wait)),
        false => (max_wait / 2, max_wait),
    };
    from + ((to - from) as f64 * draw) as Millis
}
