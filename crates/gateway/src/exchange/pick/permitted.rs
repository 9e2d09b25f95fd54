//! Picks a server that takes the request, by what servers say in their answers.

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::Refusal;

use super::{Attempts, Pick, pick};
use crate::exchange::admission::Exchange;
use crate::exchange::rejection::Rejection;
use crate::node::{Node, permits};

/// Limited servers whose permits a request may be denied before it goes to servers without a limit only:
/// each takes a round trip.
const MOST_DENIED: usize = 3;
/// The fraction of the wait for servers that take no request, and the time in milliseconds, over which
/// callers are spread that come back afterwards.
const SPREAD_PART: f64 = 0.5;
const LEAST_SPREAD: Millis = 200;

/// Picks the server of the next attempt, with the permit for it, or says why there is none.
pub(in crate::exchange) async fn pick_permitted(
    node: &Node,
    exchange: &Exchange,
    attempts: Attempts<'_>,
) -> Result<Pick, Rejection> {
    for denied in 0..=MOST_DENIED {
        let attempts = Attempts { skips_limited: denied == MOST_DENIED, ..attempts };
        let picked = pick(node, exchange, attempts).await;
        let picked = picked.map_err(|rejection| explain(node, exchange, rejection))?;
        if let Some(permit) = permits::take(node, &picked.server).await {
            return Ok(Pick { permit, ..picked });
        }
    }
    Err(explain(node, exchange, Refusal::NoServer.into()))
}

/// Returns the rejection of a request that no server takes: where servers said when they take requests
/// again, the caller should come back then.
fn explain(node: &Node, exchange: &Exchange, rejection: Rejection) -> Rejection {
    if rejection.reason != Refusal::NoServer {
        return rejection;
    }
    let now = node.now();
    match node.with(|state| state.get_shortest_wait(now, &exchange.service)) {
        Some(wait) => Rejection { reason: Refusal::Throttled, retry_after: spread(wait) },
        None => rejection,
    }
}

/// Spreads callers that come back after the same wait.
fn spread(wait: Millis) -> Millis {
    let span = (wait as f64 * SPREAD_PART) as Millis + LEAST_SPREAD;
    wait.saturating_add(fastrand::u64(..span))
}
