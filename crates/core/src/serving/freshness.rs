//! Whether what a node believes is recent enough to act on.
//!
//! A node that is cut off, frozen or just started may hold a configuration that has been replaced.
//! It therefore notes when its configuration was last known to be the newest. That moment is the
//! one *before* the question was sent, on the node's own steady clock, so that neither a slow
//! answer nor a pause of the process makes old knowledge look new.

use serde::{Deserialize, Serialize};

use super::table_version::TableVersion;
use crate::Millis;

/// The versions of the platform's tables that a node knows, and how old that knowledge is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// That of the configuration.
    pub configuration: Option<KnownVersion<u64>>,
    /// That of the list of servers.
    pub servers: Option<KnownVersion<TableVersion>>,
}

/// A version that a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion<V> {
    /// The version.
    pub version: V,
    /// Milliseconds since the node knew it to be the newest.
    pub age: Millis,
}

/// Notes when the configuration was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// Notes that a question sent at `asked_at` showed the configuration to be the newest.
    pub fn confirm(&mut self, asked_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Notes a peer's answer: it knew, `age` before it answered a question sent at `asked_at`.
    pub fn confirm_by_peer(&mut self, asked_at: Millis, age: Millis) {
        if let Some(confirmed_at) = asked_at.checked_sub(age) {
            self.confirm(confirmed_at);
        }
    }

    /// Returns the milliseconds since the configuration was last known to be the newest.
    pub fn get_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns `true` if the configuration was known to be the newest within `bound`.
    pub fn is_within(&self, now: Millis, bound: Millis) -> bool {
        self.get_age(now).is_some_and(|age| age <= bound)
    }
}
