//! Holds the lease and makes the calls that one node at a time may make.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::duty_lease::{LeaseRow, Step, TableClock};

use super::{Node, capacity_duty, usage_duty};
use crate::event::{self, Event};
use crate::port::{Condition, Row, Rows, TableError, TableName, Transaction, Write};
use crate::runtime;

pub(super) const TABLE: &str = "leases";
const KEY: &str = "duties";
const TICK: Duration = Duration::from_millis(200);
const ANSWER_WITHIN: Duration = Duration::from_millis(700);
/// Renewals in each length of the lease.
const RENEWALS: u64 = 3;

/// What the node knows of the lease's row.
#[derive(Clone, Debug)]
struct Known {
    row: LeaseRow,
    version: u64,
    clock: TableClock,
}

/// Holds the lease where it is free, and does the duties while it is held.
pub async fn run(node: Arc<Node>) {
    let mut known: Option<Known> = None;
    let mut look_at: Millis = 0;
    let mut usage = usage_duty::UsageDuty::default();
    let mut capacity = capacity_duty::CapacityDuty::default();
    let mut held_before: Option<u64> = None;
    loop {
        let now = node.now();
        if now >= look_at && !is_held_by_heard_peer(&node, now) {
            look_at = now + keep(&node, &mut known).await;
        }
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence != held_before {
            event::emit(&Event::LeaseChanged { fence });
            held_before = fence;
        }
        if fence.is_some() {
            usage.step(&node).await;
            capacity.step(&node).await;
        }
        runtime::sleep(TICK).await;
    }
}

fn is_held_by_heard_peer(node: &Node, now: Millis) -> bool {
    let within = node.settings.bounds.lease_ms / 3;
    node.with(|state| {
        state.lease.get_fence(now).is_none() && state.peers.is_holder_heard(now, within)
    })
}

/// Takes or renews the lease; returns the time after which to look again.
async fn keep(node: &Node, known: &mut Option<Known>) -> Millis {
    if node.is_stopping() {
        return node.settings.bounds.lease_ms;
    }
    let retry = TICK.as_millis() as Millis;
    if known.is_none() {
        match read(node).await {
            Ok(Some(read)) => *known = Some(read),
            Ok(None) => return write(node, known, LeaseRead::absent(node).await).await,
            Err(_) => return retry,
        }
    }
    let Some(current) = known.clone() else { return retry };
    write(
        node,
        known,
        Some(LeaseRead { row: Some(current.row), version: current.version, clock: current.clock }),
    )
    .await
}

/// The row as it was read, where it is there.
struct LeaseRead {
    row: Option<LeaseRow>,
    version: u64,
    clock: TableClock,
}

impl LeaseRead {
    /// Reads the table's clock for a row that is not there yet.
    async fn absent(node: &Node) -> Option<Self> {
        let asked_at = node.now();
        let rows = read_rows(node).await.ok()?;
        let clock = TableClock { asked_at, table_time: rows.table_time };
        rows.rows.is_empty().then_some(Self { row: None, version: 0, clock })
    }
}

async fn write(node: &Node, known: &mut Option<Known>, read: Option<LeaseRead>) -> Millis {
    let retry = TICK.as_millis() as Millis;
    let Some(read) = read else { return retry };
    let now = node.now();
    let row = match node.with(|state| state.lease.decide(now, read.row.as_ref(), read.clock)) {
        Step::Wait(time) => {
            *known = None;
            return time + retry / 2;
        }
        Step::Write(row) => row,
    };
    let asked_at = node.now();
    let committing = (node.platform.table.commit)(transaction(&row, read.version));
    match runtime::within(ANSWER_WITHIN, committing).await {
        Some(Ok(rows)) => {
            let clock = TableClock { asked_at, table_time: rows.table_time };
            node.with(|state| state.lease.confirm(&row, clock));
            *known = Some(Known { row, version: rows.version, clock });
            node.settings.bounds.lease_ms / RENEWALS
        }
        Some(Err(error)) => {
            event::emit(&Event::TableCallFailed { what: "lease", error: error.to_string() });
            *known = None;
            retry
        }
        None => {
            *known = None;
            retry
        }
    }
}

fn transaction(row: &LeaseRow, version: u64) -> Transaction {
    let condition = Condition { table: TABLE, key: KEY.to_owned(), version };
    let value = serde_json::to_vec(row).ok();
    let write = Write { table: TABLE, key: KEY.to_owned(), value };
    Transaction { conditions: vec![condition], writes: vec![write] }
}

/// Reads the lease's row; a row that is this node's confirms its lease.
async fn read(node: &Node) -> Result<Option<Known>, TableError> {
    let asked_at = node.now();
    let rows = read_rows(node).await?;
    let clock = TableClock { asked_at, table_time: rows.table_time };
    let Some(known) = rows.rows.iter().find_map(|row| decode(row, clock)) else { return Ok(None) };
    node.with(|state| state.lease.confirm(&known.row, clock));
    Ok(Some(known))
}

async fn read_rows(node: &Node) -> Result<Rows, TableError> {
    let reading = (node.platform.table.read)(TableName::Own(TABLE));
    let answer = runtime::within(ANSWER_WITHIN, reading).await;
    answer.unwrap_or_else(|| Err(TableError::Unanswered("no answer in time".to_owned())))
}

fn decode(row: &Row, clock: TableClock) -> Option<Known> {
    if row.key != KEY {
        return None;
    }
    let decoded = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some(Known { row: decoded, version: row.version, clock })
}
