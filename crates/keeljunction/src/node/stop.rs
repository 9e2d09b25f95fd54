//! Stops without cutting anything.
//!
//! The node says that it is not ready and that it leaves, goes on taking requests for a moment
//! until the balancer has seen it, lets what is in flight finish, and gives up to the holders of
//! their records what would outlast the time that is left.

use std::sync::Arc;
use std::time::Duration;

use super::{Answer, Node, copy};
use crate::runtime;

/// Time kept at the end for handing requests over.
const HANDOVER_RESERVE: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Begins to stop, within a time; a second call changes nothing.
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
        log::info!("handed over {}: {is_handed_over}", answer.request.key);
    }
}

fn unfinished(node: &Node) -> Vec<Arc<Answer>> {
    let answers = runtime::lock(&node.answers);
    answers.values().filter(|answer| answer.get_ended_at().is_none()).cloned().collect()
}
