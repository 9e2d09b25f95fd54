//! Graceful shutdown.
//!
//! The node reports that it is not ready and leaving, and accepts requests for a grace period until
//! the load balancer has noticed. It then drains the requests that it has read
//! and hands over those that would exceed the time limit to the holders of their records. At
//! the end it closes its connections: one on which part of a request head has arrived may complete
//! it, and gets a rejection.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;

use super::{Answer, Node, copy};
use crate::http::{Connections, Shutdown};
use crate::runtime;

/// Time reserved at the end for handing over requests.
const HANDOVER_RESERVE: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for clients to complete the request heads that they have begun.
const HEAD_PERIOD: Duration = Duration::from_secs(3);
/// Time for responses in flight to be written at the end of the shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the shutdown. A second call has no effect.
pub fn begin(node: &Arc<Node>, time_limit: Duration) {
    if !node.set_stopping() {
        return;
    }
    log::info!("stopping within {} ms", time_limit.as_millis());
    let node = node.clone();
    runtime::spawn(async move {
        run(&node, time_limit).await;
        node.stopped.send();
    });
}

async fn run(node: &Arc<Node>, time_limit: Duration) {
    let started = node.now();
    runtime::lock(&node.members).leave();
    node.notify_peers();
    unfinished(node).iter().for_each(|answer| answer.expedite_replication());
    let grace = Duration::from_millis(node.settings.times.stop_grace_ms).min(time_limit / 4);
    runtime::sleep(grace).await;
    node.close();
    let handover_at = started + time_limit.saturating_sub(HANDOVER_RESERVE).as_millis() as u64;
    while node.now() < handover_at && !is_drained(node) {
        runtime::sleep(POLL_INTERVAL).await;
    }
    for answer in unfinished(node) {
        let is_handed_over = copy::hand_over(node, &answer).await;
        node.metric.count("requests_handed_over", 1);
        log::info!("handover of request {}: accepted={is_handed_over}", answer.request.key);
    }
}

/// Closes the connections of clients: idle ones at once, the others after their responses. Returns
/// `false` if some are still open after a time-out.
pub async fn close_connections(connections: &Connections, shutdown: &Shutdown) -> bool {
    let closed = async {
        while connections.is_accepting() || connections.count().get_total() > 0 {
            runtime::sleep(POLL_INTERVAL).await;
        }
        true
    };
    let expired = async {
        runtime::sleep(HEAD_PERIOD).await;
        shutdown.reading.send();
        runtime::sleep(FLUSH_TIMEOUT.saturating_sub(HEAD_PERIOD)).await;
        false
    };
    future::or(closed, expired).await
}

/// Returns `true` if all requests have a response and no answer is unfinished. A request that was
/// read before the node closed has no answer yet.
fn is_drained(node: &Node) -> bool {
    node.count_requests() == 0 && unfinished(node).is_empty()
}

fn unfinished(node: &Node) -> Vec<Arc<Answer>> {
    let answers = runtime::lock(&node.answers);
    answers.values().filter(|answer| answer.get_ended_at().is_none()).cloned().collect()
}
