//! Load queries that await answers, and load changes to be sent.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use async_channel::{Receiver, Sender};

use crate::runtime::lock;

/// The maximum number of queued changes. Further ones are dropped, and sent with the next
/// repetition of all loads.
const CHANGE_CAPACITY: usize = 1_024;

/// Pending queries and queued changes.
#[derive(Debug)]
pub(in crate::node) struct Pending {
    next: AtomicU32,
    waiting: Mutex<HashMap<u32, Query>>,
    pub(super) changes: (Sender<Change>, Receiver<Change>),
}

#[derive(Debug)]
struct Query {
    answers_missing: usize,
    is_any_answered: bool,
    done: Sender<()>,
}

/// A query that awaits its answers until it is dropped, which may happen early because the client
/// disconnects.
pub(super) struct PendingQuery<'a> {
    pending: &'a Pending,
    pub(super) id: u32,
    pub(super) done: Receiver<()>,
}

/// A change of this node's load at a server.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) server: u64,
    /// The server's data centre; empty with a single region.
    pub(super) data_centre: String,
    /// `true` if a request is being sent there, which other nodes must know before they pick a
    /// server.
    pub(super) is_urgent: bool,
}

impl Default for Pending {
    fn default() -> Self {
        let changes = async_channel::bounded(CHANGE_CAPACITY);
        Self { next: AtomicU32::default(), waiting: Mutex::default(), changes }
    }
}

impl Pending {
    pub(super) fn begin(&self, answers_missing: usize) -> PendingQuery<'_> {
        let (sender, done) = async_channel::bounded(1);
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let query = Query { answers_missing, is_any_answered: false, done: sender };
        lock(&self.waiting).insert(id, query);
        PendingQuery { pending: self, id, done }
    }

    pub(super) fn answer(&self, id: u32) {
        let mut waiting = lock(&self.waiting);
        let Some(query) = waiting.get_mut(&id) else { return };
        query.answers_missing = query.answers_missing.saturating_sub(1);
        query.is_any_answered = true;
        if query.answers_missing == 0 {
            // The receiver may have been dropped because the client disconnected.
            let _ = query.done.try_send(());
        }
    }

    pub(super) fn change(&self, change: Change) {
        if self.changes.0.try_send(change).is_err() {
            log::debug!("load change queue is full; the next repetition carries the change");
        }
    }
}

impl PendingQuery<'_> {
    pub(super) fn is_any_answered(&self) -> bool {
        let waiting = lock(&self.pending.waiting);
        waiting.get(&self.id).is_some_and(|query| query.is_any_answered)
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        lock(&self.pending.waiting).remove(&self.id);
    }
}
