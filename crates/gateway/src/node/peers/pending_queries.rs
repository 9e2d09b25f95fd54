//! Queries to other nodes that await an answer.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};

use crate::runtime::{self, lock};

/// The pending queries with one type of answer.
#[derive(Debug)]
pub(in crate::node) struct PendingQueries<T> {
    next: AtomicU32,
    waiting: Mutex<HashMap<u32, Waiting<T>>>,
}

#[derive(Debug)]
struct Waiting<T> {
    answers_missing: usize,
    sender: Sender<T>,
}

/// A query that awaits its answers until it is dropped.
pub(super) struct PendingQuery<'a, T> {
    queries: &'a PendingQueries<T>,
    /// Identifies the query at its sender.
    pub id: u32,
    answer: Receiver<T>,
}

impl<T> Default for PendingQueries<T> {
    fn default() -> Self {
        Self { next: AtomicU32::default(), waiting: Mutex::default() }
    }
}

impl<T> PendingQueries<T> {
    /// Registers a query to one node.
    pub(super) fn begin(&self) -> PendingQuery<'_, T> {
        self.begin_many(1)
    }

    /// Registers a query to several nodes.
    pub(super) fn begin_many(&self, nodes: usize) -> PendingQuery<'_, T> {
        let (sender, answer) = async_channel::bounded(nodes.max(1));
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.waiting).insert(id, Waiting { answers_missing: nodes, sender });
        PendingQuery { queries: self, id, answer }
    }

    /// Delivers an answer; returns `false` if the query is no longer pending.
    pub(super) fn deliver(&self, id: u32, answer: T) -> bool {
        let mut waiting = lock(&self.waiting);
        let Some(query) = waiting.get_mut(&id) else { return false };
        query.answers_missing = query.answers_missing.saturating_sub(1);
        let is_taken = query.sender.try_send(answer).is_ok();
        if query.answers_missing == 0 {
            waiting.remove(&id);
        }
        is_taken
    }
}

impl<T> PendingQuery<'_, T> {
    /// Waits for the next answer; returns `None` on a timeout.
    pub(super) async fn wait(&self, within: Duration) -> Option<T> {
        let answer = runtime::timeout(within, self.answer.recv()).await;
        // The answer may have arrived just as the timeout expired.
        answer.and_then(Result::ok).or_else(|| self.answer.try_recv().ok())
    }
}

impl<T> Drop for PendingQuery<'_, T> {
    fn drop(&mut self) {
        // Once the sender is removed, no answer can be delivered to the channel.
        lock(&self.queries.waiting).remove(&self.id);
    }
}
