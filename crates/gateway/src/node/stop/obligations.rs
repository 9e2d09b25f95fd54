//! The work that a process must complete before it exits.

use serde::Serialize;

use crate::http::PhaseCounts;
use crate::node::Node;

/// The work that a process must complete before it exits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Obligations {
    /// Whether the listener may still hand over connections of clients.
    pub is_accepting: bool,
    /// The connections of clients.
    pub connections: PhaseCounts,
    /// Requests of clients and peers whose responses have not ended.
    pub requests: usize,
    /// Messages to other nodes that are queued.
    pub messages: usize,
}

impl Obligations {
    /// Lists the obligations of a node.
    pub fn list(node: &Node) -> Self {
        Self {
            is_accepting: node.connections.is_accepting(),
            connections: node.connections.count(),
            requests: node.get_in_flight(),
            messages: node.notifications.1.len() + node.slot_changes.1.len(),
        }
    }

    /// Returns `true` if there are none. Idle connections count until they are closed, which a
    /// shutdown does when it closes the listener.
    pub fn is_empty(&self) -> bool {
        let Self { is_accepting, connections, requests, messages } = *self;
        !is_accepting && connections.get_total() == 0 && requests == 0 && messages == 0
    }
}
