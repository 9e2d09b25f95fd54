//! What is known of the versions that earlier orders of a service asked for.
//!
//! A node that missed how a rollout ended cannot conclude that it failed: it may have been
//! suspended, cut off or restarted meanwhile. Such a version has an [`Outcome::Unknown`], which
//! holds its servers back while others are available, and which any node that knows the outcome
//! replaces.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::serving::table_version::TableVersion;

/// The number of versions whose standings are kept for a service; those of the oldest orders are
/// dropped first.
const MAX_VERSIONS: usize = 32;

/// What is known of a version. A later variant replaces an earlier one for the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing: its order was replaced by a later one, and how its rollout ended is not known.
    Unknown,
    /// It was rolled back, or replaced before its rollout was completed.
    Withdrawn,
    /// Its rollout was completed, or it was in service before the order.
    Accepted,
}

/// What is known of a version, as of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Standing {
    /// The number of the order.
    pub number: TableVersion,
    /// The outcome of its rollout.
    pub outcome: Outcome,
}

/// The standings of a service's versions, by version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standings(BTreeMap<String, Standing>);

impl Standings {
    /// Returns the outcome that is known of a version; `None` if no order asked for it.
    pub fn get(&self, version: &str) -> Option<Outcome> {
        self.0.get(version).map(|standing| standing.outcome)
    }

    /// Returns `true` if a version may get no requests.
    pub fn is_withdrawn(&self, version: &str) -> bool {
        self.get(version) == Some(Outcome::Withdrawn)
    }

    /// Returns `true` if it is not known whether a version may get requests.
    pub fn is_unknown(&self, version: &str) -> bool {
        self.get(version) == Some(Outcome::Unknown)
    }

    /// Lists the versions with an outcome.
    pub fn list(&self, outcome: Outcome) -> Vec<&str> {
        let with_outcome = self.0.iter().filter(|(_, standing)| standing.outcome == outcome);
        with_outcome.map(|(version, _)| version.as_str()).collect()
    }

    /// Records a standing, unless a later one is known.
    pub fn record(&mut self, version: &str, standing: Standing) {
        let known = self.0.get(version);
        if known.is_some_and(|known| *known >= standing) {
            return;
        }
        self.0.insert(version.to_owned(), standing);
        while self.0.len() > MAX_VERSIONS {
            let oldest = self.0.iter().min_by_key(|(_, standing)| **standing);
            let Some(oldest) = oldest.map(|(version, _)| version.clone()) else { break };
            self.0.remove(&oldest);
        }
    }

    /// Records all standings of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (version, standing) in &other.0 {
            self.record(version, *standing);
        }
    }

    /// Removes a version that is ordered again and has to prove itself again.
    pub fn remove(&mut self, version: &str) {
        self.0.remove(version);
    }

    /// Replaces unknown outcomes by those that the duty holder's record of an earlier order holds.
    ///
    /// An order that no holder began has changed nothing, so its version keeps the outcome that it
    /// had before.
    pub fn resolve(&mut self, recorded: &Self) {
        self.merge(recorded);
        for (version, standing) in &mut self.0 {
            if standing.outcome == Outcome::Unknown {
                standing.outcome = recorded.get(version).unwrap_or(Outcome::Unknown);
            }
        }
    }
}

impl<'a> FromIterator<(&'a str, Standing)> for Standings {
    fn from_iter<I: IntoIterator<Item = (&'a str, Standing)>>(standings: I) -> Self {
        let mut all = Self::default();
        standings.into_iter().for_each(|(version, standing)| all.record(version, standing));
        all
    }
}
