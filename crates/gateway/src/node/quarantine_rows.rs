//! Persists quarantined requests in a table of the platform, so that they survive a restart of all
//! nodes.
//!
//! The owner of a service (the aggregator that owns its name) writes its decisions, one row for
//! each refused request. A node that becomes an owner reads the rows once, sends them to the other
//! nodes, and removes expired rows. Writing a row twice is harmless. After the table service was
//! restored from an older copy, an owner rewrites its verdicts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::quarantine::{
    Fingerprint, QUARANTINE_PERIOD_MS, Standing, Verdict,
};
use serde::{Deserialize, Serialize};

use super::back_off::BackOff;
use super::{Node, peers, table};
use crate::event::{self, Event};
use crate::port::{Row, TableError, TableName, Transaction, Write};
use crate::runtime;

const TABLE: &str = "quarantine";
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between checks for rows to read or write.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum number of rows written or removed in one transaction; the platform accepts a hundred.
const MAX_WRITES: usize = 90;

/// The row of a refused request. Its key is the fingerprint of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantineRow {
    /// The short name of the service.
    service: u64,
    /// The time until which the request is refused, on the table service's clock.
    until: Millis,
    /// The number of servers that crashed while serving the request.
    servers_crashed: u32,
}

/// A time on the table service's clock, paired with the time on this node's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    era: Era,
    table_time: Millis,
    node_time: Millis,
}

impl ClockReading {
    fn get(&self, now: Millis) -> Millis {
        self.table_time + now.saturating_sub(self.node_time)
    }
}

/// Reads and writes the rows until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    let mut clock = None;
    let mut back_off = BackOff::default();
    loop {
        runtime::sleep(POLL_INTERVAL).await;
        let Err(error) = step(&node, &mut clock).await else {
            back_off.reset();
            continue;
        };
        event::emit(&Event::TableCallFailed { what: TABLE, error: error.to_string() });
        back_off.wait().await;
    }
}

/// Loads the rows when this node becomes an owner or has decided; afterwards, writes its decisions.
async fn step(node: &Arc<Node>, clock: &mut Option<ClockReading>) -> Result<(), TableError> {
    let era = node.with(|state| state.eras.get());
    let Some(known) = clock.filter(|known| known.era == era) else {
        // A node that has decided may have ceased to be the owner before it read the rows.
        if is_owner(node) || node.with(|state| state.quarantine.has_unsaved()) {
            *clock = Some(load(node).await?);
            let now = node.now();
            node.with(|state| {
                if state.eras.is_restored() {
                    // The rows of earlier decisions may be lost.
                    state.quarantine.save_all(now);
                }
            });
        }
        return Ok(());
    };
    loop {
        // Verdicts that were decided together outlast the nodes together.
        let verdicts = node.with(|state| state.quarantine.take_unsaved(MAX_WRITES));
        if verdicts.is_empty() {
            return Ok(());
        }
        if let Err(error) = commit(node, make_writes(node, known, &verdicts)).await {
            node.with(|state| {
                verdicts.into_iter().for_each(|verdict| state.quarantine.save(verdict));
            });
            return Err(error);
        }
    }
}

/// Makes the writes of verdicts, the last one for each fingerprint.
fn make_writes(node: &Node, clock: ClockReading, verdicts: &[Verdict]) -> Vec<Write> {
    let now = clock.get(node.now());
    let last: BTreeMap<Fingerprint, &Verdict> =
        verdicts.iter().map(|verdict| (verdict.fingerprint, verdict)).collect();
    last.into_values().map(|verdict| make_write(verdict, now + verdict.left)).collect()
}

/// Returns `true` if this node owns a service.
fn is_owner(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| {
        let Some(configuration) = &state.configuration else { return false };
        let mut services = configuration.services.keys();
        let is_settled = state.members.is_settled(now);
        is_settled && services.any(|service| state.members.is_owner(short_id(service)))
    })
}

/// Applies the rows that are still valid, and removes the expired ones.
async fn load(node: &Arc<Node>) -> Result<ClockReading, TableError> {
    let asked_at = node.now();
    let rows = table::read_all(node, TableName::Internal(TABLE), CALL_TIMEOUT).await?;
    let mut removals = Vec::new();
    for row in &rows.rows {
        match decode(row) {
            Some((fingerprint, refused)) if rows.table_time < refused.until => {
                // The clock of a restored copy may be behind the clock that set the time in the
                // row.
                let left = (refused.until - rows.table_time).min(QUARANTINE_PERIOD_MS);
                peers::quarantine::apply_persisted(node, make_verdict(fingerprint, refused, left));
            }
            Some(_) => removals.push(make_removal(row.key.clone())),
            None => {
                let error = format!("malformed row in table {TABLE}: {}", row.key);
                event::emit(&Event::DocumentRejected { error });
            }
        }
    }
    removals.truncate(MAX_WRITES);
    if !removals.is_empty() {
        commit(node, removals).await?;
    }
    Ok(ClockReading { era: rows.version.era, table_time: rows.table_time, node_time: asked_at })
}

async fn commit(node: &Node, writes: Vec<Write>) -> Result<(), TableError> {
    let transaction = Transaction { conditions: Vec::new(), writes };
    table::commit(node, transaction, CALL_TIMEOUT).await.map(|_| ())
}

fn make_write(verdict: &Verdict, until: Millis) -> Write {
    let key = verdict.fingerprint.to_string();
    if verdict.standing == Standing::Cleared {
        return make_removal(key);
    }
    let Verdict { service, servers_crashed, .. } = *verdict;
    let value = serde_json::to_vec(&QuarantineRow { service, until, servers_crashed }).ok();
    Write { table: TableName::Internal(TABLE), key, value }
}

fn make_removal(key: String) -> Write {
    Write { table: TableName::Internal(TABLE), key, value: None }
}

fn make_verdict(fingerprint: Fingerprint, refused: QuarantineRow, left: Millis) -> Verdict {
    let QuarantineRow { service, servers_crashed, .. } = refused;
    Verdict { fingerprint, service, standing: Standing::Quarantined, left, servers_crashed }
}

fn decode(row: &Row) -> Option<(Fingerprint, QuarantineRow)> {
    let refused = serde_json::from_slice(row.value.as_deref()?).ok()?;
    let number = u64::from_str_radix(&row.key, 16).ok()?;
    Some((Fingerprint::from_number(number), refused))
}
