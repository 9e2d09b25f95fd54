//! Holds the duty lease, and runs the tasks that only one node at a time may run.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::duty_lease::{LeaseRow, Step, TableClock};
use keeljunction_core::serving::table_version::TableVersion;

use super::{Node, capacity_controller, era_origin, rollout_controller, table, usage_reporter};
use crate::event::{self, Event};
use crate::port::{Condition, Row, TableError, TableName, Transaction, Write};
use crate::runtime;

pub(super) const TABLE: &str = "leases";
const KEY: &str = "duties";
const TICK_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The first check of the lease happens at a random time within this period.
const MAX_START_DELAY_MS: Millis = 1_500;
/// The fraction of a lease for which another node's report of holding it is trusted: its row cannot
/// expire before the rest of the lease has passed, and reports in groups take up to three periods.
const HOLDER_TTL_FRACTION: f64 = 2.0 / 3.0;
/// Renewals per lease period.
const RENEWALS_PER_LEASE: u64 = 3;

/// The last confirmed row of the lease, with the clock reading of that answer.
#[derive(Clone, Debug)]
struct KnownLease {
    /// The row; `None` if it does not exist yet.
    row: Option<LeaseRow>,
    /// The version of the row.
    version: TableVersion,
    clock: TableClock,
    /// Keys of the rows of earlier eras.
    earlier: Vec<String>,
}

/// A row that could not be decoded.
#[derive(Clone, Copy, Debug)]
struct UnreadableRow {
    version: TableVersion,
    /// When it was first seen, on the table service's clock.
    seen_at: Millis,
}

/// Acquires the lease when it is free, and runs the duties while it is held.
pub async fn run(node: Arc<Node>) {
    let mut known_lease: Option<KnownLease> = None;
    let mut unreadable = None;
    // Spreads the writes of nodes that start together.
    let mut next_check_at: Millis = node.now() + fastrand::u64(..MAX_START_DELAY_MS);
    let mut usage = usage_reporter::UsageReporter::default();
    let mut capacity = capacity_controller::CapacityController::default();
    let mut rollouts = rollout_controller::RolloutController::default();
    let mut last_fence: Option<u64> = None;
    loop {
        let now = node.now();
        if now >= next_check_at && !can_skip_lease(&node, now) {
            next_check_at = now + acquire_or_renew(&node, &mut known_lease, &mut unreadable).await;
        }
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence != last_fence {
            event::emit(&Event::LeaseChanged { fence });
            last_fence = fence;
        }
        if fence.is_some() && is_aggregator(&node) {
            usage.step(&node).await;
            rollouts.step(&node).await;
            capacity.step(&node).await;
        }
        runtime::sleep(TICK_INTERVAL).await;
    }
}

/// Returns `true` if this node counts for its group or for all nodes, and so has the data that the
/// duties need.
fn is_aggregator(node: &Node) -> bool {
    node.with(|state| state.members.is_aggregator())
}

/// Returns `true` if this node need not check the lease: it is no aggregator, or another node
/// reported that it holds the lease. A holder that is no longer an aggregator lets its lease
/// expire.
fn can_skip_lease(node: &Node, now: Millis) -> bool {
    let within = (node.settings.bounds.lease_ms as f64 * HOLDER_TTL_FRACTION) as Millis;
    node.with(|state| {
        let is_held_elsewhere = state.members.is_duty_holder_heard(now, within);
        let is_candidate = state.members.is_aggregator() && state.members.is_settled(now);
        let is_holder = state.lease.get_fence(now).is_some();
        !is_candidate || (is_held_elsewhere && !is_holder)
    })
}

/// Acquires or renews the lease; returns the time until the next check.
///
/// After a write with an unknown outcome, the row is read before the next write.
async fn acquire_or_renew(
    node: &Node,
    known_lease: &mut Option<KnownLease>,
    unreadable: &mut Option<UnreadableRow>,
) -> Millis {
    let retry = TICK_INTERVAL.as_millis() as Millis;
    if node.is_stopping() {
        return node.settings.bounds.lease_ms;
    }
    let era = node.with(|state| state.eras.get());
    let current = match known_lease.take().filter(|known| known.version.era == era) {
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
    *known_lease = write(node, row, &current).await;
    if known_lease.is_some() { node.settings.bounds.lease_ms / RENEWALS_PER_LEASE } else { retry }
}

/// Writes the row if its version is unchanged; returns `None` if the write failed or its outcome is
/// unknown.
async fn write(node: &Node, row: LeaseRow, current: &KnownLease) -> Option<KnownLease> {
    let asked_at = node.now();
    match table::commit(node, make_transaction(&row, current), CALL_TIMEOUT).await {
        Ok(rows) => {
            let clock = TableClock { asked_at, table_time: rows.table_time };
            node.with(|state| state.lease.confirm(rows.version.era, &row, clock));
            Some(KnownLease { row: Some(row), version: rows.version, clock, earlier: Vec::new() })
        }
        Err(error) => {
            event::emit(&Event::TableCallFailed { what: "lease", error: error.to_string() });
            None
        }
    }
}

fn make_transaction(row: &LeaseRow, current: &KnownLease) -> Transaction {
    let (table, version) = (TableName::Internal(TABLE), current.version);
    let key = table::era_key(KEY, version.era);
    let condition = Condition { table, key: key.clone(), version };
    let removals = current.earlier.iter().map(|key| Write { table, key: key.clone(), value: None });
    let mut writes: Vec<Write> = removals.collect();
    writes.push(Write { table, key, value: serde_json::to_vec(row).ok() });
    Transaction { conditions: vec![condition], writes }
}

/// Reads the lease's row. A row that names this node confirms its lease.
async fn read(
    node: &Node,
    unreadable: &mut Option<UnreadableRow>,
) -> Result<KnownLease, TableError> {
    let asked_at = node.now();
    let rows = table::read_all(node, TableName::Internal(TABLE), CALL_TIMEOUT).await?;
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
        return Ok(KnownLease { row: None, version: TableVersion::absent(era), clock, earlier });
    };
    let row = match decode(found) {
        Some(row) => row,
        None => make_unreadable_lease(node, unreadable, found, clock),
    };
    node.with(|state| state.lease.confirm(era, &row, clock));
    Ok(KnownLease { row: Some(row), version: found.version, clock, earlier })
}

fn decode(row: &Row) -> Option<LeaseRow> {
    serde_json::from_slice(row.value.as_deref()?).ok()
}

/// Returns a substitute for a row that could not be decoded. Its writer may hold the lease for a
/// full period from now on. The version of the row is higher than any fencing token that was
/// written there.
fn make_unreadable_lease(
    node: &Node,
    unreadable: &mut Option<UnreadableRow>,
    found: &Row,
    clock: TableClock,
) -> LeaseRow {
    let known = unreadable.filter(|known| known.version == found.version);
    let seen = known.unwrap_or_else(|| {
        let error = format!("malformed row {KEY} in table {TABLE}");
        event::emit(&Event::DocumentRejected { error });
        UnreadableRow { version: found.version, seen_at: clock.table_time }
    });
    *unreadable = Some(seen);
    let ends_at = seen.seen_at + node.settings.bounds.lease_ms;
    LeaseRow { holder: String::new(), incarnation: 0, term: found.version.number, ends_at }
}
