//! Which servers have left the list, and when.

use std::collections::BTreeMap;

/// The fewest removals that are kept, however short the list is.
const LEAST_KEPT: usize = 256;

/// The versions at which servers were removed from the list.
///
/// At most as many are kept as there are servers: beyond that, the whole list is the shorter answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Removals {
    by_id: BTreeMap<String, u64>,
    /// All removals after this version are kept.
    complete_after: u64,
}

impl Removals {
    /// Notes that a server was removed.
    pub fn note(&mut self, id: &str, version: u64) {
        self.by_id.insert(id.to_owned(), version);
    }

    /// Notes that a server is listed again.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Begins anew with a list that was read whole at a version.
    pub fn restart(&mut self, version: u64) {
        self.by_id.clear();
        self.complete_after = version;
    }

    /// Returns `true` if all removals after a version are known.
    pub fn is_complete_after(&self, version: u64) -> bool {
        version >= self.complete_after
    }

    /// Lists the servers that were removed after a version, with the version of their removal.
    pub fn iter_after(&self, version: u64) -> impl Iterator<Item = (&String, u64)> {
        let removals = self.by_id.iter().map(|(id, at)| (id, *at));
        removals.filter(move |(_, at)| *at > version)
    }

    /// Drops the older half where more removals are kept than there are servers.
    pub fn trim(&mut self, servers: usize) {
        let most = servers.max(LEAST_KEPT);
        if self.by_id.len() <= most {
            return;
        }
        let mut versions: Vec<u64> = self.by_id.values().copied().collect();
        let middle = versions.len() / 2;
        let (_, limit, _) = versions.select_nth_unstable(middle);
        self.complete_after = self.complete_after.max(*limit);
        let limit = *limit;
        self.by_id.retain(|_, version| *version > limit);
    }
}
