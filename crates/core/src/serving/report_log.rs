//! The log of a node's reports until they are acknowledged.
//!
//! A node reports counts that only grow: units admitted, requests begun. In groups, the node's
//! aggregator sums them up. If the node changes to another aggregator, that one must count only
//! what the first one did not. The node therefore keeps its latest reports and learns from its
//! aggregator which of them arrived. When it changes to another aggregator, it starts a new
//! incarnation, which counts only what did not arrive.
//!
//! Reports that arrived without an acknowledgement are counted twice: at most the requests of one
//! report period of one node, which errs on the safe side.

use std::collections::{BTreeMap, VecDeque};

use super::quota::AccountUsage;
use super::usage::{Counts, Incarnation, WindowNumber};
use crate::Millis;

/// The number of reports that are kept until one of them is acknowledged: those of five seconds.
const REPORT_CAPACITY: usize = 16;

/// The counts in one report of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The usage of client accounts.
    pub quota: BTreeMap<String, AccountUsage>,
    /// Requests begun, by window of the wall clock.
    pub usage: BTreeMap<WindowNumber, Counts>,
}

/// The reports of a node to its aggregators.
#[derive(Clone, Debug)]
pub struct ReportLog {
    incarnation: Incarnation,
    reports: VecDeque<(Millis, Snapshot)>,
    acknowledged: Option<(Millis, Snapshot)>,
}

impl ReportLog {
    /// Creates the log for the first incarnation of a node.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, reports: VecDeque::new(), acknowledged: None }
    }

    /// Returns the incarnation that the node reports under.
    pub fn get_incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Records the counts of a report that is sent now.
    pub fn record(&mut self, now: Millis, snapshot: Snapshot) {
        self.reports.push_back((now, snapshot));
        if self.reports.len() > REPORT_CAPACITY {
            self.reports.pop_front();
        }
    }

    /// Records that the report sent at `sent_at` arrived. Returns its counts, or `None` if they are
    /// no longer kept.
    pub fn acknowledge(&mut self, sent_at: Millis) -> Option<&Snapshot> {
        while self.reports.front().is_some_and(|(at, _)| *at <= sent_at) {
            self.acknowledged = self.reports.pop_front();
        }
        self.acknowledged.as_ref().filter(|(at, _)| *at == sent_at).map(|(_, snapshot)| snapshot)
    }

    /// Returns the counts of the last acknowledged report.
    pub fn get_acknowledged(&self) -> Option<&Snapshot> {
        self.acknowledged.as_ref().map(|(_, snapshot)| snapshot)
    }

    /// Starts a new incarnation. Returns the counts that arrived under the former one, which the
    /// node must not report again.
    pub fn begin_incarnation(&mut self, number: u64) -> Snapshot {
        self.incarnation.number = number;
        self.reports.clear();
        self.acknowledged.take().map(|(_, snapshot)| snapshot).unwrap_or_default()
    }
}
