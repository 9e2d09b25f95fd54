//! Which prompt prefixes a backend server is thought to hold in its cache.
//!
//! A prompt is cut into blocks; each block's hash covers all before it, so one hash names a whole
//! prefix. The index starts from what was sent and is corrected by the engine's cache events,
//! which come late and with gaps: a gap drops what was claimed of that server.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// Counts the tokens of a text, taking each word as one.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Computes the hash of each whole block of a prompt, in order.
pub fn hash_blocks(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut seed = 0;
    let mut hashes = Vec::with_capacity(words.len() / BLOCK_TOKENS);
    for block in words.chunks_exact(BLOCK_TOKENS) {
        for word in block {
            seed = xxh3_64_with_seed(word.as_bytes(), seed);
        }
        hashes.push(seed);
    }
    hashes
}

/// The blocks that each of a few servers is thought to hold, bounded per server.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    per_server: usize,
    servers: HashMap<String, Held>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    /// The number of the event expected next, once one has come.
    next_event: Option<u64>,
    stamps: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
}

impl PrefixIndex {
    /// Makes an index that remembers up to `per_server` blocks of each server.
    pub fn new(per_server: usize) -> Self {
        Self { per_server, servers: HashMap::new() }
    }

    /// Notes that a prompt with these blocks was sent to a server.
    pub fn insert(&mut self, server: &str, blocks: &[u64]) {
        let held = self.servers.entry(server.to_owned()).or_default();
        for block in blocks {
            held.touch(*block);
        }
        held.trim(self.per_server);
    }

    /// Takes one cache event in: its number, and the blocks stored and evicted.
    ///
    /// Returns false where events before it are missing; all claims of the server are dropped.
    pub fn apply(&mut self, server: &str, number: u64, stored: &[u64], evicted: &[u64]) -> bool {
        let held = self.servers.entry(server.to_owned()).or_default();
        if held.next_event.is_some_and(|next| number < next) {
            return true;
        }
        let is_gapless = held.next_event.is_none_or(|next| number == next);
        if !is_gapless {
            held.stamps.clear();
            held.order.clear();
        }
        held.next_event = Some(number + 1);
        for block in evicted {
            held.stamps.remove(block);
        }
        for block in stored {
            held.touch(*block);
        }
        held.trim(self.per_server);
        is_gapless
    }

    /// Counts the tokens of the longest prefix that a server is thought to hold.
    pub fn cached_tokens(&self, server: &str, blocks: &[u64]) -> u64 {
        let Some(held) = self.servers.get(server) else { return 0 };
        let count = blocks.iter().take_while(|block| held.stamps.contains_key(block)).count();
        (count * BLOCK_TOKENS) as u64
    }

    /// Forgets a server.
    pub fn remove(&mut self, server: &str) {
        self.servers.remove(server);
    }
}

impl Held {
    fn touch(&mut self, block: u64) {
        self.clock += 1;
        self.stamps.insert(block, self.clock);
        self.order.push_back((block, self.clock));
    }

    fn trim(&mut self, most: usize) {
        while self.stamps.len() > most || self.order.len() > 2 * most {
            let Some((block, stamp)) = self.order.pop_front() else { return };
            if self.stamps.get(&block) == Some(&stamp) {
                if self.stamps.len() > most {
                    self.stamps.remove(&block);
                } else {
                    self.order.push_back((block, stamp));
                    if self.order.len() <= self.stamps.len() {
                        return;
                    }
                }
            }
        }
    }
}
