//! The directory of servers: which servers exist, and which may get new work.
//!
//! Servers keep their entries alive by writing to the platform's table service. While that service
//! is unavailable, entries may lapse; those of running servers are back soon after it recovers.
//! Until then, a server still gets work if its entry is missing and it has not announced that it is
//! leaving.
//!
//! A server may announce in a response that it is leaving, while the table service is unavailable
//! or does not show it yet. The announcement overrides the server's entry until the server
//! restarts.
//!
//! The table service may be restored from an older copy. Its list then lacks servers, and contains
//! others that have left or are leaving. What this node knows of those overrides the copy until
//! their entries are rewritten.
//!
//! Nodes send each other the changes since a version. The cost of an update therefore grows with
//! the number of changes, and not with the length of the list.
//!
//! | module | responsibility |
//! |---|---|
//! | this one | keeps the list |
//! | `server` | describes a server |
//! | `change` | describes the effect of an update on a server |
//! | `batch` | defines the updates that nodes exchange |
//! | `departures` | remembers which servers announced that they are leaving |
//! | `removals` | remembers which servers were removed from the list |

mod batch;
mod change;
mod departures;
mod removals;
mod server;

use std::borrow::Cow;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashSet};

use self::departures::Departures;
use self::removals::Removals;
use crate::Millis;
use crate::serving::table_version::TableVersion;

pub use self::batch::{Batch, Entry, Update};
pub use self::change::{Change, DepartureOutcome};
pub use self::departures::Departure;
pub use self::server::Server;

/// The servers of a service by ID.
type Servers = BTreeMap<String, Listed>;

/// A server and the version at which its entry last changed, or a later one.
#[derive(Clone, Debug)]
struct Listed {
    server: Server,
    version: TableVersion,
}

/// The servers of all services.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Servers by service: a request considers one service only, and all services may have many
    /// more servers.
    services: BTreeMap<String, Servers>,
    version: TableVersion,
    /// Whether a full list was read.
    is_known: bool,
    removals: Removals,
    departures: Departures,
    /// Servers whose entries have lapsed. This is local to the node and not reported to peers.
    lapsed: BTreeMap<String, Server>,
    lapsing_until: Option<Millis>,
    /// When the table service was last found to be restored from an older copy.
    restored_at: Millis,
    /// Whether the last call to the table service failed.
    is_table_unavailable: bool,
}

/// The time after a recovery of the table service in which the entries of running servers are back.
const LAPSED_ENTRY_TTL_MS: Millis = 2_000;

impl Directory {
    /// Returns the version of the list that was read last.
    pub fn get_version(&self) -> TableVersion {
        self.version
    }

    /// Returns `true` if a full list was read.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Replaces the list by a full list read at a version; an older list is ignored.
    ///
    /// The first list of an era may be an older copy. A server that has left since gets no work
    /// until its entry is rewritten.
    pub fn replace(&mut self, version: TableVersion, mut servers: Vec<Server>) -> Vec<Change> {
        if version < self.version {
            return Vec::new();
        }
        let is_restored = self.is_known && version.era > self.version.era;
        if is_restored {
            self.reannounce_departures(&servers);
            // An older copy also lists servers that have left since.
            servers.retain(|server| !self.removals.contains(server));
        }
        self.version = version;
        if !std::mem::replace(&mut self.is_known, true) || is_restored {
            self.removals.restart(version);
        }
        let listed: HashSet<&str> = servers.iter().map(|server| server.id.as_str()).collect();
        let gone = self.iter().filter(|server| !listed.contains(server.id.as_str()));
        let gone: Vec<String> = gone.map(|server| server.id.clone()).collect();
        let mut changes: Vec<Change> =
            gone.iter().filter_map(|id| self.remove(id, version)).collect();
        changes.extend(servers.into_iter().flat_map(|server| self.apply_entry(server, version)));
        self.removals.trim(self.count());
        changes
    }

    /// Announces departures to other nodes again if an older copy lists the servers as ready: nodes
    /// that started after the restore know only the copy.
    fn reannounce_departures(&mut self, copy: &[Server]) {
        for server in copy.iter().filter(|server| !server.is_leaving) {
            let known =
                self.get(&server.id).filter(|known| known.incarnation == server.incarnation);
            let is_leaving = known.is_some_and(|known| known.is_leaving)
                || self.removals.has_left(server)
                || self.departures.contains(&server.id, server.incarnation);
            if is_leaving {
                self.departures.record_again(self.restored_at, &server.id, server.incarnation);
            }
        }
    }

    /// Returns the update for a node that knows the list up to a version, or does not know it at
    /// all.
    pub fn get_update(&self, after: Option<TableVersion>) -> Update<'_> {
        let known = after.filter(|after| self.removals.is_complete_after(*after));
        let Some(after) = known else {
            let servers = self.iter().map(Cow::Borrowed).collect();
            return Update::Full { version: self.version, servers };
        };
        let changed = self.iter_listed().filter(|listed| listed.version > after);
        let changed = changed.map(|listed| Entry {
            id: listed.server.id.clone(),
            version: listed.version,
            server: Some(listed.server.clone()),
        });
        let removed = self.removals.iter_after(after);
        let removed = removed.map(|(id, version)| Entry { id: id.clone(), version, server: None });
        let entries = changed.chain(removed).collect();
        Update::Delta(Batch { after, version: self.version, entries })
    }

    /// Applies an update from a peer; returns `None` if changes before it are missing.
    pub fn apply_update(&mut self, update: Update<'_>) -> Option<Vec<Change>> {
        match update {
            Update::Delta(batch) => {
                let version = batch.version;
                let changes = self.apply_batch(batch)?;
                // The peer's version rises only with changes, including those that had no effect
                // there.
                self.version = self.version.max(version);
                Some(changes)
            }
            Update::Full { version, servers } => {
                let servers = servers.into_iter().map(Cow::into_owned).collect();
                Some(self.replace(version, servers))
            }
        }
    }

    /// Applies the entries that changed between two versions.
    ///
    /// Returns `None` if changes before the batch are missing: the full list must be read. Entries
    /// that are not newer than the list are ignored, so batches may overlap. A batch without
    /// entries does not change the version either: the version rises only with changes, so that
    /// nodes with equal lists have equal versions.
    pub fn apply_batch(&mut self, batch: Batch) -> Option<Vec<Change>> {
        if !self.is_known || batch.after > self.version {
            return None;
        }
        let known = self.version;
        if batch.entries.is_empty() {
            return Some(Vec::new());
        }
        self.version = known.max(batch.version);
        let newer = batch.entries.into_iter().filter(|entry| entry.version > known);
        let changes = newer.flat_map(|entry| match entry.server {
            Some(server) => self.apply_entry(server, entry.version),
            None => self.remove(&entry.id, entry.version).into_iter().collect(),
        });
        let changes = changes.collect();
        self.removals.trim(self.count());
        Some(changes)
    }

    /// Records that the table service did not respond.
    pub fn record_table_unavailable(&mut self) {
        self.is_table_unavailable = true;
    }

    /// Records that the list is current again after it was out of date.
    ///
    /// Lapsed entries get time to reappear only if the table service was unavailable. A list may
    /// also be out of date while servers leave, and those must not get new work.
    pub fn record_table_recovered(&mut self, now: Millis) {
        if std::mem::take(&mut self.is_table_unavailable) {
            self.lapsing_until = Some(now + LAPSED_ENTRY_TTL_MS);
        }
    }

    /// Records that the table service was restored from an older copy.
    ///
    /// The copy may lack the entries of running servers, which get time to rewrite them.
    pub fn record_table_restored(&mut self, now: Millis) {
        self.restored_at = now;
        self.lapsing_until = Some(now + LAPSED_ENTRY_TTL_MS);
    }

    /// Lists some of the recent departures for other nodes; each turn returns the next ones.
    pub fn list_departures(&self, now: Millis, turn: usize) -> Vec<Departure> {
        self.departures.list_recent(now, turn)
    }

    /// Forgets old departures.
    pub fn expire_departures(&mut self, now: Millis) {
        self.departures.expire(now);
    }

    /// Removes the servers whose entries have not reappeared before their deadline.
    pub fn expire_lapsed(&mut self, now: Millis) -> Vec<Change> {
        if self.lapsing_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.lapsing_until = None;
        std::mem::take(&mut self.lapsed).into_values().map(Change::Gone).collect()
    }

    fn remove(&mut self, id: &str, version: TableVersion) -> Option<Change> {
        let server = self.delist(id)?;
        self.removals.record(&server, version);
        if self.lapsing_until.is_some() && !server.is_leaving {
            self.lapsed.insert(id.to_owned(), server);
            return None;
        }
        Some(Change::Gone(server))
    }

    /// Records that an incarnation of a server announced in a response that it is leaving.
    pub fn record_departure(
        &mut self,
        now: Millis,
        id: &str,
        incarnation: u64,
    ) -> DepartureOutcome {
        let is_news = self.departures.record(now, id, incarnation);
        DepartureOutcome { is_news, change: self.record_leaving(id, incarnation) }
    }

    /// Records that a response came from another server in place of an incarnation of a server.
    pub fn record_leaving(&mut self, id: &str, incarnation: u64) -> Option<Change> {
        if self.lapsed.get(id).is_some_and(|server| server.incarnation == incarnation) {
            return self.lapsed.remove(id).map(Change::Gone);
        }
        let known = self.get_mut(id).filter(|known| known.incarnation == incarnation);
        let server = known.filter(|server| !server.is_leaving)?;
        server.is_leaving = true;
        Some(Change::Leaving(server.clone()))
    }

    /// Returns `true` if a server has restarted since.
    pub fn is_superseded(&self, server: &Server) -> bool {
        self.get(&server.id).is_some_and(|known| known.incarnation > server.incarnation)
    }

    /// Returns `true` if other software may have taken the place of a server since: another service or
    /// software version is listed under its ID, and not as that of an earlier incarnation.
    pub fn is_software_replaced(&self, server: &Server) -> bool {
        self.get(&server.id).is_some_and(|known| {
            known.incarnation >= server.incarnation
                && (&known.service, &known.version) != (&server.service, &server.version)
        })
    }

    /// Returns a server by its ID.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.services.values().find_map(|servers| servers.get(id)).map(|listed| &listed.server)
    }

    /// Returns a server by its ID if it may get new work, even if its entry has lapsed.
    pub fn get_ready(&self, id: &str) -> Option<&Server> {
        self.get(id).or_else(|| self.lapsed.get(id)).filter(|server| !server.is_leaving)
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        let listed = self.services.values_mut().find_map(|servers| servers.get_mut(id));
        listed.map(|listed| &mut listed.server)
    }

    /// Iterates over the servers of a service that may get new work.
    pub fn iter_ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.iter_service(service).filter(|server| !server.is_leaving)
    }

    /// Iterates over all servers of a service, including those that are leaving.
    pub fn iter_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        let listed = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        let lapsed = self.lapsed.values().filter(move |server| server.service == service);
        listed.map(|listed| &listed.server).chain(lapsed)
    }

    /// Iterates over all servers that have entries.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.iter_listed().map(|listed| &listed.server)
    }

    /// Returns the number of servers that have entries.
    pub fn count(&self) -> usize {
        self.services.values().map(BTreeMap::len).sum()
    }

    fn iter_listed(&self) -> impl Iterator<Item = &Listed> {
        self.services.values().flat_map(BTreeMap::values)
    }

    /// Applies the entry of a server that changed at a version.
    fn apply_entry(&mut self, mut server: Server, version: TableVersion) -> Vec<Change> {
        self.removals.forget(&server.id);
        server.is_leaving |= self.departures.contains(&server.id, server.incarnation);
        if self.get(&server.id) == Some(&server) {
            return Vec::new();
        }
        let lapsed = self.lapsed.remove(&server.id);
        let Some(before) = self.delist(&server.id).or(lapsed) else {
            return vec![self.add(server, version)];
        };
        let is_other_software =
            (&server.service, &server.version) != (&before.service, &before.version);
        match server.incarnation.cmp(&before.incarnation) {
            Ordering::Greater => vec![Change::Gone(before), self.add(server, version)],
            // A late entry of a former incarnation.
            Ordering::Less => {
                self.list(before, version);
                Vec::new()
            }
            Ordering::Equal => {
                // A server that has started to leave can only return as another incarnation.
                let is_leaving = before.is_leaving || server.is_leaving;
                let server = Server { is_leaving, ..server };
                // The incarnation may be unknown.
                if is_other_software {
                    return vec![Change::Gone(before), self.add(server, version)];
                }
                let has_started_to_leave = is_leaving && !before.is_leaving;
                let change = has_started_to_leave.then(|| Change::Leaving(server.clone()));
                self.list(server, version);
                change.into_iter().collect()
            }
        }
    }

    fn add(&mut self, server: Server, version: TableVersion) -> Change {
        self.list(server.clone(), version);
        match server.is_leaving {
            true => Change::Leaving(server),
            false => Change::Joined(server),
        }
    }

    fn list(&mut self, server: Server, version: TableVersion) {
        let servers = match self.services.get_mut(&server.service) {
            Some(servers) => servers,
            None => self.services.entry(server.service.clone()).or_default(),
        };
        servers.insert(server.id.clone(), Listed { server, version });
    }

    /// Removes a server from the list.
    fn delist(&mut self, id: &str) -> Option<Server> {
        let listed = self.services.values_mut().find_map(|servers| servers.remove(id));
        self.services.retain(|_, servers| !servers.is_empty());
        listed.map(|listed| listed.server)
    }
}
