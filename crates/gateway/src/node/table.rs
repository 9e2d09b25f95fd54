//! Calls the table service, and follows its eras.
//!
//! All calls pass here. An answer of an earlier era than the newest one that is known counts as none, and
//! neither does a write under a condition that names a version of an earlier era: the number may be that of
//! another row by now.
//!
//! A write that was sent before a return may still be done after it. Rows that are written under a condition
//! therefore have a key for each era ([`era_key`]), under which nothing of an earlier era is written.

use std::time::Duration;

use keeljunction_core::serving::era::Era;
use keeljunction_core::serving::table_version::TableVersion;

use super::Node;
use crate::event::{self, Event};
use crate::port::{
    Condition, RowRange, Rows, TableError, TableName, Transaction, Write, with_timeout,
};

/// Stands between a row's key and its era.
const ERA_MARK: char = '@';

/// Reads all rows of a table, page by page, and waits for each page for a time at most: a long table takes as much
/// longer as it has more pages.
///
/// Later pages are of a later moment. The version is the first one's, from which a watch misses nothing.
///
/// # Errors
///
/// Returns the error of the first call that fails.
pub(super) async fn read_all(
    node: &Node,
    table: TableName,
    within: Duration,
) -> Result<Rows, TableError> {
    let first = read_first(node, table, within).await?;
    read_rest(node, table, within, first).await
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
    selection: RowRange,
    within: Duration,
) -> Result<Rows, TableError> {
    take(node, with_timeout(within, (node.platform.table.read_range)(selection)).await)
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
    let rows = take(node, with_timeout(hold + within, watching).await)?;
    if rows.version.era != after.era {
        return Err(TableError::HistoryGone);
    }
    Ok(rows)
}

/// Writes rows, all or none.
///
/// # Errors
///
/// Returns the call's error, and [`TableError::StaleEra`] where a condition is of an earlier era than the
/// table service: the write counts for nothing.
pub(super) async fn commit(
    node: &Node,
    transaction: Transaction,
    within: Duration,
) -> Result<Rows, TableError> {
    let era = transaction.conditions.first().map(|condition| condition.version.era);
    if era.is_some_and(|era| node.with(|state| state.eras.is_superseded(era))) {
        return Err(TableError::StaleEra);
    }
    let committing = (node.platform.table.commit)(transaction);
    let answer = take(node, with_timeout(within, committing).await);
    let answered_in = match &answer {
        Ok(rows) | Err(TableError::Conflict(rows)) => Some(rows.version.era),
        Err(_) => None,
    };
    match era.zip(answered_in) {
        Some((era, answered_in)) if era != answered_in => Err(TableError::StaleEra),
        _ => answer,
    }
}

/// Writes a row, or removes it, where it has not changed since a version.
///
/// # Errors
///
/// Returns the same as [`commit`].
pub(super) async fn replace(
    node: &Node,
    table: TableName,
    key: &str,
    version: TableVersion,
    value: Option<Vec<u8>>,
    within: Duration,
) -> Result<Rows, TableError> {
    let condition = Condition { table, key: key.to_owned(), version };
    let write = Write { table, key: key.to_owned(), value };
    commit(node, Transaction { conditions: vec![condition], writes: vec![write] }, within).await
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
            return Err(TableError::StaleEra);
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
            state.directory.note_table_restored(now);
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
