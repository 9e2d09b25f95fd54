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
const HANDOVER: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(20);

/// Begins to stop, within a time; a second call changes nothing.
pub fn begin(node: &Arc<Node>, within: Duration) {
    if !node.set_stopping() {
        return;
    }
    log::info!("stopping within {} ms", within.as_millis());
    let node = node.clone();
    runtime::spawn(async move {
        run(&node, within).await;
        node.ended.send();
    });
}

async fn run(node: &Arc<Node>, within: Duration) {
    let started = node.now();
    runtime::lock(&node.members).leave();
    node.post_news();
    unfinished(node).iter().for_each(|answer| answer.press());
    let grace = Duration::from_millis(node.settings.times.stop_grace_ms).min(within / 4);
    runtime::sleep(grace).await;
    node.close();
    let until = started + within.saturating_sub(HANDOVER).as_millis() as u64;
    while node.now() < until && !unfinished(node).is_empty() {
        runtime::sleep(LOOK).await;
    }
    for answer in unfinished(node) {
        let is_taken = copy::hand_over(node, &answer).await;
        node.metric.count("requests_handed_over", 1);
        log::info!("handed over {}: {is_taken}", answer.request.key);
    }
}

fn unfinished(node: &Node) -> Vec<Arc<Answer>> {
    let answers = runtime::lock(&node.answers);
    answers.values().filter(|answer| answer.get_ended_at().is_none()).cloned().collect()
}
