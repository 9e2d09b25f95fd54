//! The parts of prompts that ran at crashed servers.
//!
//! Requests that share a part are no two alike, and several of them run at the same time. A part
//! therefore needs crashes of several requests, apart from those that a quarantined request explains,
//! but not that each request was sent after the last crash.

use std::collections::{BTreeMap, BTreeSet};

use super::Fingerprint;
use super::crash_record::{Record, Run};
use crate::Millis;

/// Crashes of a part, with no other explanation, after which it is quarantined. They are fewer than
/// the five after which a quarantine is due, since crashes at the same moment count once.
const QUARANTINE_THRESHOLD: u32 = 4;
/// The same for a part that was quarantined before.
const REPEATED_QUARANTINE_THRESHOLD: u32 = 1;
/// How many more crashes a part needs than the other parts that ran at the same servers.
const MIN_LEAD: u32 = 2;
/// Crashes after which a part needs no lead, and parts with equally many are quarantined together.
const GROUP_QUARANTINE_THRESHOLD: u32 = 6;
/// Crashes that no quarantined request explains, and different requests, which a part needs: a single
/// request may itself be the cause.
const MIN_UNEXPLAINED: u32 = 2;
const MIN_REQUESTS: usize = 2;
/// Different requests below which a part needs one more crash: callers and nodes repeat a request that
/// was interrupted, so its crashes are not independent.
const INDEPENDENT_REQUESTS: usize = 3;
/// Crashes within this time may have one cause, such as the loss of a data centre, unless a request
/// was sent in between.
const SAME_EVENT_MS: Millis = 100;

/// A part of prompts that ran at servers when these crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct PartSuspect {
    /// The short id of the service.
    pub service: u64,
    /// Indexes of its crashes.
    pub indexes: BTreeSet<usize>,
    /// The requests whose prompts have the part.
    pub requests: BTreeSet<Fingerprint>,
    /// Its crashes; those at the same moment count once.
    pub crashes: u32,
    /// Of these, crashes that no quarantined request explains.
    unexplained: u32,
    last_crash: Option<Millis>,
}

/// The suspected parts by fingerprint.
pub(super) type PartSuspects = BTreeMap<Fingerprint, PartSuspect>;

/// Collects the parts that ran at crashed servers. `crashes` are ordered by time, with their
/// indexes; `is_explained` returns `true` for a request that explains a crash.
pub(super) fn collect<'a>(
    crashes: impl Iterator<Item = (usize, &'a Record)>,
    is_explained: impl Fn(Fingerprint, &Record) -> bool,
) -> PartSuspects {
    let mut suspects = PartSuspects::new();
    for (index, crash) in crashes {
        for (part, runs) in &crash.parts {
            let suspect = suspects.entry(*part).or_default();
            suspect.service = crash.service;
            suspect.indexes.insert(index);
            suspect.requests.extend(runs.iter().map(|run| run.request));
            if suspect.is_same_event(crash.at, runs) {
                continue;
            }
            suspect.crashes += 1;
            suspect.last_crash = Some(crash.at);
            let is_unexplained = runs.iter().any(|run| !is_explained(run.request, crash));
            suspect.unexplained += u32::from(is_unexplained);
        }
    }
    suspects
}

impl PartSuspect {
    /// Returns `true` if a crash may have the same cause as the last one.
    fn is_same_event(&self, crashed_at: Millis, runs: &[Run]) -> bool {
        self.last_crash.is_some_and(|last| {
            crashed_at < last + SAME_EVENT_MS && runs.iter().all(|run| run.sent_at < last)
        })
    }

    /// Returns `true` if this part, whose fingerprint is `own`, counts as the cause of its crashes: no
    /// other part that ran at some of the same servers has nearly as many.
    pub(super) fn is_cause(
        &self,
        own: Fingerprint,
        suspects: &PartSuspects,
        was_quarantined: bool,
    ) -> bool {
        if was_quarantined {
            return self.crashes >= REPEATED_QUARANTINE_THRESHOLD;
        }
        let is_repeated = self.requests.len() < INDEPENDENT_REQUESTS;
        if self.crashes < QUARANTINE_THRESHOLD + u32::from(is_repeated)
            || self.unexplained < MIN_UNEXPLAINED
            || self.requests.len() < MIN_REQUESTS
        {
            return false;
        }
        let is_rival = |(part, other): &(&Fingerprint, &Self)| {
            **part != own && !self.indexes.is_disjoint(&other.indexes)
        };
        let rivals = suspects.iter().filter(is_rival);
        let most = rivals.map(|(_, rival)| rival.crashes).max().unwrap_or(0);
        match self.crashes >= GROUP_QUARANTINE_THRESHOLD {
            true => most <= self.crashes,
            false => most + MIN_LEAD <= self.crashes,
        }
    }
}
