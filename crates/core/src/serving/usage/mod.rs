//! How many requests of each client account began in each window of the wall clock.
//!
//! Each incarnation of a node counts for itself and its counts only grow. Nodes exchange them, and keep
//! the largest that they saw of every incarnation, so that the counts of a node survive it.

mod frozen;
mod window_set;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

pub use self::frozen::FrozenWindows;
pub use self::window_set::WindowSet;

/// The number of a window: window `k` begins `k` times its length after the Unix epoch.
pub type WindowNumber = u64;

/// Requests that began, by client account.
pub type Counts = BTreeMap<String, u64>;

/// One incarnation of a node: its name and a number drawn at its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The node's name.
    pub node: String,
    /// Drawn at random at each start.
    pub number: u64,
}

/// The counts of all incarnations of all nodes, for the latest windows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    windows: BTreeMap<WindowNumber, BTreeMap<Incarnation, Counts>>,
    /// Lives of nodes that report to this one, for which it reports to others.
    group: BTreeSet<Incarnation>,
}

/// The counts of all incarnations in some windows, in few bytes: each client account is named once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    accounts: Vec<String>,
    windows: Vec<(WindowNumber, Vec<KeptIncarnation>)>,
}

/// The counts of one incarnation in a window, in the order of the client accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KeptIncarnation {
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
    /// Counts a request that began.
    pub fn count(&mut self, window: WindowNumber, incarnation: &Incarnation, account: &str) {
        let counts =
            self.windows.entry(window).or_default().entry(incarnation.clone()).or_default();
        *counts.entry(account.to_owned()).or_default() += 1;
    }

    /// Takes over the counts of an incarnation, where they are larger than those known.
    pub fn merge(&mut self, window: WindowNumber, incarnation: &Incarnation, counts: &Counts) {
        let known = self.windows.entry(window).or_default().entry(incarnation.clone()).or_default();
        for (account, count) in counts {
            let largest = known.entry(account.clone()).or_default();
            *largest = (*largest).max(*count);
        }
    }

    /// Takes over the counts of an incarnation that reports to this node.
    pub fn merge_member(
        &mut self,
        window: WindowNumber,
        incarnation: &Incarnation,
        counts: &Counts,
    ) {
        self.group.insert(incarnation.clone());
        self.merge(window, incarnation, counts);
    }

    /// Sums the counts of an incarnation and of all incarnations that report to this node, in the latest windows.
    ///
    /// The sums only grow: an incarnation that turned to another node counts anew there.
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

    /// Lets a node count under a new incarnation what has not arrived where it reported until now.
    ///
    /// What arrived at an aggregator is part of that one's sums. What arrived at others as this
    /// node's own sums (`is_own_sum`) stays here under the former incarnation, as it does there.
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

    /// Lists the counts of one incarnation in all windows that are kept.
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

    /// Lists all incarnations and their counts in a window.
    pub fn get_window(&self, window: WindowNumber) -> Option<&BTreeMap<Incarnation, Counts>> {
        self.windows.get(&window)
    }

    /// Lists the counts of all incarnations in the windows from one on, so that they can be kept
    /// elsewhere.
    pub fn get_snapshot(&self, first: WindowNumber) -> LedgerSnapshot {
        let windows = || self.windows.range(first..);
        let counts = windows().flat_map(|(_, incarnations)| incarnations.values());
        let accounts: BTreeSet<&String> = counts.flat_map(|counts| counts.keys()).collect();
        let keep = |(incarnation, counts): (&Incarnation, &Counts)| KeptIncarnation {
            incarnation: incarnation.clone(),
            counts: accounts.iter().map(|name| counts.get(*name).copied().unwrap_or(0)).collect(),
        };
        let windows = windows()
            .map(|(window, incarnations)| (*window, incarnations.iter().map(keep).collect()));
        LedgerSnapshot {
            windows: windows.collect(),
            accounts: accounts.iter().map(|name| (*name).clone()).collect(),
        }
    }

    /// Takes over counts that were kept.
    pub fn merge_snapshot(&mut self, kept: &LedgerSnapshot) {
        for (window, incarnations) in &kept.windows {
            for known in incarnations {
                let counts = kept.accounts.iter().cloned().zip(known.counts.iter().copied());
                let counts = counts.filter(|(_, count)| *count > 0).collect();
                self.merge(*window, &known.incarnation, &counts);
            }
        }
    }

    /// Returns the first window that is kept.
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

/// Reports in which a window is repeated after its last change: each may get lost.
const REPEATED_FOR: u64 = 10;
/// A window that has not changed for longer is in each so many reports: whoever begins to hear this node
/// learns of it.
const REPEATED_EACH: u64 = 10;

/// Selects the windows that a report holds.
///
/// Of the latest windows, all but one or two have ended. Each holds a count for every client account, and
/// an aggregator sends them to all others.
#[derive(Clone, Debug, Default)]
pub struct ReportFilter {
    /// What stands for the counts of a window, and the report in which they last changed.
    sent: BTreeMap<WindowNumber, (u64, u64)>,
}

impl ReportFilter {
    /// Leaves out of a report, the number of which is `turn`, the windows that have not changed lately.
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
            turn < sent.1 + REPEATED_FOR || turn.is_multiple_of(REPEATED_EACH)
        };
        windows.into_iter().filter(is_due).collect()
    }
}

/// Returns what stands for counts.
fn digest_of(counts: &Counts) -> u64 {
    let digest = |(account, count): (&String, &u64)| xxh3_64_with_seed(account.as_bytes(), *count);
    counts.iter().map(digest).fold(0, u64::wrapping_add)
}

/// Time after a window's end in which the last counts of all nodes arrive, as a part of the time
/// until the report is due.
const SETTLE_PART: f64 = 0.2;
/// The part of the time until the report is due after which it goes out as it is: what is left is
/// for the calls, and for another holder.
const LAST_PART: f64 = 0.65;

/// Windows that are kept beside those whose reports are due: the current one, the one before it, and some for clocks
/// that differ.
const KEPT_BEYOND_DUE: u64 = 6;

/// Returns the time after a window's end before which it is not reported; `due` is the time after its end at
/// which the report must be there.
pub fn get_settle_time(due: Millis) -> Millis {
    (due as f64 * SETTLE_PART) as Millis
}

/// Returns `true` if the counts of a window may be reported.
///
/// `age` is the time since the window ended, and `due` the time after its end at which the report
/// must be there. While `is_node_missing`, a node that served in the window may not have reported
/// its last counts, because it is cut off: it reports them when it is heard again.
pub fn is_settled(age: Millis, due: Millis, is_node_missing: bool) -> bool {
    let part = if is_node_missing { LAST_PART } else { SETTLE_PART };
    age as f64 >= due as f64 * part
}

/// Returns for how many windows rows and counts are kept; `due` is the time after a window's end at which its report
/// must be there. Any holder that may still report a window finds what was reported of it.
pub fn count_retained_windows(due: Millis, length: Millis) -> u64 {
    due.div_ceil(length.max(1)) + KEPT_BEYOND_DUE
}

/// Computes the window that a wall-clock time lies in.
pub fn window_at(unix_ms: u64, length_ms: u64) -> WindowNumber {
    unix_ms / length_ms.max(1)
}
