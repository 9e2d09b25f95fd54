//! Servers that were removed from the list.

use std::collections::BTreeMap;

use super::server::Server;
use crate::serving::table_version::TableVersion;

/// The minimum number of removals that are kept, however short the list is.
const MIN_REMOVALS: usize = 256;

/// The versions at which servers were removed from the list.
///
/// At most as many removals are kept as there are servers: with more, sending the full list is
/// shorter.
#[derive(Clone, Debug, Default)]
pub(super) struct Removals {
    by_id: BTreeMap<String, Removal>,
    /// All removals after this version are kept.
    complete_after: TableVersion,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    /// The incarnation that was removed.
    incarnation: u64,
    /// Whether it had started to leave before.
    was_leaving: bool,
    version: TableVersion,
}

impl Removals {
    /// Records the removal of a server.
    pub fn record(&mut self, server: &Server, version: TableVersion) {
        let (incarnation, was_leaving) = (server.incarnation, server.is_leaving);
        let removal = Removal { incarnation, was_leaving, version };
        self.by_id.insert(server.id.clone(), removal);
    }

    /// Returns `true` if this incarnation of a server, or a later one, was removed.
    pub fn contains(&self, server: &Server) -> bool {
        let removal = self.by_id.get(&server.id);
        removal.is_some_and(|removal| removal.incarnation >= server.incarnation)
    }

    /// Returns `true` if this incarnation of a server was removed after it had started to leave.
    pub fn has_left(&self, server: &Server) -> bool {
        self.contains(server)
            && self.by_id.get(&server.id).is_some_and(|removal| removal.was_leaving)
    }

    /// Forgets the removal of a server that is listed again.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Starts over with a full list read at a version; nodes that know an earlier version get the
    /// full list.
    pub fn restart(&mut self, version: TableVersion) {
        self.complete_after = version;
    }

    /// Returns `true` if all removals after a version are known.
    pub fn is_complete_after(&self, version: TableVersion) -> bool {
        version >= self.complete_after
    }

    /// Iterates over the servers removed after a version, with the versions of their removals.
    pub fn iter_after(
        &self,
        version: TableVersion,
    ) -> impl Iterator<Item = (&String, TableVersion)> {
        let removals = self.by_id.iter().map(|(id, removal)| (id, removal.version));
        removals.filter(move |(_, at)| *at > version)
    }

    /// Drops the older half of the removals if they outnumber the servers.
    pub fn trim(&mut self, servers: usize) {
        let most = servers.max(MIN_REMOVALS);
        if self.by_id.len() <= most {
            return;
        }
        let mut versions: Vec<TableVersion> =
            self.by_id.values().map(|removal| removal.version).collect();
        let middle = versions.len() / 2;
        let (_, limit, _) = versions.select_nth_unstable(middle);
        self.complete_after = self.complete_after.max(*limit);
        let limit = *limit;
        self.by_id.retain(|_, removal| removal.version > limit);
    }
}
