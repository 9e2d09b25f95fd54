//! Piggybacked gossip: updates ride on other messages, each a bounded number of times.

use std::collections::VecDeque;

/// Transmissions of one update per doubling of the number of nodes.
const TRANSMITS_PER_DOUBLING: u32 = 3;

/// A queue of updates to transmit: the least transmitted first, each a bounded number of times.
#[derive(Clone, Debug)]
pub struct TransmitQueue<T> {
    entries: VecDeque<Entry<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    key: String,
    update: T,
    transmissions: u32,
}

impl<T> Default for TransmitQueue<T> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<T: Clone> TransmitQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an update, replacing any earlier update with the same key.
    pub fn push(&mut self, key: &str, update: T) {
        self.entries.retain(|entry| entry.key != key);
        self.entries.push_front(Entry { key: key.to_owned(), update, transmissions: 0 });
    }

    /// Takes up to `max` updates for one message in a cluster of `nodes` nodes.
    pub fn take(&mut self, max: usize, nodes: usize) -> Vec<T> {
        let limit = get_transmit_limit(nodes);
        let count = max.min(self.entries.len());
        let mut taken = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut entry) = self.entries.pop_front() else { break };
            taken.push(entry.update.clone());
            entry.transmissions += 1;
            if entry.transmissions < limit {
                self.entries.push_back(entry);
            }
        }
        taken
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns how often each update is transmitted in a cluster of `nodes` nodes.
fn get_transmit_limit(nodes: usize) -> u32 {
    let doublings = usize::BITS - nodes.max(1).leading_zeros();
    TRANSMITS_PER_DOUBLING * doublings
}
