//! Reports the number of requests started by each client account, once per window.
//!
//! The counts of a window are first frozen in the table, where only the first writer succeeds, and
//! then reported as stored. This holder or the next one may send a report again, with the same
//! content.
//!
//! After the table service was restored from an older copy, the row of a window may be missing. The
//! counts that nodes remember replace it. A window that may have been reported and that no node
//! remembers is not reported: a missing report does less harm than two contradictory ones.
//!
//! The counts of unreported windows are also checkpointed in the table several times per window, by
//! node and incarnation. If all nodes stop at once, the next holder continues from there.

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
    Condition, DutyHolder, Rows, TableError, TableName, Transaction, UsageReport, Write,
};
use crate::runtime;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after the end of a window at which all its counts have arrived. It allows for clock
/// differences between nodes.
const COUNT_ARRIVAL_MARGIN_MS: Millis = 200;
/// Checkpoints of the unreported counts per window.
const CHECKPOINTS_PER_WINDOW: u64 = 5;
/// The maximum number of rows of earlier eras removed in one transaction; the platform accepts a
/// hundred entries.
const MAX_REMOVALS: usize = 50;

/// The duty holder's state of the usage reports.
#[derive(Debug, Default)]
pub struct UsageReporter {
    fence: Option<u64>,
    /// The era of the rows that were read.
    era: Era,
    frozen: BTreeMap<WindowNumber, Counts>,
    /// Windows with rows of an earlier era.
    in_earlier_eras: BTreeSet<WindowNumber>,
    /// Keys of rows that are no longer needed.
    outdated: Vec<String>,
    /// Windows that may have been reported with counts unknown to this node.
    withheld: BTreeSet<WindowNumber>,
    /// Windows whose counts were sent to the nodes that may hold the lease next.
    announced: BTreeSet<WindowNumber>,
    reported: BTreeSet<WindowNumber>,
    back_off_until: Millis,
    checkpoint: Checkpoint,
}

/// The row that holds the counts of unreported windows.
#[derive(Debug, Default)]
struct Checkpoint {
    version: TableVersion,
    written_at: Millis,
}

impl UsageReporter {
    /// Freezes and reports the windows that have ended.
    pub async fn step(&mut self, node: &Node) {
        let now = node.now();
        if now < self.back_off_until {
            return;
        }
        if !self.load_from_table(node).await {
            self.back_off_until = now + CALL_TIMEOUT.as_millis() as Millis;
            return;
        }
        self.write_checkpoint(node).await;
        let first = get_first_due(node);
        self.abandon_before(node, first);
        for window in list_due(node, first) {
            if self.reported.contains(&window) {
                continue;
            }
            if !self.is_reportable(node, window) {
                self.withheld.insert(window);
                continue;
            }
            if !self.freeze(node, window).await || !self.report(node, window).await {
                self.back_off_until = node.now() + CALL_TIMEOUT.as_millis() as Millis;
                return;
            }
        }
    }

    /// Reads the windows that earlier holders froze, once per acquisition of the lease.
    async fn load_from_table(&mut self, node: &Node) -> bool {
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence.is_none() {
            return false;
        }
        if fence == self.fence {
            return true;
        }
        let reading = table::read_all(node, TableName::Internal(TABLE), CALL_TIMEOUT);
        let Ok(rows) = reading.await else { return false };
        if let Err(error) = era_origin::find(node).await {
            event::emit(&Event::TableCallFailed { what: "era", error: error.to_string() });
            return false;
        }
        self.load_rows(node, &rows);
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

    /// Takes over the frozen rows of an era, and the checkpoints of all eras.
    ///
    /// A frozen row of an earlier era may have been written too late, after a restore of the table
    /// service. Its window is reported only if a node remembers the counts.
    fn load_rows(&mut self, node: &Node, rows: &Rows) {
        let era = rows.version.era;
        let rows = usage_rows::classify(&rows.rows, era);
        self.checkpoint.version = rows.running.map_or(TableVersion::absent(era), |row| row.version);
        // Counts only grow, so merging those of an earlier era only adds missing counts.
        let all_running = rows.earlier_running.iter().copied().chain(rows.running);
        for kept in all_running.filter_map(usage_rows::decode_running) {
            node.with(|state| state.usage.merge_snapshot(&kept));
        }
        self.frozen = rows.frozen.into_iter().filter_map(usage_rows::decode).collect();
        for (window, counts) in &self.frozen {
            remember_frozen(node, era, *window, counts);
        }
        self.in_earlier_eras = rows.earlier_frozen.iter().map(|(_, key)| key.window).collect();
        let last = self.in_earlier_eras.iter().chain(self.frozen.keys()).max().copied();
        let first = last.unwrap_or(0).saturating_sub(get_retained_window_count(node));
        let outdated = rows.earlier_frozen.iter().filter(|(_, key)| key.window < first);
        let outdated = outdated.map(|(row, _)| *row).chain(rows.earlier_running);
        self.outdated = outdated.map(|row| row.key.clone()).take(MAX_REMOVALS).collect();
        self.withheld.clear();
    }

    /// Returns `true` if the frozen counts of a window are known, or if the window was certainly
    /// not reported.
    fn is_reportable(&self, node: &Node, window: WindowNumber) -> bool {
        let is_frozen = self.frozen.contains_key(&window)
            || node.with(|state| state.frozen_usage.get(window).is_some());
        is_frozen || (!self.in_earlier_eras.contains(&window) && is_known_unreported(node, window))
    }

    /// Abandons the withheld windows before `first`, whose reports are overdue. Windows without
    /// requests are not counted as a loss.
    fn abandon_before(&mut self, node: &Node, first: WindowNumber) {
        let due = self.withheld.split_off(&first);
        let abandoned = std::mem::replace(&mut self.withheld, due).into_iter();
        let has_requests =
            |window: &WindowNumber| node.with(|state| !state.usage.total(*window).is_empty());
        for window in abandoned.filter(has_requests) {
            node.metrics.usage_withheld.inc();
            event::emit(&Event::UsageWithheld { window, era: self.era.get_number() });
        }
    }

    /// Writes the counts of the unreported windows to the table, several times per window.
    async fn write_checkpoint(&mut self, node: &Node) {
        let now = node.now();
        let length = (node.settings.bounds.report_window_s * 1_000.0) as u64;
        if now < self.checkpoint.written_at + length / CHECKPOINTS_PER_WINDOW {
            return;
        }
        self.checkpoint.written_at = now;
        let first = self.reported.last().map_or(0, |window| window + 1);
        let kept = node.with(|state| state.usage.get_snapshot(first));
        if kept.is_empty() {
            return;
        }
        let name = TableName::Internal(TABLE);
        let key = usage_rows::make_running_key(self.era);
        let (version, value) = (self.checkpoint.version, usage_rows::encode_running(&kept));
        match table::replace(node, name, &key, version, value, CALL_TIMEOUT).await {
            Ok(rows) => self.checkpoint.version = rows.version,
            // Another holder wrote the row, or the outcome is unknown: read the row before the next
            // attempt.
            _ => self.fence = None,
        }
    }

    async fn freeze(&mut self, node: &Node, window: WindowNumber) -> bool {
        if self.frozen.contains_key(&window) {
            return true;
        }
        let known = node.with(|state| state.frozen_usage.get(window).cloned());
        let counts = known.unwrap_or_else(|| node.with(|state| state.usage.total(window)));
        let transaction = self.make_transaction(node, window, &counts);
        match table::commit(node, transaction, CALL_TIMEOUT).await {
            Ok(_) => {
                self.outdated.clear();
                self.frozen.insert(window, counts);
                true
            }
            // Another holder froze the window first.
            Err(TableError::Conflict(rows)) => {
                self.frozen.extend(rows.rows.iter().filter_map(usage_rows::decode));
                self.frozen.contains_key(&window)
            }
            _ => {
                // The write may have succeeded or may still succeed: read the rows before the next
                // attempt.
                self.fence = None;
                false
            }
        }
    }

    /// Builds the transaction that freezes a window and removes rows that are no longer needed.
    fn make_transaction(&self, node: &Node, window: WindowNumber, counts: &Counts) -> Transaction {
        let (table, version) = (TableName::Internal(TABLE), TableVersion::absent(self.era));
        let key = FrozenKey { window, era: self.era }.encode();
        let condition = Condition { table, key: key.clone(), version };
        let write = Write { table, key, value: serde_json::to_vec(counts).ok() };
        let old = window.saturating_sub(get_retained_window_count(node));
        let old = FrozenKey { window: old, era: self.era }.encode();
        let removals = self.outdated.iter().cloned().chain([old]);
        let removals = removals.map(|key| Write { table, key, value: None });
        let writes = [write].into_iter().chain(removals).collect();
        Transaction { conditions: vec![condition], writes }
    }

    /// Reports a frozen window, after sending its counts to the nodes that may hold the lease next.
    async fn report(&mut self, node: &Node, window: WindowNumber) -> bool {
        let Some(counts) = self.frozen.get(&window).cloned() else { return false };
        remember_frozen(node, self.era, window, &counts);
        if self.era != Era::UNNAMED && self.announced.insert(window) {
            peers::notifications::send_frozen(node, window, &counts).await;
        }
        let Some(fence) = node.with(|state| state.lease.get_fence(node.now())) else {
            return false;
        };
        let holder = DutyHolder { name: node.incarnation.node.clone(), fence };
        let total: u64 = counts.values().sum();
        let calling = (node.platform.control.report_usage)(holder, UsageReport { window, counts });
        let status = runtime::timeout(CALL_TIMEOUT, calling).await.flatten();
        event::emit(&Event::UsageReported { window, requests: total, fence, status });
        if !status.is_some_and(|status| (200..300).contains(&status)) {
            return false;
        }
        self.reported.insert(window);
        self.withheld.remove(&window);
        let first = window.saturating_sub(get_retained_window_count(node));
        self.reported = self.reported.split_off(&first);
        self.announced = self.announced.split_off(&first);
        self.frozen = self.frozen.split_off(&first);
        true
    }
}

/// Returns the length of a window in milliseconds.
fn get_window_length(node: &Node) -> Millis {
    (node.settings.bounds.report_window_s * 1_000.0) as Millis
}

/// Returns the time after the end of a window within which its report is due, in milliseconds.
fn get_report_deadline(node: &Node) -> Millis {
    (node.settings.bounds.usage_late_s * 1_000.0) as Millis
}

fn get_retained_window_count(node: &Node) -> u64 {
    count_retained_windows(get_report_deadline(node), get_window_length(node))
}

/// Returns the first window whose report is not overdue.
fn get_first_due(node: &Node) -> WindowNumber {
    let (length, due) = (get_window_length(node), get_report_deadline(node));
    let now = runtime::unix_ms();
    let started = now.saturating_sub(node.now().saturating_sub(node.clock.get_start()));
    let known = node.with(|state| state.usage.get_first_window());
    let first = window_at(now.saturating_sub(due + length), length);
    first.max(window_at(started, length).min(known.unwrap_or(u64::MAX)))
}

/// Lists the windows from `first` on that have ended and settled.
fn list_due(node: &Node, first: WindowNumber) -> Vec<WindowNumber> {
    let (length, due) = (get_window_length(node), get_report_deadline(node));
    let now = runtime::unix_ms();
    let current = window_at(now, length);
    let kept = get_retained_window_count(node);
    node.with(|state| state.usage.forget_before(current.saturating_sub(kept)));
    (first..current).filter(|window| is_due(node, *window, now, length, due)).collect()
}

fn is_due(node: &Node, window: WindowNumber, now: u64, length: u64, due: Millis) -> bool {
    let age = now.saturating_sub((window + 1) * length);
    let steady = node.now();
    let ended_at = steady.saturating_sub(age);
    let is_node_missing = node.with(|state| {
        state.members.is_any_node_missing_since(steady, ended_at + COUNT_ARRIVAL_MARGIN_MS)
    });
    is_settled(age, due, is_node_missing)
}

/// Remembers a frozen window, because its row may be lost when the table service is restored;
/// returns `true` if it was not known. A table service without eras never loses rows.
fn remember_frozen(node: &Node, era: Era, window: WindowNumber, counts: &Counts) -> bool {
    era != Era::UNNAMED && node.with(|state| state.frozen_usage.record_own(window, counts))
}

/// Returns `true` if a window without a row was certainly not reported: either no row was lost
/// since, or each node that may have reported it was heard after its last opportunity and does not
/// know the window.
fn is_known_unreported(node: &Node, window: WindowNumber) -> bool {
    let length = get_window_length(node);
    let ended_at = (window + 1) * length;
    let now = node.now();
    let window_started_at =
        now.saturating_sub(runtime::unix_ms().saturating_sub(ended_at) + length);
    node.with(|state| {
        if state
            .eras
            .is_certainly_after_restore(ended_at + get_settle_time(get_report_deadline(node)))
        {
            return true;
        }
        let is_too_old_to_be_named =
            window + WindowSet::SPAN <= window_at(runtime::unix_ms(), length);
        if is_too_old_to_be_named || state.frozen_usage.is_announced(window) {
            return false;
        }
        let Some(era_age) = state.eras.get_age(now) else { return false };
        // The holder of the previous era acts until its lease expires.
        let released_at = now.saturating_sub(era_age) + state.lease.get_length();
        node.clock.get_start() < window_started_at
            && state.members.is_every_node_heard(released_at, window_started_at)
    })
}
