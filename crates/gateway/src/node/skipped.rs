//! Entries of the platform's tables that cannot be read.

use std::collections::BTreeMap;

use keeljunction_core::serving::table_version::TableVersion;

use crate::port::Row;

/// The most entries that are remembered; further ones are logged each time that they are read.
const MAX_ENTRIES: usize = 1_024;

/// Entries that cannot be read, by their keys, with the versions of their rows: each is logged once for
/// each change of its row.
#[derive(Debug, Default)]
pub struct Entries {
    versions: BTreeMap<String, TableVersion>,
}

impl Entries {
    /// Notes that an entry cannot be read; returns `true` if this version of its row is new.
    pub fn note(&mut self, key: &str, version: TableVersion) -> bool {
        let known = self.versions.get(key).copied();
        if known.is_some() || self.versions.len() < MAX_ENTRIES {
            self.versions.insert(key.to_owned(), version);
        }
        known != Some(version)
    }

    /// Forgets an entry that can be read, or is gone.
    pub fn forget(&mut self, key: &str) {
        self.versions.remove(key);
    }

    /// Forgets the entries that are not among the rows.
    pub fn retain(&mut self, rows: &[Row]) {
        self.versions.retain(|key, _| rows.iter().any(|row| row.key == *key));
    }

    /// Counts the entries that cannot be read.
    pub fn count(&self) -> usize {
        self.versions.len()
    }
}
