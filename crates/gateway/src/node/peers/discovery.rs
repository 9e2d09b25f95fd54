//! Discovers the other nodes through a table of the platform, and registers this node there.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::members::{Entry, sample};

use crate::event::{self, Event};
use crate::node::back_off::{BackOff, jitter};
use crate::node::{Node, table};
use crate::port::{Row, RowRange, Rows, TableError, TableName, Transaction, Write};
use crate::runtime;

/// The table in which nodes register.
const TABLE: &str = "nodes";
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The period over which nodes that start together spread their registrations. The table service
/// accepts a limited number of writes per second and refuses more.
const REGISTRATION_SPREAD: Duration = Duration::from_millis(1_000);
/// The backoff after the first failed registration, which spreads the writes further.
const INITIAL_REGISTRATION_BACK_OFF: Duration = Duration::from_millis(1_500);
/// The maximum backoff after several failed registrations.
const MAX_REGISTRATION_BACK_OFF: Duration = Duration::from_secs(12);
/// The timeout of a registration. The table service queues writes for up to a second, and a node
/// that gives up earlier gets no response at all while the service is saturated.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The delay after which a node that had to register reads the table once more.
const SECOND_READ_DELAY: Duration = Duration::from_millis(1_000);
/// The number of rows that a node reads at its start in one call. It hears of all other nodes
/// through these.
const SAMPLE_ROWS: usize = 500;
/// The interval between checks whether the table service was restored from an older copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between full reads of the table.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(60);
/// The first interval between full reads while nodes are missing, which doubles with each read.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Discovers the other nodes, registers this node if necessary, and reads the table at intervals
/// while this node is a reader.
///
/// When all nodes start for the first time, the table fills while they read it. A node that had to
/// register therefore reads it again, unless it has found an aggregator, which forwards the missing
/// entries.
///
/// After a restore of the table service, the table holds former addresses until each node has
/// registered again. Nodes that are missing are therefore looked up again soon.
pub(super) async fn run(node: Arc<Node>) {
    let is_first_start = node.settings.node.is_first_start;
    let is_registered =
        !is_first_start && read_with_retries(&node, Part::Sample { is_settled: false }).await;
    if !is_registered {
        runtime::sleep(REGISTRATION_SPREAD.mul_f64(fastrand::f64())).await;
        register_until_done(&node).await;
    }
    let mut registered_in = node.with(|state| state.eras.get());
    if !is_registered {
        runtime::sleep(jitter(SECOND_READ_DELAY)).await;
        if is_alone(&node) || !node.with(|state| state.members.is_grouped()) {
            read_with_retries(&node, Part::Sample { is_settled: true }).await;
        }
    }
    let mut schedule = ReadSchedule::new(node.now());
    loop {
        runtime::sleep(jitter(ERA_CHECK_INTERVAL)).await;
        let era = node.with(|state| state.eras.get());
        if era != registered_in {
            ensure_registered(&node).await;
            registered_in = era;
        }
        let now = node.now();
        let is_reader = node.with(|state| state.members.is_table_reader(now));
        let is_missing = is_alone(&node) || is_reader && is_any_missing(&node);
        if schedule.is_due(now, is_missing) && (is_reader || is_missing) {
            read_with_retries(&node, Part::Whole).await;
        }
    }
}

/// When this node reads the whole table again.
#[derive(Debug)]
struct ReadSchedule {
    last_at: Millis,
    /// The interval between two reads while nodes are missing.
    missing_interval: Duration,
    /// A random factor, so that nodes do not read at the same time.
    spread: f64,
}

impl ReadSchedule {
    fn new(now: Millis) -> Self {
        let spread = jitter(Duration::from_secs(1)).as_secs_f64();
        Self { last_at: now, missing_interval: MIN_READ_INTERVAL, spread }
    }

    /// Returns `true` if a read is due, and schedules the next one.
    fn is_due(&mut self, now: Millis, is_missing: bool) -> bool {
        if !is_missing {
            self.missing_interval = MIN_READ_INTERVAL;
        }
        let interval = if is_missing { self.missing_interval } else { FULL_READ_INTERVAL };
        let is_due = now >= self.last_at + interval.mul_f64(self.spread).as_millis() as Millis;
        if is_due {
            let missing_interval = (interval * 2).min(FULL_READ_INTERVAL);
            *self = Self { missing_interval, ..Self::new(now) };
        }
        is_due
    }
}

/// Registers this node again if its row was lost in a restore of the table service.
async fn ensure_registered(node: &Node) {
    runtime::sleep(REGISTRATION_SPREAD.mul_f64(fastrand::f64())).await;
    let mut back_off = BackOff::default();
    loop {
        match is_registered(node).await {
            Ok(true) => return,
            Ok(false) => return register_until_done(node).await,
            Err(error) => emit_failure("read nodes", &error),
        }
        back_off.wait().await;
    }
}

/// Returns `true` if this node is registered with its current entry.
async fn is_registered(node: &Node) -> Result<bool, TableError> {
    let own = read_from(node, &sample::make_key(&node.incarnation.node), 1).await?;
    Ok(own.rows.iter().filter_map(decode).any(|entry| entry == node.get_entry()))
}

/// The part of the table to read.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// The first rows; `is_settled` if the nodes that started together with this one had time to
    /// register.
    Sample { is_settled: bool },
    /// All rows.
    Whole,
}

/// Reads the table, retrying after each failure; returns `true` if this node is registered with its
/// current entry.
async fn read_with_retries(node: &Node, part: Part) -> bool {
    let mut back_off = BackOff::default();
    loop {
        let reading = match part {
            Part::Sample { is_settled } => read_sample(node, is_settled).await,
            Part::Whole => read_all(node).await,
        };
        match reading {
            Ok(is_registered) => return is_registered,
            Err(error) => emit_failure("read nodes", &error),
        }
        back_off.wait().await;
    }
}

/// Returns `true` if no other node is reachable.
fn is_alone(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.members.get_reachability(now).heard <= 1)
}

/// Returns `true` if a known node is not heard, by this node or in groups.
fn is_any_missing(node: &Node) -> bool {
    let now = node.now();
    let reachability = node.with(|state| state.members.get_reachability(now));
    reachability.heard < reachability.known
}

/// Registers this node, retrying with exponential backoff.
///
/// A write without a response may still be applied later. When many nodes start, each further write
/// delays those that are queued already, so the table is read before the next attempt.
async fn register_until_done(node: &Node) {
    let mut back_off = INITIAL_REGISTRATION_BACK_OFF;
    while let Err(error) = register(node).await {
        emit_failure("list this node", &error);
        runtime::sleep(jitter(back_off)).await;
        if read_with_retries(node, Part::Sample { is_settled: false }).await {
            return;
        }
        back_off = (back_off * 2).min(MAX_REGISTRATION_BACK_OFF);
    }
}

async fn register(node: &Node) -> Result<(), TableError> {
    let entry = node.get_entry();
    let value = serde_json::to_vec(&entry)
        .map_err(|error| TableError::Unanswered(format!("not sent: {error}")))?;
    let key = sample::make_key(&entry.name);
    let write = Write { table: TableName::Internal(TABLE), key, value: Some(value) };
    let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
    table::commit(node, transaction, REGISTRATION_TIMEOUT).await.map(|_| ())
}

async fn read_all(node: &Node) -> Result<bool, TableError> {
    let rows = table::read_all(node, TableName::Internal(TABLE), CALL_TIMEOUT).await?.rows;
    let entries: Vec<Entry> = rows.iter().filter_map(decode).collect();
    let is_registered = entries.contains(&node.get_entry());
    let now = node.now();
    let count = entries.len();
    node.with(|state| state.members.merge_list(now, entries, true));
    emit_read(node, count, is_registered);
    Ok(is_registered)
}

/// Reads the first rows, and the row of this node if it is not among them.
async fn read_sample(node: &Node, is_settled: bool) -> Result<bool, TableError> {
    let own_key = sample::make_key(&node.incarnation.node);
    let first = read_from(node, "", SAMPLE_ROWS).await?;
    let last = first.rows.last().map_or("", |row| row.key.as_str());
    let mut count = first.rows.len();
    let mut own = None;
    if first.has_more {
        count = sample::estimate_count(last, count);
        if *last < *own_key {
            own = read_from(node, &own_key, 1).await?.rows.pop();
        }
    }
    let entries: Vec<Entry> = first.rows.iter().chain(&own).filter_map(decode).collect();
    let is_registered = entries.contains(&node.get_entry());
    let now = node.now();
    let has_own_row = first.rows.iter().chain(&own).any(|row| row.key == own_key);
    if !is_settled && !has_own_row {
        record_first_run(node, now);
    }
    // A node that is registered already has run before, and so have the others.
    let is_whole = is_settled || is_registered;
    let rows = entries.len();
    node.with(|state| state.members.merge_sample(now, entries, count, is_whole));
    emit_read(node, rows, is_registered);
    Ok(is_registered)
}

fn emit_read(node: &Node, rows: usize, is_registered: bool) {
    let now = node.now();
    let reachability = node.with(|state| state.members.get_reachability(now));
    let (nodes_heard, nodes_known) = (reachability.heard, reachability.known);
    event::emit(&Event::NodesRead { rows, is_registered, nodes_heard, nodes_known });
}

/// Records that no process of this node has run before, as it is not in the table. A restore of the
/// table service may have lost its row.
fn record_first_run(node: &Node, now: Millis) {
    node.with(|state| {
        if state.eras.get().get_number().is_none() {
            state.retry_budget.record_first_run(now);
        }
    });
}

async fn read_from(node: &Node, key: &str, limit: usize) -> Result<Rows, TableError> {
    let selection = RowRange { table: TableName::Internal(TABLE), from: key.to_owned(), limit };
    table::read_some(node, selection, CALL_TIMEOUT).await
}

fn decode(row: &Row) -> Option<Entry> {
    let value = row.value.as_deref()?;
    let decoded = serde_json::from_slice(value);
    let report = |error: &serde_json::Error| {
        event::emit(&Event::DocumentRejected {
            error: format!("malformed entry of node {}: {error}", row.key),
        });
    };
    decoded.inspect_err(report).ok()
}

fn emit_failure(what: &'static str, error: &TableError) {
    event::emit(&Event::TableCallFailed { what, error: error.to_string() });
}
