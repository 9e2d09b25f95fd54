//! Decides which requests a node that shuts down still sends to servers.

use keeljunction_core::Millis;

use crate::event::{self, Event};
use crate::node::Node;

/// `Retry-After` in milliseconds if this node is shutting down. Other nodes can serve the request at
/// once.
pub(super) const RETRY_AFTER_MS: Millis = 1;

/// Returns `false` if the node is shutting down, and a request that a server begins now would probably
/// not end before the exit. The request is abandoned at `deadline`, on the node's clock.
pub(super) fn can_end(node: &Node, request: &str, route: &str, deadline: Millis) -> bool {
    let now = node.now();
    let Some(shutdown) = node.get_shutdown(now) else { return true };
    let timeout = deadline.saturating_sub(now);
    let expected = node.with(|state| shutdown.estimate(now, &state.response_times, route));
    let is_begun = shutdown.admits(expected, timeout);
    event::emit(&Event::StoppingRequestDecided {
        request,
        route,
        is_begun,
        elapsed_ms: shutdown.elapsed,
        remaining_ms: shutdown.remaining,
        expected_ms: expected,
        timeout_ms: timeout,
    });
    is_begun
}
