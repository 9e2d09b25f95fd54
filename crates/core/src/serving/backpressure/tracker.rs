//! The backpressure state of a node.

use std::collections::BTreeSet;

use super::{BackOffs, Decision, InstanceKey, Observation, Permits, RateLimits, Signal};
use crate::Millis;
use crate::serving::directory::Server;
use crate::serving::quota::Reachability;

/// The number of servers with unreadable headers that are remembered.
const UNREADABLE_CAPACITY: usize = 1_024;

/// Tracks the backpressure of all servers, at one node.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    limits: RateLimits,
    back_offs: BackOffs,
    /// Permits of the servers that this node owns.
    permits: Permits,
    /// Short ids of servers whose headers could not be read.
    unreadable: BTreeSet<u64>,
}

/// The changes that a signal made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Update {
    /// The rate limit to gossip, if it is new to other nodes.
    pub limit: Option<Observation>,
    /// The end of the server's back-off, if it is later than the known one.
    pub back_off_until: Option<Millis>,
}

impl Tracker {
    /// Creates a tracker without any knowledge. `draw` is random, from 0 to 1.
    pub fn new(draw: f64) -> Self {
        Self { permits: Permits::new(draw), ..Self::default() }
    }

    /// Records the signal of a response to a request that was sent at `sent_at`.
    pub fn record(
        &mut self,
        now: Millis,
        sent_at: Millis,
        server: &Server,
        signal: &Signal,
    ) -> Update {
        let key = InstanceKey::of(server);
        let back_off = signal.back_off.and_then(|time| self.back_offs.record(now, key, time));
        let limit = self.limits.record(now, sent_at, key, signal.rate_limit);
        Update { limit, back_off_until: back_off }
    }

    /// Records that a header of a server cannot be read. Returns `true` the first time.
    pub fn record_unreadable(&mut self, server: &Server) -> bool {
        if self.unreadable.len() == UNREADABLE_CAPACITY {
            self.unreadable.clear();
        }
        self.unreadable.insert(InstanceKey::of(server).server)
    }

    /// Merges an observation of another node. Returns `true` if it is new and is to be gossiped
    /// on.
    pub fn merge(&mut self, now: Millis, observation: &Observation) -> bool {
        self.limits.merge(now, observation)
    }

    /// Returns the time until a request may be sent to a server, or `None` if it may be sent now.
    pub fn get_wait(&self, now: Millis, server: &Server) -> Option<Millis> {
        if self.limits.is_empty() && self.back_offs.is_empty() {
            return None;
        }
        let key = InstanceKey::of(server);
        self.limits.get_wait(now, key).max(self.back_offs.get_wait(now, key))
    }

    /// Returns the rate limit of a server, or `None` if the server has none.
    pub fn get_limit(&self, now: Millis, server: &Server) -> Option<Observation> {
        self.limits.get(now, InstanceKey::of(server))
    }

    /// Decides on a request to a server, as its owner. `observation` is the requesting node's.
    pub fn decide(
        &mut self,
        now: Millis,
        observation: &Observation,
        reach: Reachability,
    ) -> Decision {
        self.limits.merge(now, observation);
        let known = self.limits.get_latest(now, observation.key).unwrap_or(*observation);
        match known.rate {
            Some(rate) => self.permits.decide(now, observation.key, rate, reach),
            None => Decision::Unlimited { age: known.age },
        }
    }

    /// Applies the decision of a server's owner. Returns `true` if the request may be sent.
    ///
    /// Without a decision the server gets no request for `undecided_for` milliseconds.
    pub fn apply_decision(
        &mut self,
        now: Millis,
        key: InstanceKey,
        decision: Decision,
        undecided_for: Millis,
    ) -> bool {
        match decision {
            Decision::Granted => return true,
            Decision::Unlimited { age } => {
                self.limits.merge(now, &Observation { key, rate: None, age });
                return true;
            }
            Decision::Denied { retry_after } => self.limits.record_denial(now, key, retry_after),
            Decision::Undecided => self.limits.record_denial(now, key, undecided_for),
        }
        false
    }

    /// Returns the permit of a request that was not sent, as the owner.
    pub fn return_permit(&mut self, key: InstanceKey) {
        self.permits.return_permit(key);
    }

    /// Returns the next batch of rate limits to gossip.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Observation> {
        self.limits.get_gossip_batch(now, turn)
    }

    /// Returns the number of rate-limited servers.
    pub fn count_limited(&self) -> usize {
        self.limits.count()
    }

    /// Returns the number of servers that accept no request from this node for a time.
    pub fn count_in_back_off(&self, now: Millis) -> usize {
        self.back_offs.count(now)
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Millis) {
        self.limits.expire(now);
        self.back_offs.expire(now);
        self.permits.expire(now);
    }
}
