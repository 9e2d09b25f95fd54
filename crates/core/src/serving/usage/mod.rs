//! Usage accounting: how many requests of each client account started in each wall-clock window.
//!
//! Each incarnation of a node counts its own requests, and its counts only grow. Nodes exchange
//! counts and keep the largest that they saw of every incarnation, so the counts of a node survive
//! its failure.

mod frozen;
mod window_set;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

pub use self::frozen::FrozenWindows;
pub use self::window_set::WindowSet;

/// The number of a window: window `k` starts `k` window lengths after the Unix epoch.
pub type WindowNumber = u64;

/// Requests that started, by client account.
pub type Counts = BTreeMap<String, u64>;

/// An incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The name of the node.
    pub node: String,
    /// A random number drawn at each start.
    pub number: u64,
}

/// The counts of all incarnations of all nodes in recent windows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    windows: BTreeMap<WindowNumber, BTreeMap<Incarnation, Counts>>,
    /// Incarnations of nodes that report to this one, for which it reports to others.
    group: BTreeSet<Incarnation>,
}

/// A compact copy of the counts of all incarnations in some windows; it names each client account
/// once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    accounts: Vec<String>,
    windows: Vec<(WindowNumber, Vec<IncarnationCounts>)>,
}

/// The counts of an incarnation in a window, in the order of the client accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct IncarnationCounts {
    incarnation: Incarnation,
    counts: Vec<u64>,
}

impl LedgerSnapshot {
    /// Returns `true` if there are no windows.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }
}

impl Ledger {
    /// Counts a request that started.
    pub fn count(&mut self, window: WindowNumber, incarnation: &Incarnation, account: &str) {
        let counts =
            self.windows.entry(window).or_default().entry(incarnation.clone()).or_default();
        *counts.entry(account.to_owned()).or_default() += 1;
    }

    /// Merges the counts of an incarnation, keeping the larger of the old and new counts.
    pub fn merge(&mut self, window: WindowNumber, incarnation: &Incarnation, counts: &Counts) {
        let known = self.windows.entry(window).or_default().entry(incarnation.clone()).or_default();
        for (account, count) in counts {
            let largest = known.entry(account.clone()).or_default();
            *largest = (*largest).max(*count);
        }
    }

    /// Merges the counts of an incarnation that reports to this node.
    pub fn merge_member(
        &mut self,
        window: WindowNumber,
        incarnation: &Incarnation,
        counts: &Counts,
    ) {
        self.group.insert(incarnation.clone());
        self.merge(window, incarnation, counts);
    }

    /// Sums the counts of an incarnation and of all incarnations that report to this node, in the
    /// latest windows.
    ///
    /// The sums only grow: an incarnation that switches to another node starts new counts there.
    pub fn sum_group(&self, own: &Incarnation, windows: usize) -> Vec<(WindowNumber, Counts)> {
        let latest = self.windows.iter().rev().take(windows);
        let sum = latest.map(|(window, incarnations)| {
            let group = incarnations
                .iter()
                .filter(|(incarnation, _)| *incarnation == own || self.group.contains(incarnation));
            (*window, sum(group.map(|(_, counts)| counts)))
        });
        sum.filter(|(_, counts)| !counts.is_empty()).collect()
    }

    /// Moves counts that did not arrive at the former recipient of this node's reports to a new
    /// incarnation.
    ///
    /// Counts that arrived at an aggregator are part of its sums. Counts that arrived at others as
    /// this node's own sums (`is_own_sum`) stay under the former incarnation, here as well as
    /// there.
    pub fn hand_over(
        &mut self,
        former: &Incarnation,
        next: &Incarnation,
        arrived: &BTreeMap<WindowNumber, Counts>,
        is_own_sum: bool,
    ) {
        self.group.clear();
        let nothing = Counts::new();
        for (window, incarnations) in &mut self.windows {
            let Some(mut counts) = incarnations.remove(former) else { continue };
            let arrived = arrived.get(window).unwrap_or(&nothing);
            for (account, count) in &mut counts {
                *count = count.saturating_sub(arrived.get(account).copied().unwrap_or(0));
            }
            counts.retain(|_, count| *count > 0);
            incarnations.insert(next.clone(), counts);
            if is_own_sum {
                incarnations.insert(former.clone(), arrived.clone());
            }
        }
    }

    /// Sums the counts of a window over all incarnations.
    pub fn total(&self, window: WindowNumber) -> Counts {
        sum(self.windows.get(&window).into_iter().flat_map(BTreeMap::values))
    }

    /// Lists the counts of an incarnation in all retained windows.
    pub fn list_incarnation_counts(
        &self,
        incarnation: &Incarnation,
    ) -> Vec<(WindowNumber, Counts)> {
        let windows = self.windows.iter();
        windows
            .filter_map(|(window, incarnations)| {
                Some((*window, incarnations.get(incarnation)?.clone()))
            })
            .collect()
    }

    /// Returns all incarnations and their counts in a window.
    pub fn get_window(&self, window: WindowNumber) -> Option<&BTreeMap<Incarnation, Counts>> {
        self.windows.get(&window)
    }

    /// Returns a snapshot of the counts of all incarnations from the window `first` on.
    pub fn get_snapshot(&self, first: WindowNumber) -> LedgerSnapshot {
        let windows = || self.windows.range(first..);
        let counts = windows().flat_map(|(_, incarnations)| incarnations.values());
        let accounts: BTreeSet<&String> = counts.flat_map(|counts| counts.keys()).collect();
        let copy = |(incarnation, counts): (&Incarnation, &Counts)| IncarnationCounts {
            incarnation: incarnation.clone(),
            counts: accounts.iter().map(|name| counts.get(*name).copied().unwrap_or(0)).collect(),
        };
        let windows = windows()
            .map(|(window, incarnations)| (*window, incarnations.iter().map(copy).collect()));
        LedgerSnapshot {
            windows: windows.collect(),
            accounts: accounts.iter().map(|name| (*name).clone()).collect(),
        }
    }

    /// Merges the counts of a snapshot.
    pub fn merge_snapshot(&mut self, snapshot: &LedgerSnapshot) {
        for (window, incarnations) in &snapshot.windows {
            for known in incarnations {
                let counts = snapshot.accounts.iter().cloned().zip(known.counts.iter().copied());
                let counts = counts.filter(|(_, count)| *count > 0).collect();
                self.merge(*window, &known.incarnation, &counts);
            }
        }
    }

    /// Returns the first retained window.
    pub fn get_first_window(&self) -> Option<WindowNumber> {
        self.windows.keys().next().copied()
    }

    /// Forgets the windows before one.
    pub fn forget_before(&mut self, window: WindowNumber) {
        self.windows = self.windows.split_off(&window);
        let windows = &self.windows;
        self.group.retain(|incarnation| {
            windows.values().any(|incarnations| incarnations.contains_key(incarnation))
        });
    }
}

fn sum<'a>(all: impl Iterator<Item = &'a Counts>) -> Counts {
    let mut total = Counts::new();
    for (account, count) in all.flatten() {
        *total.entry(account.clone()).or_default() += count;
    }
    total
}

/// Reports that include a window after its last change, because each report may get lost.
const CHANGED_WINDOW_REPORTS: u64 = 10;
/// An unchanged window is included in every report whose number is a multiple of this, so that
/// nodes that become reachable learn of it.
const UNCHANGED_WINDOW_INTERVAL: u64 = 10;

/// Selects the windows that a report includes.
///
/// All but one or two of the latest windows have ended. Each has a count for every client account,
/// and an aggregator sends them to all other aggregators.
#[derive(Clone, Debug, Default)]
pub struct ReportFilter {
    /// The digest of the counts of each window, and the report in which they last changed.
    sent: BTreeMap<WindowNumber, (u64, u64)>,
}

impl ReportFilter {
    /// Removes the windows that have not changed recently from the report with the number `turn`.
    pub fn select(
        &mut self,
        turn: u64,
        windows: Vec<(WindowNumber, Counts)>,
    ) -> Vec<(WindowNumber, Counts)> {
        let first = windows.iter().map(|(window, _)| *window).min().unwrap_or(0);
        self.sent = self.sent.split_off(&first);
        let is_due = |(window, counts): &(WindowNumber, Counts)| {
            let digest = digest_of(counts);
            let sent = self.sent.entry(*window).or_insert((digest, turn));
            if sent.0 != digest {
                *sent = (digest, turn);
            }
            turn < sent.1 + CHANGED_WINDOW_REPORTS || turn.is_multiple_of(UNCHANGED_WINDOW_INTERVAL)
        };
        windows.into_iter().filter(is_due).collect()
    }
}

/// Returns a digest of counts. It does not depend on their order.
fn digest_of(counts: &Counts) -> u64 {
    let digest = |(account, count): (&String, &u64)| xxh3_64_with_seed(account.as_bytes(), *count);
    counts.iter().map(digest).fold(0, u64::wrapping_add)
}

/// The fraction of the time to the report's due time in which the last counts of all nodes arrive.
const SETTLE_FRACTION: f64 = 0.2;
/// The fraction of the time to the report's due time after which the report is sent as it is. The
/// remaining time is for the calls, and for another duty holder.
const DEADLINE_FRACTION: f64 = 0.65;

/// Windows that are retained in addition to those whose reports are due: the current one, the
/// previous one, and some for clock skew.
const EXTRA_RETAINED_WINDOWS: u64 = 6;

/// Returns the time after the end of a window before which it is not reported. `due` is the time
/// after its end at which the report is due.
pub fn get_settle_time(due: Millis) -> Millis {
    (due as f64 * SETTLE_FRACTION) as Millis
}

/// Returns `true` if the counts of a window may be reported.
///
/// `age` is the time since the window ended, and `due` is the time after its end at which the
/// report is due. If `is_node_missing`, a partitioned node that served in the window may not have
/// reported its last counts; it reports them once it is reachable again.
pub fn is_settled(age: Millis, due: Millis, is_node_missing: bool) -> bool {
    let fraction = if is_node_missing { DEADLINE_FRACTION } else { SETTLE_FRACTION };
    age as f64 >= due as f64 * fraction
}

/// Returns the number of windows whose rows and counts are retained.
///
/// `due` is the time after the end of a window at which its report is due. Any duty holder that may
/// still report a window thus finds the earlier report.
pub fn count_retained_windows(due: Millis, length: Millis) -> u64 {
    due.div_ceil(length.max(1)) + EXTRA_RETAINED_WINDOWS
}

/// Returns the window that contains a wall-clock time.
pub fn window_at(unix_ms: u64, length_ms: u64) -> WindowNumber {
    unix_ms / length_ms.max(1)
}
