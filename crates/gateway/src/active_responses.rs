//! The answers that are being passed on, so that callers that do not read are found.
//!
//! A node keeps them without knowing how an answer is passed on: each is listed with what can be done
//! to it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use keeljunction_core::Millis;
use keeljunction_core::serving::read_ahead::Caller;

use crate::runtime::lock;

/// The answers that a node passes on, by their ids.
#[derive(Default)]
pub struct ActiveResponses {
    next_id: AtomicU64,
    handles: Mutex<HashMap<u64, Arc<ResponseHandle>>>,
}

/// What can be done to an answer that is passed on.
pub struct ResponseHandle {
    /// Names the request.
    pub request: String,
    /// Notes whether the caller takes what is there; `None` where the answer has ended.
    pub check_status: Box<dyn Fn(Millis) -> Option<ResponseStatus> + Send + Sync>,
    /// Ends the answer for a reason, and resets the caller's connection.
    pub disconnect: Box<dyn Fn(&'static str) + Send + Sync>,
}

/// What a look at an answer showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseStatus {
    /// The caller, with the bytes that are held for it.
    pub caller: Caller,
    /// Whether the caller took too little for too long.
    pub is_too_slow: bool,
    /// Whether there is no memory for what was read.
    pub is_short: bool,
}

impl ActiveResponses {
    /// Returns an id that no other answer has.
    pub fn make_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds an answer.
    pub fn add(&self, id: u64, handle: ResponseHandle) {
        lock(&self.handles).insert(id, Arc::new(handle));
    }

    /// Removes an answer.
    pub fn remove(&self, id: u64) {
        lock(&self.handles).remove(&id);
    }

    /// Lists the answers.
    pub fn list(&self) -> Vec<Arc<ResponseHandle>> {
        lock(&self.handles).values().cloned().collect()
    }
}
