//! Which servers there are and which may get new work.
//!
//! Servers keep their entries by writing to the platform's table service. While that is away their
//! entries may lapse; those of servers that live are back soon after its return. Until then a
//! server whose entry is missing, and that had not said that it leaves, still gets work.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// A server as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Names the server; it may start again under the same id.
    pub id: String,
    /// Which start of the server this is: its time, in milliseconds since the Unix epoch, or 0 where it
    /// does not say. What is known of an earlier one holds no more.
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// Whether the provider may take it away at short notice.
    pub is_spot: bool,
    /// Time until it is gone, where it said so.
    pub leaves_within: Option<Millis>,
    /// Time until it is as fast as others, where it has just started.
    pub warm_within: Option<Millis>,
}

/// What a change of the list did to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new and takes work.
    Joined(Server),
    /// It began to leave.
    Leaving(Server),
    /// It is no longer listed.
    Gone(Server),
}

/// The servers of all services by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<String, Server>,
    version: u64,
    /// Servers whose entries lapsed; this node's own belief, which is not reported to peers.
    lapsed: BTreeMap<String, Server>,
    lapsing_until: Option<Millis>,
    /// Whether the last call to the table service failed.
    is_away: bool,
}

/// Time after the table service's return in which the entries of servers that live are back.
const LAPSED_FOR: Millis = 2_000;

impl Directory {
    /// Returns the version of the list that was read last.
    pub fn get_version(&self) -> u64 {
        self.version
    }

    /// Takes over a whole list, read at a version; an older one changes nothing.
    pub fn replace(&mut self, version: u64, servers: Vec<Server>) -> Vec<Change> {
        if version < self.version {
            return Vec::new();
        }
        self.version = version;
        let listed: BTreeMap<String, Server> =
            servers.into_iter().map(|server| (server.id.clone(), server)).collect();
        let gone: Vec<String> =
            self.servers.keys().filter(|id| !listed.contains_key(*id)).cloned().collect();
        let mut changes: Vec<Change> = gone.iter().filter_map(|id| self.remove(id)).collect();
        changes.extend(listed.into_values().flat_map(|server| self.put(server)));
        changes
    }

    /// Takes over the entries that changed after a version, up to another.
    ///
    /// Returns `None` where changes before these are missing: the whole list must be read. Entries
    /// that are not newer than the list are passed over, so that batches may overlap. A batch
    /// without entries changes nothing, the version included: it rises with changes only, so that
    /// nodes with equal lists find them equal.
    pub fn update(&mut self, batch: Batch) -> Option<Vec<Change>> {
        if batch.after > self.version {
            return None;
        }
        let known = self.version;
        if batch.entries.is_empty() {
            return Some(Vec::new());
        }
        self.version = known.max(batch.version);
        let newer = batch.entries.into_iter().filter(|entry| entry.version > known);
        let changes = newer.flat_map(|entry| match entry.server {
            Some(server) => self.put(server),
            None => self.remove(&entry.id).into_iter().collect(),
        });
        Some(changes.collect())
    }

    /// Notes that the table service did not answer.
    pub fn note_away(&mut self) {
        self.is_away = true;
    }

    /// Notes that the list is known again, and was old before that.
    ///
    /// Entries have time to come back only where the table service was away: a list may also grow
    /// old while servers leave, and those must get nothing more.
    pub fn note_return(&mut self, now: Millis) {
        if std::mem::take(&mut self.is_away) {
            self.lapsing_until = Some(now + LAPSED_FOR);
        }
    }

    /// Gives up the servers whose entries have not come back in time.
    pub fn expire_lapsed(&mut self, now: Millis) -> Vec<Change> {
        if self.lapsing_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.lapsing_until = None;
        std::mem::take(&mut self.lapsed).into_values().map(Change::Gone).collect()
    }

    fn remove(&mut self, id: &str) -> Option<Change> {
        let server = self.servers.remove(id)?;
        if self.lapsing_until.is_some() && !server.is_leaving {
            self.lapsed.insert(id.to_owned(), server);
            return None;
        }
        Some(Change::Gone(server))
    }

    /// Notes that an incarnation of a server showed in an answer that it is leaving, or that another
    /// server took its place.
    pub fn note_leaving(&mut self, id: &str, incarnation: u64) -> Option<Change> {
        if self.lapsed.get(id).is_some_and(|server| server.incarnation == incarnation) {
            return self.lapsed.remove(id).map(Change::Gone);
        }
        let known = self.servers.get_mut(id).filter(|known| known.incarnation == incarnation);
        let server = known.filter(|server| !server.is_leaving)?;
        server.is_leaving = true;
        Some(Change::Leaving(server.clone()))
    }

    /// Returns `true` if a server has started again since.
    pub fn is_superseded(&self, server: &Server) -> bool {
        self.get(&server.id).is_some_and(|known| known.incarnation > server.incarnation)
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Lists the servers of a service that may get new work.
    pub fn iter_ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.iter_service(service).filter(|server| !server.is_leaving)
    }

    /// Lists all servers of a service, those that are leaving too.
    pub fn iter_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        let all = self.servers.values().chain(self.lapsed.values());
        all.filter(move |server| server.service == service)
    }

    /// Lists all servers that have entries.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    fn put(&mut self, server: Server) -> Vec<Change> {
        let lapsed = self.lapsed.remove(&server.id);
        let Some(before) = self.servers.remove(&server.id).or(lapsed) else {
            return vec![self.add(server)];
        };
        match server.incarnation.cmp(&before.incarnation) {
            Ordering::Greater => vec![Change::Gone(before), self.add(server)],
            // A late entry of an incarnation that is gone.
            Ordering::Less => {
                self.servers.insert(before.id.clone(), before);
                Vec::new()
            }
            Ordering::Equal => {
                // A server that has begun to leave comes back as another incarnation only.
                let is_leaving = before.is_leaving || server.is_leaving;
                let server = Server { is_leaving, ..server };
                self.servers.insert(server.id.clone(), server.clone());
                let has_begun = is_leaving && !before.is_leaving;
                has_begun.then_some(Change::Leaving(server)).into_iter().collect()
            }
        }
    }

    fn add(&mut self, server: Server) -> Change {
        self.servers.insert(server.id.clone(), server.clone());
        match server.is_leaving {
            true => Change::Leaving(server),
            false => Change::Joined(server),
        }
    }
}

/// Entries of the list that changed after a version, up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// All changes after this version are there.
    pub after: u64,
    /// The list's version with these changes.
    pub version: u64,
    /// The changed entries.
    pub entries: Vec<Entry>,
}

/// A changed entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The server's id.
    pub id: String,
    /// The version at which the entry changed.
    pub version: u64,
    /// The server as it is now; `None` where it is no longer listed.
    pub server: Option<Server>,
}
