//! Which backend servers there are, and which of them are leaving.
//!
//! The platform's VM list lags, so news of a departure go before it: once a server is known to
//! leave, no list and no late news bring it back.

use std::collections::BTreeMap;

use crate::Millis;
use crate::gossip::TransmitQueue;

/// How long a departure is remembered after the VM should be gone, in milliseconds.
const MEMORY_MS: Millis = 600_000;

/// A backend server, as the VM list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The name of its VM.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it is reached, as `IP:port`.
    pub address: String,
    /// The data centre it stands in.
    pub data_centre: String,
}

/// News that a server is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The server's name.
    pub server: String,
    /// When its VM is gone, on the reader's clock.
    pub gone_at: Millis,
}

/// The backend servers that a node knows.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<String, Server>,
    departures: BTreeMap<String, Millis>,
    news: TransmitQueue<Departure>,
}

impl Directory {
    /// Makes an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the VM list in: all backend servers, in place of those known.
    pub fn set_servers(&mut self, now: Millis, listed: impl Iterator<Item = Server>) {
        self.servers = listed.map(|server| (server.name.clone(), server)).collect();
        self.departures.retain(|_, until| now < *until + MEMORY_MS);
    }

    /// Adds a server heard of from a peer; it never replaces one that is known.
    pub fn add(&mut self, server: Server) {
        self.servers.entry(server.name.clone()).or_insert(server);
    }

    /// Merges a departure; returns `true` if it was new.
    ///
    /// The earliest end that was heard of counts.
    pub fn add_departure(&mut self, departure: &Departure) -> bool {
        let known = self.departures.get(&departure.server).copied();
        if let Some(until) = known {
            let earliest = until.min(departure.gone_at);
            self.departures.insert(departure.server.clone(), earliest);
            return false;
        }
        self.departures.insert(departure.server.clone(), departure.gone_at);
        self.news.push(&departure.server, departure.clone());
        true
    }

    /// Returns `true` if a server is leaving.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.departures.contains_key(server)
    }

    /// Returns when a leaving server's VM is gone.
    pub fn get_gone_at(&self, server: &str) -> Option<Millis> {
        self.departures.get(server).copied()
    }

    /// Finds a server by name.
    pub fn get(&self, server: &str) -> Option<&Server> {
        self.servers.get(server)
    }

    /// Walks all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Walks the servers of a service.
    pub fn iter_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.servers.values().filter(move |server| server.service == service)
    }

    /// Takes up to `most` pieces of news for one message among `nodes` nodes.
    pub fn take_updates(&mut self, most: usize, nodes: usize) -> Vec<Departure> {
        self.news.take(most, nodes)
    }
}
