//! Calls the table service, and follows its eras.
//!
//! All calls pass here. An answer of an earlier era than the newest one that is known counts as none, and
//! neither does a write under a condition that names a version of an earlier era: the number may be that of
//! another row by now.
//!
//! A write that was sent before a return may still be done after it. Rows that are written under a condition
//! therefore have a key for each era ([`era_key`]), under which nothing of an earlier era is written.

use std::time::Duration;

use keeljunction_core::serving::era::{Era, Origin};
use keeljunction_core::serving::table_version::TableVersion;
use serde::{Deserialize, Serialize};

use super::Node;
use crate::event::{self, Event};
use crate::port::{
    Condition, Row, Rows, Selection, TableError, TableName, Transaction, Write, answer_within,
};
use crate::runtime;

/// The table of the eras' origins.
const ERAS: TableName = TableName::Own("eras");
/// How long the origin of an era is waited for.
const ORIGIN_WITHIN: Duration = Duration::from_millis(700);
/// Stands between a row's key and its era.
const ERA_MARK: char = '@';

/// The origin of an era, as its row keeps it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct OriginRow {
    /// When the first node saw the era, on the table service's clock.
    seen_at: u64,
    /// The same on that node's wall clock, in milliseconds since the Unix epoch.
    unix_ms: u64,
    /// Whether the deployment started in this era.
    is_first: bool,
}

/// Reads all rows of a table, and waits for each page for a time at most.
///
/// # Errors
///
/// Returns the error of the first call that fails.
pub(super) async fn read_all(
    node: &Node,
    table: TableName,
    within: Duration,
) -> Result<Rows, TableError> {
    take(node, node.platform.table.read_all(table, within).await)
}

/// Reads the first page of a table.
///
/// # Errors
///
/// Returns the call's error.
pub(super) async fn read_first(
    node: &Node,
    table: TableName,
    within: Duration,
) -> Result<Rows, TableError> {
    take(node, node.platform.table.read_first(table, within).await)
}

/// Reads the pages after the first one.
///
/// # Errors
///
/// Returns the error of the first call that fails.
pub(super) async fn read_rest(
    node: &Node,
    table: TableName,
    within: Duration,
    first: Rows,
) -> Result<Rows, TableError> {
    take(node, node.platform.table.read_rest(table, within, first).await)
}

/// Reads some rows of a table.
///
/// # Errors
///
/// Returns the call's error.
pub(super) async fn read_some(
    node: &Node,
    selection: Selection,
    within: Duration,
) -> Result<Rows, TableError> {
    take(node, answer_within(within, (node.platform.table.read_some)(selection)).await)
}

/// Waits for rows that changed after a version. The service holds the call for `hold` where nothing changes,
/// and the node waits for `within` longer.
///
/// # Errors
///
/// Returns the call's error, and [`TableError::HistoryGone`] where the version is of an earlier era.
pub(super) async fn watch(
    node: &Node,
    table: TableName,
    after: TableVersion,
    hold: Duration,
    within: Duration,
) -> Result<Rows, TableError> {
    if node.with(|state| state.eras.is_superseded(after.era)) {
        return Err(TableError::HistoryGone);
    }
    let watching = (node.platform.table.watch)(table, after, hold);
    let rows = take(node, answer_within(hold + within, watching).await)?;
    if rows.version.era != after.era {
        return Err(TableError::HistoryGone);
    }
    Ok(rows)
}

/// Writes rows, all or none.
///
/// # Errors
///
/// Returns the call's error, and [`TableError::Superseded`] where a condition is of an earlier era than the
/// table service: the write counts for nothing.
pub(super) async fn commit(
    node: &Node,
    transaction: Transaction,
    within: Duration,
) -> Result<Rows, TableError> {
    let era = transaction.conditions.first().map(|condition| condition.version.era);
    if era.is_some_and(|era| node.with(|state| state.eras.is_superseded(era))) {
        return Err(TableError::Superseded);
    }
    let committing = (node.platform.table.commit)(transaction);
    let answer = take(node, answer_within(within, committing).await);
    let answered_in = match &answer {
        Ok(rows) | Err(TableError::Conflict(rows)) => Some(rows.version.era),
        Err(_) => None,
    };
    match era.zip(answered_in) {
        Some((era, answered_in)) if era != answered_in => Err(TableError::Superseded),
        _ => answer,
    }
}

/// Notes the era that an answer shows; one of an earlier era counts for nothing.
fn take(node: &Node, answer: Result<Rows, TableError>) -> Result<Rows, TableError> {
    if let Ok(rows) | Err(TableError::Conflict(rows)) = &answer {
        note_era(node, rows.version.era);
        let known = node.with(|state| state.eras.get());
        if rows.version.era < known {
            event::emit(&Event::RowsDropped {
                entries: rows.rows.len(),
                era: rows.version.era.get_number(),
                known: known.get_number(),
            });
            return Err(TableError::Superseded);
        }
    }
    answer
}

/// Notes an era that an answer showed, or that another node knows.
pub(super) fn note_era(node: &Node, era: Era) {
    let now = node.now();
    let begun = node.with(|state| {
        let begun = state.eras.note(now, era)?;
        state.lease.begin_era(era);
        if begun.before.is_some() {
            state.directory.note_era(now);
            state.frozen.repeat();
        }
        Some(begun)
    });
    let Some(begun) = begun else { return };
    let is_return = begun.before.is_some();
    if is_return {
        node.metrics.store_returns.inc();
    }
    let before = begun.before.and_then(Era::get_number);
    event::emit(&Event::StoreEraBegun { era: era.get_number(), before, is_return });
}

/// Returns the key of a row that is written under a condition in an era.
pub(super) fn era_key(key: &str, era: Era) -> String {
    match era.get_number() {
        None => key.to_owned(),
        Some(number) => format!("{key}{ERA_MARK}{number}"),
    }
}

/// Splits the key of a row that is written under a condition; `None` where it is none.
pub(super) fn split_key(key: &str) -> Option<(&str, Era)> {
    match key.rsplit_once(ERA_MARK) {
        Some((key, era)) => Some((key, Era::named(era.parse().ok()?))),
        None => Some((key, Era::UNNAMED)),
    }
}

/// Makes the origin of the current era known, where nothing shows yet when it began: reads its row, and
/// writes it where this node is the first.
///
/// # Errors
///
/// Returns the error of the call that failed.
pub(super) async fn find_origin(node: &Node) -> Result<(), TableError> {
    let era = node.with(|state| state.eras.get());
    if era == Era::UNNAMED || node.with(|state| state.eras.get_origin()).is_some() {
        return Ok(());
    }
    let rows = read_all(node, ERAS, ORIGIN_WITHIN).await?;
    let key = origin_key(rows.version.era);
    let found = rows.rows.iter().find(|row| row.key == key);
    let origin = match found {
        Some(row) => decode_origin(row, rows.table_time),
        None => write_origin(node, &rows).await?,
    };
    let age = rows.table_time.saturating_sub(origin.seen_at);
    let OriginRow { unix_ms, is_first, .. } = origin;
    let now = node.now();
    node.with(|state| {
        state.eras.set_origin(now, rows.version.era, Origin { age, unix_ms, is_first });
    });
    Ok(())
}

/// Writes the origin of an era of which the table, as it was read, holds none.
async fn write_origin(node: &Node, rows: &Rows) -> Result<OriginRow, TableError> {
    let era = rows.version.era;
    let is_start = node.settings.node.is_first_start && rows.rows.is_empty();
    let is_first = is_start && !node.with(|state| state.eras.is_return());
    let origin = OriginRow { seen_at: rows.table_time, unix_ms: runtime::unix_ms(), is_first };
    let key = origin_key(era);
    let version = TableVersion::absent(era);
    let condition = Condition { table: ERAS, key: key.clone(), version };
    let write = Write { table: ERAS, key, value: serde_json::to_vec(&origin).ok() };
    let transaction = Transaction { conditions: vec![condition], writes: vec![write] };
    match commit(node, transaction, ORIGIN_WITHIN).await {
        Ok(_) => Ok(origin),
        Err(TableError::Conflict(found)) if !found.rows.is_empty() => {
            Ok(decode_origin(&found.rows[0], rows.table_time))
        }
        Err(error) => Err(error),
    }
}

/// Returns the key of an era's origin.
fn origin_key(era: Era) -> String {
    era.get_number().unwrap_or_default().to_string()
}

/// Reads the origin of an era. One that cannot be read might be as late as its reading.
fn decode_origin(row: &Row, read_at: u64) -> OriginRow {
    serde_json::from_slice(row.value.as_deref().unwrap_or_default()).unwrap_or_else(|error| {
        event::emit(&Event::DocumentRejected { error: format!("the origin of an era: {error}") });
        OriginRow { seen_at: read_at, unix_ms: runtime::unix_ms(), is_first: false }
    })
}
