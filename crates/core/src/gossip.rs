//! News that ride on other messages, a bounded number of times each.

use std::collections::VecDeque;

/// Sends of one piece of news, per doubling of the number of nodes.
const SENDS_PER_DOUBLING: u32 = 3;

/// News to pass on: the least sent first, each a bounded number of times.
#[derive(Clone, Debug)]
pub struct TransmitQueue<T> {
    entries: VecDeque<Entry<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    key: String,
    news: T,
    sent: u32,
}

impl<T> Default for TransmitQueue<T> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<T: Clone> TransmitQueue<T> {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds news; it takes the place of older news with the same key.
    pub fn push(&mut self, key: &str, news: T) {
        self.entries.retain(|entry| entry.key != key);
        self.entries.push_front(Entry { key: key.to_owned(), news, sent: 0 });
    }

    /// Takes up to `most` pieces of news for one message among `nodes` nodes.
    pub fn take(&mut self, most: usize, nodes: usize) -> Vec<T> {
        let limit = send_limit(nodes);
        let count = most.min(self.entries.len());
        let mut taken = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut entry) = self.entries.pop_front() else { break };
            taken.push(entry.news.clone());
            entry.sent += 1;
            if entry.sent < limit {
                self.entries.push_back(entry);
            }
        }
        taken
    }

    /// Returns how many pieces of news wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no news wait.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Computes how often each piece of news is sent among `nodes` nodes.
fn send_limit(nodes: usize) -> u32 {
    let doublings = usize::BITS - nodes.max(1).leading_zeros();
    SENDS_PER_DOUBLING * doublings
}
