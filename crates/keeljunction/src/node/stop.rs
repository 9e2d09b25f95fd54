//! Graceful shutdown.
//!
//! The node reports that it is not ready and leaving, and accepts requests for a grace period until
//! the load balancer has noticed. It then drains the requests in flight, and hands over those that
//! would exceed the time limit to the holders of their records.

use std::sync::Arc;
use std::time::Duration;

use super::{Answer, Node, copy};
use crate::runtime;

/// Time reserved at the end for handing over requests.
const HANDOVER_RESERVE: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    while node.now() < handover_at && !unfinished(node).is_empty() {
        runtime::sleep(POLL_INTERVAL).await;
    }
    for answer in unfinished(node) {
        let is_handed_over = copy::hand_over(node, &answer).await;
        node.metric.count("requests_handed_over", 1);
        log::info!("handover of request {}: accepted={is_handed_over}", answer.request.key);
    }
}

fn unfinished(node: &Node) -> Vec<Arc<Answer>> {
    let answers = runtime::lock(&node.answers);
    answers.values().filter(|answer| answer.get_ended_at().is_none()).cloned().collect()
}
