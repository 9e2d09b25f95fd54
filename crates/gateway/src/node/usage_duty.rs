//! Reports how many requests of each client account began in each window, once a window.
//!
//! The counts of a window are first written to the table, where only the first writer succeeds,
//! and then reported as they stand there. A report may be repeated, by this holder or the next;
//! it is always the same.
//!
//! The counts of the windows that are not reported yet are kept in the table too, some times in a
//! window, by node and incarnation: where all nodes end at once, the next holder goes on from there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;
use keeljunction_core::serving::usage::{Counts, Kept, WindowNumber, is_settled, window_at};

use super::{Node, document, table};
use crate::event::{self, Event};
use crate::port::{
    Condition, DutyHolder, Row, TableError, TableName, Transaction, UsageReport, Write,
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
/// Rows of this many windows are kept.
const WINDOWS_KEPT: u64 = 8;

/// What a holder knows of the reports.
#[derive(Debug, Default)]
pub struct UsageDuty {
    fence: Option<u64>,
    /// The era of the rows that were read.
    era: Era,
    frozen: BTreeMap<WindowNumber, Counts>,
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
        self.frozen = rows.rows.iter().filter_map(decode).collect();
        let running = rows.rows.iter().find(|row| row.key == RUNNING_KEY);
        let absent = TableVersion::absent(rows.version.era);
        self.running.version = running.map_or(absent, |row| row.version);
        if let Some(kept) = running.and_then(decode_running) {
            node.with(|state| state.usage.merge_kept(&kept));
        }
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
        let key = RUNNING_KEY.to_owned();
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
        let counts = node.with(|state| state.usage.total(window));
        match table::commit(node, transaction(window, &counts, self.era), CALL_WITHIN).await {
            Ok(_) => {
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
        self.reported = self.reported.split_off(&window.saturating_sub(WINDOWS_KEPT));
        self.frozen = self.frozen.split_off(&window.saturating_sub(WINDOWS_KEPT));
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
    node.with(|state| state.usage.forget_before(current.saturating_sub(WINDOWS_KEPT)));
    (first..current).filter(|window| is_due(node, *window, now, length, due)).collect()
}

fn is_due(node: &Node, window: WindowNumber, now: u64, length: u64, due: Millis) -> bool {
    let age = now.saturating_sub((window + 1) * length);
    let steady = node.now();
    let ended_at = steady.saturating_sub(age);
    let is_node_missing =
        node.with(|state| state.members.is_any_unheard_since(steady, ended_at + TOLD_AFTER));
    is_settled(age, due, is_node_missing)
}

fn transaction(window: WindowNumber, counts: &Counts, era: Era) -> Transaction {
    let version = TableVersion::absent(era);
    let condition = Condition { table: TableName::Own(TABLE), key: key(window), version };
    let write = Write {
        table: TableName::Own(TABLE),
        key: key(window),
        value: serde_json::to_vec(counts).ok(),
    };
    let old = window.saturating_sub(WINDOWS_KEPT);
    let removal = Write { table: TableName::Own(TABLE), key: key(old), value: None };
    Transaction { conditions: vec![condition], writes: vec![write, removal] }
}

fn key(window: WindowNumber) -> String {
    format!("{window:020}")
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
    Some((row.key.parse().ok()?, counts))
}
