//! Reports about the usage of client accounts that nodes exchange.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The usage of a client account at one incarnation of a node, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Units of all requests, including refused ones.
    pub requested: u64,
    /// Units of admitted requests. The sum over all other nodes, as seen from one node, may be
    /// negative if the node's own units were not counted yet.
    pub admitted: i64,
    /// Recent rate of requested units, per second. All nodes compute their shares from the same
    /// figures.
    pub requested_per_second: u64,
    /// Units available in the bucket of the whole client account, as this node knows it; `None` if
    /// it keeps no bucket for the account.
    pub level: Option<i64>,
}

impl AccountUsage {
    /// Adds usage of other nodes.
    pub(super) fn add(&mut self, admitted: i64, requested_per_second: u64) {
        self.admitted += admitted;
        self.requested_per_second += requested_per_second;
    }
}

/// The kind of node that a report comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A node that reports for itself or for its group.
    Peer,
    /// A node of this node's group, for which this node reports to others.
    Member,
    /// This node's aggregator, which reports for all other nodes.
    Aggregator,
}

/// The usage at one incarnation of a node or at a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Milliseconds since the start of the node.
    pub age: Millis,
    /// Milliseconds since the counters were last reset.
    pub counted_for: Millis,
    /// Usage by client account.
    pub accounts: BTreeMap<String, AccountUsage>,
}

/// How long a reported rate is assumed to continue.
pub(super) const RATE_TTL_MS: Millis = 2_000;
/// How long requests to other nodes count if a single aggregator reports them: a node must not take
/// the whole rate as its share before it counts the others as unreachable.
const AGGREGATE_TTL_MS: Millis = 3_000;
/// The weight of the newest sample of a rate.
const SMOOTHING_FACTOR: f64 = 0.5;

/// The last report of an incarnation of a node, and the rates derived from it, in units per
/// millisecond.
#[derive(Clone, Debug, Default)]
pub(super) struct Rates {
    pub reported_at: Millis,
    /// Whether the incarnation started before this node.
    pub is_older: bool,
    /// When its process started, on this node's clock.
    pub started_at: Millis,
    last: BTreeMap<String, AccountUsage>,
    admitted: BTreeMap<String, f64>,
    /// Rates of admitted units, smoothed over recent reports.
    smoothed_admitted: BTreeMap<String, f64>,
    requested: BTreeMap<String, f64>,
    /// Units charged for the time without reports, by client account.
    charged: BTreeMap<String, f64>,
}

impl Rates {
    pub fn new(reported_at: Millis) -> Self {
        Self { reported_at, ..Self::default() }
    }

    /// Applies a report and returns the units admitted since the previous one, by client account.
    ///
    /// A client account that is missing from the report has not changed.
    pub fn update(&mut self, now: Millis, report: &Report) -> Vec<(String, i64)> {
        let since = now.saturating_sub(self.reported_at).max(1) as f64;
        let mut newly_admitted = Vec::new();
        self.admitted.clear();
        for (account, units) in &report.accounts {
            let before = self.last.insert(account.clone(), *units).unwrap_or_default();
            let admitted = units.admitted - before.admitted;
            let rate = admitted.max(0) as f64 / since;
            self.admitted.insert(account.clone(), rate);
            let smoothed = self.smoothed_admitted.entry(account.clone()).or_insert(rate);
            *smoothed += SMOOTHING_FACTOR * (rate - *smoothed);
            self.requested.insert(account.clone(), units.requested_per_second as f64 / 1_000.0);
            newly_admitted.push((account.clone(), admitted));
        }
        self.reported_at = now;
        newly_admitted
    }

    /// Computes the smoothed rate of requested units per second from new totals.
    pub fn measure_requested(&self, now: Millis, account: &str, units: &AccountUsage) -> u64 {
        let since = now.saturating_sub(self.reported_at).max(1) as f64;
        let before = self.last.get(account).copied().unwrap_or_default();
        let newest = units.requested.saturating_sub(before.requested) as f64 / since * 1_000.0;
        let known = before.requested_per_second as f64;
        (known + SMOOTHING_FACTOR * (newest - known)) as u64
    }

    /// Estimates the units admitted since the last report, except those already charged.
    pub fn estimate_unreported(&self, now: Millis, account: &str) -> f64 {
        if self.charged.contains_key(account) {
            return 0.0;
        }
        let since = now.saturating_sub(self.reported_at).min(RATE_TTL_MS) as f64;
        self.admitted.get(account).map_or(0.0, |rate| rate * since)
    }

    /// Estimates the units admitted by a group of nodes since the last report.
    ///
    /// The group may have used more than its last report shows, because that covers a short time
    /// only. The estimate therefore uses the larger of the latest and the smoothed rate.
    pub fn estimate_unreported_of_group(&self, now: Millis, account: &str) -> f64 {
        if self.charged.contains_key(account) {
            return 0.0;
        }
        let since = now.saturating_sub(self.reported_at).min(RATE_TTL_MS) as f64;
        let newest = self.admitted.get(account).copied().unwrap_or(0.0);
        let smoothed = self.smoothed_admitted.get(account).copied().unwrap_or(0.0);
        newest.max(smoothed) * since
    }

    /// Returns the units to charge for the time since the last report once its rate is no longer
    /// assumed to continue; 0 if they were already charged.
    pub fn charge_unreported(&mut self, now: Millis, account: &str) -> f64 {
        if now < self.reported_at + RATE_TTL_MS || self.charged.contains_key(account) {
            return 0.0;
        }
        let units = self.estimate_unreported_of_group(now, account);
        self.charged.insert(account.to_owned(), units);
        units
    }

    /// Removes and returns the units charged since the last report; the next report states the real
    /// usage.
    pub fn take_charged(&mut self) -> BTreeMap<String, f64> {
        std::mem::take(&mut self.charged)
    }

    /// Subtracts units that this node no longer needs to report.
    pub fn subtract(&mut self, units: &BTreeMap<String, AccountUsage>) {
        for (account, reported) in units {
            if let Some(last) = self.last.get_mut(account) {
                last.requested = last.requested.saturating_sub(reported.requested);
                last.admitted -= reported.admitted;
            }
        }
    }

    /// Iterates over the client accounts of the reports.
    pub fn iter_accounts(&self) -> impl Iterator<Item = &String> {
        self.last.keys()
    }

    /// Returns the last reported usage of a client account.
    pub fn get_last(&self, account: &str) -> Option<&AccountUsage> {
        self.last.get(account)
    }

    /// Returns the recent rate of requested units, per millisecond.
    pub fn get_requested(&self, now: Millis, account: &str, source: Source) -> f64 {
        let valid_for = match source {
            Source::Aggregator => AGGREGATE_TTL_MS,
            Source::Peer | Source::Member => RATE_TTL_MS,
        };
        let is_recent = now < self.reported_at + valid_for;
        self.requested.get(account).copied().filter(|_| is_recent).unwrap_or(0.0)
    }
}
