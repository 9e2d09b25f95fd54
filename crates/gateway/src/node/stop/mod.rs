//! Shuts the node down without interrupting responses.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::event::{self, Event};
use crate::exchange;
use crate::runtime;

/// The time for the load balancer to detect that the node is not ready: two probes, a second apart,
/// and a margin.
const BALANCER_DETECTION_PERIOD: Duration = Duration::from_millis(2_600);
/// The part of the grace period reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// The time after the last response during which a client that has just read it may send another
/// request.
const LINGER_PERIOD: Duration = Duration::from_millis(300);
/// The time before the end of the grace period at which clients that do not read are disconnected.
/// Their responses cannot be delivered any more, and the node can shut down cleanly.
const DISCONNECT_MARGIN: Duration = Duration::from_millis(800);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shuts down: becomes unready at once, serves new requests until the load balancer has noticed,
/// and then waits for in-flight responses, up to the grace period.
pub async fn run(node: &Arc<Node>) {
    if !node.begin_stop() {
        return;
    }
    event::emit(&Event::Stopping { in_flight: node.get_in_flight() });
    let grace = Duration::from_secs_f64(node.settings.bounds.grace_s).saturating_sub(EXIT_MARGIN);
    let detection_period = BALANCER_DETECTION_PERIOD.min(grace / 2);
    runtime::sleep(detection_period).await;
    node.listener_stop.send();
    let disconnect_at =
        runtime::boottime_now() + (grace - detection_period).saturating_sub(DISCONNECT_MARGIN);
    let drained = runtime::timeout(grace - detection_period, async {
        while node.get_in_flight() > 0 {
            if runtime::boottime_now() >= disconnect_at {
                exchange::disconnect_stalled(node);
            }
            runtime::sleep(POLL_INTERVAL).await;
        }
        runtime::sleep(LINGER_PERIOD).await;
    });
    let is_whole = drained.await.is_some();
    event::emit(&Event::Stopped { is_whole, in_flight: node.get_in_flight() });
}
