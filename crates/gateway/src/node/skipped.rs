//! Table entries that could not be decoded.

use std::collections::BTreeMap;

use keeljunction_core::serving::table_version::TableVersion;

use crate::port::Row;

/// The maximum number of tracked entries. Further ones are logged on every read.
const MAX_ENTRIES: usize = 1_024;

/// Undecodable entries by key, with the versions of their rows. Each is logged once per version of
/// its row.
#[derive(Debug, Default)]
pub struct Entries {
    versions: BTreeMap<String, TableVersion>,
}

impl Entries {
    /// Records that an entry could not be decoded; returns `true` if this version of its row is
    /// new.
    pub fn record(&mut self, key: &str, version: TableVersion) -> bool {
        let known = self.versions.get(key).copied();
        if known.is_some() || self.versions.len() < MAX_ENTRIES {
            self.versions.insert(key.to_owned(), version);
        }
        known != Some(version)
    }

    /// Removes an entry that was decoded or deleted.
    pub fn forget(&mut self, key: &str) {
        self.versions.remove(key);
    }

    /// Removes the entries that are not among the rows.
    pub fn retain(&mut self, rows: &[Row]) {
        self.versions.retain(|key, _| rows.iter().any(|row| row.key == *key));
    }

    /// Returns the number of undecodable entries.
    pub fn count(&self) -> usize {
        self.versions.len()
    }
}
