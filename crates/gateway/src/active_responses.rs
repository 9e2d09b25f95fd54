//! A registry of the responses that are being relayed, used to find callers that do not read.
//!
//! The registry does not depend on how a response is relayed: each response is registered with the
//! operations that it supports.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use keeljunction_core::Millis;
use keeljunction_core::serving::read_ahead::Caller;

use crate::runtime::lock;

/// The responses that a node is relaying, by ID.
#[derive(Default)]
pub struct ActiveResponses {
    next_id: AtomicU64,
    handles: Mutex<HashMap<u64, Arc<ResponseHandle>>>,
}

/// The operations on a response that is being relayed.
pub struct ResponseHandle {
    /// The ID of the request.
    pub request: String,
    /// Updates and returns the status, or returns `None` if the response has ended.
    pub check_status: Box<dyn Fn(Millis) -> Option<ResponseStatus> + Send + Sync>,
    /// Aborts the response for the given reason and resets the caller's connection.
    pub disconnect: Box<dyn Fn(&'static str) + Send + Sync>,
}

/// The status of a response that is being relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseStatus {
    /// The caller, with the number of bytes buffered for it.
    pub caller: Caller,
    /// Whether the caller has been reading too slowly for too long.
    pub is_too_slow: bool,
    /// Whether the server has ended its response, so that only the caller's reading is awaited.
    pub is_ended: bool,
    /// Whether memory is insufficient for the data read from the server.
    pub is_short_of_memory: bool,
}

impl ActiveResponses {
    /// Returns a unique ID for a response.
    pub fn make_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a response.
    pub fn add(&self, id: u64, handle: ResponseHandle) {
        lock(&self.handles).insert(id, Arc::new(handle));
    }

    /// Removes a response.
    pub fn remove(&self, id: u64) {
        lock(&self.handles).remove(&id);
    }

    /// Returns the handles of all responses.
    pub fn list(&self) -> Vec<Arc<ResponseHandle>> {
        lock(&self.handles).values().cloned().collect()
    }
}
