//! How busy each server is, by this node's and its peers' counts.
//!
//! A server's own report is old when it arrives, and all nodes act on the same one. A node's own
//! counts are exact, and its peers tell theirs some times a second. A prompt that takes long to
//! read is reported at once, because many nodes would choose the same server until they hear of it.

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

    /// Builds the load of a single request that waits for its first token.
    fn of(work: &RequestCost) -> Self {
        let mut load = Self::default();
        load.begin(work);
        load
    }

    fn begin(&mut self, work: &RequestCost) {
        self.requests += 1;
        self.waiting += 1;
        self.waiting_tokens[work.priority.min(PRIORITIES - 1)] += work.prompt_tokens;
        self.memory_tokens += work.memory_tokens;
    }

    /// Adds what another node has in flight at the same server.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.waiting += other.waiting;
        for (own, other) in self.waiting_tokens.iter_mut().zip(other.waiting_tokens) {
            *own += other;
        }
        self.memory_tokens += other.memory_tokens;
    }

    /// Subtracts what another node had in flight; no figure falls below zero.
    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.waiting = self.waiting.saturating_sub(other.waiting);
        for (own, other) in self.waiting_tokens.iter_mut().zip(other.waiting_tokens) {
            *own = own.saturating_sub(other);
        }
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }

    /// Returns `true` if nothing is in flight.
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

/// A short name for a server's id, for messages between nodes.
pub fn short_id(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The size of one request in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCost {
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
///
/// The sums over all peers are kept up to date with each report, so that reading one does not
/// depend on the number of peers. [`LoadTracker::expire`] must run some times a second: a report
/// counts until the first call after its end.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    own: HashMap<u64, Load>,
    peers: HashMap<String, PeerLoads>,
    /// What all peers have in flight, by server.
    sums: HashMap<u64, Load>,
}

#[derive(Clone, Debug, Default)]
struct PeerLoads {
    loads: HashMap<u64, Reported>,
    /// Requests that the peer reported one by one after it reported its counts.
    begun: Vec<Begun>,
    /// When the newest report ends.
    known_until: Millis,
}

/// What a peer reported of one server.
#[derive(Clone, Copy, Debug)]
struct Reported {
    load: Load,
    valid_until: Millis,
}

/// A request that a peer has sent to a server.
#[derive(Clone, Copy, Debug)]
struct Begun {
    server: u64,
    work: RequestCost,
    /// When its prompt is expected to have been read.
    until: Millis,
}

impl LoadTracker {
    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, id: &str, work: &RequestCost) {
        self.own.entry(short_id(id)).or_default().begin(work);
    }

    /// Notes that the first token of an answer came back.
    pub fn record_first_token(&mut self, id: &str, work: &RequestCost) {
        if let Some(load) = self.own.get_mut(&short_id(id)) {
            load.waiting = load.waiting.saturating_sub(1);
            let waiting = &mut load.waiting_tokens[work.priority.min(PRIORITIES - 1)];
            *waiting = waiting.saturating_sub(work.prompt_tokens);
        }
    }

    /// Notes that a request has ended, after its first token or before it.
    pub fn end(&mut self, id: &str, work: &RequestCost, had_first_token: bool) {
        if !had_first_token {
            self.record_first_token(id, work);
        }
        let short = short_id(id);
        let Some(load) = self.own.get_mut(&short) else { return };
        load.requests = load.requests.saturating_sub(1);
        load.memory_tokens = load.memory_tokens.saturating_sub(work.memory_tokens);
        if load.requests == 0 {
            self.own.remove(&short);
        }
    }

    /// Replaces all that a peer has in flight by its newest report, which counts until
    /// `valid_until`.
    pub fn merge(&mut self, valid_until: Millis, peer: &str, loads: Vec<(u64, Load)>) {
        self.forget(peer);
        for (server, load) in loads {
            self.merge_server(valid_until, peer, server, load);
        }
        // The peer is known from now on, also while it has nothing in flight.
        self.peers.entry(peer.to_owned()).or_default().known_until = valid_until;
    }

    /// Replaces what a peer has in flight at one server, until `valid_until`.
    pub fn merge_server(&mut self, valid_until: Millis, peer: &str, server: u64, load: Load) {
        let known = self.peers.entry(peer.to_owned()).or_default();
        known.known_until = known.known_until.max(valid_until);
        let before = known.loads.remove(&server);
        if let Some(before) = before {
            subtract(&mut self.sums, server, &before.load);
        }
        if !load.is_idle() {
            known.loads.insert(server, Reported { load, valid_until });
            self.sums.entry(server).or_default().add(&load);
        }
    }

    /// Adds a request that a peer has sent to a server by now, until its prompt is expected to have
    /// been read or the peer reports all its counts again.
    pub fn merge_started(&mut self, until: Millis, peer: &str, server: u64, work: &RequestCost) {
        let Some(known) = self.peers.get_mut(peer) else { return };
        if known.begun.len() < MOST_BEGUN {
            known.begun.push(Begun { server, work: *work, until });
            self.sums.entry(server).or_default().add(&Load::of(work));
        }
    }

    /// Drops what was reported too long ago.
    pub fn expire(&mut self, now: Millis) {
        let sums = &mut self.sums;
        for known in self.peers.values_mut() {
            known.loads.retain(|server, reported| {
                let is_valid = now < reported.valid_until;
                if !is_valid {
                    subtract(sums, *server, &reported.load);
                }
                is_valid
            });
            let known_until = known.known_until;
            known.begun.retain(|begun| {
                let is_unread = now < begun.until && now < known_until;
                if !is_unread {
                    subtract(sums, begun.server, &Load::of(&begun.work));
                }
                is_unread
            });
        }
        self.peers.retain(|_, known| now < known.known_until);
    }

    /// Drops all that a peer reported.
    pub fn forget(&mut self, peer: &str) {
        let Some(known) = self.peers.remove(peer) else { return };
        for (server, reported) in known.loads {
            subtract(&mut self.sums, server, &reported.load);
        }
        for begun in known.begun {
            subtract(&mut self.sums, begun.server, &Load::of(&begun.work));
        }
    }

    /// Lists this node's own counts.
    pub fn get_own(&self) -> Vec<(u64, Load)> {
        self.own.iter().map(|(id, load)| (*id, *load)).collect()
    }

    /// Returns this node's own count of a server.
    pub fn get_own_of(&self, server: u64) -> Load {
        self.own.get(&server).copied().unwrap_or_default()
    }

    /// Returns what all peers but one have in flight at a server.
    pub fn get_others(&self, peer: &str, server: u64) -> Load {
        let mut others = self.sums.get(&server).copied().unwrap_or_default();
        let reported = self.peers.get(peer).and_then(|known| known.loads.get(&server));
        if let Some(reported) = reported {
            others.subtract(&reported.load);
        }
        others
    }

    /// Sums this node's counts of a server and its peers'.
    pub fn total(&self, id: &str) -> Load {
        let short = short_id(id);
        let mut total = self.get_own_of(short);
        if let Some(peers) = self.sums.get(&short) {
            total.add(peers);
        }
        total
    }
}

fn subtract(sums: &mut HashMap<u64, Load>, server: u64, load: &Load) {
    let Some(sum) = sums.get_mut(&server) else { return };
    sum.subtract(load);
    if sum.is_idle() {
        sums.remove(&server);
    }
}
