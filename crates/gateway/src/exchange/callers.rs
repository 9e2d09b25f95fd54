//! Reads ahead for slow callers, and disconnects callers that have stopped reading.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::serving::read_ahead::{Caller, READ_BYTES, STALL_TIMEOUT_MS, pick_stalled};

use crate::active_responses::{ResponseHandle, ResponseStatus};
use crate::event::{self, Event};
use crate::metrics::ReasonLabels;
use crate::node::Node;
use crate::runtime;

/// Interval between two checks of all callers. It is a small fraction of the seconds after which
/// servers abort a response that is not read, and of the second after which a caller counts as
/// stalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the memory budget above which stalled callers are disconnected.
const HIGH_WATERMARK_RATIO: f64 = 0.9;
/// Fraction down to which they are disconnected. The gap avoids a series of single disconnects.
const LOW_WATERMARK_RATIO: f64 = 0.8;

/// Checks all callers periodically while the node runs.
pub fn watch(node: &Arc<Node>) {
    let node = node.clone();
    runtime::spawn_periodic(CHECK_INTERVAL, move || {
        check_all(&node);
        std::future::ready(())
    });
}

/// Disconnects stalled callers shortly before the node stops: those whose servers are still at work, and
/// the others too if `includes_ended`.
pub fn disconnect_stalled(node: &Node, includes_ended: bool) {
    let now = node.now();
    for feed in node.active_responses.list() {
        let Some(status) = (feed.check_status)(now) else { continue };
        let is_due = includes_ended || !status.is_ended;
        if is_due && status.caller.stalled >= STALL_TIMEOUT_MS {
            disconnect(node, &feed, &status, "stopping");
        }
    }
}

fn check_all(node: &Node) {
    let now = node.now();
    let feeds = node.active_responses.list();
    let checked = feeds.iter().filter_map(|feed| Some((feed, (feed.check_status)(now)?)));
    let checked: Vec<(&Arc<ResponseHandle>, ResponseStatus)> = checked.collect();
    for (feed, status) in checked.iter().filter(|(_, status)| status.is_too_slow) {
        disconnect(node, feed, status, "no_progress");
    }
    let is_short_of_memory = checked.iter().any(|(_, status)| status.is_short_of_memory);
    let bytes_to_free = get_bytes_to_free(node, is_short_of_memory);
    if bytes_to_free == 0 {
        return;
    }
    let callers: Vec<Caller> = checked
        .iter()
        .filter(|(_, status)| !status.is_too_slow)
        .map(|(_, status)| status.caller)
        .collect();
    let picked = pick_stalled(&callers, bytes_to_free);
    for (feed, status) in checked.iter().filter(|(_, status)| picked.contains(&status.caller.id)) {
        disconnect(node, feed, status, "memory");
    }
}

/// Returns the number of bytes to free by disconnecting callers.
fn get_bytes_to_free(node: &Node, is_short_of_memory: bool) -> usize {
    let (total, capacity) =
        node.with(|state| (state.memory.get_total() as f64, state.memory.get_capacity() as f64));
    if total < capacity * HIGH_WATERMARK_RATIO {
        return if is_short_of_memory { READ_BYTES } else { 0 };
    }
    (total - capacity * LOW_WATERMARK_RATIO) as usize
}

fn disconnect(node: &Node, feed: &ResponseHandle, status: &ResponseStatus, reason: &'static str) {
    event::emit(&Event::CallerDisconnected {
        request: &feed.request,
        reason,
        held_bytes: status.caller.bytes,
        resting_ms: status.caller.stalled,
    });
    let labels = ReasonLabels { reason: reason.to_owned() };
    node.metrics.callers_disconnected.get_or_create(&labels).inc();
    (feed.disconnect)(reason);
}
