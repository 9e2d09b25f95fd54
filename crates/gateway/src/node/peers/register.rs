//! Finds the other nodes in a table of the platform, and lists this one there.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::members::{Entry, sample};

use crate::event::{self, Event};
use crate::node::pause::{Pause, jitter};
use crate::node::{Node, table};
use crate::port::{Row, RowRange, Rows, TableError, TableName, Transaction, Write};
use crate::runtime;

/// The table in which nodes list themselves.
const TABLE: &str = "nodes";
const CALL_WITHIN: Duration = Duration::from_millis(700);
/// Nodes that start together list themselves within this time, and not all at once: the table
/// service takes a bounded number of writes a second, and refuses more.
const LISTED_WITHIN: Duration = Duration::from_millis(1_000);
/// The pause after a write that failed, by which writes spread further.
const LIST_AGAIN: Duration = Duration::from_millis(1_500);
/// That pause after several writes that failed.
const LIST_AGAIN_AT_MOST: Duration = Duration::from_secs(12);
/// How long a write's answer is waited for: the table service lets writes wait for a second in turn, and
/// whoever gives up sooner while it is saturated gets no answer at all.
const LIST_WITHIN: Duration = Duration::from_millis(2_500);
/// The time after which a node that had to list itself reads the list once more.
const READ_TWICE_AFTER: Duration = Duration::from_millis(1_000);
/// Rows that a node reads at its start, with one call: it hears of all others through these nodes.
const SAMPLE: usize = 500;
/// The time between two looks whether the table service has come back from an older copy.
const LOOK_FOR_ERA: Duration = Duration::from_secs(1);
/// The time between two looks at the list.
const LOOK_AGAIN: Duration = Duration::from_secs(60);

/// Reads who else is there, lists this node where it is not listed yet, and goes on to look now and
/// then where this node reads for all.
///
/// At the first start of all nodes the list fills while they read it: a node that had to list itself
/// therefore reads it again, unless it has found an aggregator, which passes on what it misses.
pub(super) async fn run(node: Arc<Node>) {
    let is_first_start = node.settings.node.is_first_start;
    let is_listed =
        !is_first_start && read_until_done(&node, Part::Sample { is_settled: false }).await;
    if !is_listed {
        runtime::sleep(LISTED_WITHIN.mul_f64(fastrand::f64())).await;
        list_until_done(&node).await;
    }
    let mut listed_in = node.with(|state| state.eras.get());
    if !is_listed {
        runtime::sleep(jitter(READ_TWICE_AFTER)).await;
        if is_alone(&node) || !node.with(|state| state.members.is_grouped()) {
            read_until_done(&node, Part::Sample { is_settled: true }).await;
        }
    }
    let mut look_at = node.now() + jitter(LOOK_AGAIN).as_millis() as Millis;
    loop {
        runtime::sleep(jitter(LOOK_FOR_ERA)).await;
        let era = node.with(|state| state.eras.get());
        if era != listed_in {
            list_again(&node).await;
            listed_in = era;
        }
        if node.now() < look_at {
            continue;
        }
        look_at = node.now() + jitter(LOOK_AGAIN).as_millis() as Millis;
        if node.with(|state| state.members.is_table_reader(node.now())) || is_alone(&node) {
            read_until_done(&node, Part::Whole).await;
        }
    }
}

/// Lists this node where its row is gone after a return of the table service.
async fn list_again(node: &Node) {
    runtime::sleep(LISTED_WITHIN.mul_f64(fastrand::f64())).await;
    let mut pause = Pause::default();
    loop {
        match is_listed(node).await {
            Ok(true) => return,
            Ok(false) => return list_until_done(node).await,
            Err(error) => note_failure("read nodes", &error),
        }
        pause.wait().await;
    }
}

/// Returns `true` if this node is listed as it is.
async fn is_listed(node: &Node) -> Result<bool, TableError> {
    let own = read_from(node, &sample::make_key(&node.incarnation.node), 1).await?;
    Ok(own.rows.iter().filter_map(decode).any(|entry| entry == node.get_entry()))
}

/// The part of the list that is read.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// The first rows; `is_settled` where those that started together with this node
    /// had the time to list themselves.
    Sample { is_settled: bool },
    /// All rows.
    Whole,
}

/// Reads the list, again after each failure; returns whether this node is listed as it is.
async fn read_until_done(node: &Node, part: Part) -> bool {
    let mut pause = Pause::default();
    loop {
        let reading = match part {
            Part::Sample { is_settled } => read_sample(node, is_settled).await,
            Part::Whole => read_whole(node).await,
        };
        match reading {
            Ok(is_listed) => return is_listed,
            Err(error) => note_failure("read nodes", &error),
        }
        pause.wait().await;
    }
}

/// Returns `true` if this node hears no other.
fn is_alone(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| state.members.get_reachability(now).heard <= 1)
}

/// Lists this node, again after each failure and ever more seldom, until it is listed.
///
/// A write that was not answered may be done later. Where many nodes start, each further one would hold up
/// those that wait already, so that the list is read before the next one.
async fn list_until_done(node: &Node) {
    let mut pause = LIST_AGAIN;
    while let Err(error) = list(node).await {
        note_failure("list this node", &error);
        runtime::sleep(jitter(pause)).await;
        if read_until_done(node, Part::Sample { is_settled: false }).await {
            return;
        }
        pause = (pause * 2).min(LIST_AGAIN_AT_MOST);
    }
}

async fn list(node: &Node) -> Result<(), TableError> {
    let entry = node.get_entry();
    let value = serde_json::to_vec(&entry)
        .map_err(|error| TableError::Unanswered(format!("not sent: {error}")))?;
    let key = sample::make_key(&entry.name);
    let write = Write { table: TableName::Internal(TABLE), key, value: Some(value) };
    let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
    table::commit(node, transaction, LIST_WITHIN).await.map(|_| ())
}

async fn read_whole(node: &Node) -> Result<bool, TableError> {
    let rows = table::read_all(node, TableName::Internal(TABLE), CALL_WITHIN).await?.rows;
    let entries: Vec<Entry> = rows.iter().filter_map(decode).collect();
    let is_listed = entries.contains(&node.get_entry());
    let now = node.now();
    node.with(|state| state.members.merge_list(now, entries, true));
    Ok(is_listed)
}

/// Reads the first rows, and this node's own where it is not among them.
async fn read_sample(node: &Node, is_settled: bool) -> Result<bool, TableError> {
    let own_key = sample::make_key(&node.incarnation.node);
    let first = read_from(node, "", SAMPLE).await?;
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
    let is_listed = entries.contains(&node.get_entry());
    let now = node.now();
    // A node that is listed already has run before, and so have the others.
    let is_whole = is_settled || is_listed;
    node.with(|state| state.members.merge_sample(now, entries, count, is_whole));
    Ok(is_listed)
}

async fn read_from(node: &Node, key: &str, limit: usize) -> Result<Rows, TableError> {
    let selection = RowRange { table: TableName::Internal(TABLE), from: key.to_owned(), limit };
    table::read_some(node, selection, CALL_WITHIN).await
}

fn decode(row: &Row) -> Option<Entry> {
    let value = row.value.as_deref()?;
    let decoded = serde_json::from_slice(value);
    let report = |error: &serde_json::Error| {
        event::emit(&Event::DocumentRejected { error: format!("node {}: {error}", row.key) });
    };
    decoded.inspect_err(report).ok()
}

fn note_failure(what: &'static str, error: &TableError) {
    event::emit(&Event::TableCallFailed { what, error: error.to_string() });
}
