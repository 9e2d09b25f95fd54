//! Changes of the list, as they pass between nodes.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::server::Server;
use crate::serving::table_version::TableVersion;

/// Entries of the list that changed after a version, up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// All changes after this version are there.
    pub after: TableVersion,
    /// The list's version with these changes.
    pub version: TableVersion,
    /// The changed entries.
    pub entries: Vec<Entry>,
}

/// A changed entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The server's id.
    pub id: String,
    /// The version at which the entry changed.
    pub version: TableVersion,
    /// The server as it is now; `None` where it is no longer listed.
    pub server: Option<Server>,
}

/// What a node that knows the list up to a version gets from one that knows it further.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update<'a> {
    /// The changes since.
    Delta(Batch),
    /// The whole list.
    Full {
        /// Its version.
        version: TableVersion,
        /// All servers.
        servers: Vec<Cow<'a, Server>>,
    },
}

impl Update<'_> {
    /// Returns the version of the list with what is given.
    pub fn get_version(&self) -> TableVersion {
        match self {
            Self::Delta(batch) => batch.version,
            Self::Full { version, .. } => *version,
        }
    }
}

impl Batch {
    /// Splits the batch, so that each part has at most about `most` entries and fits one datagram.
    ///
    /// Each part continues where the one before it ends. Entries that changed at the same version stay
    /// together.
    pub fn split(mut self, most: usize) -> Vec<Self> {
        self.entries.sort_by_key(|entry| entry.version);
        let mut parts = Vec::new();
        let mut after = self.after;
        let mut part: Vec<Entry> = Vec::new();
        for entry in self.entries {
            let last = part.last().map(|last| last.version);
            if let Some(version) = last.filter(|last| part.len() >= most && entry.version > *last) {
                let entries = std::mem::take(&mut part);
                parts.push(Self { after, version, entries });
                after = version;
            }
            part.push(entry);
        }
        parts.push(Self { after, version: self.version, entries: part });
        parts
    }
}
