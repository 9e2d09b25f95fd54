//! The software versions of each service that may still be running streams.
//!
//! A stream may continue only at the version that began it. A version is possible while one of its
//! servers is listed, and for the longest time that a stream may run afterwards. A process that has
//! just started knows the listed versions only: its history is complete once it has read the rows
//! that the nodes keep in the table service, or once it has run for that time.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How long a stream may run, over all of its attempts, in milliseconds.
pub const MAX_STREAM_AGE_MS: Millis = 60_000;

/// The versions of a service that may be running streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PossibleVersions {
    /// The versions.
    pub versions: BTreeSet<String>,
    /// Whether there can be no others.
    pub is_complete: bool,
}

/// When a version was last listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sighting {
    /// A server of it is listed.
    Listed,
    /// No server of it is listed since a time.
    GoneSince(Millis),
}

impl Sighting {
    fn is_possible(self, now: Millis) -> bool {
        match self {
            Self::Listed => true,
            Self::GoneSince(at) => now < at + MAX_STREAM_AGE_MS,
        }
    }
}

/// The versions of each service that are listed or were listed recently.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<String, BTreeMap<String, Sighting>>,
    /// When the server list became known.
    list_known_at: Option<Millis>,
    are_rows_read: bool,
}

impl VersionHistory {
    /// Records the versions of a service whose servers are listed, ready or leaving.
    pub fn observe(&mut self, now: Millis, service: &str, listed: &BTreeSet<String>) {
        let known = self.get_or_insert(service);
        known.retain(|_, sighting| sighting.is_possible(now));
        for (version, sighting) in known.iter_mut() {
            if *sighting == Sighting::Listed && !listed.contains(version) {
                *sighting = Sighting::GoneSince(now);
            }
        }
        known.extend(listed.iter().map(|version| (version.clone(), Sighting::Listed)));
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Records that the server list is known.
    pub fn record_list_known(&mut self, now: Millis) {
        self.list_known_at.get_or_insert(now);
    }

    /// Adds the versions in the row of a service. Those that are not listed count as gone since
    /// now, because the row does not tell since when.
    pub fn merge_row(&mut self, now: Millis, service: &str, versions: &BTreeSet<String>) {
        let known = self.get_or_insert(service);
        for version in versions {
            if known.get(version) != Some(&Sighting::Listed) {
                known.insert(version.clone(), Sighting::GoneSince(now));
            }
        }
    }

    /// Adds those versions in the row of a service that are not possible according to this history.
    /// They count as gone since now. A row that is merged repeatedly keeps no version alive that this
    /// history saw vanish.
    pub fn merge_missing(&mut self, now: Millis, service: &str, versions: &BTreeSet<String>) {
        let possible: BTreeSet<String> = self.iter_possible(now, service).cloned().collect();
        let missing: BTreeSet<String> = versions.difference(&possible).cloned().collect();
        if !missing.is_empty() {
            self.merge_row(now, service, &missing);
        }
    }

    /// Records that all rows were read and merged.
    pub fn record_rows_read(&mut self) {
        self.are_rows_read = true;
    }

    /// Returns the versions of a service that may be running streams.
    pub fn get_possible(&self, now: Millis, service: &str) -> PossibleVersions {
        let versions = self.iter_possible(now, service).cloned().collect();
        PossibleVersions { versions, is_complete: self.is_complete(now) }
    }

    /// Returns `true` if several versions of a service may be running streams.
    pub fn is_mixed(&self, now: Millis, service: &str) -> bool {
        self.iter_possible(now, service).nth(1).is_some()
    }

    /// Returns `true` if several versions of any service may be running streams.
    pub fn is_any_mixed(&self, now: Millis) -> bool {
        self.services.keys().any(|service| self.is_mixed(now, service))
    }

    /// Returns `true` if a version of a service was listed when the service was last observed.
    pub fn is_listed(&self, service: &str, version: &str) -> bool {
        let known = self.services.get(service).and_then(|versions| versions.get(version));
        known == Some(&Sighting::Listed)
    }

    /// Lists the services that may be running streams, each with its versions.
    pub fn list_possible(&self, now: Millis) -> BTreeMap<&str, BTreeSet<&str>> {
        let services = self.services.keys().map(String::as_str);
        let possible = services.map(|service| {
            (service, self.iter_possible(now, service).map(String::as_str).collect())
        });
        possible.filter(|(_, versions): &(_, BTreeSet<&str>)| !versions.is_empty()).collect()
    }

    /// Returns `true` if no version can be missing: the server list is known, and either the rows
    /// were read or all earlier streams have ended.
    pub fn is_complete(&self, now: Millis) -> bool {
        let Some(known_at) = self.list_known_at else { return false };
        self.are_rows_read || now >= known_at + MAX_STREAM_AGE_MS
    }

    fn iter_possible(&self, now: Millis, service: &str) -> impl Iterator<Item = &String> {
        let known = self.services.get(service).into_iter().flatten();
        known.filter(move |(_, sighting)| sighting.is_possible(now)).map(|(version, _)| version)
    }

    fn get_or_insert(&mut self, service: &str) -> &mut BTreeMap<String, Sighting> {
        self.services.entry(service.to_owned()).or_default()
    }
}
