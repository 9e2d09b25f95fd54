//! Publishes the stages of rollouts to the operator.
//!
//! The status row belongs to the operator and has the same key in all eras of the table service. A
//! write that was sent before the service was restored from an older copy may therefore be applied
//! afterwards and put an earlier stage there. For some time after a restore, the duty holder
//! rewrites the status at intervals.

use std::collections::BTreeMap;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::rollout::{Order, Stage, Status};
use keeljunction_core::serving::table_version::TableVersion;

use super::{Node, table};
use crate::event::{self, Event};
use crate::port::{TableError, TableName};

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after a restore of the table service during which earlier writes may still be applied.
const LATE_WRITE_WINDOW_MS: Millis = 10_000;
/// The interval between rewrites of a status during that time.
const STATUS_REWRITE_INTERVAL_MS: Millis = 1_000;

/// The last published statuses, by service.
#[derive(Debug, Default)]
pub(super) struct Statuses(BTreeMap<String, PublishedStatus>);

/// A published status.
#[derive(Clone, Copy, Debug)]
struct PublishedStatus {
    /// The version of its row.
    version: TableVersion,
    /// The order and stage that this holder wrote; `None` if it has not written yet.
    written: Option<(TableVersion, Stage)>,
    /// When it was last written, on this node's clock.
    written_at: Millis,
}

impl Statuses {
    /// Discards the statuses that this node wrote as an earlier holder, and keeps the versions of the rows.
    pub fn forget_written(self) -> Self {
        let forget = |(service, status)| (service, PublishedStatus { written: None, ..status });
        Self(self.0.into_iter().map(forget).collect())
    }

    /// Publishes a stage if it was not published yet or if a late write may have replaced it;
    /// returns `false` if the write failed.
    pub async fn publish(&mut self, node: &Node, era: Era, order: &Order, stage: Stage) -> bool {
        let absent = TableVersion::absent(era);
        let unknown = PublishedStatus { version: absent, written: None, written_at: 0 };
        let mut status = self.0.get(&order.service).copied().unwrap_or(unknown);
        let is_written = status.written == Some((order.number, stage));
        if is_written && !is_rewrite_due(node, &status) {
            return true;
        }
        let row = (node.platform.rollout_codec.encode_status)(&Status {
            service: order.service.clone(),
            target_version: order.target_version.clone(),
            stage,
        });
        let (name, value) = (TableName::Status, Some(row.value));
        let writing = table::replace(node, name, &row.key, status.version, value, CALL_TIMEOUT);
        match writing.await.inspect_err(emit_failure) {
            Ok(rows) => {
                let written = Some((order.number, stage));
                status = PublishedStatus { version: rows.version, written, written_at: node.now() };
            }
            // Another writer replaced it: write it again in the next step.
            Err(TableError::Conflict(rows)) => {
                let found = rows.rows.iter().find(|found| found.key == row.key);
                let version = found.map_or(absent, |row| row.version);
                status = PublishedStatus { version, written: None, ..status };
            }
            Err(_) => return false,
        }
        self.0.insert(order.service.clone(), status);
        true
    }
}

/// Returns `true` if a written status must be rewritten.
fn is_rewrite_due(node: &Node, status: &PublishedStatus) -> bool {
    let now = node.now();
    let era_age = node.with(|state| state.eras.get_age(now));
    let is_restore_recent = era_age.is_some_and(|age| age < LATE_WRITE_WINDOW_MS);
    is_restore_recent && now >= status.written_at + STATUS_REWRITE_INTERVAL_MS
}

fn emit_failure(error: &TableError) {
    event::emit(&Event::TableCallFailed { what: "status of a roll-out", error: error.to_string() });
}
