//! Which servers have left the list, and when.

use std::collections::BTreeMap;

use super::server::Server;
use crate::serving::table_version::TableVersion;

/// The fewest removals that are kept, however short the list is.
const LEAST_KEPT: usize = 256;

/// The versions at which servers were removed from the list.
///
/// At most as many are kept as there are servers: beyond that, the whole list is the shorter answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Removals {
    by_id: BTreeMap<String, Removal>,
    /// All removals after this version are kept.
    complete_after: TableVersion,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Which start of the server was removed.
    incarnation: u64,
    /// Whether it had begun to leave before.
    was_leaving: bool,
    version: TableVersion,
}

impl Removals {
    /// Notes that a server was removed.
    pub fn note(&mut self, server: &Server, version: TableVersion) {
        let (incarnation, was_leaving) = (server.incarnation, server.is_leaving);
        let removal = Removal { incarnation, was_leaving, version };
        self.by_id.insert(server.id.clone(), removal);
    }

    /// Returns `true` if this start of a server was removed.
    pub fn holds(&self, server: &Server) -> bool {
        let removal = self.by_id.get(&server.id);
        removal.is_some_and(|removal| removal.incarnation >= server.incarnation)
    }

    /// Returns `true` if this start of a server was removed after it had begun to leave.
    pub fn has_left(&self, server: &Server) -> bool {
        self.holds(server) && self.by_id.get(&server.id).is_some_and(|removal| removal.was_leaving)
    }

    /// Notes that a server is listed again.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Begins anew with a list that was read whole at a version: who knows an earlier one gets the whole
    /// list.
    pub fn restart(&mut self, version: TableVersion) {
        self.complete_after = version;
    }

    /// Returns `true` if all removals after a version are known.
    pub fn is_complete_after(&self, version: TableVersion) -> bool {
        version >= self.complete_after
    }

    /// Lists the servers that were removed after a version, with the version of their removal.
    pub fn iter_after(
        &self,
        version: TableVersion,
    ) -> impl Iterator<Item = (&String, TableVersion)> {
        let removals = self.by_id.iter().map(|(id, removal)| (id, removal.version));
        removals.filter(move |(_, at)| *at > version)
    }

    /// Drops the older half where more removals are kept than there are servers.
    pub fn trim(&mut self, servers: usize) {
        let most = servers.max(LEAST_KEPT);
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
