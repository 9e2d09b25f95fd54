//! What nodes report to each other of the use of client accounts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The units of one client account at one incarnation of a node, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Units of all requests, those that were refused too.
    pub requested: u64,
    /// Units of the requests that were admitted. Those of all others, seen from one node, may be
    /// fewer than none where the node's own were not counted yet.
    pub admitted: i64,
    /// Units requested a second, lately: all nodes work out their shares from the same figures.
    pub requested_per_second: u64,
    /// Units that are left of the whole client account's bucket, as this node knows it; `None`
    /// where it does not keep it.
    pub level: Option<i64>,
}

impl AccountUsage {
    /// Adds what was used elsewhere.
    pub(super) fn add(&mut self, admitted: i64, requested_per_second: u64) {
        self.admitted += admitted;
        self.requested_per_second += requested_per_second;
    }
}

/// Whose units a report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A node that reports for itself, or for its group.
    Peer,
    /// A node of this node's group, for which this node reports to others.
    Member,
    /// This node's aggregator, which reports for all other nodes.
    Aggregator,
}

/// The units of one incarnation of a node, or of a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Milliseconds since the node's start.
    pub age: Millis,
    /// Milliseconds since the units began to be counted from none.
    pub counted_for: Millis,
    /// The units, by client account.
    pub accounts: BTreeMap<String, AccountUsage>,
}

/// How long a rate is assumed to go on after it was reported.
pub(super) const RATE_VALID_FOR: Millis = 2_000;
/// How long what others are requested for counts, of whom one aggregator reports: a node must not
/// take the whole rate for its share before it counts the others as out of reach.
const OTHERS_VALID_FOR: Millis = 3_000;
/// The weight of the newest sample of a rate.
const SMOOTHING: f64 = 0.5;

/// The last report of an incarnation of a node, and how fast its figures grew. Rates are units a
/// millisecond.
#[derive(Clone, Debug, Default)]
pub(super) struct Rates {
    pub reported_at: Millis,
    /// Whether the incarnation began before this node's.
    pub is_older: bool,
    /// When its process started, on this node's clock.
    pub started_at: Millis,
    last: BTreeMap<String, AccountUsage>,
    admitted: BTreeMap<String, f64>,
    /// The same, smoothed over the latest reports.
    usually_admitted: BTreeMap<String, f64>,
    requested: BTreeMap<String, f64>,
    /// Units that were charged for the time in which nothing was reported, by client account.
    charged: BTreeMap<String, f64>,
}

impl Rates {
    pub fn new(reported_at: Millis) -> Self {
        Self { reported_at, ..Self::default() }
    }

    /// Takes over a report; returns the units admitted since the one before, by client account.
    ///
    /// A client account that the report leaves out has not changed.
    pub fn update(&mut self, now: Millis, report: &Report) -> Vec<(String, i64)> {
        let since = now.saturating_sub(self.reported_at).max(1) as f64;
        let mut newly_admitted = Vec::new();
        self.admitted.clear();
        for (account, units) in &report.accounts {
            let before = self.last.insert(account.clone(), *units).unwrap_or_default();
            let admitted = units.admitted - before.admitted;
            let rate = admitted.max(0) as f64 / since;
            self.admitted.insert(account.clone(), rate);
            let usual = self.usually_admitted.entry(account.clone()).or_insert(rate);
            *usual += SMOOTHING * (rate - *usual);
            self.requested.insert(account.clone(), units.requested_per_second as f64 / 1_000.0);
            newly_admitted.push((account.clone(), admitted));
        }
        self.reported_at = now;
        newly_admitted
    }

    /// Computes the smoothed units requested a second, from new totals.
    pub fn measure_requested(&self, now: Millis, account: &str, units: &AccountUsage) -> u64 {
        let since = now.saturating_sub(self.reported_at).max(1) as f64;
        let before = self.last.get(account).copied().unwrap_or_default();
        let newest = units.requested.saturating_sub(before.requested) as f64 / since * 1_000.0;
        let known = before.requested_per_second as f64;
        (known + SMOOTHING * (newest - known)) as u64
    }

    /// Estimates the units admitted since the last report, but for those that were charged.
    pub fn estimate_unreported(&self, now: Millis, account: &str) -> f64 {
        if self.charged.contains_key(account) {
            return 0.0;
        }
        let since = now.saturating_sub(self.reported_at).min(RATE_VALID_FOR) as f64;
        self.admitted.get(account).map_or(0.0, |rate| rate * since)
    }

    /// Estimates the same for a group of nodes, which may have used more than their last report
    /// says: that covers a short time only.
    pub fn estimate_unreported_of_group(&self, now: Millis, account: &str) -> f64 {
        if self.charged.contains_key(account) {
            return 0.0;
        }
        let since = now.saturating_sub(self.reported_at).min(RATE_VALID_FOR) as f64;
        let newest = self.admitted.get(account).copied().unwrap_or(0.0);
        let usual = self.usually_admitted.get(account).copied().unwrap_or(0.0);
        newest.max(usual) * since
    }

    /// Returns the units admitted since the last report that must be charged, because the rate is no
    /// longer assumed to go on; 0 where they were charged before.
    pub fn charge_unreported(&mut self, now: Millis, account: &str) -> f64 {
        if now < self.reported_at + RATE_VALID_FOR || self.charged.contains_key(account) {
            return 0.0;
        }
        let units = self.estimate_unreported_of_group(now, account);
        self.charged.insert(account.to_owned(), units);
        units
    }

    /// Takes the units that were charged since the last report: the next one says what was used.
    pub fn take_charged(&mut self) -> BTreeMap<String, f64> {
        std::mem::take(&mut self.charged)
    }

    /// Takes off what this node need no longer report.
    pub fn take_off(&mut self, units: &BTreeMap<String, AccountUsage>) {
        for (account, arrived) in units {
            if let Some(last) = self.last.get_mut(account) {
                last.requested = last.requested.saturating_sub(arrived.requested);
                last.admitted -= arrived.admitted;
            }
        }
    }

    /// Lists the client accounts of the last reports.
    pub fn iter_accounts(&self) -> impl Iterator<Item = &String> {
        self.last.keys()
    }

    /// Returns the units of a client account that were last reported.
    pub fn get_last(&self, account: &str) -> Option<&AccountUsage> {
        self.last.get(account)
    }

    /// Returns the units requested a millisecond, lately.
    pub fn get_requested(&self, now: Millis, account: &str, source: Source) -> f64 {
        let valid_for = match source {
            Source::Aggregator => OTHERS_VALID_FOR,
            Source::Peer | Source::Member => RATE_VALID_FOR,
        };
        let is_recent = now < self.reported_at + valid_for;
        self.requested.get(account).copied().filter(|_| is_recent).unwrap_or(0.0)
    }
}
