//! Counts the requests that this node relays for others.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Requests that a node relays at the same time. Their bodies are streamed, so each needs little
/// memory.
const MAX_RELAYED_REQUESTS: usize = 128;

/// The number of requests that this node relays for others.
#[derive(Debug, Default)]
pub(super) struct ActiveRelays(AtomicUsize);

impl ActiveRelays {
    /// Counts a request. Returns `false` if the node relays as many as it may already.
    pub fn begin(&self) -> bool {
        let begin = |count| (count < MAX_RELAYED_REQUESTS).then_some(count + 1);
        self.0.fetch_update(Ordering::SeqCst, Ordering::SeqCst, begin).is_ok()
    }

    /// Removes a request from the count.
    pub fn end(&self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
