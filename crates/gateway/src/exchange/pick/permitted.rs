//! Picks a server that takes the request, by what servers say in their answers.

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::{Refusal, get_max_wait};

use super::{Attempts, Pick, pick};
use crate::exchange::admission::Exchange;
use crate::exchange::rejection::Rejection;
use crate::node::{Node, permits};

/// Permits of limited servers that a request may be denied before it goes to servers without a limit only:
/// each takes a round trip.
const MOST_DENIED: usize = 8;
/// The time after which it goes to servers without a limit only, in milliseconds: an owner may be silent.
const ASKS_FOR: Millis = 60;
/// Callers are spread that come back after the same wait: over this fraction of the wait and this time in
/// milliseconds.
const SPREAD_PART: f64 = 0.5;
const LEAST_SPREAD: Millis = 200;

/// Picks the server of the next attempt, with the permit for it, or says why there is none.
pub(in crate::exchange) async fn pick_permitted(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
) -> Result<Pick, Rejection> {
    let began = node.now();
    let mut denied = 0;
    loop {
        let skips_limited = denied == MOST_DENIED || node.now() >= began + ASKS_FOR;
        let picked = pick(node, exchange, Attempts { skips_limited, ..attempts }).await;
        let picked = picked.map_err(|rejection| explain(node, exchange, rejection))?;
        if let Some(permit) = permits::acquire(node, &picked.server).await {
            return Ok(Pick { permit, ..picked });
        }
        if skips_limited {
            // The server that was picked has just said that it takes no request.
            return Err(explain(node, exchange, Refusal::NoServer.into()));
        }
        denied += 1;
    }
}

/// Returns the rejection of a request that no server takes: where servers said when they take requests
/// again, the caller should come back then.
fn explain(node: &Node, exchange: &Exchange, rejection: Rejection) -> Rejection {
    if rejection.reason != Refusal::NoServer {
        return rejection;
    }
    match get_throttled_for(node, exchange) {
        Some(retry_after) => Rejection { reason: Refusal::Throttled, retry_after },
        None => rejection,
    }
}

/// Returns when the caller of a request that was declined should retry, in milliseconds: after `usual`,
/// unless no server of the service takes requests before.
pub(in crate::exchange) fn get_retry_after(
    node: &Node,
    exchange: &Exchange,
    usual: Millis,
) -> Millis {
    let now = node.now();
    let is_throttled = node.with(|state| state.is_service_in_backoff(now, &exchange.service));
    let throttled_for = if is_throttled { get_throttled_for(node, exchange) } else { None };
    throttled_for.unwrap_or(usual)
}

/// Returns when a caller should retry that waits for servers which take no requests now, in milliseconds;
/// `None` where there are none of them.
fn get_throttled_for(node: &Node, exchange: &Exchange) -> Option<Millis> {
    let now = node.now();
    let wait = node.with(|state| state.get_min_backoff(now, &exchange.service))?;
    Some(spread(wait, get_max_wait(exchange.get_left(now)), fastrand::f64()))
}

/// Spreads callers that come back after the same wait, by a random `draw` from 0 to 1: later than the wait
/// where they accept that, and else over the latter half of what they accept.
fn spread(wait: Millis, longest: Millis, draw: f64) -> Millis {
    let span = (wait as f64 * SPREAD_PART) as Millis + LEAST_SPREAD;
    let (from, to) = match wait < longest {
        true => (wait, wait.saturating_add(span).min(longest)),
        false => (longest / 2, longest),
    };
    from + ((to - from) as f64 * draw) as Millis
}
