//! Questions to other nodes that wait for answers.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};

use crate::runtime::{self, lock};

/// Questions that wait for answers of one kind.
#[derive(Debug)]
pub(in crate::node) struct Questions<T> {
    next: AtomicU32,
    waiting: Mutex<HashMap<u32, Sender<T>>>,
}

/// A question that waits for its answer, until it is dropped.
pub(super) struct Question<'a, T> {
    questions: &'a Questions<T>,
    /// Names the question at the one who asks.
    pub number: u32,
    answer: Receiver<T>,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self { next: AtomicU32::default(), waiting: Mutex::default() }
    }
}

impl<T> Questions<T> {
    /// Begins a question.
    pub(super) fn begin(&self) -> Question<'_, T> {
        let (sender, answer) = async_channel::bounded(1);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.waiting).insert(number, sender);
        Question { questions: self, number, answer }
    }

    /// Answers a question; returns `false` where nobody waits for the answer any more.
    pub(super) fn answer(&self, number: u32, answer: T) -> bool {
        let waiting = lock(&self.waiting).remove(&number);
        waiting.is_some_and(|sender| sender.try_send(answer).is_ok())
    }
}

impl<T> Question<'_, T> {
    /// Waits for the answer; `None` where it does not come in time.
    pub(super) async fn wait(&self, within: Duration) -> Option<T> {
        let answer = runtime::timeout(within, self.answer.recv()).await;
        // An answer may have come at the end of that time.
        answer.and_then(Result::ok).or_else(|| self.answer.try_recv().ok())
    }
}

impl<T> Drop for Question<'_, T> {
    fn drop(&mut self) {
        // No answer can be put into the channel while its sender is not in the table.
        lock(&self.questions.waiting).remove(&self.number);
    }
}
