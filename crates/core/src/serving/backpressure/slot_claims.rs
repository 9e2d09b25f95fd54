//! The slots of brittle servers that this node holds or is about to use.

use std::collections::{BTreeMap, VecDeque};

use super::InstanceKey;
use crate::Millis;
use crate::serving::directory::Server;

/// The longest time from a claim until the request is sent. A request that is dropped meanwhile,
/// because its caller disconnects, gives its claim up only by this.
const CLAIM_TTL_MS: Millis = 500;

/// The servers at which this node uses slots, by short id.
#[derive(Clone, Debug, Default)]
pub struct SlotClaims {
    servers: BTreeMap<u64, ClaimedServer>,
}

/// A server at which this node uses slots.
#[derive(Clone, Debug)]
pub struct ClaimedServer {
    /// The incarnation of the server.
    pub key: InstanceKey,
    /// The server's data centre.
    pub data_centre: String,
    /// When each claim was made whose request is not sent yet, oldest first.
    claims: VecDeque<Millis>,
}

impl ClaimedServer {
    /// Returns the number of claims whose requests are not sent yet.
    pub fn count_claims(&self) -> u32 {
        self.claims.len() as u32
    }
}

impl SlotClaims {
    /// Adds a claim.
    pub fn begin(&mut self, now: Millis, server: &Server) {
        let key = InstanceKey::of(server);
        let claimed = self.servers.entry(key.server).or_insert_with(|| ClaimedServer {
            key,
            data_centre: server.data_centre.clone(),
            claims: VecDeque::new(),
        });
        claimed.key = key;
        claimed.claims.push_back(now);
    }

    /// Ends a claim, because its request is sent or is not going to be.
    pub fn end(&mut self, server: u64) {
        if let Some(claimed) = self.servers.get_mut(&server) {
            claimed.claims.pop_front();
        }
    }

    /// Returns a server at which this node uses slots.
    pub fn get(&self, server: u64) -> Option<&ClaimedServer> {
        self.servers.get(&server)
    }

    /// Iterates over the servers at which this node uses slots.
    pub fn iter(&self) -> impl Iterator<Item = &ClaimedServer> {
        self.servers.values()
    }

    /// Removes expired claims, and servers at which this node has no request in flight.
    pub fn expire(&mut self, now: Millis, is_in_flight: impl Fn(u64) -> bool) {
        self.servers.retain(|server, claimed| {
            claimed.claims.retain(|claimed_at| now < claimed_at + CLAIM_TTL_MS);
            !claimed.claims.is_empty() || is_in_flight(*server)
        });
    }
}
