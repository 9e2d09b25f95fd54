//! Reads ahead for callers that read slowly, and disconnects those that do not read.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::serving::read_ahead::{Caller, READ_BYTES, STALL_TIMEOUT, pick_stalled};

use crate::active_responses::{ResponseHandle, ResponseStatus};
use crate::event::{self, Event};
use crate::metrics::ReasonLabels;
use crate::node::Node;
use crate::runtime;

/// The time between two looks at all callers: a small part of the seconds after which servers cut off
/// an answer that nobody reads, and of the second after which a caller counts as resting.
const LOOK: Duration = Duration::from_millis(100);
/// The part of the memory for callers and servers above which callers at rest are disconnected.
const PRESSED_PART: f64 = 0.9;
/// The part down to which they are disconnected; the gap spares a series of single disconnections.
const EASED_PART: f64 = 0.8;

/// Looks after callers for as long as the node runs.
pub fn watch(node: &Arc<Node>) {
    let node = node.clone();
    runtime::spawn_periodic(LOOK, move || {
        look_at_all(&node);
        std::future::ready(())
    });
}

/// Disconnects all callers that rest; called shortly before the node ends.
pub fn disconnect_stalled(node: &Node) {
    let now = node.now();
    for feed in node.active_responses.list() {
        let Some(look) = (feed.check_status)(now) else { continue };
        if look.caller.stalled >= STALL_TIMEOUT {
            disconnect(node, &feed, &look, "stopping");
        }
    }
}

fn look_at_all(node: &Node) {
    let now = node.now();
    let feeds = node.active_responses.list();
    let looked = feeds.iter().filter_map(|feed| Some((feed, (feed.check_status)(now)?)));
    let looked: Vec<(&Arc<ResponseHandle>, ResponseStatus)> = looked.collect();
    for (feed, look) in looked.iter().filter(|(_, look)| look.is_too_slow) {
        disconnect(node, feed, look, "no_progress");
    }
    let is_short = looked.iter().any(|(_, look)| look.is_short);
    let missing = find_missing(node, is_short);
    if missing == 0 {
        return;
    }
    let callers: Vec<Caller> =
        looked.iter().filter(|(_, look)| !look.is_too_slow).map(|(_, look)| look.caller).collect();
    let picked = pick_stalled(&callers, missing);
    for (feed, look) in looked.iter().filter(|(_, look)| picked.contains(&look.caller.id)) {
        disconnect(node, feed, look, "memory");
    }
}

/// Returns the bytes that callers should free.
fn find_missing(node: &Node, is_short: bool) -> usize {
    let (total, capacity) =
        node.with(|state| (state.memory.get_total() as f64, state.memory.get_capacity() as f64));
    if total < capacity * PRESSED_PART {
        return if is_short { READ_BYTES } else { 0 };
    }
    (total - capacity * EASED_PART) as usize
}

fn disconnect(node: &Node, feed: &ResponseHandle, look: &ResponseStatus, reason: &'static str) {
    event::emit(&Event::CallerDisconnected {
        request: &feed.request,
        reason,
        held_bytes: look.caller.bytes,
        resting_ms: look.caller.stalled,
    });
    let labels = ReasonLabels { reason: reason.to_owned() };
    node.metrics.callers_disconnected.get_or_create(&labels).inc();
    (feed.disconnect)(reason);
}
