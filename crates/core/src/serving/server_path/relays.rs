//! Which peers relay requests to servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fastrand::Rng;

use crate::Millis;

/// Peers that a request is offered to before it fails.
const MAX_OFFERS: usize = 3;
/// How long a peer gets no request to relay after it refused one.
const AVOIDANCE_PERIOD_MS: Millis = 2_000;
/// How long a peer gets no request to relay if its version cannot relay.
const UNSUPPORTED_PERIOD_MS: Millis = 60_000;
/// Refusing peers of the own data centre, within the avoidance period, after which the request is
/// offered to other data centres first: the whole data centre may be cut off.
const MAX_LOCAL_REFUSALS: usize = 2;
/// Peers that are offered requests first because they have relayed some. Each node has its own, so
/// the requests of many cut nodes spread over all peers.
const MAX_PROVEN: usize = 8;
/// How long a peer is offered requests first after it has relayed one.
const PROVEN_PERIOD_MS: Millis = 5_000;
/// The fraction of the requests that are offered to other peers first, until enough have relayed.
const EXPLORED_FRACTION: f64 = 0.2;

/// A peer that may relay requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// Whether it is in this node's data centre, to which bytes are cheap.
    pub is_local: bool,
}

/// Why a peer did not relay a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is cut off itself, stopping or overloaded, or did not respond.
    Unavailable,
    /// Its version does not relay requests.
    Unsupported,
}

/// The peers that have relayed requests recently, and those that refused to.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    proven: Vec<Proof>,
    avoided: BTreeMap<SocketAddr, Avoidance>,
}

#[derive(Clone, Copy, Debug)]
struct Proof {
    peer: Candidate,
    until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Avoidance {
    until: Millis,
    is_local: bool,
}

impl Relays {
    /// Picks the peers that a request is offered to, in order.
    ///
    /// Peers that have relayed requests come first. The order of the others is random, so that the
    /// requests of all cut nodes spread over all peers. Those of the own data centre come first, and
    /// one of another data centre is always among them.
    pub fn pick(
        &mut self,
        now: Millis,
        candidates: impl Iterator<Item = Candidate>,
        random: &mut Rng,
    ) -> Vec<Candidate> {
        self.avoided.retain(|_, avoidance| now < avoidance.until);
        self.proven.retain(|proof| now < proof.until);
        let explores = self.proven.len() < MAX_PROVEN && random.f64() < EXPLORED_FRACTION;
        let mut offers = self.pick_unproven(candidates, random);
        if let Some(proof) = random.choice(&self.proven) {
            offers.insert(usize::from(explores).min(offers.len()), proof.peer);
            offers.truncate(MAX_OFFERS);
        }
        offers
    }

    fn pick_unproven(
        &self,
        candidates: impl Iterator<Item = Candidate>,
        random: &mut Rng,
    ) -> Vec<Candidate> {
        let candidates = candidates.filter(|peer| !self.avoided.contains_key(&peer.address));
        let (mut local, mut remote): (Vec<Candidate>, Vec<Candidate>) =
            candidates.partition(|peer| peer.is_local);
        random.shuffle(&mut local);
        random.shuffle(&mut remote);
        if self.is_data_centre_cut_off() {
            remote.extend(local);
            remote.truncate(MAX_OFFERS);
            return remote;
        }
        local.truncate(MAX_OFFERS - usize::from(!remote.is_empty()));
        local.extend(remote);
        local.truncate(MAX_OFFERS);
        local
    }

    /// Records that a peer relayed a request.
    pub fn record_relayed(&mut self, now: Millis, peer: Candidate) {
        self.proven.retain(|proof| proof.peer != peer);
        if self.proven.len() < MAX_PROVEN {
            self.proven.push(Proof { peer, until: now + PROVEN_PERIOD_MS });
        }
    }

    /// Records that a peer did not relay a request.
    pub fn record_refusal(&mut self, now: Millis, peer: Candidate, refusal: Refusal) {
        self.proven.retain(|proof| proof.peer != peer);
        let period = match refusal {
            Refusal::Unavailable => AVOIDANCE_PERIOD_MS,
            Refusal::Unsupported => UNSUPPORTED_PERIOD_MS,
        };
        let avoidance = Avoidance { until: now + period, is_local: peer.is_local };
        self.avoided.insert(peer.address, avoidance);
    }

    fn is_data_centre_cut_off(&self) -> bool {
        let local = self.avoided.values().filter(|avoidance| avoidance.is_local);
        local.count() >= MAX_LOCAL_REFUSALS
    }
}
