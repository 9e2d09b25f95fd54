//! Calls to the table service, and tracking of its eras.
//!
//! All calls pass through this module. An answer from an earlier era than the newest known one is
//! discarded, and so is a write whose condition names a version of an earlier era: the version
//! number may belong to another row by now.
//!
//! A write that was sent before the table service was restored from an older copy may still be
//! applied afterwards. Rows that are written conditionally therefore have one key per era
//! ([`era_key`]), to which no write of an earlier era applies.

use std::time::Duration;

use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;

use super::Node;
use crate::event::{self, Event};
use crate::port::{
    Condition, RowRange, Rows, TableError, TableName, Transaction, Write, with_timeout,
};

/// Separates the key of a row from its era.
const ERA_SEPARATOR: char = '@';

/// Reads all rows of a table, page by page, with a timeout for each page. A longer table takes
/// longer in proportion to its pages.
///
/// Later pages are read at a later time. The version is that of the first page, so a watch from it
/// misses no change.
///
/// # Errors
///
/// Returns the error of the first call that fails.
pub(super) async fn read_all(
    node: &Node,
    table: TableName,
    timeout: Duration,
) -> Result<Rows, TableError> {
    let first = read_first(node, table, timeout).await?;
    read_rest(node, table, timeout, first).await
}

/// Reads the first page of a table.
///
/// # Errors
///
/// Returns the error of the call.
pub(super) async fn read_first(
    node: &Node,
    table: TableName,
    timeout: Duration,
) -> Result<Rows, TableError> {
    check_era(node, node.platform.table.read_first(table, timeout).await)
}

/// Reads the pages after the first one.
///
/// # Errors
///
/// Returns the error of the first call that fails.
pub(super) async fn read_rest(
    node: &Node,
    table: TableName,
    timeout: Duration,
    first: Rows,
) -> Result<Rows, TableError> {
    check_era(node, node.platform.table.read_rest(table, timeout, first).await)
}

/// Reads a selection of rows of a table.
///
/// # Errors
///
/// Returns the error of the call.
pub(super) async fn read_some(
    node: &Node,
    selection: RowRange,
    timeout: Duration,
) -> Result<Rows, TableError> {
    check_era(node, with_timeout(timeout, (node.platform.table.read_range)(selection)).await)
}

/// Waits for rows that changed after a version. The service holds the call for `hold` if nothing
/// changes, and the node waits for `timeout` longer.
///
/// # Errors
///
/// Returns the error of the call, and [`TableError::HistoryGone`] if the version belongs to an
/// earlier era.
pub(super) async fn watch(
    node: &Node,
    table: TableName,
    after: TableVersion,
    hold: Duration,
    timeout: Duration,
) -> Result<Rows, TableError> {
    if node.with(|state| state.eras.is_superseded(after.era)) {
        return Err(TableError::HistoryGone);
    }
    let watching = (node.platform.table.watch)(table, after, hold);
    let rows = check_era(node, with_timeout(hold + timeout, watching).await)?;
    if rows.version.era != after.era {
        return Err(TableError::HistoryGone);
    }
    Ok(rows)
}

/// Writes rows atomically.
///
/// # Errors
///
/// Returns the error of the call, and [`TableError::StaleEra`] if a condition belongs to an
/// earlier era than the table service. The write is discarded in that case.
pub(super) async fn commit(
    node: &Node,
    transaction: Transaction,
    timeout: Duration,
) -> Result<Rows, TableError> {
    let era = transaction.conditions.first().map(|condition| condition.version.era);
    if era.is_some_and(|era| node.with(|state| state.eras.is_superseded(era))) {
        return Err(TableError::StaleEra);
    }
    let committing = (node.platform.table.commit)(transaction);
    let answer = check_era(node, with_timeout(timeout, committing).await);
    let answered_in = match &answer {
        Ok(rows) | Err(TableError::Conflict(rows)) => Some(rows.version.era),
        Err(_) => None,
    };
    match era.zip(answered_in) {
        Some((era, answered_in)) if era != answered_in => Err(TableError::StaleEra),
        _ => answer,
    }
}

/// Writes or removes a row if its version is unchanged.
///
/// # Errors
///
/// Returns the same errors as [`commit`].
pub(super) async fn replace(
    node: &Node,
    table: TableName,
    key: &str,
    version: TableVersion,
    value: Option<Vec<u8>>,
    timeout: Duration,
) -> Result<Rows, TableError> {
    let condition = Condition { table, key: key.to_owned(), version };
    let write = Write { table, key: key.to_owned(), value };
    commit(node, Transaction { conditions: vec![condition], writes: vec![write] }, timeout).await
}

/// Records the era of an answer, and rejects an answer of an earlier era.
fn check_era(node: &Node, answer: Result<Rows, TableError>) -> Result<Rows, TableError> {
    if let Ok(rows) | Err(TableError::Conflict(rows)) = &answer {
        record_era(node, rows.version.era);
        let known = node.with(|state| state.eras.get());
        if rows.version.era < known {
            event::emit(&Event::RowsDropped {
                entries: rows.rows.len(),
                era: rows.version.era.get_number(),
                known: known.get_number(),
            });
            return Err(TableError::StaleEra);
        }
    }
    if let Ok(rows) = &answer {
        node.with(|state| state.rollouts.record_read(rows.version));
    }
    answer
}

/// Records an era that an answer or another node reported.
pub(super) fn record_era(node: &Node, era: Era) {
    let now = node.now();
    let new_era = node.with(|state| {
        let new_era = state.eras.record(now, era)?;
        state.lease.begin_era(era);
        if new_era.before.is_some() {
            state.directory.record_table_restored(now);
            state.frozen_usage.report_again();
        }
        Some(new_era)
    });
    let Some(new_era) = new_era else { return };
    let is_return = new_era.before.is_some();
    if is_return {
        node.metrics.store_returns.inc();
    }
    let before = new_era.before.and_then(Era::get_number);
    event::emit(&Event::StoreEraBegun { era: era.get_number(), before, is_return });
}

/// Returns the key of a conditionally written row in an era.
pub(super) fn era_key(key: &str, era: Era) -> String {
    match era.get_number() {
        None => key.to_owned(),
        Some(number) => format!("{key}{ERA_SEPARATOR}{number}"),
    }
}

/// Splits the key of a conditionally written row into the key and its era; returns `None` for
/// another kind of key.
pub(super) fn split_key(key: &str) -> Option<(&str, Era)> {
    match key.rsplit_once(ERA_SEPARATOR) {
        Some((key, era)) => Some((key, Era::named(era.parse().ok()?))),
        None => Some((key, Era::UNNAMED)),
    }
}
