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
    Counts, Kept, WindowNumber, count_kept, get_settle_time, is_settled, window_at,
};

use super::{Node, document, era_origin, peers, table};
use crate::event::{self, Event};
use crate::port::{
    Condition, DutyHolder, Row, Rows, TableError, TableName, Transaction, UsageReport, Write,
};
use crate::runtime;

const TABLE: &str = "usage";
const CALL_WITHIN: Duration = Duration::from_millis(500);
/// A digest this long after a window's end holds all counts of the window: clocks may disagree.
const TOLD_AFTER: Millis = 200;
/// The key of the row that keeps the counts of windows that are not reported yet.
const RUNNING_KEY: &str = "running";
/// How often that row is written in a window.
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
    /// Keys of rows that are no longer needed.
    outdated: Vec<String>,
    withheld: BTreeSet<WindowNumber>,
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
        for window in due_windows(node) {
            if self.reported.contains(&window) {
                continue;
            }
            if !self.is_reportable(node, window) {
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
        let reading = table::read_all(node, TableName::Own(TABLE), CALL_WITHIN);
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

    /// Takes over the rows of all eras.
    fn take_rows(&mut self, node: &Node, rows: &Rows) {
        let era = rows.version.era;
        self.frozen = rows.rows.iter().filter_map(decode).collect();
        let running_key = table::era_key(RUNNING_KEY, era);
        let running = rows.rows.iter().find(|row| row.key == running_key);
        self.running.version = running.map_or(TableVersion::absent(era), |row| row.version);
        // Counts only grow, so that those of an earlier era add what is not known yet.
        let is_running = |row: &&Row| {
            table::split_key(&row.key).is_some_and(|(key, at)| key == RUNNING_KEY && at <= era)
        };
        for kept in rows.rows.iter().filter(is_running).filter_map(decode_running) {
            node.with(|state| state.usage.merge_kept(&kept));
        }
        let is_earlier = |row: &&Row| table::split_key(&row.key).is_some_and(|(_, at)| at < era);
        let earlier = rows.rows.iter().filter(is_earlier).map(|row| row.key.clone());
        let last = self.frozen.keys().last().copied().unwrap_or(0);
        let kept = count_windows_kept(node);
        let is_needed = |key: &String| {
            let window = table::split_key(key).and_then(|(key, _)| key.parse::<u64>().ok());
            window.is_some_and(|window| window + kept > last)
        };
        self.outdated = earlier.filter(|key| !is_needed(key)).take(MOST_REMOVED).collect();
        for (window, counts) in &self.frozen {
            remember(node, era, *window, counts);
        }
    }

    /// Returns `true` if a window was frozen, as far as any node knows, or surely was not. The others are
    /// withheld.
    fn is_reportable(&mut self, node: &Node, window: WindowNumber) -> bool {
        let is_frozen = self.frozen.contains_key(&window)
            || node.with(|state| state.frozen.get(window).is_some());
        if is_frozen || is_surely_unreported(node, window) {
            return true;
        }
        if self.withheld.insert(window) {
            node.metrics.usage_withheld.inc();
            event::emit(&Event::UsageWithheld { window, era: self.era.get_number() });
        }
        false
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
        let kept = node.with(|state| state.usage.get_since(first));
        if kept.is_empty() {
            return;
        }
        let name = TableName::Own(TABLE);
        let key = table::era_key(RUNNING_KEY, self.era);
        let condition = Condition { table: name, key: key.clone(), version: self.running.version };
        let write = Write { table: name, key, value: encode_running(&kept) };
        let transaction = Transaction { conditions: vec![condition], writes: vec![write] };
        match table::commit(node, transaction, CALL_WITHIN).await {
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
        let old = window.saturating_sub(count_windows_kept(node));
        let transaction = transaction(window, &counts, self.era, &self.outdated, old);
        match table::commit(node, transaction, CALL_WITHIN).await {
            Ok(_) => {
                self.outdated.clear();
                if remember(node, self.era, window, &counts) {
                    peers::news::send_frozen(node, window, &counts).await;
                }
                self.frozen.insert(window, counts);
                true
            }
            Err(TableError::Conflict(rows)) => {
                self.frozen.extend(rows.rows.iter().filter_map(decode));
                self.frozen.contains_key(&window)
            }
            _ => {
                // The write may have been done or may still be: read the rows before the next try.
                self.fence = None;
                false
            }
        }
    }

    async fn report(&mut self, node: &Node, window: WindowNumber) -> bool {
        let Some(counts) = self.frozen.get(&window).cloned() else { return false };
        let Some(fence) = node.with(|state| state.lease.get_fence(node.now())) else {
            return false;
        };
        let holder = DutyHolder { name: node.incarnation.node.clone(), fence };
        let total: u64 = counts.values().sum();
        let calling = (node.platform.control.report_usage)(holder, UsageReport { window, counts });
        let status = runtime::within(CALL_WITHIN, calling).await.flatten();
        event::emit(&Event::UsageReported { window, requests: total, fence, status });
        if !status.is_some_and(|status| (200..300).contains(&status)) {
            return false;
        }
        self.reported.insert(window);
        let first = window.saturating_sub(count_windows_kept(node));
        self.reported = self.reported.split_off(&first);
        self.frozen = self.frozen.split_off(&first);
        self.withheld = self.withheld.split_off(&first);
        true
    }
}

/// Lists the windows that have ended and settled and whose reports are still worth something.
fn due_windows(node: &Node) -> Vec<WindowNumber> {
    let bounds = &node.settings.bounds;
    let length = (bounds.report_window_s * 1_000.0) as u64;
    let due = (bounds.usage_late_s * 1_000.0) as u64;
    let now = runtime::unix_ms();
    let started = now.saturating_sub(node.now().saturating_sub(node.clock.get_start()));
    let current = window_at(now, length);
    let first = window_at(now.saturating_sub(due + length), length);
    let known = node.with(|state| state.usage.get_first_window());
    let first = first.max(window_at(started, length).min(known.unwrap_or(u64::MAX)));
    let kept = count_windows_kept(node);
    node.with(|state| state.usage.forget_before(current.saturating_sub(kept)));
    (first..current).filter(|window| is_due(node, *window, now, length, due)).collect()
}

fn count_windows_kept(node: &Node) -> u64 {
    let bounds = &node.settings.bounds;
    let due = (bounds.usage_late_s * 1_000.0) as Millis;
    count_kept(due, (bounds.report_window_s * 1_000.0) as Millis)
}

fn is_due(node: &Node, window: WindowNumber, now: u64, length: u64, due: Millis) -> bool {
    let age = now.saturating_sub((window + 1) * length);
    let steady = node.now();
    let ended_at = steady.saturating_sub(age);
    let is_node_missing =
        node.with(|state| state.members.is_any_unheard_since(steady, ended_at + TOLD_AFTER));
    is_settled(age, due, is_node_missing)
}

/// Remembers a frozen window, whose row may be gone after a return; returns `true` if that is news. A table
/// service that names no eras loses nothing.
fn remember(node: &Node, era: Era, window: WindowNumber, counts: &Counts) -> bool {
    era != Era::UNNAMED && node.with(|state| state.frozen.note_own(window, counts))
}

/// Returns `true` if a window without a row was surely not reported: nothing was lost since, or each node that
/// may have frozen it would have said so.
fn is_surely_unreported(node: &Node, window: WindowNumber) -> bool {
    let bounds = &node.settings.bounds;
    let length = (bounds.report_window_s * 1_000.0) as u64;
    let due = (bounds.usage_late_s * 1_000.0) as u64;
    let ended_at = (window + 1) * length;
    let now = node.now();
    let steady_end = now.saturating_sub(runtime::unix_ms().saturating_sub(ended_at));
    node.with(|state| {
        if state.eras.is_surely_after_return(ended_at + get_settle_time(due)) {
            return true;
        }
        let Some(era_age) = state.eras.get_age(now) else { return false };
        let is_here_since = node.clock.get_start() < steady_end.saturating_sub(length);
        is_here_since && state.members.is_whole(now - era_age, steady_end.saturating_sub(length))
    })
}

fn transaction(
    window: WindowNumber,
    counts: &Counts,
    era: Era,
    outdated: &[String],
    old: WindowNumber,
) -> Transaction {
    let (table, version) = (TableName::Own(TABLE), TableVersion::absent(era));
    let condition = Condition { table, key: key(window, era), version };
    let write = Write { table, key: key(window, era), value: serde_json::to_vec(counts).ok() };
    let old = key(old, era);
    let removals = outdated.iter().cloned().chain([old]);
    let removals = removals.map(|key| Write { table, key, value: None });
    let writes = [write].into_iter().chain(removals).collect();
    Transaction { conditions: vec![condition], writes }
}

fn key(window: WindowNumber, era: Era) -> String {
    table::era_key(&format!("{window:020}"), era)
}

/// Encodes counts for one row: most of them are small, and packed they take a fraction of the bytes.
pub fn encode_running(kept: &Kept) -> Option<Vec<u8>> {
    let encoded = postcard::to_stdvec(kept);
    let encoded =
        encoded.inspect_err(|error| log::error!("running counts cannot be encoded: {error}"));
    Some(document::pack(&encoded.ok()?).to_vec())
}

fn decode_running(row: &Row) -> Option<Kept> {
    postcard::from_bytes(&document::unpack(row.value.as_deref()?)?).ok()
}

fn decode(row: &Row) -> Option<(WindowNumber, Counts)> {
    let counts = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((table::split_key(&row.key)?.0.parse().ok()?, counts))
}
