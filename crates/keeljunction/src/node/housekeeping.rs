//! Removal of expired answers and records.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::runtime;

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Removes expired answers and records periodically. Never returns.
pub async fn sweep(node: Arc<Node>) {
    loop {
        remove_expired(&node);
        runtime::sleep(SWEEP_INTERVAL).await;
    }
}

fn remove_expired(node: &Node) {
    let now = node.now();
    let retention_ms = node.settings.times.keep_answer_ms;
    runtime::lock(&node.answers)
        .retain(|_, answer| answer.get_ended_at().is_none_or(|ended| now < ended + retention_ms));
    runtime::lock(&node.records).retain(|_, held| now < held.deadline + retention_ms);
    node.metric.gauge("requests_running", node.get_running() as u64);
    node.metric.gauge("records_held", runtime::lock(&node.records).len() as u64);
}
