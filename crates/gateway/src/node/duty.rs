//! Holds the lease and makes the calls that one node at a time may make.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::duty_lease::{LeaseRow, Step, TableClock};
use keeljunction_core::serving::table_version::TableVersion;

use super::{Node, capacity_duty, era_origin, rollout_duty, table, usage_duty};
use crate::event::{self, Event};
use crate::port::{Condition, Row, TableError, TableName, Transaction, Write};
use crate::runtime;

pub(super) const TABLE: &str = "leases";
const KEY: &str = "duties";
const TICK: Duration = Duration::from_millis(200);
const ANSWER_WITHIN: Duration = Duration::from_millis(700);
/// The first look at the lease comes within this time of the start.
const FIRST_LOOK_WITHIN: Millis = 1_500;
/// The part of a lease for which a holder is believed that was heard of: its row cannot end before
/// the rest of the lease is over, and reports in groups take up to three periods.
const HOLDER_BELIEVED_PART: f64 = 2.0 / 3.0;
/// Renewals in each length of the lease.
const RENEWALS: u64 = 3;

/// The lease's row as the table surely held it, with the clock reading that came with it.
#[derive(Clone, Debug)]
struct Known {
    /// `None` where there is no row yet.
    row: Option<LeaseRow>,
    /// The row's version.
    version: TableVersion,
    clock: TableClock,
    /// Keys of the rows of earlier eras.
    earlier: Vec<String>,
}

/// A row that cannot be read.
#[derive(Clone, Copy, Debug)]
struct Unreadable {
    version: TableVersion,
    /// When it was first seen, on the table service's clock.
    seen_at: Millis,
}

/// Holds the lease where it is free, and does the duties while it is held.
pub async fn run(node: Arc<Node>) {
    let mut known: Option<Known> = None;
    let mut unreadable = None;
    // Nodes that start together would all write the row at once.
    let mut look_at: Millis = node.now() + fastrand::u64(..FIRST_LOOK_WITHIN);
    let mut usage = usage_duty::UsageDuty::default();
    let mut capacity = capacity_duty::CapacityDuty::default();
    let mut rollouts = rollout_duty::RolloutDuty::default();
    let mut held_before: Option<u64> = None;
    loop {
        let now = node.now();
        if now >= look_at && !is_left_to_others(&node, now) {
            look_at = now + keep(&node, &mut known, &mut unreadable).await;
        }
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence != held_before {
            event::emit(&Event::LeaseChanged { fence });
            held_before = fence;
        }
        if fence.is_some() && is_aggregator(&node) {
            usage.step(&node).await;
            rollouts.step(&node).await;
            capacity.step(&node).await;
        }
        runtime::sleep(TICK).await;
    }
}

/// Returns `true` if this node counts for its group or all nodes, and so knows what the duties need.
fn is_aggregator(node: &Node) -> bool {
    node.with(|state| state.members.is_aggregator())
}

/// Returns `true` if this node need not look at the lease: it is no aggregator, or another node
/// was heard to hold it. A holder that is none any more lets its lease end.
fn is_left_to_others(node: &Node, now: Millis) -> bool {
    let within = (node.settings.bounds.lease_ms as f64 * HOLDER_BELIEVED_PART) as Millis;
    node.with(|state| {
        let is_held_elsewhere = state.members.is_duty_holder_heard(now, within);
        let is_candidate = state.members.is_aggregator() && state.members.is_settled(now);
        let is_holder = state.lease.get_fence(now).is_some();
        !is_candidate || (is_held_elsewhere && !is_holder)
    })
}

/// Takes or renews the lease; returns the time after which to look again.
///
/// After a write whose outcome is not known the row is read before anything else is tried.
async fn keep(
    node: &Node,
    known: &mut Option<Known>,
    unreadable: &mut Option<Unreadable>,
) -> Millis {
    let retry = TICK.as_millis() as Millis;
    if node.is_stopping() {
        return node.settings.bounds.lease_ms;
    }
    let era = node.with(|state| state.eras.get());
    let current = match known.take().filter(|known| known.version.era == era) {
        Some(current) => current,
        None => match read(node, unreadable).await {
            Ok(current) => current,
            Err(_) => return retry,
        },
    };
    let now = node.now();
    let decided = node.with(|state| {
        let era_age = state.eras.get_age(now).unwrap_or(0);
        state.lease.decide(now, current.row.as_ref(), current.clock, era_age)
    });
    let row = match decided {
        Step::Wait(time) => return time + retry / 2,
        Step::Write(row) => row,
    };
    *known = write(node, row, &current).await;
    if known.is_some() { node.settings.bounds.lease_ms / RENEWALS } else { retry }
}

/// Writes the row where it has not changed since a version; `None` where that is not sure to be
/// done.
async fn write(node: &Node, row: LeaseRow, current: &Known) -> Option<Known> {
    let asked_at = node.now();
    match table::commit(node, transaction(&row, current), ANSWER_WITHIN).await {
        Ok(rows) => {
            let clock = TableClock { asked_at, table_time: rows.table_time };
            node.with(|state| state.lease.confirm(rows.version.era, &row, clock));
            Some(Known { row: Some(row), version: rows.version, clock, earlier: Vec::new() })
        }
        Err(error) => {
            event::emit(&Event::TableCallFailed { what: "lease", error: error.to_string() });
            None
        }
    }
}

fn transaction(row: &LeaseRow, current: &Known) -> Transaction {
    let (table, version) = (TableName::Internal(TABLE), current.version);
    let key = table::era_key(KEY, version.era);
    let condition = Condition { table, key: key.clone(), version };
    let removals = current.earlier.iter().map(|key| Write { table, key: key.clone(), value: None });
    let mut writes: Vec<Write> = removals.collect();
    writes.push(Write { table, key, value: serde_json::to_vec(row).ok() });
    Transaction { conditions: vec![condition], writes }
}

/// Reads the lease's row; a row that is this node's confirms its lease.
async fn read(node: &Node, unreadable: &mut Option<Unreadable>) -> Result<Known, TableError> {
    let asked_at = node.now();
    let rows = table::read_all(node, TableName::Internal(TABLE), ANSWER_WITHIN).await?;
    let clock = TableClock { asked_at, table_time: rows.table_time };
    let era = rows.version.era;
    let key = table::era_key(KEY, era);
    let earlier = rows.rows.iter().filter(|row| row.key != key);
    let earlier = earlier.filter(|row| table::split_key(&row.key).is_some_and(|(_, at)| at < era));
    let earlier: Vec<String> = earlier.map(|row| row.key.clone()).collect();
    let Some(found) = rows.rows.iter().find(|row| row.key == key) else {
        // The first lease of an era depends on the era's age.
        if node.with(|state| state.eras.get_age(asked_at)).is_none() {
            era_origin::find(node).await?;
        }
        return Ok(Known { row: None, version: TableVersion::absent(era), clock, earlier });
    };
    let row = match decode(found) {
        Some(row) => row,
        None => replace_unreadable(node, unreadable, found, clock),
    };
    node.with(|state| state.lease.confirm(era, &row, clock));
    Ok(Known { row: Some(row), version: found.version, clock, earlier })
}

fn decode(row: &Row) -> Option<LeaseRow> {
    serde_json::from_slice(row.value.as_deref()?).ok()
}

/// Returns a row in the place of one that cannot be read: whoever wrote it may hold the lease for its
/// length from now on. The version of a row is higher than any fence that was ever written there.
fn replace_unreadable(
    node: &Node,
    unreadable: &mut Option<Unreadable>,
    found: &Row,
    clock: TableClock,
) -> LeaseRow {
    let known = unreadable.filter(|known| known.version == found.version);
    let seen = known.unwrap_or_else(|| {
        let error = format!("the row {KEY} of {TABLE} cannot be read");
        event::emit(&Event::DocumentRejected { error });
        Unreadable { version: found.version, seen_at: clock.table_time }
    });
    *unreadable = Some(seen);
    let ends_at = seen.seen_at + node.settings.bounds.lease_ms;
    LeaseRow { holder: String::new(), incarnation: 0, term: found.version.number, ends_at }
}
