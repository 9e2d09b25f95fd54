//! The windows of usage that were frozen, as far as a node knows.

use std::collections::{BTreeMap, BTreeSet};

use super::window_set::WindowSet;
use super::{Counts, WindowNumber};

/// Reports in which the node that froze a window lists its counts.
const REPEATS: u32 = 3;
/// The most windows whose counts one report lists: each holds a count for every client account.
const MOST_LISTED: usize = 2;

/// The windows that this node or another holder of the duties has frozen, with their counts.
///
/// The rows that hold them may be gone after a return of the table service. What was reported must then be
/// reported the same again, or not at all.
///
/// Each report to other nodes names the windows that its sender knows, and lists the counts of some. Of a window
/// that was only named the counts were lost on their way: it may have been reported.
#[derive(Clone, Debug)]
pub struct FrozenWindows {
    /// How many windows are remembered, the latest ones.
    most: usize,
    known: BTreeMap<WindowNumber, Known>,
    named: BTreeSet<WindowNumber>,
}

#[derive(Clone, Debug)]
struct Known {
    counts: Counts,
    /// In how many further reports to other nodes the counts are listed.
    repeats: u32,
}

impl FrozenWindows {
    /// Makes a memory of so many windows.
    pub fn new(most: u64) -> Self {
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        Self { most, known: BTreeMap::new(), named: BTreeSet::new() }
    }

    /// Notes that this node has frozen a window, or has found its row; returns `true` if that was not known.
    /// What was known first stays.
    pub fn record_own(&mut self, window: WindowNumber, counts: &Counts) -> bool {
        self.note(window, counts, REPEATS)
    }

    /// Notes that another node has frozen a window. What was known first stays.
    pub fn record_remote(&mut self, window: WindowNumber, counts: &Counts) {
        self.note(window, counts, 0);
    }

    /// Notes that another node knows some windows as frozen.
    pub fn record_announced(&mut self, windows: WindowSet) {
        self.named.extend(windows.iter());
        while self.named.len() > self.most {
            self.named.pop_first();
        }
    }

    fn note(&mut self, window: WindowNumber, counts: &Counts, repeats: u32) -> bool {
        if self.known.contains_key(&window) {
            return false;
        }
        self.known.insert(window, Known { counts: counts.clone(), repeats });
        while self.known.len() > self.most {
            self.known.pop_first();
        }
        true
    }

    /// Returns the counts that a window was frozen with.
    pub fn get(&self, window: WindowNumber) -> Option<&Counts> {
        self.known.get(&window).map(|known| &known.counts)
    }

    /// Returns `true` if another node knows a window as frozen, whether or not its counts arrived here.
    pub fn is_announced(&self, window: WindowNumber) -> bool {
        self.named.contains(&window)
    }

    /// Returns the windows that this node knows as frozen, which each report names.
    pub fn get_windows(&self) -> WindowSet {
        self.known.keys().copied().collect()
    }

    /// Lists some windows with their counts for a report to other nodes, the latest first.
    pub fn list_due(&mut self) -> Vec<(WindowNumber, Counts)> {
        let due = self.known.iter_mut().rev().filter(|(_, known)| known.repeats > 0);
        due.take(MOST_LISTED)
            .map(|(window, known)| {
                known.repeats -= 1;
                (*window, known.counts.clone())
            })
            .collect()
    }

    /// Lists all windows again, in the next reports: another holder may lack their rows. Each node that knows them does
    /// so once.
    pub fn repeat(&mut self) {
        self.known.values_mut().for_each(|known| known.repeats = known.repeats.max(1));
    }
}
