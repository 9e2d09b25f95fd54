//! Windows whose usage counts are final.

use std::collections::{BTreeMap, BTreeSet};

use super::window_set::WindowSet;
use super::{Counts, WindowNumber};

/// Reports in which the node that froze a window includes its counts.
const COUNT_REPORTS: u32 = 3;
/// The largest number of windows whose counts a report includes, because each window has a count
/// for every client account.
const MAX_WINDOWS_PER_REPORT: usize = 2;

/// The windows that this node or another duty holder has frozen, with their counts.
///
/// A restore of the table service may lose the rows that hold the counts. A window that was
/// reported must then be reported with the same counts again, or not at all.
///
/// Each report to other nodes names the windows that its sender knows as frozen, and includes the
/// counts of some. If a window was only named, its counts were lost in transit, and it may have
/// been reported.
#[derive(Clone, Debug)]
pub struct FrozenWindows {
    /// The number of windows that are remembered, newest first.
    capacity: usize,
    known: BTreeMap<WindowNumber, FrozenWindow>,
    announced: BTreeSet<WindowNumber>,
}

#[derive(Clone, Debug)]
struct FrozenWindow {
    counts: Counts,
    /// The number of further reports to other nodes that include the counts.
    remaining_reports: u32,
}

impl FrozenWindows {
    /// Creates a memory for a number of windows.
    pub fn new(capacity: u64) -> Self {
        let capacity = usize::try_from(capacity).unwrap_or(usize::MAX);
        Self { capacity, known: BTreeMap::new(), announced: BTreeSet::new() }
    }

    /// Records that this node has frozen a window or has found its row; returns `true` if that was
    /// not known. The counts that were recorded first are kept.
    pub fn record_own(&mut self, window: WindowNumber, counts: &Counts) -> bool {
        self.record(window, counts, COUNT_REPORTS)
    }

    /// Records that another node has frozen a window. The counts that were recorded first are kept.
    pub fn record_remote(&mut self, window: WindowNumber, counts: &Counts) {
        self.record(window, counts, 0);
    }

    /// Records that another node knows some windows as frozen.
    pub fn record_announced(&mut self, windows: WindowSet) {
        self.announced.extend(windows.iter());
        while self.announced.len() > self.capacity {
            self.announced.pop_first();
        }
    }

    fn record(&mut self, window: WindowNumber, counts: &Counts, remaining_reports: u32) -> bool {
        if self.known.contains_key(&window) {
            return false;
        }
        self.known.insert(window, FrozenWindow { counts: counts.clone(), remaining_reports });
        while self.known.len() > self.capacity {
            self.known.pop_first();
        }
        true
    }

    /// Returns the counts with which a window was frozen.
    pub fn get(&self, window: WindowNumber) -> Option<&Counts> {
        self.known.get(&window).map(|known| &known.counts)
    }

    /// Returns `true` if another node announced a window as frozen, whether or not its counts
    /// arrived.
    pub fn is_announced(&self, window: WindowNumber) -> bool {
        self.announced.contains(&window)
    }

    /// Returns the windows that this node knows as frozen, which every report names.
    pub fn get_windows(&self) -> WindowSet {
        self.known.keys().copied().collect()
    }

    /// Returns some windows with their counts for a report to other nodes, the newest first.
    pub fn list_due(&mut self) -> Vec<(WindowNumber, Counts)> {
        let due = self.known.iter_mut().rev().filter(|(_, known)| known.remaining_reports > 0);
        due.take(MAX_WINDOWS_PER_REPORT)
            .map(|(window, known)| {
                known.remaining_reports -= 1;
                (*window, known.counts.clone())
            })
            .collect()
    }

    /// Includes all windows in the next reports again, because another duty holder may lack their
    /// rows. Each node that knows them does so once.
    pub fn report_again(&mut self) {
        self.known
            .values_mut()
            .for_each(|known| known.remaining_reports = known.remaining_reports.max(1));
    }
}
