//! The work that a process must complete before it exits.

use serde::Serialize;

use crate::http::PhaseCounts;

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
    /// Returns `true` if there are none. Idle connections count until they are closed, which a
    /// shutdown does when it closes the listener.
    pub fn is_empty(&self) -> bool {
        let Self { is_accepting, connections, requests, messages } = *self;
        !is_accepting && connections.get_total() == 0 && requests == 0 && messages == 0
    }
}
