//! Which servers there are and which may get new work.
//!
//! Servers keep their entries by writing to the platform's table service. While that is away their
//! entries may lapse; those of servers that live are back soon after its return. Until then a
//! server whose entry is missing, and that had not said that it leaves, still gets work.
//!
//! A server may say in an answer that it leaves, while the table service is away or has not taken that yet.
//! This outlives what its entry says, until the server starts again.
//!
//! The table service may come back from an older copy. Its list then lacks servers, and holds others that
//! have left or said that they leave. What this node knows of these outlives the copy until their entries are
//! written again.
//!
//! Nodes give each other the changes since a version: what that costs grows with the changes, and not
//! with the length of the list.
//!
//! | module | does |
//! |---|---|
//! | this one | keeps the list |
//! | `server` | describes a server |
//! | `batch` | holds changes that pass between nodes |
//! | `departures` | remembers which servers said in their answers that they leave |
//! | `removals` | remembers which servers have left the list |

mod batch;
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
pub use self::departures::Departure;
pub use self::server::Server;

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

/// What the word of a server did that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartureOutcome {
    /// Whether it was not known, and is to be passed on.
    pub is_news: bool,
    /// What it did to the list.
    pub change: Option<Change>,
}

/// The servers of one service by id.
type Servers = BTreeMap<String, Listed>;

/// A server with the version at which its entry changed last, or a later one.
#[derive(Clone, Debug)]
struct Listed {
    server: Server,
    version: TableVersion,
}

/// The servers of all services.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// By service: a request goes to those of one service, and the others may be many more.
    services: BTreeMap<String, Servers>,
    version: TableVersion,
    /// Whether a whole list was taken over.
    is_known: bool,
    removals: Removals,
    departures: Departures,
    /// Servers whose entries lapsed; this node's own belief, which is not reported to peers.
    lapsed: BTreeMap<String, Server>,
    lapsing_until: Option<Millis>,
    /// When the table service was last known to have come back from an older copy.
    returned_at: Millis,
    /// Whether the last call to the table service failed.
    is_away: bool,
}

/// Time after the table service's return in which the entries of servers that live are back.
const LAPSED_FOR: Millis = 2_000;

impl Directory {
    /// Returns the version of the list that was read last.
    pub fn get_version(&self) -> TableVersion {
        self.version
    }

    /// Returns `true` if a whole list was taken over.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Takes over a whole list, read at a version; an older one changes nothing.
    ///
    /// The first list of an era may be that of an older copy. A server that has left since gets nothing
    /// until its entry is written again.
    pub fn replace(&mut self, version: TableVersion, mut servers: Vec<Server>) -> Vec<Change> {
        if version < self.version {
            return Vec::new();
        }
        let is_return = self.is_known && version.era > self.version.era;
        if is_return {
            self.repeat_departures(&servers);
            // An older copy also lists servers that have left since.
            servers.retain(|server| !self.removals.holds(server));
        }
        self.version = version;
        if !std::mem::replace(&mut self.is_known, true) || is_return {
            self.removals.restart(version);
        }
        let listed: HashSet<&str> = servers.iter().map(|server| server.id.as_str()).collect();
        let gone = self.iter().filter(|server| !listed.contains(server.id.as_str()));
        let gone: Vec<String> = gone.map(|server| server.id.clone()).collect();
        let mut changes: Vec<Change> =
            gone.iter().filter_map(|id| self.remove(id, version)).collect();
        changes.extend(servers.into_iter().flat_map(|server| self.put(server, version)));
        self.removals.trim(self.count());
        changes
    }

    /// Repeats to other nodes that servers leave which an older copy lists as ready: nodes that started after the
    /// return know the copy only.
    fn repeat_departures(&mut self, copy: &[Server]) {
        for server in copy.iter().filter(|server| !server.is_leaving) {
            let known =
                self.get(&server.id).filter(|known| known.incarnation == server.incarnation);
            let is_leaving = known.is_some_and(|known| known.is_leaving)
                || self.removals.has_left(server)
                || self.departures.holds(&server.id, server.incarnation);
            if is_leaving {
                self.departures.repeat(self.returned_at, &server.id, server.incarnation);
            }
        }
    }

    /// Returns what a node lacks that knows the list up to a version, or does not know it at all.
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

    /// Takes over what a peer gave for a version; `None` where changes before it are missing.
    pub fn apply_update(&mut self, update: Update<'_>) -> Option<Vec<Change>> {
        match update {
            Update::Delta(batch) => {
                let version = batch.version;
                let changes = self.apply_batch(batch)?;
                // The peer's version rises with changes only, also with those that had no effect there.
                self.version = self.version.max(version);
                Some(changes)
            }
            Update::Full { version, servers } => {
                let servers = servers.into_iter().map(Cow::into_owned).collect();
                Some(self.replace(version, servers))
            }
        }
    }

    /// Takes over the entries that changed after a version, up to another.
    ///
    /// Returns `None` where changes before these are missing: the whole list must be read. Entries
    /// that are not newer than the list are passed over, so that batches may overlap. A batch
    /// without entries changes nothing, the version included: it rises with changes only, so that
    /// nodes with equal lists find them equal.
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
            Some(server) => self.put(server, entry.version),
            None => self.remove(&entry.id, entry.version).into_iter().collect(),
        });
        let changes = changes.collect();
        self.removals.trim(self.count());
        Some(changes)
    }

    /// Notes that the table service did not answer.
    pub fn note_table_unavailable(&mut self) {
        self.is_away = true;
    }

    /// Notes that the list is known again, and was old before that.
    ///
    /// Entries have time to come back only where the table service was away: a list may also grow
    /// old while servers leave, and those must get nothing more.
    pub fn note_table_recovered(&mut self, now: Millis) {
        if std::mem::take(&mut self.is_away) {
            self.lapsing_until = Some(now + LAPSED_FOR);
        }
    }

    /// Notes that the table service came back from an older copy, which may lack the entries of servers that
    /// live: they have time to write them again.
    pub fn note_table_restored(&mut self, now: Millis) {
        self.returned_at = now;
        self.lapsing_until = Some(now + LAPSED_FOR);
    }

    /// Lists some of the servers that said lately that they leave, for other nodes; each turn gives the next
    /// ones.
    pub fn list_departures(&self, now: Millis, turn: usize) -> Vec<Departure> {
        self.departures.list_some(now, turn)
    }

    /// Forgets which servers said long ago that they leave.
    pub fn expire_departures(&mut self, now: Millis) {
        self.departures.expire(now);
    }

    /// Gives up the servers whose entries have not come back in time.
    pub fn expire_lapsed(&mut self, now: Millis) -> Vec<Change> {
        if self.lapsing_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.lapsing_until = None;
        std::mem::take(&mut self.lapsed).into_values().map(Change::Gone).collect()
    }

    fn remove(&mut self, id: &str, version: TableVersion) -> Option<Change> {
        let server = self.unlist(id)?;
        self.removals.note(&server, version);
        if self.lapsing_until.is_some() && !server.is_leaving {
            self.lapsed.insert(id.to_owned(), server);
            return None;
        }
        Some(Change::Gone(server))
    }

    /// Notes that an incarnation of a server said in an answer that it leaves.
    pub fn note_departure(&mut self, now: Millis, id: &str, incarnation: u64) -> DepartureOutcome {
        let is_news = self.departures.note(now, id, incarnation);
        DepartureOutcome { is_news, change: self.note_leaving(id, incarnation) }
    }

    /// Notes that an answer showed another server in the place of an incarnation of a server.
    pub fn note_leaving(&mut self, id: &str, incarnation: u64) -> Option<Change> {
        if self.lapsed.get(id).is_some_and(|server| server.incarnation == incarnation) {
            return self.lapsed.remove(id).map(Change::Gone);
        }
        let known = self.get_mut(id).filter(|known| known.incarnation == incarnation);
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
        self.services.values().find_map(|servers| servers.get(id)).map(|listed| &listed.server)
    }

    /// Returns a server by its id that may get new work, also one whose entry has lapsed.
    pub fn get_ready(&self, id: &str) -> Option<&Server> {
        self.get(id).or_else(|| self.lapsed.get(id)).filter(|server| !server.is_leaving)
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        let listed = self.services.values_mut().find_map(|servers| servers.get_mut(id));
        listed.map(|listed| &mut listed.server)
    }

    /// Lists the servers of a service that may get new work.
    pub fn iter_ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.iter_service(service).filter(|server| !server.is_leaving)
    }

    /// Lists all servers of a service, those that are leaving too.
    pub fn iter_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        let listed = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        let lapsed = self.lapsed.values().filter(move |server| server.service == service);
        listed.map(|listed| &listed.server).chain(lapsed)
    }

    /// Lists all servers that have entries.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.iter_listed().map(|listed| &listed.server)
    }

    /// Counts the servers that have entries.
    pub fn count(&self) -> usize {
        self.services.values().map(BTreeMap::len).sum()
    }

    fn iter_listed(&self) -> impl Iterator<Item = &Listed> {
        self.services.values().flat_map(BTreeMap::values)
    }

    /// Takes over the entry of a server that changed at a version.
    fn put(&mut self, mut server: Server, version: TableVersion) -> Vec<Change> {
        self.removals.forget(&server.id);
        server.is_leaving |= self.departures.holds(&server.id, server.incarnation);
        if self.get(&server.id) == Some(&server) {
            return Vec::new();
        }
        let lapsed = self.lapsed.remove(&server.id);
        let Some(before) = self.unlist(&server.id).or(lapsed) else {
            return vec![self.add(server, version)];
        };
        match server.incarnation.cmp(&before.incarnation) {
            Ordering::Greater => vec![Change::Gone(before), self.add(server, version)],
            // A late entry of an incarnation that is gone.
            Ordering::Less => {
                self.list(before, version);
                Vec::new()
            }
            Ordering::Equal => {
                // A server that has begun to leave comes back as another incarnation only.
                let is_leaving = before.is_leaving || server.is_leaving;
                let server = Server { is_leaving, ..server };
                let has_begun = is_leaving && !before.is_leaving;
                let change = has_begun.then(|| Change::Leaving(server.clone()));
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

    /// Takes a server out of the list.
    fn unlist(&mut self, id: &str) -> Option<Server> {
        let listed = self.services.values_mut().find_map(|servers| servers.remove(id));
        self.services.retain(|_, servers| !servers.is_empty());
        listed.map(|listed| listed.server)
    }
}
