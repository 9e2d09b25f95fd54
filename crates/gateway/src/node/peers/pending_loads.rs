//! Questions for the loads of servers that wait for answers, and changed loads that wait to be sent.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use async_channel::{Receiver, Sender};

use crate::runtime::lock;

/// Changes that wait to be sent; more are dropped, and are repeated with all the others.
const MOST_CHANGES: usize = 1_024;

/// Questions that wait for answers, and changes that wait to be sent.
#[derive(Debug)]
pub(in crate::node) struct Pending {
    next: AtomicU32,
    waiting: Mutex<HashMap<u32, Question>>,
    pub(super) changes: (Sender<Change>, Receiver<Change>),
}

#[derive(Debug)]
struct Question {
    answers_missing: usize,
    is_any_answered: bool,
    done: Sender<()>,
}

/// A question that waits for its answers, until it is dropped: its caller may leave meanwhile.
pub(super) struct Waiting<'a> {
    pending: &'a Pending,
    pub(super) number: u32,
    pub(super) done: Receiver<()>,
}

/// A change of what this node has in flight at a server.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) server: u64,
    /// The server's data centre, where there are several regions.
    pub(super) data_centre: String,
    /// Whether a request is being sent there, which others must know before they choose.
    pub(super) is_urgent: bool,
}

impl Default for Pending {
    fn default() -> Self {
        let changes = async_channel::bounded(MOST_CHANGES);
        Self { next: AtomicU32::default(), waiting: Mutex::default(), changes }
    }
}

impl Pending {
    pub(super) fn begin(&self, answers_missing: usize) -> Waiting<'_> {
        let (sender, done) = async_channel::bounded(1);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let question = Question { answers_missing, is_any_answered: false, done: sender };
        lock(&self.waiting).insert(number, question);
        Waiting { pending: self, number, done }
    }

    pub(super) fn answer(&self, number: u32) {
        let mut waiting = lock(&self.waiting);
        let Some(question) = waiting.get_mut(&number) else { return };
        question.answers_missing = question.answers_missing.saturating_sub(1);
        question.is_any_answered = true;
        if question.answers_missing == 0 {
            // The receiver may be gone: the request's caller may have left.
            let _ = question.done.try_send(());
        }
    }

    pub(super) fn change(&self, change: Change) {
        if self.changes.0.try_send(change).is_err() {
            log::debug!("a changed load is sent with the next repetition");
        }
    }
}

impl Waiting<'_> {
    pub(super) fn is_any_answered(&self) -> bool {
        let waiting = lock(&self.pending.waiting);
        waiting.get(&self.number).is_some_and(|question| question.is_any_answered)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.pending.waiting).remove(&self.number);
    }
}
