//! Memory that is held for callers and servers.

use std::sync::Arc;

use keeljunction_core::serving::memory::Kind;

use super::Node;

/// Bytes that are held until this is dropped.
pub struct Reservation {
    node: Arc<Node>,
    kind: Kind,
    bytes: u64,
}

impl Reservation {
    /// Makes a reservation of no bytes.
    pub fn new(node: &Arc<Node>, kind: Kind) -> Self {
        Self { node: node.clone(), kind, bytes: 0 }
    }

    /// Reserves more bytes; returns `false`, and reserves nothing, where there is no room for them.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        let is_reserved = self.node.with(|state| state.memory.reserve(self.kind, bytes));
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
    }

    /// Releases some of the bytes.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.node.with(|state| state.memory.release(self.kind, bytes));
    }

    /// Returns the bytes that are held.
    pub fn get_bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
