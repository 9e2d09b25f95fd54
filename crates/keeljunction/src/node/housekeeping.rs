//! Forgets what is old.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::runtime;

const SWEEP: Duration = Duration::from_secs(1);

/// Forgets answers and records that nobody can want any more, for as long as the process lives.
pub async fn sweep(node: Arc<Node>) {
    loop {
        forget(&node);
        runtime::sleep(SWEEP).await;
    }
}

fn forget(node: &Node) {
    let now = node.now();
    let keep = node.settings.times.keep_answer_ms;
    runtime::lock(&node.answers)
        .retain(|_, answer| answer.get_ended_at().is_none_or(|ended| now < ended + keep));
    runtime::lock(&node.records).retain(|_, held| now < held.deadline + keep);
    node.metric.gauge("requests_running", node.get_running() as u64);
    node.metric.gauge("records_held", runtime::lock(&node.records).len() as u64);
}
