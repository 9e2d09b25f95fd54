//! The load of each server, by the counts of this node and its peers.
//!
//! A server's own report is outdated when it arrives, and all nodes would act on the same one. A
//! node's own counts are exact, and its peers report theirs several times per second. A prompt that
//! takes long to read is reported at once; otherwise many nodes would choose the same server before
//! they learn of it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Priorities of requests at model servers; 0 is the most urgent.
pub const PRIORITIES: usize = 10;

/// The load that one node has in flight at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Requests in flight without a first token.
    pub waiting: u32,
    /// Prompt tokens of the requests without a first token, by priority.
    pub waiting_tokens: [u64; PRIORITIES],
    /// Tokens of the prompts and responses of all requests in flight.
    pub memory_tokens: u64,
}

impl Load {
    /// Returns the tokens that are read before a new request of a priority.
    pub fn get_tokens_ahead(&self, priority: usize) -> u64 {
        self.waiting_tokens[..=priority.min(PRIORITIES - 1)].iter().sum()
    }

    /// Returns the prompt tokens of all requests without a first token.
    pub fn get_waiting_tokens(&self) -> u64 {
        self.waiting_tokens.iter().sum()
    }

    /// Returns the load of a single request that waits for its first token.
    fn of(cost: &RequestCost) -> Self {
        let mut load = Self::default();
        load.begin(cost);
        load
    }

    fn begin(&mut self, cost: &RequestCost) {
        self.requests += 1;
        self.waiting += 1;
        self.waiting_tokens[cost.priority.min(PRIORITIES - 1)] += cost.prompt_tokens;
        self.memory_tokens += cost.memory_tokens;
    }

    /// Adds the load of another node at the same server.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.waiting += other.waiting;
        for (own, other) in self.waiting_tokens.iter_mut().zip(other.waiting_tokens) {
            *own += other;
        }
        self.memory_tokens += other.memory_tokens;
    }

    /// Subtracts the load of another node. No count falls below zero.
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

/// Returns the short id of a server or service, for messages between nodes.
pub fn short_id(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The cost of one request in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCost {
    /// Prompt tokens that the server has to read.
    pub prompt_tokens: u64,
    /// The request's priority, below [`PRIORITIES`].
    pub priority: usize,
    /// Tokens of the prompt and the response.
    pub memory_tokens: u64,
}

/// Requests of one peer that are kept between two reports of all its counts.
const MAX_STARTED: usize = 200;

/// The loads of all servers that this node knows of.
///
/// The sums over all peers are updated with each report, so reading one does not depend on the
/// number of peers. [`LoadTracker::expire`] must be called several times per second: a report
/// counts until the first call after it expires.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    own: HashMap<u64, Load>,
    peers: HashMap<String, PeerLoads>,
    /// The loads of all peers together, by server.
    sums: HashMap<u64, Load>,
}

#[derive(Clone, Debug, Default)]
struct PeerLoads {
    loads: HashMap<u64, PeerLoad>,
    /// Requests that the peer reported one by one after it reported its counts.
    started: Vec<StartedRequest>,
    /// When the newest report expires.
    valid_until: Millis,
}

/// The load that a peer reported at one server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    load: Load,
    valid_until: Millis,
}

/// A request that a peer has sent to a server.
#[derive(Clone, Copy, Debug)]
struct StartedRequest {
    server: u64,
    cost: RequestCost,
    /// When its prompt is expected to have been read.
    until: Millis,
}

impl LoadTracker {
    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, id: &str, cost: &RequestCost) {
        self.own.entry(short_id(id)).or_default().begin(cost);
    }

    /// Records the first token of a response.
    pub fn record_first_token(&mut self, id: &str, cost: &RequestCost) {
        if let Some(load) = self.own.get_mut(&short_id(id)) {
            load.waiting = load.waiting.saturating_sub(1);
            let waiting = &mut load.waiting_tokens[cost.priority.min(PRIORITIES - 1)];
            *waiting = waiting.saturating_sub(cost.prompt_tokens);
        }
    }

    /// Counts the end of a request, with or without a first token.
    pub fn end(&mut self, id: &str, cost: &RequestCost, had_first_token: bool) {
        if !had_first_token {
            self.record_first_token(id, cost);
        }
        let short_id = short_id(id);
        let Some(load) = self.own.get_mut(&short_id) else { return };
        load.requests = load.requests.saturating_sub(1);
        load.memory_tokens = load.memory_tokens.saturating_sub(cost.memory_tokens);
        if load.requests == 0 {
            self.own.remove(&short_id);
        }
    }

    /// Replaces the loads of a peer by its newest report, which is valid until `valid_until`.
    pub fn merge(&mut self, valid_until: Millis, peer: &str, loads: Vec<(u64, Load)>) {
        self.forget(peer);
        for (server, load) in loads {
            self.merge_server(valid_until, peer, server, load);
        }
        // Keeps the peer known even if it has nothing in flight.
        self.peers.entry(peer.to_owned()).or_default().valid_until = valid_until;
    }

    /// Replaces the load of a peer at one server, until `valid_until`.
    pub fn merge_server(&mut self, valid_until: Millis, peer: &str, server: u64, load: Load) {
        let known = self.peers.entry(peer.to_owned()).or_default();
        known.valid_until = known.valid_until.max(valid_until);
        let before = known.loads.remove(&server);
        if let Some(before) = before {
            subtract(&mut self.sums, server, &before.load);
        }
        if !load.is_idle() {
            known.loads.insert(server, PeerLoad { load, valid_until });
            self.sums.entry(server).or_default().add(&load);
        }
    }

    /// Adds a request that a peer has sent to a server. It counts until its prompt is expected to
    /// have been read, or until the peer reports all its counts again.
    pub fn merge_started(&mut self, until: Millis, peer: &str, server: u64, cost: &RequestCost) {
        let Some(known) = self.peers.get_mut(peer) else { return };
        if known.started.len() < MAX_STARTED {
            known.started.push(StartedRequest { server, cost: *cost, until });
            self.sums.entry(server).or_default().add(&Load::of(cost));
        }
    }

    /// Removes expired reports.
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
            let valid_until = known.valid_until;
            known.started.retain(|started| {
                let is_unread = now < started.until && now < valid_until;
                if !is_unread {
                    subtract(sums, started.server, &Load::of(&started.cost));
                }
                is_unread
            });
        }
        self.peers.retain(|_, known| now < known.valid_until);
    }

    /// Removes all reports of a peer.
    pub fn forget(&mut self, peer: &str) {
        let Some(known) = self.peers.remove(peer) else { return };
        for (server, reported) in known.loads {
            subtract(&mut self.sums, server, &reported.load);
        }
        for started in known.started {
            subtract(&mut self.sums, started.server, &Load::of(&started.cost));
        }
    }

    /// Returns this node's own loads.
    pub fn get_own(&self) -> Vec<(u64, Load)> {
        self.own.iter().map(|(id, load)| (*id, *load)).collect()
    }

    /// Returns this node's own load at a server.
    pub fn get_own_of(&self, server: u64) -> Load {
        self.own.get(&server).copied().unwrap_or_default()
    }

    /// Returns the load of all peers but one at a server.
    pub fn get_others(&self, peer: &str, server: u64) -> Load {
        let mut others = self.sums.get(&server).copied().unwrap_or_default();
        let reported = self.peers.get(peer).and_then(|known| known.loads.get(&server));
        if let Some(reported) = reported {
            others.subtract(&reported.load);
        }
        others
    }

    /// Returns the load of this node and all its peers at a server.
    pub fn total(&self, id: &str) -> Load {
        let short_id = short_id(id);
        let mut total = self.get_own_of(short_id);
        if let Some(peers) = self.sums.get(&short_id) {
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
