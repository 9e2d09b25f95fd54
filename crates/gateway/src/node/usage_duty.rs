//! Reports how many requests of each client account began in each window, once a window.
//!
//! The counts of a window are first written to the table, where only the first writer succeeds,
//! and then reported as they stand there. A report may be repeated, by this holder or the next;
//! it is always the same.
//!
//! After a return of the table service from an older copy the row of a window may be gone. What nodes
//! remember stands in for it; a window that may have been reported and that nobody remembers is not reported:
//! a report that is missing does less harm than two that contradict each other.
//!
//! The counts of the windows that are not reported yet are kept in the table too, some times in a
//! window, by node and incarnation: where all nodes end at once, the next holder goes on from there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;
use keeljunction_core::serving::usage::{
    Counts, WindowNumber, WindowSet, count_retained_windows, get_settle_time, is_settled, window_at,
};

use super::usage_rows::{self, FrozenKey, TABLE};
use super::{Node, era_origin, peers, table};
use crate::event::{self, Event};
use crate::port::{
    Condition, LeaseHolder, Rows, TableError, TableName, Transaction, UsageReport, Write,
};
use crate::runtime;

const CALL_WITHIN: Duration = Duration::from_millis(500);
/// A report this long after a window's end holds all counts of the window: clocks may disagree.
const ARRIVED_AFTER: Millis = 200;
/// How often the running counts are written in a window.
const KEPT_IN_WINDOW: u64 = 5;
/// The most rows of earlier eras that are removed in one transaction; the platform takes a hundred entries.
const MOST_REMOVED: usize = 50;

/// What a holder knows of the reports.
#[derive(Debug, Default)]
pub struct UsageDuty {
    fence: Option<u64>,
    /// The era of the rows that were read.
    era: Era,
    frozen: BTreeMap<WindowNumber, Counts>,
    /// Windows that have rows of an earlier era.
    in_earlier_eras: BTreeSet<WindowNumber>,
    /// Keys of rows that are no longer needed.
    outdated: Vec<String>,
    /// Windows that may have been reported with counts that this node does not know.
    withheld: BTreeSet<WindowNumber>,
    /// Windows whose counts were sent to the nodes that may hold the duties next.
    announced: BTreeSet<WindowNumber>,
    reported: BTreeSet<WindowNumber>,
    paused_until: Millis,
    running: Running,
}

/// The row that keeps the counts of windows that are not reported yet.
#[derive(Debug, Default)]
struct Running {
    version: TableVersion,
    written_at: Millis,
}

impl UsageDuty {
    /// Freezes and reports the windows that have ended.
    pub async fn step(&mut self, node: &Node) {
        let now = node.now();
        if now < self.paused_until {
            return;
        }
        if !self.load(node).await {
            self.paused_until = now + CALL_WITHIN.as_millis() as Millis;
            return;
        }
        self.keep_running(node).await;
        let first = get_first_due(node);
        self.give_up_before(node, first);
        for window in list_due(node, first) {
            if self.reported.contains(&window) {
                continue;
            }
            if !self.is_reportable(node, window) {
                self.withheld.insert(window);
                continue;
            }
            if !self.freeze(node, window).await || !self.report(node, window).await {
                self.paused_until = node.now() + CALL_WITHIN.as_millis() as Millis;
                return;
            }
        }
    }

    /// Reads what earlier holders froze, once for each time that the lease is taken.
    async fn load(&mut self, node: &Node) -> bool {
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence.is_none() {
            return false;
        }
        if fence == self.fence {
            return true;
        }
        let reading = table::read_all(node, TableName::Internal(TABLE), CALL_WITHIN);
        let Ok(rows) = reading.await else { return false };
        if let Err(error) = era_origin::find(node).await {
            event::emit(&Event::TableCallFailed { what: "era", error: error.to_string() });
            return false;
        }
        self.take_rows(node, &rows);
        self.fence = fence;
        event::emit(&Event::UsageLoaded {
            fence: fence.unwrap_or(0),
            frozen: self.frozen.keys().copied().collect(),
            rows: rows.rows.len(),
            version: rows.version.to_string(),
        });
        self.era = rows.version.era;
        true
    }

    /// Takes over the rows of an era, and the running counts of all.
    ///
    /// A frozen row of an earlier era may be one that was written too late, after a return: its window is reported
    /// only where a node remembers the counts.
    fn take_rows(&mut self, node: &Node, rows: &Rows) {
        let era = rows.version.era;
        let rows = usage_rows::sort(&rows.rows, era);
        self.running.version = rows.running.map_or(TableVersion::absent(era), |row| row.version);
        // Counts only grow, so that those of an earlier era add what is not known yet.
        let all_running = rows.earlier_running.iter().copied().chain(rows.running);
        for kept in all_running.filter_map(usage_rows::decode_running) {
            node.with(|state| state.usage.merge_snapshot(&kept));
        }
        self.frozen = rows.frozen.into_iter().filter_map(usage_rows::decode).collect();
        for (window, counts) in &self.frozen {
            remember(node, era, *window, counts);
        }
        self.in_earlier_eras = rows.earlier_frozen.iter().map(|(_, key)| key.window).collect();
        let last = self.in_earlier_eras.iter().chain(self.frozen.keys()).max().copied();
        let first = last.unwrap_or(0).saturating_sub(count_windows_kept(node));
        let outdated = rows.earlier_frozen.iter().filter(|(_, key)| key.window < first);
        let outdated = outdated.map(|(row, _)| *row).chain(rows.earlier_running);
        self.outdated = outdated.map(|row| row.key.clone()).take(MOST_REMOVED).collect();
        self.withheld.clear();
    }

    /// Returns `true` if the counts of a window are known as they were frozen, or if it surely was not reported.
    fn is_reportable(&self, node: &Node, window: WindowNumber) -> bool {
        let is_frozen = self.frozen.contains_key(&window)
            || node.with(|state| state.frozen.get(window).is_some());
        is_frozen || (!self.in_earlier_eras.contains(&window) && is_surely_unreported(node, window))
    }

    /// Gives up the windows before one that were withheld until their reports were of no more use. One without
    /// requests is no loss.
    fn give_up_before(&mut self, node: &Node, first: WindowNumber) {
        let due = self.withheld.split_off(&first);
        let given_up = std::mem::replace(&mut self.withheld, due).into_iter();
        let has_requests =
            |window: &WindowNumber| node.with(|state| !state.usage.total(*window).is_empty());
        for window in given_up.filter(has_requests) {
            node.metrics.usage_withheld.inc();
            event::emit(&Event::UsageWithheld { window, era: self.era.get_number() });
        }
    }

    /// Keeps the counts of the windows that are not reported yet, a few times in a window.
    async fn keep_running(&mut self, node: &Node) {
        let now = node.now();
        let length = (node.settings.bounds.report_window_s * 1_000.0) as u64;
        if now < self.running.written_at + length / KEPT_IN_WINDOW {
            return;
        }
        self.running.written_at = now;
        let first = self.reported.last().map_or(0, |window| window + 1);
        let kept = node.with(|state| state.usage.get_snapshot(first));
        if kept.is_empty() {
            return;
        }
        let name = TableName::Internal(TABLE);
        let key = usage_rows::make_running_key(self.era);
        let (version, value) = (self.running.version, usage_rows::encode_running(&kept));
        match table::replace(node, name, &key, version, value, CALL_WITHIN).await {
            Ok(rows) => self.running.version = rows.version,
            // Another holder wrote, or the outcome is not known: read the row before the next try.
            _ => self.fence = None,
        }
    }

    async fn freeze(&mut self, node: &Node, window: WindowNumber) -> bool {
        if self.frozen.contains_key(&window) {
            return true;
        }
        let known = node.with(|state| state.frozen.get(window).cloned());
        let counts = known.unwrap_or_else(|| node.with(|state| state.usage.total(window)));
        let transaction = self.make_transaction(node, window, &counts);
        match table::commit(node, transaction, CALL_WITHIN).await {
            Ok(_) => {
                self.outdated.clear();
                self.frozen.insert(window, counts);
                true
            }
            // Another holder froze it first.
            Err(TableError::Conflict(rows)) => {
                self.frozen.extend(rows.rows.iter().filter_map(usage_rows::decode));
                self.frozen.contains_key(&window)
            }
            _ => {
                // The write may have been done or may still be: read the rows before the next try.
                self.fence = None;
                false
            }
        }
    }

    /// Makes the transaction that freezes a window, and removes rows that are no longer needed.
    fn make_transaction(&self, node: &Node, window: WindowNumber, counts: &Counts) -> Transaction {
        let (table, version) = (TableName::Internal(TABLE), TableVersion::absent(self.era));
        let key = FrozenKey { window, era: self.era }.encode();
        let condition = Condition { table, key: key.clone(), version };
        let write = Write { table, key, value: serde_json::to_vec(counts).ok() };
        let old = window.saturating_sub(count_windows_kept(node));
        let old = FrozenKey { window: old, era: self.era }.encode();
        let removals = self.outdated.iter().cloned().chain([old]);
        let removals = removals.map(|key| Write { table, key, value: None });
        let writes = [write].into_iter().chain(removals).collect();
        Transaction { conditions: vec![condition], writes }
    }

    /// Reports a frozen window. Its counts go to the nodes that may hold the duties next before that.
    async fn report(&mut self, node: &Node, window: WindowNumber) -> bool {
        let Some(counts) = self.frozen.get(&window).cloned() else { return false };
        remember(node, self.era, window, &counts);
        if self.era != Era::UNNAMED && self.announced.insert(window) {
            peers::notifications::send_frozen(node, window, &counts).await;
        }
        let Some(fence) = node.with(|state| state.lease.get_fence(node.now())) else {
            return false;
        };
        let holder = LeaseHolder { name: node.incarnation.node.clone(), fence };
        let total: u64 = counts.values().sum();
        let calling = (node.platform.control.report_usage)(holder, UsageReport { window, counts });
        let status = runtime::timeout(CALL_WITHIN, calling).await.flatten();
        event::emit(&Event::UsageReported { window, requests: total, fence, status });
        if !status.is_some_and(|status| (200..300).contains(&status)) {
            return false;
        }
        self.reported.insert(window);
        self.withheld.remove(&window);
        let first = window.saturating_sub(count_windows_kept(node));
        self.reported = self.reported.split_off(&first);
        self.announced = self.announced.split_off(&first);
        self.frozen = self.frozen.split_off(&first);
        true
    }
}

/// Returns the length of a window in milliseconds.
fn get_length(node: &Node) -> Millis {
    (node.settings.bounds.report_window_s * 1_000.0) as Millis
}

/// Returns the time after a window's end at which its report must be there, in milliseconds.
fn get_due(node: &Node) -> Millis {
    (node.settings.bounds.usage_late_s * 1_000.0) as Millis
}

fn count_windows_kept(node: &Node) -> u64 {
    count_retained_windows(get_due(node), get_length(node))
}

/// Returns the first window whose report is still worth something.
fn get_first_due(node: &Node) -> WindowNumber {
    let (length, due) = (get_length(node), get_due(node));
    let now = runtime::unix_ms();
    let started = now.saturating_sub(node.now().saturating_sub(node.clock.get_start()));
    let known = node.with(|state| state.usage.get_first_window());
    let first = window_at(now.saturating_sub(due + length), length);
    first.max(window_at(started, length).min(known.unwrap_or(u64::MAX)))
}

/// Lists the windows from one on that have ended and settled.
fn list_due(node: &Node, first: WindowNumber) -> Vec<WindowNumber> {
    let (length, due) = (get_length(node), get_due(node));
    let now = runtime::unix_ms();
    let current = window_at(now, length);
    let kept = count_windows_kept(node);
    node.with(|state| state.usage.forget_before(current.saturating_sub(kept)));
    (first..current).filter(|window| is_due(node, *window, now, length, due)).collect()
}

fn is_due(node: &Node, window: WindowNumber, now: u64, length: u64, due: Millis) -> bool {
    let age = now.saturating_sub((window + 1) * length);
    let steady = node.now();
    let ended_at = steady.saturating_sub(age);
    let is_node_missing = node
        .with(|state| state.members.is_any_node_missing_since(steady, ended_at + ARRIVED_AFTER));
    is_settled(age, due, is_node_missing)
}

/// Remembers a frozen window, whose row may be gone after a return; returns `true` if that is news. A table
/// service that names no eras loses nothing.
fn remember(node: &Node, era: Era, window: WindowNumber, counts: &Counts) -> bool {
    era != Era::UNNAMED && node.with(|state| state.frozen.record_own(window, counts))
}

/// Returns `true` if a window without a row was surely not reported: nothing was lost since, or each node that
/// may have reported it was heard after it could do so last, and does not know it.
fn is_surely_unreported(node: &Node, window: WindowNumber) -> bool {
    let length = get_length(node);
    let ended_at = (window + 1) * length;
    let now = node.now();
    let began_at = now.saturating_sub(runtime::unix_ms().saturating_sub(ended_at) + length);
    node.with(|state| {
        if state.eras.is_certainly_after_restore(ended_at + get_settle_time(get_due(node))) {
            return true;
        }
        let is_too_old_to_be_named =
            window + WindowSet::SPAN <= window_at(runtime::unix_ms(), length);
        if is_too_old_to_be_named || state.frozen.is_announced(window) {
            return false;
        }
        let Some(era_age) = state.eras.get_age(now) else { return false };
        // A holder of the era before acts until its lease ends.
        let released_at = now.saturating_sub(era_age) + state.lease.get_length();
        node.clock.get_start() < began_at
            && state.members.is_every_node_heard(released_at, began_at)
    })
}
