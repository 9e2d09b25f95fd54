//! The calls of the table service. Each answer shows which era the service is in.

use std::time::Duration;

use keeljunction_core::serving::era::Era;

use super::Node;
use crate::event::{self, Event};
use crate::port::{Rows, Selection, TableError, TableName, Transaction, answer_within};

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
/// Returns the call's error.
pub(super) async fn watch(
    node: &Node,
    table: TableName,
    after: u64,
    hold: Duration,
    within: Duration,
) -> Result<Rows, TableError> {
    let watching = (node.platform.table.watch)(table, after, hold);
    take(node, answer_within(hold + within, watching).await)
}

/// Writes rows, all or none.
///
/// # Errors
///
/// Returns the call's error.
pub(super) async fn commit(
    node: &Node,
    transaction: Transaction,
    within: Duration,
) -> Result<Rows, TableError> {
    take(node, answer_within(within, (node.platform.table.commit)(transaction)).await)
}

/// Notes the era that an answer shows.
fn take(node: &Node, answer: Result<Rows, TableError>) -> Result<Rows, TableError> {
    if let Ok(rows) | Err(TableError::Conflict(rows)) = &answer {
        note_era(node, rows.era);
    }
    answer
}

/// Notes an era that an answer showed.
fn note_era(node: &Node, era: Era) {
    let Some(begun) = node.with(|state| state.eras.note(era)) else { return };
    let before = begun.before.map(|era| era.0);
    if before.is_some() {
        node.metrics.store_returns.inc();
    }
    event::emit(&Event::StoreEraBegun { era: era.0, before });
}
