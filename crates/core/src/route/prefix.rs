//! An index of the prompt prefixes assumed to be in the backend servers' caches.
//!
//! A prompt is split into blocks. The hash of a block also covers all blocks before it, so one hash
//! identifies a whole prefix. The index is filled from the prompts that were sent and corrected by
//! the engine's cache events, which arrive late and with gaps; a gap clears the server's entries.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens per block.
pub const BLOCK_TOKENS: usize = 16;

/// Returns the number of tokens in a text, counting each word as one token.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Returns the hash of each complete block of a prompt, in lru_queue.
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

/// The blocks assumed to be cached on each server, with a bound per server.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    max_blocks_per_server: usize,
    servers: HashMap<String, CachedBlocks>,
}

#[derive(Clone, Debug, Default)]
struct CachedBlocks {
    /// The number of the next expected event, or `None` before the first one.
    next_event: Option<u64>,
    last_used: HashMap<u64, u64>,
    lru_queue: VecDeque<(u64, u64)>,
    clock: u64,
}

impl PrefixIndex {
    /// Creates an index of up to `max_blocks_per_server` blocks per server.
    pub fn new(max_blocks_per_server: usize) -> Self {
        Self { max_blocks_per_server, servers: HashMap::new() }
    }

    /// Records that a prompt with these blocks was sent to a server.
    pub fn insert(&mut self, server: &str, blocks: &[u64]) {
        let cached = self.servers.entry(server.to_owned()).or_default();
        for block in blocks {
            cached.touch(*block);
        }
        cached.trim(self.max_blocks_per_server);
    }

    /// Applies a cache event with its sequence number and the blocks stored and evicted.
    ///
    /// Returns `false` if earlier events are missing, and clears the server's entries first.
    pub fn apply(&mut self, server: &str, number: u64, stored: &[u64], evicted: &[u64]) -> bool {
        let cached = self.servers.entry(server.to_owned()).or_default();
        if cached.next_event.is_some_and(|next| number < next) {
            return true;
        }
        let is_contiguous = cached.next_event.is_none_or(|next| number == next);
        if !is_contiguous {
            cached.last_used.clear();
            cached.lru_queue.clear();
        }
        cached.next_event = Some(number + 1);
        for block in evicted {
            cached.last_used.remove(block);
        }
        for block in stored {
            cached.touch(*block);
        }
        cached.trim(self.max_blocks_per_server);
        is_contiguous
    }

    /// Returns the number of tokens in the longest prefix assumed to be cached on a server.
    pub fn cached_tokens(&self, server: &str, blocks: &[u64]) -> u64 {
        let Some(cached) = self.servers.get(server) else { return 0 };
        let count = blocks.iter().take_while(|block| cached.last_used.contains_key(block)).count();
        (count * BLOCK_TOKENS) as u64
    }

    /// Removes a server.
    pub fn remove(&mut self, server: &str) {
        self.servers.remove(server);
    }
}

impl CachedBlocks {
    fn touch(&mut self, block: u64) {
        self.clock += 1;
        self.last_used.insert(block, self.clock);
        self.lru_queue.push_back((block, self.clock));
    }

    fn trim(&mut self, max: usize) {
        while self.last_used.len() > max || self.lru_queue.len() > 2 * max {
            let Some((block, stamp)) = self.lru_queue.pop_front() else { return };
            if self.last_used.get(&block) == Some(&stamp) {
                if self.last_used.len() > max {
                    self.last_used.remove(&block);
                } else {
                    self.lru_queue.push_back((block, stamp));
                    if self.lru_queue.len() <= self.last_used.len() {
                        return;
                    }
                }
            }
        }
    }
}
