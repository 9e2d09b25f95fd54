//! Keeps which requests crash servers in the platform's table, so that all nodes may end at once.
//!
//! The keepers of the services write what they decide, a row for each request that is refused. A node
//! that becomes a keeper reads the rows once, sends them to the other nodes, and removes rows that have ended. A
//! row may be written twice without harm. After a return of the table service from an older copy a keeper
//! writes again what it knows.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::quarantine::{Fingerprint, QUARANTINE_PERIOD, Standing, Verdict};
use serde::{Deserialize, Serialize};

use super::pause::Pause;
use super::{Node, peers, table};
use crate::event::{self, Event};
use crate::port::{Row, TableError, TableName, Transaction, Write};
use crate::runtime;

const TABLE: &str = "quarantine";
const CALL_WITHIN: Duration = Duration::from_millis(500);
/// The time between two looks whether there is something to read or write.
const LOOK: Duration = Duration::from_millis(200);
/// The most rows that are removed in one transaction; the platform takes a hundred.
const MOST_REMOVED: usize = 90;

/// A request that is refused, as its row holds it; the key is the fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Refused {
    /// The short name of the service.
    service: u64,
    /// The time on the table service's clock until which the request is refused.
    until: Millis,
    /// Servers that crashed under the request.
    servers_crashed: u32,
}

/// A time on the table service's clock, with the time on this node's clock.
#[derive(Clone, Copy, Debug)]
struct TableClock {
    era: Era,
    table_time: Millis,
    node_time: Millis,
}

impl TableClock {
    fn get(&self, now: Millis) -> Millis {
        self.table_time + now.saturating_sub(self.node_time)
    }
}

/// Reads and writes rows for as long as the process runs.
pub(super) async fn run(node: Arc<Node>) {
    let mut clock = None;
    let mut pause = Pause::default();
    loop {
        runtime::sleep(LOOK).await;
        let Err(error) = step(&node, &mut clock).await else {
            pause.reset();
            continue;
        };
        event::emit(&Event::TableCallFailed { what: TABLE, error: error.to_string() });
        pause.wait().await;
    }
}

/// Reads the rows, once this node keeps evidence; after that, writes what it has decided.
async fn step(node: &Arc<Node>, clock: &mut Option<TableClock>) -> Result<(), TableError> {
    let era = node.with(|state| state.eras.get());
    let Some(known) = clock.filter(|known| known.era == era) else {
        if is_keeper(node) {
            *clock = Some(load(node).await?);
            let now = node.now();
            node.with(|state| {
                if state.eras.is_restored() {
                    // The rows of what was decided before may be gone.
                    state.quarantine.save_all(now);
                }
            });
        }
        return Ok(());
    };
    while let Some(verdict) = node.with(|state| state.quarantine.take_unsaved()) {
        let until = known.get(node.now()) + verdict.left;
        if let Err(error) = commit(node, vec![make_write(&verdict, until)]).await {
            node.with(|state| state.quarantine.save(verdict));
            return Err(error);
        }
    }
    Ok(())
}

/// Returns `true` if this node keeps the evidence of a service.
fn is_keeper(node: &Node) -> bool {
    let now = node.now();
    node.with(|state| {
        let Some(configuration) = &state.configuration else { return false };
        let mut services = configuration.services.keys();
        let is_settled = state.members.is_settled(now);
        is_settled && services.any(|service| state.members.is_owner(short_id(service)))
    })
}

/// Takes over the rows that hold, and removes the others.
async fn load(node: &Arc<Node>) -> Result<TableClock, TableError> {
    let asked_at = node.now();
    let rows = table::read_all(node, TableName::Internal(TABLE), CALL_WITHIN).await?;
    let mut removals = Vec::new();
    for row in &rows.rows {
        match decode(row) {
            Some((fingerprint, refused)) if rows.table_time < refused.until => {
                // The clock of an older copy may be behind the one that the row was written by.
                let left = (refused.until - rows.table_time).min(QUARANTINE_PERIOD);
                peers::quarantine::take_kept(node, make_verdict(fingerprint, refused, left));
            }
            Some(_) => removals.push(make_removal(row.key.clone())),
            None => {
                let error = format!("a row of {TABLE} cannot be read: {}", row.key);
                event::emit(&Event::DocumentRejected { error });
            }
        }
    }
    removals.truncate(MOST_REMOVED);
    if !removals.is_empty() {
        commit(node, removals).await?;
    }
    Ok(TableClock { era: rows.version.era, table_time: rows.table_time, node_time: asked_at })
}

async fn commit(node: &Node, writes: Vec<Write>) -> Result<(), TableError> {
    let transaction = Transaction { conditions: Vec::new(), writes };
    table::commit(node, transaction, CALL_WITHIN).await.map(|_| ())
}

fn make_write(verdict: &Verdict, until: Millis) -> Write {
    let key = verdict.fingerprint.to_string();
    if verdict.standing == Standing::Cleared {
        return make_removal(key);
    }
    let Verdict { service, servers_crashed, .. } = *verdict;
    let value = serde_json::to_vec(&Refused { service, until, servers_crashed }).ok();
    Write { table: TableName::Internal(TABLE), key, value }
}

fn make_removal(key: String) -> Write {
    Write { table: TableName::Internal(TABLE), key, value: None }
}

fn make_verdict(fingerprint: Fingerprint, refused: Refused, left: Millis) -> Verdict {
    let Refused { service, servers_crashed, .. } = refused;
    Verdict { fingerprint, service, standing: Standing::Quarantined, left, servers_crashed }
}

fn decode(row: &Row) -> Option<(Fingerprint, Refused)> {
    let refused = serde_json::from_slice(row.value.as_deref()?).ok()?;
    let number = u64::from_str_radix(&row.key, 16).ok()?;
    Some((Fingerprint::from_number(number), refused))
}
