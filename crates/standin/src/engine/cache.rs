//! The prefix cache and its events.

use std::collections::{HashMap, VecDeque};

use keeljunction::backend::Event;
use keeljunction_core::route::BLOCK_TOKENS;

/// Number of recent events kept for readers.
const EVENT_LOG_CAPACITY: usize = 2_000;

/// An LRU cache of prefix blocks.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    events: VecDeque<Event>,
    next_event: u64,
    event_loss_interval: u64,
}

impl Cache {
    /// Creates an empty cache that drops one of every `event_loss_interval` events; 0 drops none.
    pub fn new(capacity: usize, event_loss_interval: u64) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            events: VecDeque::new(),
            next_event: 0,
            event_loss_interval,
        }
    }

    /// Returns the token count of the longest cached prefix of `blocks`.
    pub fn count_cached_tokens(&self, blocks: &[u64]) -> u64 {
        let cached = blocks.iter().take_while(|block| self.last_used.contains_key(block));
        (cached.count() * BLOCK_TOKENS) as u64
    }

    /// Stores blocks, or marks them as used, and evicts the least recently used ones.
    pub fn store(&mut self, blocks: &[u64]) {
        let mut stored = Vec::new();
        for block in blocks {
            self.clock += 1;
            if self.last_used.insert(*block, self.clock).is_none() {
                stored.push(*block);
            }
        }
        let evicted = self.evict();
        if !stored.is_empty() || !evicted.is_empty() {
            self.publish(Event { number: self.next_event, stored, evicted });
        }
    }

    /// Returns the events whose number is at least `number`.
    pub fn get_events_from(&self, number: u64) -> Vec<Event> {
        self.events.iter().filter(|event| event.number >= number).cloned().collect()
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        if self.last_used.len() > self.capacity {
            let mut by_age: Vec<(u64, u64)> =
                self.last_used.iter().map(|(block, last_used)| (*last_used, *block)).collect();
            by_age.sort_unstable();
            for (_, block) in by_age.into_iter().take(self.last_used.len() - self.capacity) {
                self.last_used.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }

    fn publish(&mut self, event: Event) {
        self.next_event += 1;
        let is_lost = self.event_loss_interval > 0
            && event.number % self.event_loss_interval == self.event_loss_interval - 1;
        if !is_lost {
            self.events.push_back(event);
        }
        if self.events.len() > EVENT_LOG_CAPACITY {
            self.events.pop_front();
        }
    }
}
