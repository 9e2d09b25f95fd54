//! How busy each server is, by this node's and its peers' counts.
//!
//! A server's own report is old when it arrives, and all nodes act on the same one. A node's own
//! counts are exact, and its peers tell theirs some times a second. A prompt that takes long to
//! read is told at once, because many nodes would choose the same server until they hear of it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Priorities of requests at model servers; 0 is the most urgent.
pub const PRIORITIES: usize = 10;

/// What one node has in flight at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Requests of which nothing has come back yet.
    pub waiting: u32,
    /// Prompt tokens of the requests of which nothing has come back yet, by priority.
    pub waiting_tokens: [u64; PRIORITIES],
    /// Tokens of prompt and answer of all requests in flight.
    pub memory_tokens: u64,
}

impl Load {
    /// Sums the tokens that are read before a request of a priority that comes now.
    pub fn get_tokens_ahead(&self, priority: usize) -> u64 {
        self.waiting_tokens[..=priority.min(PRIORITIES - 1)].iter().sum()
    }

    /// Sums the prompt tokens of all requests of which nothing has come back yet.
    pub fn get_waiting_tokens(&self) -> u64 {
        self.waiting_tokens.iter().sum()
    }

    fn begin(&mut self, work: &Work) {
        self.requests += 1;
        self.waiting += 1;
        self.waiting_tokens[work.priority.min(PRIORITIES - 1)] += work.prompt_tokens;
        self.memory_tokens += work.memory_tokens;
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.waiting += other.waiting;
        for (own, other) in self.waiting_tokens.iter_mut().zip(other.waiting_tokens) {
            *own += other;
        }
        self.memory_tokens += other.memory_tokens;
    }
}

/// A short name for a server's id, for messages between nodes.
pub fn short_id(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The size of one request in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens that the server has to read.
    pub prompt_tokens: u64,
    /// The request's priority, below [`PRIORITIES`].
    pub priority: usize,
    /// Tokens of prompt and answer.
    pub memory_tokens: u64,
}

/// Requests of one peer that are kept between two messages with all its counts.
const MOST_BEGUN: usize = 200;

/// The loads of all servers, as this node knows them.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    own: HashMap<u64, Load>,
    peers: HashMap<String, PeerLoads>,
}

#[derive(Clone, Debug)]
struct PeerLoads {
    valid_until: Millis,
    loads: HashMap<u64, Load>,
    /// Requests that the peer told of one by one after it told its counts.
    begun: Vec<Begun>,
}

/// A request that a peer has sent to a server.
#[derive(Clone, Copy, Debug)]
struct Begun {
    server: u64,
    work: Work,
    /// When its prompt is expected to have been read.
    until: Millis,
}

impl LoadBook {
    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, id: &str, work: &Work) {
        self.own.entry(short_id(id)).or_default().begin(work);
    }

    /// Notes that the first token of an answer came back.
    pub fn note_first_token(&mut self, id: &str, work: &Work) {
        if let Some(load) = self.own.get_mut(&short_id(id)) {
            load.waiting = load.waiting.saturating_sub(1);
            let waiting = &mut load.waiting_tokens[work.priority.min(PRIORITIES - 1)];
            *waiting = waiting.saturating_sub(work.prompt_tokens);
        }
    }

    /// Notes that a request has ended, after its first token or before it.
    pub fn end(&mut self, id: &str, work: &Work, had_first_token: bool) {
        if !had_first_token {
            self.note_first_token(id, work);
        }
        let short = short_id(id);
        let Some(load) = self.own.get_mut(&short) else { return };
        load.requests = load.requests.saturating_sub(1);
        load.memory_tokens = load.memory_tokens.saturating_sub(work.memory_tokens);
        if load.requests == 0 {
            self.own.remove(&short);
        }
    }

    /// Takes over what a peer told of its own counts, which count until `valid_until`.
    pub fn merge(&mut self, valid_until: Millis, peer: &str, loads: Vec<(u64, Load)>) {
        let loads = loads.into_iter().collect();
        let told = PeerLoads { valid_until, loads, begun: Vec::new() };
        self.peers.insert(peer.to_owned(), told);
    }

    /// Adds a request that a peer has sent to a server by now, until its prompt is expected to have
    /// been read or the peer tells all its counts again.
    pub fn merge_begun(&mut self, until: Millis, peer: &str, server: u64, work: &Work) {
        let Some(known) = self.peers.get_mut(peer) else { return };
        if known.begun.len() < MOST_BEGUN {
            known.begun.push(Begun { server, work: *work, until });
        }
    }

    /// Lists this node's own counts.
    pub fn get_own(&self) -> Vec<(u64, Load)> {
        self.own.iter().map(|(id, load)| (*id, *load)).collect()
    }

    /// Sums this node's counts of a server and its peers'.
    pub fn total(&self, now: Millis, id: &str) -> Load {
        let short = short_id(id);
        let mut total = self.own.get(&short).copied().unwrap_or_default();
        let recent = self.peers.values().filter(|peer| now < peer.valid_until);
        for peer in recent {
            peer.loads.get(&short).into_iter().for_each(|load| total.add(load));
            let begun =
                peer.begun.iter().filter(|begun| begun.server == short && now < begun.until);
            begun.for_each(|begun| total.begin(&begun.work));
        }
        total
    }
}
