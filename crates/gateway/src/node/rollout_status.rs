//! Publishes the stages of roll-outs to the operator.
//!
//! The row of a status is the operator's and has the same key in all eras of the table service, so that a write that
//! was sent before a return may be done after it and put an earlier stage there. For some time after a return the
//! holder of the duties therefore writes the status again and again.

use std::collections::BTreeMap;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::rollout::{Order, Stage, Status};
use keeljunction_core::serving::table_version::TableVersion;

use super::{Node, table};
use crate::event::{self, Event};
use crate::port::{TableError, TableName};

const CALL_WITHIN: Duration = Duration::from_millis(500);
/// The time after a return of the table service within which a write that was sent before it may still be done.
const LATE_WRITES_WITHIN: Millis = 10_000;
/// The time between two writes of a status in that time.
const STATUS_AGAIN: Millis = 1_000;

/// The statuses as the holder of the duties last published them, by service.
#[derive(Debug, Default)]
pub(super) struct Statuses(BTreeMap<String, Published>);

/// A status that was published.
#[derive(Clone, Copy, Debug)]
struct Published {
    /// The version of its row.
    version: TableVersion,
    /// The order and stage that this holder has written there; `None` where it has written nothing yet.
    written: Option<(TableVersion, Stage)>,
    /// When it was last written, on this node's clock.
    written_at: Millis,
}

impl Statuses {
    /// Forgets what this node wrote as an earlier holder, and keeps the versions of the rows.
    pub fn forget_written(self) -> Self {
        let forget = |(service, status)| (service, Published { written: None, ..status });
        Self(self.0.into_iter().map(forget).collect())
    }

    /// Publishes a stage, where that was not done yet or where a late write may have replaced it; returns `false` where
    /// the write did not succeed.
    pub async fn publish(&mut self, node: &Node, era: Era, order: &Order, stage: Stage) -> bool {
        let absent = TableVersion::absent(era);
        let unknown = Published { version: absent, written: None, written_at: 0 };
        let mut status = self.0.get(&order.service).copied().unwrap_or(unknown);
        let is_written = status.written == Some((order.number, stage));
        if is_written && !is_due_again(node, &status) {
            return true;
        }
        let row = (node.platform.rollout_codec.encode_status)(&Status {
            service: order.service.clone(),
            target_version: order.target_version.clone(),
            stage,
        });
        let (name, value) = (TableName::Status, Some(row.value));
        let writing = table::replace(node, name, &row.key, status.version, value, CALL_WITHIN);
        match writing.await.inspect_err(note_failure) {
            Ok(rows) => {
                let written = Some((order.number, stage));
                status = Published { version: rows.version, written, written_at: node.now() };
            }
            // Another writer replaced it: write it again with the next step.
            Err(TableError::Conflict(rows)) => {
                let found = rows.rows.iter().find(|found| found.key == row.key);
                let version = found.map_or(absent, |row| row.version);
                status = Published { version, written: None, ..status };
            }
            Err(_) => return false,
        }
        self.0.insert(order.service.clone(), status);
        true
    }
}

/// Returns `true` if a status that is written should be written again.
fn is_due_again(node: &Node, status: &Published) -> bool {
    let now = node.now();
    let era_age = node.with(|state| state.eras.get_age(now));
    let is_return_recent = era_age.is_some_and(|age| age < LATE_WRITES_WITHIN);
    is_return_recent && now >= status.written_at + STATUS_AGAIN
}

fn note_failure(error: &TableError) {
    event::emit(&Event::TableCallFailed { what: "status of a roll-out", error: error.to_string() });
}
