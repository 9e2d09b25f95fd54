//! Persists which software versions may be running streams in a table of the platform, so that a
//! restart of all nodes does not forget a version that has just vanished.
//!
//! The holder of the duty lease keeps one row for each service, and writes it when a version appears
//! or its last stream has ended. Each node reads the rows after its start, and again after the table
//! service was restored from an older copy. The rows tell no times: a version that is not listed
//! counts as seen when its row is read, so a new holder keeps it for the whole time again.
//!
//! A row is written only if it is unchanged since this node read it, so that no holder drops a
//! version that another one has added.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::back_off::{BackOff, jitter};
use super::{Node, table, versions};
use crate::event::{self, Event};
use crate::port::{Row, TableError, TableName};
use crate::runtime;

const TABLE: &str = "versions";
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The interval between checks for rows to read or write.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The delay of a read after a start or a restore, which all nodes may see at the same time.
const READ_DELAY: Duration = Duration::from_millis(1_000);
/// The delay of a read after one that failed. The nodes may be many.
const READ_RETRY_DELAY: Duration = Duration::from_millis(3_000);

/// The row of a service. Its key is the name of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRow {
    /// The versions that may be running streams.
    versions: BTreeSet<String>,
}

/// A row as it was last read or written.
#[derive(Clone, Debug)]
struct KnownRow {
    version: TableVersion,
    /// The content; `None` if it is malformed.
    row: Option<VersionRow>,
}

/// The rows that a holder of the duty lease knows.
#[derive(Clone, Debug)]
struct KnownRows {
    fence: u64,
    era: Era,
    rows: BTreeMap<String, KnownRow>,
}

/// A row whose content is outdated.
struct Outdated {
    service: String,
    /// The versions to be written; none if the row is to be removed.
    versions: BTreeSet<String>,
    /// The version of the row in the table.
    version: TableVersion,
}

/// Reads the rows once in each era of the table service.
pub(super) async fn read(node: Arc<Node>) {
    let mut read_in = None;
    loop {
        runtime::sleep(POLL_INTERVAL).await;
        if read_in == Some(node.with(|state| state.eras.get())) {
            continue;
        }
        runtime::sleep(jitter(READ_DELAY)).await;
        match read_rows(&node, Merge::All).await {
            Ok((era, _)) => read_in = Some(era),
            Err(error) => {
                emit_failure(&error);
                runtime::sleep(jitter(READ_RETRY_DELAY)).await;
            }
        }
    }
}

/// Which versions of the rows are added to the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Merge {
    /// All. Those that are not listed count as seen now.
    All,
    /// Those that the history does not have as possible.
    Missing,
    /// None.
    Nothing,
}

/// Writes the rows while this node holds the duty lease.
pub(super) async fn write(node: Arc<Node>) {
    let mut known = None;
    let mut back_off = BackOff::default();
    loop {
        runtime::sleep(POLL_INTERVAL).await;
        match step(&node, &mut known).await {
            Ok(()) => back_off.reset(),
            Err(error) => {
                // The rows may have changed, and the outcome of a write may be unknown.
                known = None;
                emit_failure(&error);
                back_off.wait().await;
            }
        }
    }
}

/// Reads the rows when this node becomes the holder of the lease; afterwards, writes those that
/// differ from what it knows.
async fn step(node: &Node, known: &mut Option<KnownRows>) -> Result<(), TableError> {
    let now = node.now();
    let (fence, era) = node.with(|state| (state.lease.get_fence(now), state.eras.get()));
    let Some(fence) = fence else {
        *known = None;
        return Ok(());
    };
    let current = match known.take().filter(|known| (known.fence, known.era) == (fence, era)) {
        Some(current) => current,
        None => {
            let (era, rows) = read_rows(node, Merge::All).await?;
            KnownRows { fence, era, rows }
        }
    };
    let current = known.insert(current);
    for outdated in list_outdated(node, current) {
        let written = write_row(node, &outdated).await?;
        current.rows.insert(outdated.service, written);
    }
    Ok(())
}

/// Lists the rows whose versions are no longer the possible ones. A history that may lack versions
/// does not change them.
fn list_outdated(node: &Node, known: &KnownRows) -> Vec<Outdated> {
    let now = node.now();
    node.with(|state| {
        let history = &state.version_history;
        if !history.is_complete(now) {
            return Vec::new();
        }
        let possible = history.list_possible(now);
        let services: BTreeSet<&str> =
            possible.keys().copied().chain(known.rows.keys().map(String::as_str)).collect();
        let compared = services.into_iter().filter_map(|service| {
            let versions = possible.get(service).into_iter().flatten();
            let versions: BTreeSet<String> =
                versions.map(|version| (*version).to_owned()).collect();
            let row = known.rows.get(service);
            let written = row.and_then(|known| known.row.as_ref()).map(|row| &row.versions);
            let is_current = match row {
                Some(_) => written == Some(&versions),
                None => versions.is_empty(),
            };
            let version = row.map_or(TableVersion::absent(known.era), |known| known.version);
            (!is_current).then(|| Outdated { service: service.to_owned(), versions, version })
        });
        compared.collect()
    })
}

/// Writes a row, or removes it if no version of the service is possible.
async fn write_row(node: &Node, outdated: &Outdated) -> Result<KnownRow, TableError> {
    let Outdated { service, versions, version } = outdated;
    let row = VersionRow { versions: versions.clone() };
    let is_removed = versions.is_empty();
    let value = (!is_removed).then(|| json!(row).to_string().into_bytes());
    let table = TableName::Internal(TABLE);
    let written = table::replace(node, table, service, *version, value, CALL_TIMEOUT).await?;
    let names = versions.iter().map(String::as_str).collect();
    event::emit(&Event::VersionsWritten { service, versions: names });
    let version =
        if is_removed { TableVersion::absent(written.version.era) } else { written.version };
    Ok(KnownRow { version, row: Some(row) })
}

/// Reads all rows and adds their versions to the history; returns them with their era.
///
/// If a row is malformed, the history stays incomplete until all earlier streams have ended.
async fn read_rows(
    node: &Node,
    merge: Merge,
) -> Result<(Era, BTreeMap<String, KnownRow>), TableError> {
    let read = table::read_all(node, TableName::Internal(TABLE), CALL_TIMEOUT).await?;
    let rows = read.rows.iter().map(|row| {
        let known = KnownRow { version: row.version, row: decode(row) };
        (row.key.clone(), known)
    });
    let rows: BTreeMap<String, KnownRow> = rows.collect();
    if merge == Merge::Nothing {
        return Ok((read.version.era, rows));
    }
    let now = node.now();
    versions::update(node, now, |state| {
        let history = &mut state.version_history;
        for (service, known) in &rows {
            let Some(VersionRow { versions }) = &known.row else { continue };
            match merge {
                Merge::Missing => history.merge_missing(now, service, versions),
                Merge::All | Merge::Nothing => history.merge_row(now, service, versions),
            }
        }
        if rows.values().all(|known| known.row.is_some()) {
            state.version_history.record_rows_read();
        }
        rows.keys().cloned().collect()
    });
    Ok((read.version.era, rows))
}

/// Reads the rows again. Returns `true` if they were read.
///
/// The holder of the lease writes them from its own history, to which they add nothing: a row that it
/// is about to shorten would keep its versions alive.
pub(super) async fn read_again(node: &Node) -> bool {
    let now = node.now();
    let holds_lease = node.with(|state| state.lease.get_fence(now).is_some());
    let merge = if holds_lease { Merge::Nothing } else { Merge::Missing };
    let read = read_rows(node, merge).await;
    read.inspect_err(emit_failure).is_ok()
}

fn decode(row: &Row) -> Option<VersionRow> {
    let decoded = serde_json::from_slice(row.value.as_deref().unwrap_or_default());
    let decoded = decoded.inspect_err(|error| {
        let error = format!("malformed row in table {TABLE}: {}: {error}", row.key);
        event::emit(&Event::DocumentRejected { error });
    });
    decoded.ok()
}

fn emit_failure(error: &TableError) {
    event::emit(&Event::TableCallFailed { what: TABLE, error: error.to_string() });
}
