//! Other nodes, as this node hears them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::quota::Reach;
use crate::{Millis, succession};

/// The time between two digests while there are few peers.
const PERIOD: Duration = Duration::from_millis(200);
/// With more peers than this the period grows with their number.
const PEERS_AT_FULL_RATE: usize = 40;
/// A peer that was heard within this many periods is in reach.
const HEARD_WITHIN_PERIODS: u32 = 5;
/// A peer that was not heard for this long is gone for good.
const GONE_AFTER: Millis = 60_000;
/// Nodes that are taken to be there before the list has been read, for a time at most.
const NODES_WHILE_UNLISTED: usize = 100;
const UNLISTED_FOR: Millis = 3_000;
/// Nodes that read the platform's tables for all.
const READERS: usize = 3;
/// Time after its start in which a node hears the others.
const READS_AFTER: Millis = 1_000;
const READERS_KEY: &str = "table readers";

/// What a peer tells of itself.
#[derive(Clone, Copy, Debug)]
pub struct Heard<'a> {
    /// Its name.
    pub node: &'a str,
    /// Its life.
    pub life: u64,
    /// Whether it is about to end.
    pub is_stopping: bool,
    /// Whether it holds the lease of the duties.
    pub holds_duties: bool,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: u32,
}

/// Other nodes, as this node hears them.
#[derive(Debug)]
pub struct Peers {
    own_name: String,
    own_link_mbps: u32,
    started_at: Millis,
    own_address: SocketAddr,
    known: HashMap<String, Peer>,
    candidates: Vec<SocketAddr>,
    holder_heard_at: Option<Millis>,
    is_listed: bool,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    life: u64,
    heard_at: Millis,
    is_stopping: bool,
    link_mbps: u32,
}

impl Peers {
    /// Makes a list that holds candidate addresses only.
    pub fn new(
        now: Millis,
        own_name: String,
        own_address: SocketAddr,
        own_link_mbps: u32,
        seeds: &[SocketAddr],
    ) -> Self {
        let mut peers = Self {
            own_name,
            own_link_mbps,
            started_at: now,
            own_address,
            known: HashMap::new(),
            candidates: Vec::new(),
            holder_heard_at: None,
            is_listed: false,
        };
        peers.add_seeds(seeds);
        peers
    }

    /// Takes over the list of all nodes' addresses.
    pub fn take_list(&mut self, addresses: &[SocketAddr]) {
        self.is_listed = true;
        self.add_seeds(addresses);
    }

    /// Adds addresses at which a peer may listen.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            let is_known = self.known.values().any(|peer| peer.address == *seed);
            if !is_known && *seed != self.own_address && !self.candidates.contains(seed) {
                self.candidates.push(*seed);
            }
        }
    }

    /// Returns the time between two digests, which grows with the number of peers so that what a
    /// node sends and receives does not.
    pub fn get_period(&self) -> Duration {
        let stretch = self.known.len().div_ceil(PEERS_AT_FULL_RATE).max(1);
        PERIOD * stretch as u32
    }

    fn get_heard_within(&self) -> Millis {
        (self.get_period() * HEARD_WITHIN_PERIODS).as_millis() as Millis
    }

    /// Returns how many nodes there may be and how many of them are heard, this one included. One
    /// that was listed and not heard yet may be serving. A node that has just started and has not
    /// read the list yet takes many others to be there.
    pub fn get_reach(&self, now: Millis) -> Reach {
        let alive = self.known.values().filter(|peer| !peer.is_stopping);
        let alive: Vec<&Peer> = alive.filter(|peer| now < peer.heard_at + GONE_AFTER).collect();
        let within = self.get_heard_within();
        let heard = alive.iter().filter(|peer| now < peer.heard_at + within).count();
        let known = alive.len() + self.candidates.len() + 1;
        let is_unlisted = !self.is_listed && now < self.started_at + UNLISTED_FOR;
        Reach {
            heard: heard + 1,
            all: if is_unlisted { known.max(NODES_WHILE_UNLISTED) } else { known },
            period: self.get_period().as_millis() as Millis,
        }
    }

    /// Says whether a node that may be serving was not heard since a time.
    pub fn is_any_unheard_since(&self, now: Millis, since: Millis) -> bool {
        let serving = self.known.values().filter(|peer| !peer.is_stopping);
        let mut serving = serving.filter(|peer| now < peer.heard_at + GONE_AFTER);
        serving.any(|peer| peer.heard_at < since)
    }

    /// Says whether a peer that holds the duties was heard within a time.
    pub fn is_holder_heard(&self, now: Millis, within: Millis) -> bool {
        self.holder_heard_at.is_some_and(|at| now < at + within)
    }

    /// Lists the addresses of all nodes that may live.
    pub fn get_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.known.values().map(|peer| peer.address).collect();
        for candidate in &self.candidates {
            if !addresses.contains(candidate) {
                addresses.push(*candidate);
            }
        }
        addresses
    }

    /// Lists the addresses of the nodes that were heard lately.
    pub fn get_heard(&self, now: Millis) -> Vec<SocketAddr> {
        let within = self.get_heard_within();
        let heard = self.known.values().filter(|peer| now < peer.heard_at + within);
        heard.map(|peer| peer.address).collect()
    }

    /// Notes a digest; returns the former life of the peer, where it has started again.
    pub fn hear(&mut self, now: Millis, from: SocketAddr, heard: &Heard<'_>) -> Option<u64> {
        self.candidates.retain(|candidate| *candidate != from);
        if heard.holds_duties {
            self.holder_heard_at = Some(now);
        }
        let peer = Peer {
            address: from,
            life: heard.life,
            heard_at: now,
            is_stopping: heard.is_stopping,
            link_mbps: heard.link_mbps,
        };
        let before = self.known.insert(heard.node.to_owned(), peer);
        before.map(|before| before.life).filter(|life| *life != heard.life)
    }

    /// Forgets nodes that were not heard for long.
    pub fn expire(&mut self, now: Millis) {
        if now >= self.started_at + GONE_AFTER {
            self.candidates.clear();
        }
        self.known.retain(|_, peer| now < peer.heard_at + GONE_AFTER);
    }

    /// Says whether this node reads the platform's tables for all: it is one of the first in an
    /// order that all nodes which hear each other share.
    ///
    /// A node that has just started does not: it takes itself for the first of all until it hears
    /// the others.
    pub fn is_reader(&self, now: Millis) -> bool {
        now >= self.started_at + READS_AFTER
            && self.list_readers(now).contains(&self.own_name.as_str())
    }

    /// Lists the addresses of the nodes that read the platform's tables for all.
    pub fn get_readers(&self, now: Millis) -> Vec<SocketAddr> {
        let readers = self.list_readers(now).into_iter();
        readers.filter_map(|name| self.known.get(name)).map(|peer| peer.address).collect()
    }

    /// Lists the names of the readers: of the nodes with the widest links, which have to send what
    /// they read to all, the first in rendezvous order.
    fn list_readers(&self, now: Millis) -> Vec<&str> {
        let own = (self.own_name.as_str(), self.own_link_mbps);
        let alive = self.list_alive(now).map(|(name, peer)| (name, peer.link_mbps));
        let links: HashMap<&str, u32> = alive.chain([own]).collect();
        let mut order = succession::order(READERS_KEY, links.keys().copied());
        order.sort_by_key(|name| std::cmp::Reverse(links.get(name)));
        order.truncate(READERS);
        order
    }

    fn list_alive(&self, now: Millis) -> impl Iterator<Item = (&str, &Peer)> {
        let within = self.get_heard_within();
        let alive = self.known.iter().filter(|(_, peer)| !peer.is_stopping);
        alive
            .filter(move |(_, peer)| now < peer.heard_at + within)
            .map(|(name, peer)| (name.as_str(), peer))
    }
}
