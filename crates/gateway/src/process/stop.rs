//! Shuts the node down without interrupting responses.
//!
//! | time | step |
//! |---|---|
//! | stop signal | the node is unready, and each response closes its connection |
//! | [`Schedule::accepts_for`] | the load balancer has noticed: the listener and idle connections close |
//! | [`Schedule::reads_heads_for`] | connections whose request head is incomplete close |
//! | [`Schedule::disconnects_after`] | clients that do not read are disconnected if their servers are still at work |
//! | [`Schedule::disconnects_all_after`] | all clients that do not read are disconnected |
//! | [`Schedule::ends_after`] | the process exits, whatever is still open |
//!
//! Once the listener is closed, the process exits as soon as it has no [`Obligations`](crate::obligations::Obligations). A request that
//! would outlast the shutdown is rejected at once, so that its client can use another node.

use std::sync::Arc;
use std::time::Duration;

use crate::event::{self, Event};
use crate::exchange;
use crate::node::Node;
use crate::node::stop::{self, Schedule};
use crate::runtime;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout for closing the connections that are open at the exit.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(200);

/// Shuts down: serves new requests until the load balancer has noticed, and then all that are under
/// way, up to the grace period.
pub async fn run(node: &Arc<Node>) {
    let Some(schedule) = node.begin_stop() else { return };
    let obligations = stop::list_obligations(node);
    let signal_delay_ms = node.get_signal_delay().as_millis() as u64;
    event::emit(&Event::Stopping {
        in_flight: obligations.requests,
        open: obligations,
        signal_delay_ms,
    });
    let started_at = runtime::boottime_now();
    runtime::sleep(schedule.accepts_for).await;
    node.shutdown.accepting.send();
    let is_whole = drain(node, &schedule, started_at).await;
    stop::leave_peers(node).await;
    let open = stop::list_obligations(node);
    let stopped_after_ms = (runtime::boottime_now() - started_at).as_millis() as u64;
    event::emit(&Event::Stopped { is_whole, in_flight: open.requests, open, stopped_after_ms });
    abandon_open(node).await;
}

/// Closes the connections that are still open, so that the end of each request is logged.
async fn abandon_open(node: &Node) {
    node.shutdown.responding.send();
    let closed = runtime::timeout(ABANDON_TIMEOUT, async {
        while node.get_in_flight() > 0 {
            runtime::sleep(POLL_INTERVAL).await;
        }
    });
    if closed.await.is_none() {
        let open = node.get_in_flight();
        log::warn!("{open} requests were still open when the process exited");
    }
}

/// Waits until the node has no obligations. Returns `false` if it still has some at the end.
async fn drain(node: &Arc<Node>, schedule: &Schedule, started_at: Duration) -> bool {
    while !stop::list_obligations(node).is_empty() {
        let elapsed = runtime::boottime_now().saturating_sub(started_at);
        if elapsed >= schedule.ends_after {
            return false;
        }
        if elapsed >= schedule.reads_heads_for {
            node.shutdown.reading.send();
        }
        if elapsed >= schedule.disconnects_after {
            exchange::disconnect_stalled(node, elapsed >= schedule.disconnects_all_after);
        }
        runtime::sleep(POLL_INTERVAL).await;
    }
    true
}
