//! The backpressure state of a node.

use std::collections::BTreeSet;

use super::denials::Denials;
use super::{
    BackOffs, BrittleServices, Brittleness, Decision, Holding, InstanceKey, Observation, OwnerView,
    Permits, RateLimits, Robustness, Signal, SlotClaims, SlotPools, SlotRequest,
};
use crate::Millis;
use crate::serving::directory::Server;
use crate::serving::load::short_id;
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
    /// Services whose servers are brittle.
    brittle_services: BrittleServices,
    /// Slots of brittle servers that this node uses.
    claims: SlotClaims,
    /// Slots of the brittle servers that this node owns.
    slots: SlotPools,
    /// Servers whose owners denied this node a slot for now.
    slot_denials: BackOffs,
    /// Identifies this process in the counts that it states.
    holder: u64,
    /// The number of counts that this process has stated.
    sequence: u64,
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
    /// Whether the servers of the service are brittle, if that is new to other nodes.
    pub brittleness: Option<Brittleness>,
}

impl Tracker {
    /// Creates a tracker without any knowledge. `draw` is random, from 0 to 1; `holder` identifies
    /// this process among all nodes.
    pub fn new(draw: f64, holder: u64) -> Self {
        Self { permits: Permits::new(draw), holder, ..Self::default() }
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
        let service = short_id(&server.service);
        let max_rejections = signal.max_rejections;
        let brittleness = self.brittle_services.record(now, sent_at, service, max_rejections);
        Update { limit, back_off_until: back_off, brittleness }
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
        if self.limits.is_empty() && self.back_offs.is_empty() && self.slot_denials.is_empty() {
            return None;
        }
        let key = InstanceKey::of(server);
        let wait = self.limits.get_wait(now, key).max(self.back_offs.get_wait(now, key));
        wait.max(self.slot_denials.get_wait(now, key))
    }

    /// Returns the rate limit of a server, or `None` if the server has none.
    pub fn get_limit(&self, now: Millis, server: &Server) -> Option<Observation> {
        self.limits.get(now, InstanceKey::of(server))
    }

    /// Returns `true` if a request to a server requires a permit of its owner.
    pub fn requires_permit(&self, now: Millis, server: &Server) -> bool {
        let is_brittle =
            matches!(self.get_robustness(now, &server.service), Robustness::Brittle(_));
        is_brittle || self.get_limit(now, server).is_some()
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

    /// Returns whether the servers of a service are brittle, if this node knows.
    pub fn get_robustness(&self, now: Millis, service: &str) -> Robustness {
        self.brittle_services.get(now, short_id(service))
    }

    /// Merges another node's observation of a service. Returns `true` if it is new and is to be
    /// gossiped on.
    pub fn merge_brittleness(&mut self, now: Millis, observation: &Brittleness) -> bool {
        self.brittle_services.merge(now, observation)
    }

    /// Returns the services whose servers are brittle, to be gossiped.
    pub fn list_brittle(&self, now: Millis) -> Vec<Brittleness> {
        self.brittle_services.iter_brittle(now).collect()
    }

    /// Claims a slot of a server at which this node has `in_flight` requests. The claim must be
    /// ended with [`Tracker::end_claim`].
    pub fn claim_slot(&mut self, now: Millis, server: &Server, in_flight: u32) -> SlotRequest {
        self.claims.begin(now, server);
        let service = short_id(&server.service);
        SlotRequest {
            holding: self.state_holding(InstanceKey::of(server), in_flight),
            slots: server.slots,
            service,
            observation: self.brittle_services.get(now, service).get_observation(),
        }
    }

    /// Ends a claim, because its request is sent or is not going to be.
    pub fn end_claim(&mut self, server: u64) {
        self.claims.end(server);
    }

    /// Returns the slots that this node uses.
    pub fn get_claims(&self) -> &SlotClaims {
        &self.claims
    }

    /// Removes claims of dropped requests, and servers at which this node has no request in flight.
    pub fn expire_claims(&mut self, now: Millis, is_in_flight: impl Fn(u64) -> bool) {
        self.claims.expire(now, is_in_flight);
    }

    /// Returns this node's count at a server at which it has `in_flight` requests.
    pub fn state_holding(&mut self, key: InstanceKey, in_flight: u32) -> Holding {
        self.sequence += 1;
        let claims = self.claims.get(key.server).map_or(0, |claimed| claimed.count_claims());
        Holding { key, holder: self.holder, sequence: self.sequence, held: in_flight + claims }
    }

    /// Decides on a request for a slot, as the owner of the server, at which the owner itself has
    /// `in_flight` requests.
    pub fn decide_slot(
        &mut self,
        now: Millis,
        request: &SlotRequest,
        in_flight: u32,
        reach: Reachability,
    ) -> Decision {
        if let Some(observation) = &request.observation {
            self.brittle_services.merge(now, observation);
        }
        let brittle_for = match self.brittle_services.get(now, request.service) {
            Robustness::Robust(known) => return Decision::Unlimited { age: known.age },
            Robustness::Brittle(known) => Some(known.brittle_for),
            Robustness::Unknown => None,
        };
        let own = match request.holding.holder == self.holder {
            true => request.holding,
            false => self.state_holding(request.holding.key, in_flight),
        };
        self.slots.decide(now, request, &OwnerView { own, reach, brittle_for })
    }

    /// Applies the decision of a server's owner on a claim. Returns `true` if the request may be
    /// sent; the claim is ended otherwise.
    ///
    /// Without a decision a brittle server gets no request for `undecided_for` milliseconds. A server
    /// of which nothing is known gets one at a time.
    pub fn apply_slot_decision(
        &mut self,
        now: Millis,
        request: &SlotRequest,
        decision: Decision,
        undecided_for: Millis,
    ) -> bool {
        let SlotRequest { holding, service, observation, .. } = *request;
        let denied_for = match decision {
            Decision::Granted => return true,
            Decision::Unlimited { age } => {
                let robust = Brittleness { service, max_rejections: None, brittle_for: age, age };
                self.brittle_services.merge(now, &robust);
                return true;
            }
            Decision::Undecided if observation.is_none() && holding.held <= 1 => return true,
            Decision::Undecided => undecided_for,
            Decision::Denied { retry_after } => retry_after,
        };
        self.claims.end(holding.key.server);
        self.slot_denials.record(now, holding.key, denied_for);
        false
    }

    /// Records the count of another node, as the owner of the server.
    pub fn record_holding(&mut self, now: Millis, holding: &Holding) {
        self.slots.record(now, holding);
    }

    /// Records that a brittle server rejected a request, as its owner, which has `in_flight` requests
    /// there.
    pub fn record_rejection(
        &mut self,
        now: Millis,
        key: InstanceKey,
        max_rejections: u32,
        in_flight: u32,
    ) {
        let own = self.state_holding(key, in_flight);
        self.slots.record_rejection(now, &own, max_rejections);
    }

    /// Records the nodes that own servers, as short ids.
    pub fn record_owners(&mut self, now: Millis, owners: &[u64]) {
        self.slots.record_owners(now, owners);
    }

    /// Returns the number of services whose servers are brittle.
    pub fn count_brittle(&self, now: Millis) -> usize {
        self.brittle_services.iter_brittle(now).count()
    }

    /// Returns the number of servers that are granted fewer requests than they have slots, because
    /// they rejected some.
    pub fn count_bounded(&self) -> usize {
        self.slots.count_bounded()
    }

    /// Returns the slots that this node denied as the owner of servers.
    pub fn get_slot_denials(&self) -> &Denials {
        self.slots.get_denials()
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
        self.brittle_services.expire(now);
        self.slot_denials.expire(now);
        self.slots.expire(now);
    }
}
