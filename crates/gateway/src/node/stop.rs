//! Ends the node without cutting an answer.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::event::{self, Event};
use crate::exchange;
use crate::runtime;

/// Time in which the balancer notices that the node is not ready: two questions a second apart,
/// and a margin.
const BALANCER_NOTICES: Duration = Duration::from_millis(2_600);
/// Kept back at the end of the grace for the process to end by itself.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Time after the last answer in which a caller that has just read it may ask again.
const LINGER: Duration = Duration::from_millis(300);
/// Time before the end of the grace at which callers that do not read are disconnected: their
/// answers cannot be delivered any more, and the node ends as a whole.
const RELEASE_MARGIN: Duration = Duration::from_millis(800);
const LOOK: Duration = Duration::from_millis(20);

/// Stops: not ready at once, new requests served until the balancer has noticed, and then as long
/// as answers are in flight, up to the grace.
pub async fn run(node: &Arc<Node>) {
    if !node.begin_stop() {
        return;
    }
    event::emit(&Event::Stopping { in_flight: node.get_in_flight() });
    let grace = Duration::from_secs_f64(node.settings.bounds.grace_s).saturating_sub(END_MARGIN);
    let notices = BALANCER_NOTICES.min(grace / 2);
    runtime::sleep(notices).await;
    node.closing.send();
    let release_at = runtime::boottime_now() + (grace - notices).saturating_sub(RELEASE_MARGIN);
    let drained = runtime::timeout(grace - notices, async {
        while node.get_in_flight() > 0 {
            if runtime::boottime_now() >= release_at {
                exchange::disconnect_stalled(node);
            }
            runtime::sleep(LOOK).await;
        }
        runtime::sleep(LINGER).await;
    });
    let is_whole = drained.await.is_some();
    event::emit(&Event::Stopped { is_whole, in_flight: node.get_in_flight() });
}
