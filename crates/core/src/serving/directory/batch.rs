//! Updates of the list, as nodes exchange them.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::server::Server;
use crate::serving::table_version::TableVersion;

/// Entries of the list that changed between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The base version; the batch contains all later changes.
    pub after: TableVersion,
    /// The version of the list that includes these changes.
    pub version: TableVersion,
    /// The changed entries.
    pub entries: Vec<Entry>,
}

/// A changed entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The ID of the server.
    pub id: String,
    /// The version at which the entry changed.
    pub version: TableVersion,
    /// The current state of the server; `None` if it is no longer listed.
    pub server: Option<Server>,
}

/// An update for a node that knows an older version of the list, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update<'a> {
    /// The changes since the version that the node knows.
    Delta(Batch),
    /// The full list.
    Full {
        /// The version of the list.
        version: TableVersion,
        /// All servers.
        servers: Vec<Cow<'a, Server>>,
    },
}

impl Update<'_> {
    /// Returns the version of the list that includes this update.
    pub fn get_version(&self) -> TableVersion {
        match self {
            Self::Delta(batch) => batch.version,
            Self::Full { version, .. } => *version,
        }
    }
}

impl Batch {
    /// Splits the batch into parts of about `most` entries, so that each fits one datagram.
    ///
    /// Each part continues where the previous one ends. Entries that changed at the same version
    /// stay together.
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
