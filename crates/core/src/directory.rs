//! The known backend servers, and which of them are leaving.
//!
//! The platform's VM list lags, so departures take precedence over it: once a server is known to
//! be leaving, neither a VM list nor a late update reverts that.

use std::collections::BTreeMap;

use crate::Millis;
use crate::gossip::TransmitQueue;

/// How long a departure is retained after the VM should be gone, in milliseconds.
const DEPARTURE_TTL_MS: Millis = 600_000;

/// A backend server, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The name of its VM.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// Its address, as `IP:port`.
    pub address: String,
    /// The data centre that it runs in.
    pub data_centre: String,
}

/// An update saying that a server is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The server's name.
    pub server: String,
    /// When its VM is gone, on the local clock.
    pub gone_at: Millis,
}

/// The backend servers known to a node.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<String, Server>,
    departures: BTreeMap<String, Millis>,
    updates: TransmitQueue<Departure>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the known servers with those of a VM list, and forgets old departures.
    pub fn set_servers(&mut self, now: Millis, listed: impl Iterator<Item = Server>) {
        self.servers = listed.map(|server| (server.name.clone(), server)).collect();
        self.departures.retain(|_, gone_at| now < *gone_at + DEPARTURE_TTL_MS);
    }

    /// Adds a server learned from a peer. A known server is never replaced.
    pub fn add(&mut self, server: Server) {
        self.servers.entry(server.name.clone()).or_insert(server);
    }

    /// Merges a departure and returns `true` if it was new.
    ///
    /// If several times are reported for one server, the earliest is kept.
    pub fn add_departure(&mut self, departure: &Departure) -> bool {
        let known = self.departures.get(&departure.server).copied();
        if let Some(gone_at) = known {
            let earliest = gone_at.min(departure.gone_at);
            self.departures.insert(departure.server.clone(), earliest);
            return false;
        }
        self.departures.insert(departure.server.clone(), departure.gone_at);
        self.updates.push(&departure.server, departure.clone());
        true
    }

    /// Returns `true` if a server is leaving.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.departures.contains_key(server)
    }

    /// Returns when the VM of a leaving server is gone.
    pub fn get_gone_at(&self, server: &str) -> Option<Millis> {
        self.departures.get(server).copied()
    }

    /// Returns a server by name.
    pub fn get(&self, server: &str) -> Option<&Server> {
        self.servers.get(server)
    }

    /// Returns an iterator over all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns an iterator over the servers of a service.
    pub fn iter_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.servers.values().filter(move |server| server.service == service)
    }

    /// Takes up to `max` updates for one message in a cluster of `nodes` nodes.
    pub fn take_updates(&mut self, max: usize, nodes: usize) -> Vec<Departure> {
        self.updates.take(max, nodes)
    }
}
