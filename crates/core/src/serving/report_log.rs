//! Which of a node's counts its peers have taken over.
//!
//! A node reports counts that only grow: units admitted, requests that began. In groups they are
//! summed up by the node's aggregator, and another aggregator that the node turns to later must
//! count only what the first one did not. The node therefore keeps what it reported lately, learns
//! from its aggregator which report arrived, and begins to count anew, from what did not arrive,
//! under a new incarnation when it turns to another one. What arrived without the node's knowledge
//! is counted twice: at most the requests of one period of one node, on the careful side.

use std::collections::{BTreeMap, VecDeque};

use super::quota::AccountUsage;
use super::usage::{Counts, Incarnation, WindowNumber};
use crate::Millis;

/// Reports that are kept until one of them is known to have arrived: five seconds' worth.
const MOST_REPORTS: usize = 16;

/// The counts of a node in one report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// What client accounts used.
    pub quota: BTreeMap<String, AccountUsage>,
    /// Requests that began, by window of the wall clock.
    pub usage: BTreeMap<WindowNumber, Counts>,
}

/// The reports of one node to those that sum them up.
#[derive(Clone, Debug)]
pub struct ReportLog {
    incarnation: Incarnation,
    reports: VecDeque<(Millis, Snapshot)>,
    arrived: Option<(Millis, Snapshot)>,
}

impl ReportLog {
    /// Begins with the first incarnation of a node.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, reports: VecDeque::new(), arrived: None }
    }

    /// Returns under which incarnation the node counts now.
    pub fn get_incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Notes the counts in a report that is sent now.
    pub fn record(&mut self, now: Millis, snapshot: Snapshot) {
        self.reports.push_back((now, snapshot));
        if self.reports.len() > MOST_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Notes that the report of a time arrived, and returns its counts; `None` where it is not
    /// kept any more.
    pub fn acknowledge(&mut self, sent_at: Millis) -> Option<&Snapshot> {
        while self.reports.front().is_some_and(|(at, _)| *at <= sent_at) {
            self.arrived = self.reports.pop_front();
        }
        self.arrived.as_ref().filter(|(at, _)| *at == sent_at).map(|(_, snapshot)| snapshot)
    }

    /// Returns the counts that are known to have arrived last.
    pub fn get_acknowledged(&self) -> Option<&Snapshot> {
        self.arrived.as_ref().map(|(_, snapshot)| snapshot)
    }

    /// Begins a new incarnation; returns the counts that arrived under the former one, which the
    /// node must no longer report.
    pub fn begin_incarnation(&mut self, number: u64) -> Snapshot {
        self.incarnation.number = number;
        self.reports.clear();
        self.arrived.take().map(|(_, snapshot)| snapshot).unwrap_or_default()
    }
}
