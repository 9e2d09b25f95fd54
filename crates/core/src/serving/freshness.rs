//! Whether a node's knowledge is recent enough to act on.
//!
//! A node that is partitioned, frozen or just started may hold a configuration that has been
//! replaced. It therefore records when its configuration was last known to be the newest. This is
//! the time *before* the query was sent, on the node's own monotonic clock, so that neither a slow
//! response nor a pause of the process makes old knowledge look new.

use serde::{Deserialize, Serialize};

use super::table_version::TableVersion;
use crate::Millis;

/// The table versions that a node knows, and the age of that knowledge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: Option<KnownVersion<u64>>,
    /// The version of the list of servers.
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

/// Records when the configuration was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// Records that a query sent at `queried_at` showed the configuration to be the newest.
    pub fn confirm(&mut self, queried_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(queried_at));
    }

    /// Records the response of a peer to a query sent at `queried_at`. The peer knew the
    /// configuration to be the newest `age` milliseconds before it responded.
    pub fn confirm_by_peer(&mut self, queried_at: Millis, age: Millis) {
        if let Some(confirmed_at) = queried_at.checked_sub(age) {
            self.confirm(confirmed_at);
        }
    }

    /// Returns the milliseconds since the configuration was last known to be the newest.
    pub fn get_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns `true` if the configuration was known to be the newest within the last `bound`
    /// milliseconds.
    pub fn is_within(&self, now: Millis, bound: Millis) -> bool {
        self.get_age(now).is_some_and(|age| age <= bound)
    }
}
