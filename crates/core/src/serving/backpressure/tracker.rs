//! All that a node knows of what servers say about the requests that follow.

use std::collections::BTreeSet;

use super::{BackOffs, Decision, InstanceKey, Observation, Permits, RateLimits, Signal};
use crate::Millis;
use crate::serving::directory::Server;
use crate::serving::quota::Reachability;

/// The most servers that are remembered for headers that cannot be read.
const MOST_UNREADABLE: usize = 1_024;

/// All that a node knows of what servers say about the requests that follow.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    limits: RateLimits,
    back_offs: BackOffs,
    /// Of the servers that this node owns.
    permits: Permits,
    /// Servers, by short name, whose headers could not be read.
    unreadable: BTreeSet<u64>,
}

/// What came of the signal of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Update {
    /// What was seen of the server's limit, where that is news for other nodes.
    pub limit: Option<Observation>,
    /// When the server takes requests of this node again, where that is later than was known.
    pub back_off_until: Option<Millis>,
}

impl Tracker {
    /// Makes the book of a node that knows nothing yet; `draw` is random, from 0 to 1.
    pub fn new(draw: f64) -> Self {
        Self { permits: Permits::new(draw), ..Self::default() }
    }

    /// Notes the signal of an answer to a request that was sent at `sent_at`.
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

    /// Notes that a header of a server cannot be read; returns `true` if none could not before.
    pub fn record_unreadable(&mut self, server: &Server) -> bool {
        if self.unreadable.len() == MOST_UNREADABLE {
            self.unreadable.clear();
        }
        self.unreadable.insert(InstanceKey::of(server).server)
    }

    /// Takes over what another node saw; returns `true` if it is news, to be passed on.
    pub fn merge(&mut self, now: Millis, sighting: &Observation) -> bool {
        self.limits.merge(now, sighting)
    }

    /// Returns the time until a request may be sent to a server; `None` where it may now.
    pub fn get_wait(&self, now: Millis, server: &Server) -> Option<Millis> {
        if self.limits.is_empty() && self.back_offs.is_empty() {
            return None;
        }
        let key = InstanceKey::of(server);
        self.limits.get_wait(now, key).max(self.back_offs.get_wait(now, key))
    }

    /// Returns what is known of a server that takes requests with permits only.
    pub fn get_limit(&self, now: Millis, server: &Server) -> Option<Observation> {
        self.limits.get(now, InstanceKey::of(server))
    }

    /// Decides about a request to a server, as its owner; `sighting` is what the asking node knows.
    pub fn decide(&mut self, now: Millis, sighting: &Observation, reach: Reachability) -> Decision {
        self.limits.merge(now, sighting);
        let known = self.limits.get_latest(now, sighting.key).unwrap_or(*sighting);
        match known.rate {
            Some(rate) => self.permits.decide(now, sighting.key, rate, reach),
            None => Decision::Unlimited { age: known.age },
        }
    }

    /// Takes over the decision of a server's owner; returns `true` if the request may be sent.
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

    /// Takes back the permit of a request that was not sent, as the owner.
    pub fn return_permit(&mut self, key: InstanceKey) {
        self.permits.return_permit(key);
    }

    /// Lists some of the limits for other nodes; each turn gives the next ones.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Observation> {
        self.limits.get_gossip_batch(now, turn)
    }

    /// Counts the servers that are limited.
    pub fn count_limited(&self) -> usize {
        self.limits.count()
    }

    /// Counts the servers that take no request from this node for a time.
    pub fn count_in_back_off(&self, now: Millis) -> usize {
        self.back_offs.count(now)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Millis) {
        self.limits.expire(now);
        self.back_offs.expire(now);
        self.permits.expire(now);
    }
}
