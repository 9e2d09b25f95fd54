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

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::duty_lease::TableClock;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::rollout::{
    Action, Announcement, Order, Outcome, Progress, Report, Snapshot, Stage, Standing, Standings,
    VersionFilter,
};
use keeljunction_core::serving::table_version::TableVersion;

use super::peers::message::Notification;
use super::rollout_record::{CALL_TIMEOUT, Record, StoredRecord, TABLE, decode_all};
use super::rollout_status::Statuses;
use super::{Node, table};
use crate::event::{self, Event};
use crate::port::{TableError, TableName};

/// The backoff after a failed call to the table service.
const FAILURE_BACK_OFF_MS: Millis = 300;

/// The quantile of the latencies that is logged with a decision.
const LOGGED_QUANTILE: f64 = 0.9;

/// The duty holder's state of the rollouts.
#[derive(Debug, Default)]
pub struct RolloutController {
    fence: Option<u64>,
    /// The era of the rows that were read.
    era: Era,
    clock: Option<TableClock>,
    records: BTreeMap<String, StoredRecord>,
    tracks: BTreeMap<String, Track>,
    statuses: Statuses,
    back_off_until: Millis,
}

/// What this holder follows of an order.
#[derive(Debug)]
struct Track {
    number: TableVersion,
    /// When this holder first saw the order, on the table service's clock.
    seen_at: Millis,
    progress: Progress,
}

/// Why a stage was decided, for the event log.
struct Reason {
    why: &'static str,
    route: Option<String>,
    in_flight: u32,
}

impl Track {
    fn new(number: TableVersion, seen_at: Millis) -> Self {
        Self { number, seen_at, progress: Progress::default() }
    }
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

    /// Publishes the stored stage of an order.
    async fn publish(&mut self, node: &Node, order: &Order) -> bool {
        let Some(stage) = self.find_record(order).map(|record| record.stage) else { return true };
        self.statuses.publish(node, self.era, order, stage).await
    }

    /// Returns the record of an order, including one whose order was numbered in an earlier era.
    fn find_record(&self, order: &Order) -> Option<&Record> {
        let record = &self.records.get(&order.service)?.record;
        record.is_of(order).then_some(record)
    }

    /// Advances a rollout whose stage the nodes know as `known_stage`; returns `false` if a write
    /// failed.
    async fn step_one(&mut self, node: &Node, order: &Order, known_stage: Stage) -> bool {
        let now = node.now();
        let Some(clock) = self.clock else { return false };
        let table_time = clock.latest_at(now);
        let known = self.find_record(order).cloned();
        let stage = known.as_ref().map_or(Stage::Pending, |record| record.stage).max(known_stage);
        let (service, number) = (&order.service, order.number);
        if known.is_some() {
            node.with(|state| state.rollouts.confirm_stage(now, service, number, stage));
        }
        let was_accepted = self.resolve_standings(node, order);
        let seen_at = self.track(order, table_time).seen_at;
        let began_at = known.as_ref().map_or(seen_at, |record| record.began_at);
        let is_written = known
            .as_ref()
            .is_some_and(|record| record.get_order() == order.number && record.stage == stage);
        if stage > Stage::Pending && !is_written {
            let standings = node.with(|state| state.rollouts.get_standings(service));
            let record = Record::new(order, began_at, stage, standings);
            return self.write_record(node, service, record).await;
        }
        if stage.is_final() {
            return true;
        }
        let Some(report) = sum_reports(node, order) else { return true };
        let elapsed = table_time.saturating_sub(began_at);
        let snapshot = take_snapshot(node, order, stage, elapsed, &report, was_accepted);
        let action = self.track(order, table_time).progress.step(&snapshot);
        let Some((next, reason)) = get_next_stage(action) else { return true };
        self.emit(node, order, next, &reason, &snapshot);
        let standings = list_standings(node, order, stage);
        let record = Record::new(order, began_at, next, standings);
        if next == Stage::RolledBack {
            announce(node, order, next);
        }
        if !self.write_record(node, service, record).await {
            return false;
        }
        announce(node, order, next);
        true
    }

    /// Resolves the outcomes of earlier orders from the stored record. Returns `true` if the target
    /// version was accepted before this order.
    fn resolve_standings(&self, node: &Node, order: &Order) -> bool {
        let stored = self.records.get(&order.service);
        let recorded = stored.map(|stored| stored.record.list_standings(order)).unwrap_or_default();
        node.with(|state| {
            state.rollouts.resolve_standings(&order.service, order.number, &recorded);
        });
        recorded.get(&order.target_version) == Some(Outcome::Accepted)
    }

    /// Returns this holder's track of an order.
    fn track(&mut self, order: &Order, table_time: Millis) -> &mut Track {
        let new = || Track::new(order.number, table_time);
        let track = self.tracks.entry(order.service.clone()).or_insert_with(new);
        if track.number != order.number {
            *track = new();
        }
        track
    }

    fn emit(
        &self,
        node: &Node,
        order: &Order,
        stage: Stage,
        reason: &Reason,
        snapshot: &Snapshot<'_>,
    ) {
        event::emit(&Event::RolloutDecided {
            service: &order.service,
            target_version: &order.target_version,
            order: order.number.to_string(),
            stage: stage.as_str(),
            why: reason.why,
            route: reason.route.as_deref(),
            answers: snapshot.tallies.count_target(),
            target_p90_ms: snapshot.tallies.get_first_token_quantile(true, LOGGED_QUANTILE),
            others_p90_ms: snapshot.tallies.get_first_token_quantile(false, LOGGED_QUANTILE),
            in_flight: reason.in_flight,
            elapsed_ms: snapshot.elapsed,
            duration_ms: snapshot.duration,
            target_servers: snapshot.target_servers,
            other_servers: snapshot.other_servers,
            standings: &node.with(|state| state.rollouts.get_standings(&order.service)),
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

/// Lists the standings of the versions of a service. When an order begins, the versions that are
/// listed without one are in service.
fn list_standings(node: &Node, order: &Order, stage: Stage) -> Standings {
    node.with(|state| {
        let mut standings = state.rollouts.get_standings(&order.service);
        if stage > Stage::Pending {
            return standings;
        }
        let accepted = Standing { number: order.number, outcome: Outcome::Accepted };
        for server in state.directory.iter_service(&order.service) {
            if server.version != order.target_version && standings.get(&server.version).is_none() {
                standings.record(&server.version, accepted);
            }
        }
        standings
    })
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
    let standings = node.with(|state| state.rollouts.get_standings(&order.service));
    let announcement = Announcement { order: order.clone(), stage, age: Some(0), standings };
    node.notify_peers(Notification::RolloutChanged(announcement));
}

fn sum_reports(node: &Node, order: &Order) -> Option<Report> {
    node.with(|state| {
        let in_flight = |order: &Order| state.count_in_flight_on_other_versions(order);
        state.rollouts.sum_all(&order.service, in_flight)
    })
}

/// Returns the known state of a rollout. `was_accepted` is `true` if the target version was accepted
/// before this order.
fn take_snapshot<'a>(
    node: &Node,
    order: &Order,
    stage: Stage,
    elapsed: Millis,
    report: &'a Report,
    was_accepted: bool,
) -> Snapshot<'a> {
    let servers = count_servers(node, order);
    let was_only = node.with(|state| state.rollouts.was_only_version(&order.service));
    Snapshot {
        stage,
        duration: order.duration,
        elapsed,
        tallies: &report.tallies,
        target_servers: servers.target,
        other_servers: servers.others,
        has_listed_others: servers.has_listed_others,
        was_in_service: was_only || was_accepted,
        in_flight: report.in_flight,
    }
}

/// The servers of a service during a rollout.
struct ServerCount {
    /// Ready servers of the target version.
    target: usize,
    /// Ready servers of other versions. Those of versions that may have been withdrawn count only
    /// if there are no others.
    others: usize,
    /// Whether any server of another version is listed that was not withdrawn.
    has_listed_others: bool,
}

fn count_servers(node: &Node, order: &Order) -> ServerCount {
    node.with(|state| {
        let (directory, rollouts) = (&state.directory, &state.rollouts);
        let count = |filter| {
            let ready = directory.iter_ready(&order.service);
            ready.filter(|server| rollouts.is_allowed(filter, server)).count()
        };
        let others = match count(VersionFilter::Others) {
            0 => count(VersionFilter::Unresolved),
            settled => settled,
        };
        let is_other = |server: &Server| {
            !rollouts.is_target(server) && rollouts.is_allowed(VersionFilter::Any, server)
        };
        ServerCount {
            target: count(VersionFilter::Target),
            others,
            has_listed_others: directory.iter_service(&order.service).any(is_other),
        }
    })
}
