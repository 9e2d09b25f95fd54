//! The prefix cache and the events that it publishes.

use std::collections::{HashMap, VecDeque};

use keeljunction::backend::Event;
use keeljunction_core::route::BLOCK_TOKENS;

/// Events that are kept to be read.
const KEPT_EVENTS: usize = 2_000;

/// Blocks in the order of their last use, up to a number.
#[derive(Debug)]
pub struct Cache {
    most: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    events: VecDeque<Event>,
    next_event: u64,
    gap: u64,
}

impl Cache {
    /// Makes an empty cache; every `gap`-th event is lost, none where it is 0.
    pub fn new(most: usize, gap: u64) -> Self {
        Self { most, clock: 0, used: HashMap::new(), events: VecDeque::new(), next_event: 0, gap }
    }

    /// Counts the tokens of the longest prefix that is held.
    pub fn held_tokens(&self, blocks: &[u64]) -> u64 {
        let held = blocks.iter().take_while(|block| self.used.contains_key(block));
        (held.count() * BLOCK_TOKENS) as u64
    }

    /// Holds these blocks from now on, and lets go of those that were not used for longest.
    pub fn store(&mut self, blocks: &[u64]) {
        let mut stored = Vec::new();
        for block in blocks {
            self.clock += 1;
            if self.used.insert(*block, self.clock).is_none() {
                stored.push(*block);
            }
        }
        let evicted = self.evict();
        if !stored.is_empty() || !evicted.is_empty() {
            self.tell(Event { number: self.next_event, stored, evicted });
        }
    }

    /// Returns the events from a number on.
    pub fn events_from(&self, number: u64) -> Vec<Event> {
        self.events.iter().filter(|event| event.number >= number).cloned().collect()
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        if self.used.len() > self.most {
            let mut by_age: Vec<(u64, u64)> =
                self.used.iter().map(|(block, at)| (*at, *block)).collect();
            by_age.sort_unstable();
            for (_, block) in by_age.into_iter().take(self.used.len() - self.most) {
                self.used.remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }

    fn tell(&mut self, event: Event) {
        self.next_event += 1;
        let is_lost = self.gap > 0 && event.number % self.gap == self.gap - 1;
        if !is_lost {
            self.events.push_back(event);
        }
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
