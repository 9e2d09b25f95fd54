//! Decides the stages of roll-outs, as the holder of the duties.
//!
//! Each decision is first written to a row of the product's own, on the condition that no other
//! holder wrote it meanwhile, and then published to the operator and to all nodes. A holder that ends
//! halfway leaves a row from which the next one goes on; it counts answers anew from what the nodes
//! report, and never takes a verdict back. Only a roll-back is announced to nodes before it is written:
//! nothing more should reach a bad version, and a stage never goes back.
//!
//! After a return of the table service from an older copy a row may hold an earlier stage than the nodes know, or
//! be gone. What is known goes on, and is written again under the order's new number.

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
const CALL_WITHIN: Duration = Duration::from_millis(500);
/// The pause after a call of the table service failed.
const FAILED_PAUSE: Millis = 300;

/// What the holder of the duties knows of the roll-outs.
#[derive(Debug, Default)]
pub struct RolloutDuty {
    fence: Option<u64>,
    /// The era of the rows that were read.
    era: Era,
    clock: Option<TableClock>,
    records: BTreeMap<String, Written>,
    progress: BTreeMap<String, (TableVersion, Progress)>,
    statuses: Statuses,
    paused_until: Millis,
}

/// How far a roll-out has come, as the table keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// The number of the order, in its era.
    order: u64,
    #[serde(default)]
    era: Era,
    target_version: String,
    /// When the first holder began with it, on the table's clock.
    began_at: Millis,
    stage: Stage,
    /// Versions of earlier orders that were never completed.
    barred: Vec<String>,
}

/// A record with the version of its row.
#[derive(Clone, Debug)]
struct Written {
    record: Record,
    version: TableVersion,
}

impl Record {
    fn get_order(&self) -> TableVersion {
        TableVersion::new(self.era, self.order)
    }
}

/// Why a stage was decided, for the log.
struct Reason {
    why: &'static str,
    route: Option<String>,
    in_flight: u32,
}

impl RolloutDuty {
    /// Decides what is due. While nothing is ordered this calls nothing.
    pub async fn step(&mut self, node: &Node) {
        let now = node.now();
        let orders = node.with(|state| state.rollouts.list_orders());
        if orders.is_empty() || now < self.paused_until {
            return;
        }
        let is_done = match self.load(node).await {
            true => self.step_all(node, orders).await,
            false => false,
        };
        if !is_done {
            // A write may have been done or may still be: read the rows before the next try.
            self.fence = None;
            self.paused_until = node.now() + FAILED_PAUSE;
        }
    }

    /// Reads what earlier holders decided, once for each time that the lease is taken.
    async fn load(&mut self, node: &Node) -> bool {
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence.is_none() {
            return false;
        }
        if fence == self.fence {
            return true;
        }
        let asked_at = node.now();
        let reading = table::read_all(node, TableName::Internal(TABLE), CALL_WITHIN);
        let Ok(rows) = reading.await else { return false };
        let era = rows.version.era;
        let is_return = era != self.era;
        *self = Self {
            fence,
            era,
            clock: Some(TableClock { asked_at, table_time: rows.table_time }),
            records: decode_all(&rows),
            statuses: match is_return {
                true => Statuses::default(),
                false => std::mem::take(&mut self.statuses).forget_written(),
            },
            ..Self::default()
        };
        true
    }

    /// Advances all roll-outs; returns `false` where a write did not succeed.
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

    /// Publishes the stage that is written.
    async fn publish(&mut self, node: &Node, order: &Order) -> bool {
        let Some(written) = self.records.get(&order.service) else { return true };
        self.statuses.publish(node, self.era, order, written.record.stage).await
    }

    /// Returns the record of an order, also where the order got its number in an earlier era.
    fn find_record(&self, order: &Order) -> Option<&Record> {
        let record = &self.records.get(&order.service)?.record;
        let is_earlier = record.era < order.number.era;
        let is_carried = is_earlier && record.target_version == order.target_version;
        (is_carried || record.get_order() == order.number).then_some(record)
    }

    /// Advances a roll-out of which the nodes know a stage; returns `false` where a write did not succeed.
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
            bar_earlier(node, order, &earlier.record);
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
        let Some(report) = sum_all(node, order) else { return true };
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
        let Some((next, reason)) = get_stage(progress.1.step(&snapshot)) else { return true };
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
            table::replace(node, TableName::Internal(TABLE), &key, version, value, CALL_WITHIN);
        let Ok(rows) = writing.await.inspect_err(note_failure) else {
            return false;
        };
        let written = Written { record, version: rows.version };
        self.records.insert(service.to_owned(), written);
        true
    }
}

fn note_failure(error: &TableError) {
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

/// Returns the stage that follows, and why; `None` where it stays.
fn get_stage(next: Action) -> Option<(Stage, Reason)> {
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

/// Announces a stage to all nodes, this one first.
fn announce(node: &Node, order: &Order, stage: Stage) {
    let now = node.now();
    node.with(|state| state.rollouts.confirm_stage(now, &order.service, order.number, stage));
    let barred = node.with(|state| state.rollouts.list_barred(&order.service));
    let announcement = Announcement { order: order.clone(), stage, age: Some(0), barred };
    node.notify_peers(Notification::RolloutChanged(announcement));
}

/// Bars the versions of earlier orders, as the table keeps them: nodes that all started again know
/// the newest order only.
fn bar_earlier(node: &Node, order: &Order, earlier: &Record) {
    let mut barred = earlier.barred.clone();
    if earlier.stage != Stage::Completed {
        barred.push(earlier.target_version.clone());
    }
    node.with(|state| state.rollouts.bar(&order.service, order.number, &barred));
}

fn sum_all(node: &Node, order: &Order) -> Option<Report> {
    node.with(|state| {
        let in_flight = |order: &Order| state.count_on_other_versions(order);
        state.rollouts.sum_all(&order.service, in_flight)
    })
}

/// Counts the servers of the new version and the others that take requests.
fn count_servers(node: &Node, order: &Order) -> (usize, usize) {
    node.with(|state| {
        let ready = state.directory.iter_ready(&order.service);
        let (target, others): (Vec<_>, Vec<_>) =
            ready.partition(|server| state.rollouts.is_target(server));
        let is_usable = |server: &&&_| state.rollouts.is_allowed(VersionFilter::Others, server);
        (target.len(), others.iter().filter(is_usable).count())
    })
}

/// Decodes the newest record of each service. One of an earlier era is replaced by a row of this one.
fn decode_all(rows: &Rows) -> BTreeMap<String, Written> {
    let era = rows.version.era;
    let mut newest: BTreeMap<String, (Era, Written)> = BTreeMap::new();
    for row in &rows.rows {
        let Some((service, written_in)) = table::split_key(&row.key) else { continue };
        let Some(record) = decode(row).filter(|_| written_in <= era) else { continue };
        let version = if written_in == era { row.version } else { TableVersion::absent(era) };
        let known = newest.get(service).map(|(known, _)| *known);
        if known < Some(written_in) {
            newest.insert(service.to_owned(), (written_in, Written { record, version }));
        }
    }
    newest.into_iter().map(|(service, (_, written))| (service, written)).collect()
}

fn decode(row: &Row) -> Option<Record> {
    let decoded = serde_json::from_slice(row.value.as_deref()?);
    let report = |error: &serde_json::Error| {
        let error = format!("the record of a roll-out cannot be read: {error}");
        event::emit(&Event::DocumentRejected { error });
    };
    decoded.inspect_err(report).ok()
}
