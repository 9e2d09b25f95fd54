//! Tracks for how long a response has been open.

use std::sync::Arc;

use keeljunction_core::Millis;

use crate::node::Node;

/// A response that is open, or about to begin, until this is dropped.
pub(super) struct OpenResponse {
    node: Arc<Node>,
    route: String,
    arrived_at: Millis,
    is_complete: bool,
}

impl OpenResponse {
    /// Tracks the response to a request of a route that arrived at a time.
    pub fn begin(node: &Arc<Node>, route: &str, arrived_at: Millis) -> Self {
        node.with(|state| state.response_times.begin(route, arrived_at));
        Self { node: node.clone(), route: route.to_owned(), arrived_at, is_complete: false }
    }

    /// Records that the caller has the whole response.
    pub fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        let age = self.node.now().saturating_sub(self.arrived_at);
        self.node.with(|state| {
            state.response_times.end(&self.route, self.arrived_at);
            if !self.is_complete {
                state.response_times.record_abandoned(&self.route, self.arrived_at, age);
            }
        });
    }
}
