//! Decides the stages of rollouts while this node holds the duty lease.
//!
//! Each decision is first written to an internal table, conditional on the version of the row so
//! that a concurrent holder's write is not overwritten, and then published to the operator and to
//! all nodes. If a holder stops halfway, the next one continues from the row: it counts responses
//! anew from the nodes' reports, and never revokes a verdict. Only a rollback is announced to the
//! nodes before it is written, because no further request should reach a bad version and a stage
//! never goes back.
//!
//! After the table service was restored from an older copy, a row may hold an earlier stage than
//! the nodes know, or be missing. The known stage stays in force and is written again under the
//! order's new number.

use std::collections::BTreeMap;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::duty_lease::TableClock;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::rollout::{
    Action, Announcement, Order, Progress, Report, Snapshot, Stage, VersionFilter,
};
use keeljunction_core::serving::table_version::TableVersion;
use serde::{Deserialize, Serialize};

use super::peers::message::Notification;
use super::rollout_status::Statuses;
use super::{Node, table};
use crate::event::{self, Event};
use crate::port::{Row, Rows, TableError, TableName};

const TABLE: &str = "rollouts";
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The backoff after a failed call to the table service.
const FAILURE_BACK_OFF_MS: Millis = 300;

/// The duty holder's state of the rollouts.
#[derive(Debug, Default)]
pub struct RolloutController {
    fence: Option<u64>,
    /// The era of the rows that were read.
    era: Era,
    clock: Option<TableClock>,
    records: BTreeMap<String, StoredRecord>,
    progress: BTreeMap<String, (TableVersion, Progress)>,
    statuses: Statuses,
    back_off_until: Millis,
}

/// The progress of a rollout, as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// The number of the order within its era.
    order: u64,
    #[serde(default)]
    era: Era,
    target_version: String,
    /// When the first holder started it, on the table service's clock.
    began_at: Millis,
    stage: Stage,
    /// Versions of earlier orders that were never completed.
    barred: Vec<String>,
}

/// A record with the version of its row.
#[derive(Clone, Debug)]
struct StoredRecord {
    record: Record,
    version: TableVersion,
}

impl Record {
    fn get_order(&self) -> TableVersion {
        TableVersion::new(self.era, self.order)
    }
}

/// Why a stage was decided, for the event log.
struct Reason {
    why: &'static str,
    route: Option<String>,
    in_flight: u32,
}

impl RolloutController {
    /// Decides the stages that are due. Makes no calls if there are no orders.
    pub async fn step(&mut self, node: &Node) {
        let now = node.now();
        let orders = node.with(|state| state.rollouts.list_orders());
        if orders.is_empty() || now < self.back_off_until {
            return;
        }
        let is_done = match self.load_records(node).await {
            true => self.step_all(node, orders).await,
            false => false,
        };
        if !is_done {
            // The write may have succeeded or may still succeed: read the rows before the next
            // attempt.
            self.fence = None;
            self.back_off_until = node.now() + FAILURE_BACK_OFF_MS;
        }
    }

    /// Reads the decisions of earlier holders, once per acquisition of the lease.
    async fn load_records(&mut self, node: &Node) -> bool {
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence.is_none() {
            return false;
        }
        if fence == self.fence {
            return true;
        }
        let asked_at = node.now();
        let reading = table::read_all(node, TableName::Internal(TABLE), CALL_TIMEOUT);
        let Ok(rows) = reading.await else { return false };
        let era = rows.version.era;
        let is_store_restored = era != self.era;
        *self = Self {
            fence,
            era,
            clock: Some(TableClock { asked_at, table_time: rows.table_time }),
            records: decode_all(&rows),
            statuses: match is_store_restored {
                true => Statuses::default(),
                false => std::mem::take(&mut self.statuses).forget_written(),
            },
            ..Self::default()
        };
        true
    }

    /// Advances all rollouts; returns `false` if a write failed.
    async fn step_all(&mut self, node: &Node, orders: Vec<(Order, Stage)>) -> bool {
        for (order, known_stage) in orders {
            let known = self.records.get(&order.service).map(|written| written.record.get_order());
            if known > Some(order.number) {
                continue;
            }
            if !self.step_one(node, &order, known_stage).await || !self.publish(node, &order).await
            {
                return false;
            }
        }
        true
    }

    /// Publishes the stored stage.
    async fn publish(&mut self, node: &Node, order: &Order) -> bool {
        let Some(written) = self.records.get(&order.service) else { return true };
        self.statuses.publish(node, self.era, order, written.record.stage).await
    }

    /// Returns the record of an order, including one whose order was numbered in an earlier era.
    fn find_record(&self, order: &Order) -> Option<&Record> {
        let record = &self.records.get(&order.service)?.record;
        let is_earlier = record.era < order.number.era;
        let is_carried = is_earlier && record.target_version == order.target_version;
        (is_carried || record.get_order() == order.number).then_some(record)
    }

    /// Advances a rollout whose stage the nodes know as `known_stage`; returns `false` if a write
    /// failed.
    async fn step_one(&mut self, node: &Node, order: &Order, known_stage: Stage) -> bool {
        let now = node.now();
        let Some(clock) = self.clock else { return false };
        let table_time = clock.latest_at(now);
        let known = self.find_record(order).cloned();
        let stage = known.as_ref().map_or(Stage::Pending, |record| record.stage).max(known_stage);
        if let Some(known) = &known {
            let (service, number) = (&order.service, order.number);
            node.with(|state| {
                state.rollouts.confirm_stage(now, service, number, stage);
                state.rollouts.bar(service, number, &known.barred);
            });
        } else if let Some(earlier) = self.records.get(&order.service) {
            bar_earlier_versions(node, order, &earlier.record);
        }
        let began_at = known.as_ref().map_or(table_time, |record| record.began_at);
        let is_written = known
            .as_ref()
            .is_some_and(|record| record.get_order() == order.number && record.stage == stage);
        if stage > Stage::Pending && !is_written {
            let record = make_record(node, order, began_at, stage);
            return self.write_record(node, &order.service, record).await;
        }
        if stage.is_final() {
            return true;
        }
        let elapsed = table_time.saturating_sub(began_at);
        let Some(report) = sum_reports(node, order) else { return true };
        let (target_servers, other_servers) = count_servers(node, order);
        let snapshot = Snapshot {
            stage,
            duration: order.duration,
            elapsed,
            tallies: &report.tallies,
            target_servers,
            other_servers,
            in_flight: report.in_flight,
        };
        let progress = self.progress.entry(order.service.clone()).or_default();
        if progress.0 != order.number {
            *progress = (order.number, Progress::default());
        }
        let Some((next, reason)) = get_next_stage(progress.1.step(&snapshot)) else { return true };
        self.emit(order, next, &reason, &snapshot);
        let record = make_record(node, order, began_at, next);
        if next == Stage::RolledBack {
            announce(node, order, next);
        }
        if !self.write_record(node, &order.service, record).await {
            return false;
        }
        announce(node, order, next);
        true
    }

    fn emit(&self, order: &Order, stage: Stage, reason: &Reason, snapshot: &Snapshot<'_>) {
        event::emit(&Event::RolloutDecided {
            service: &order.service,
            target_version: &order.target_version,
            order: order.number.to_string(),
            stage: stage.as_str(),
            why: reason.why,
            route: reason.route.as_deref(),
            answers: snapshot.tallies.count_target(),
            in_flight: reason.in_flight,
            elapsed_ms: snapshot.elapsed,
            duration_ms: snapshot.duration,
            target_servers: snapshot.target_servers,
            other_servers: snapshot.other_servers,
            fence: self.fence.unwrap_or(0),
        });
    }

    async fn write_record(&mut self, node: &Node, service: &str, record: Record) -> bool {
        let absent = TableVersion::absent(self.era);
        let version = self.records.get(service).map_or(absent, |written| written.version);
        let value = serde_json::to_vec(&record).ok();
        let key = table::era_key(service, self.era);
        let writing =
            table::replace(node, TableName::Internal(TABLE), &key, version, value, CALL_TIMEOUT);
        let Ok(rows) = writing.await.inspect_err(emit_failure) else {
            return false;
        };
        let written = StoredRecord { record, version: rows.version };
        self.records.insert(service.to_owned(), written);
        true
    }
}

fn emit_failure(error: &TableError) {
    event::emit(&Event::TableCallFailed { what: "roll-out", error: error.to_string() });
}

fn make_record(node: &Node, order: &Order, began_at: Millis, stage: Stage) -> Record {
    Record {
        order: order.number.number,
        era: order.number.era,
        target_version: order.target_version.clone(),
        began_at,
        stage,
        barred: node.with(|state| state.rollouts.list_barred(&order.service)),
    }
}

/// Returns the next stage and its reason; `None` if the stage stays.
fn get_next_stage(next: Action) -> Option<(Stage, Reason)> {
    let reason = |why| Reason { why, route: None, in_flight: 0 };
    match next {
        Action::Wait => None,
        Action::Begin => Some((Stage::Canary, reason("ordered"))),
        Action::Ramp => Some((Stage::Ramp, reason("as good as the others"))),
        Action::Shift => Some((Stage::Shifting, reason("as good as the others under load"))),
        Action::Complete { cut } => {
            Some((Stage::Completed, Reason { in_flight: cut, ..reason("carries the load") }))
        }
        Action::RollBack(fault) => {
            let route = fault.series.map(|series| series.route);
            Some((Stage::RolledBack, Reason { route, ..reason(fault.symptom.as_str()) }))
        }
        Action::GiveUp => {
            Some((Stage::RolledBack, reason("too few answers or servers to judge by")))
        }
    }
}

/// Announces a stage to all nodes, including this one first.
fn announce(node: &Node, order: &Order, stage: Stage) {
    let now = node.now();
    node.with(|state| state.rollouts.confirm_stage(now, &order.service, order.number, stage));
    let barred = node.with(|state| state.rollouts.list_barred(&order.service));
    let announcement = Announcement { order: order.clone(), stage, age: Some(0), barred };
    node.notify_peers(Notification::RolloutChanged(announcement));
}

/// Bars the versions of earlier orders that the table holds. Nodes that were all restarted know the
/// newest order only.
fn bar_earlier_versions(node: &Node, order: &Order, earlier: &Record) {
    let mut barred = earlier.barred.clone();
    if earlier.stage != Stage::Completed {
        barred.push(earlier.target_version.clone());
    }
    node.with(|state| state.rollouts.bar(&order.service, order.number, &barred));
}

fn sum_reports(node: &Node, order: &Order) -> Option<Report> {
    node.with(|state| {
        let in_flight = |order: &Order| state.count_in_flight_on_other_versions(order);
        state.rollouts.sum_all(&order.service, in_flight)
    })
}

/// Counts the ready servers of the target version and the usable ones of other versions.
fn count_servers(node: &Node, order: &Order) -> (usize, usize) {
    node.with(|state| {
        let ready = state.directory.iter_ready(&order.service);
        let (target, others): (Vec<_>, Vec<_>) =
            ready.partition(|server| state.rollouts.is_target(server));
        let is_usable = |server: &&&_| state.rollouts.is_allowed(VersionFilter::Others, server);
        (target.len(), others.iter().filter(is_usable).count())
    })
}

/// Decodes the newest record of each service. A record of an earlier era is replaced by a row of
/// the current one.
fn decode_all(rows: &Rows) -> BTreeMap<String, StoredRecord> {
    let era = rows.version.era;
    let mut newest: BTreeMap<String, (Era, StoredRecord)> = BTreeMap::new();
    for row in &rows.rows {
        let Some((service, written_in)) = table::split_key(&row.key) else { continue };
        let Some(record) = decode(row).filter(|_| written_in <= era) else { continue };
        let version = if written_in == era { row.version } else { TableVersion::absent(era) };
        let known = newest.get(service).map(|(known, _)| *known);
        if known < Some(written_in) {
            newest.insert(service.to_owned(), (written_in, StoredRecord { record, version }));
        }
    }
    newest.into_iter().map(|(service, (_, written))| (service, written)).collect()
}

fn decode(row: &Row) -> Option<Record> {
    let decoded = serde_json::from_slice(row.value.as_deref()?);
    let report = |error: &serde_json::Error| {
        let error = format!("malformed rollout record: {error}");
        event::emit(&Event::DocumentRejected { error });
    };
    decoded.inspect_err(report).ok()
}
