//! What a node that shuts down must still complete, when the steps of the shutdown happen, and how it
//! leaves the other nodes.

mod pulse;
mod schedule;
mod times;

use std::time::Duration;

pub(in crate::node) use pulse::Pulse;
pub use pulse::beat_until;
pub use schedule::Schedule;
pub(in crate::node) use times::Times;

use super::{Node, peers, stream_origins};
use crate::obligations::Obligations;
use crate::runtime;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout for closing the connections of peers, which have no request under way.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Lists the obligations of a node.
pub(crate) fn list_obligations(node: &Node) -> Obligations {
    Obligations {
        is_accepting: node.connections.is_accepting(),
        connections: node.connections.count(),
        requests: node.get_in_flight(),
        messages: node.notifications.1.len() + node.slot_changes.1.len(),
    }
}

/// Hands over what other nodes need, and closes their connections.
pub(crate) async fn leave_peers(node: &Node) {
    stream_origins::hand_over(node).await;
    peers::report::send_last(node).await;
    close_peer_connections(node).await;
}

/// Closes the connections of peers, so that they send no request on one that is about to break.
async fn close_peer_connections(node: &Node) {
    node.peer_shutdown.accepting.send();
    node.peer_shutdown.reading.send();
    let closed = runtime::timeout(PEER_CLOSE_TIMEOUT, async {
        while node.peer_connections.is_accepting() || node.peer_connections.count().get_total() > 0
        {
            runtime::sleep(POLL_INTERVAL).await;
        }
    });
    if closed.await.is_none() {
        let open = node.peer_connections.count().get_total();
        log::warn!("{open} connections of peers were still open at the end of the shutdown");
        node.peer_shutdown.responding.send();
    }
}
