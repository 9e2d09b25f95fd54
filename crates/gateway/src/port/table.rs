//! The platform's table service, which stores durable state.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::table_version::TableVersion;

use super::Cursor;
use crate::runtime;

/// Number of rows to read with one call: the limit of the table service.
const PAGE_ROWS: usize = 500;

/// A pending call to the table service.
pub type TableFuture<T> = Pin<Box<dyn Future<Output = Result<T, TableError>> + Send>>;

/// Calls of the table service. All reads are linearizable.
pub struct Table {
    /// Reads a range of rows, or its first rows if not all of them fit into one response.
    pub read_range: Box<dyn Fn(RowRange) -> TableFuture<Rows> + Send + Sync>,
    /// Waits for rows that changed after a version, for at most the given time.
    pub watch: Box<dyn Fn(TableName, TableVersion, Duration) -> TableFuture<Rows> + Send + Sync>,
    /// Writes all rows of a transaction, or none.
    pub commit: Box<dyn Fn(Transaction) -> TableFuture<Rows> + Send + Sync>,
}

impl Table {
    /// Reads the first page of a table.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn read_first(
        &self,
        table: TableName,
        timeout: Duration,
    ) -> Result<Rows, TableError> {
        with_timeout(timeout, (self.read_range)(RowRange::first_of(table))).await
    }

    /// Reads the pages after the first one.
    ///
    /// # Errors
    ///
    /// Returns the error of the first failed call, [`TableError::HistoryGone`] if the era changed
    /// between two pages, and [`TableError::Malformed`] if the pages do not continue one another.
    pub async fn read_rest(
        &self,
        table: TableName,
        timeout: Duration,
        first: Rows,
    ) -> Result<Rows, TableError> {
        let mut all = first;
        let mut cursor = Cursor::new(RowRange::first_of(table));
        let mut has_more = cursor.advance(&mut all)?;
        while has_more {
            let reading = (self.read_range)(cursor.get_next().clone());
            let mut page = with_timeout(timeout, reading).await?;
            if page.version.era != all.version.era {
                return Err(TableError::HistoryGone);
            }
            has_more = cursor.advance(&mut page)?;
            all.rows.extend(page.rows);
        }
        all.has_more = false;
        Ok(all)
    }
}

/// Waits for a call, for at most the given time.
///
/// # Errors
///
/// Returns the error of the call, or [`TableError::Unanswered`] if it timed out.
pub async fn with_timeout(timeout: Duration, call: TableFuture<Rows>) -> Result<Rows, TableError> {
    let result = runtime::timeout(timeout, call).await;
    result.unwrap_or_else(|| Err(TableError::Unanswered("the call timed out".to_owned())))
}

/// Name of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableName {
    /// The operator's configuration.
    Configuration,
    /// Entries that servers write about themselves.
    Servers,
    /// Status of the operator's orders.
    Status,
    /// A table that only the gateway nodes use.
    Internal(&'static str),
}

/// A range of rows in key order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// The table.
    pub table: TableName,
    /// First key of the range, or empty for the first row of the table.
    pub from: String,
    /// Maximum number of rows.
    pub limit: usize,
}

impl RowRange {
    /// Returns the range of the first page of a table.
    fn first_of(table: TableName) -> Self {
        Self { table, from: String::new(), limit: PAGE_ROWS }
    }
}

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row key.
    pub key: String,
    /// The value, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the last write.
    pub version: TableVersion,
}

/// Rows, with the version and the time of the table service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The latest version.
    pub version: TableVersion,
    /// Monotonic clock of the table service.
    pub table_time: Millis,
    /// Whether the range continues after these rows.
    pub has_more: bool,
}

/// Conditional writes, applied all together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions that must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write or remove.
    pub writes: Vec<Write>,
}

/// The version that a row must have, or [`TableVersion::absent`] if the row must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The table.
    pub table: TableName,
    /// The row's key.
    pub key: String,
    /// The version.
    pub version: TableVersion,
}

/// A row to write, or to remove if it has no value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The table: an internal one, or the one with the status of the operator's orders.
    pub table: TableName,
    /// The row's key.
    pub key: String,
    /// The value.
    pub value: Option<Vec<u8>>,
}

/// Reason why a call of the table service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// A condition did not hold; contains the current rows.
    Conflict(Rows),
    /// The requested changes are no longer available; read the table again.
    HistoryGone,
    /// The table service was restored from an older copy after a condition's row was read, or the
    /// response is from before the restore. A write may have been applied and then lost.
    StaleEra,
    /// The service rejected the call; nothing was written.
    Refused(u16),
    /// The response is not one that the service may give; a write may have been applied.
    Malformed(String),
    /// There was no response; a write may have been applied or may still be.
    Unanswered(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(_) => write!(f, "a condition of the transaction does not hold"),
            Self::HistoryGone => write!(f, "the requested history is no longer available"),
            Self::StaleEra => write!(f, "the table service was restored from an older copy"),
            Self::Refused(status) => write!(f, "the table service returned status {status}"),
            Self::Malformed(why) => write!(f, "malformed response: {why}"),
            Self::Unanswered(why) => write!(f, "no response: {why}"),
        }
    }
}

impl std::error::Error for TableError {}
