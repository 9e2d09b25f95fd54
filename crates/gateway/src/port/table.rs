//! The platform's table service, which keeps what must last.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::table_version::TableVersion;

use crate::runtime;

/// Rows that are read with one call: the most that the table service gives.
const PAGE: usize = 500;

/// A call to the table service in progress.
pub type TableFuture<T> = Pin<Box<dyn Future<Output = Result<T, TableError>> + Send>>;

/// The calls of a table service. All reads are linearizable.
pub struct Table {
    /// Reads some rows of a table, or fewer where an answer does not hold them.
    pub read_range: Box<dyn Fn(RowRange) -> TableFuture<Rows> + Send + Sync>,
    /// Waits for rows that changed after a version, for a time at most.
    pub watch: Box<dyn Fn(TableName, TableVersion, Duration) -> TableFuture<Rows> + Send + Sync>,
    /// Writes rows, all or none.
    pub commit: Box<dyn Fn(Transaction) -> TableFuture<Rows> + Send + Sync>,
}

impl Table {
    /// Reads the first page of a table.
    ///
    /// # Errors
    ///
    /// Returns the call's error.
    pub async fn read_first(&self, table: TableName, within: Duration) -> Result<Rows, TableError> {
        let selection = RowRange { table, from: String::new(), limit: PAGE };
        with_timeout(within, (self.read_range)(selection)).await
    }

    /// Reads the pages after the first one.
    ///
    /// # Errors
    ///
    /// Returns the error of the first call that fails.
    pub async fn read_rest(
        &self,
        table: TableName,
        within: Duration,
        first: Rows,
    ) -> Result<Rows, TableError> {
        let mut whole = first;
        while let Some(last) = whole.rows.last().filter(|_| whole.has_more) {
            // The key that comes right after the last one.
            let from = format!("{}\0", last.key);
            let selection = RowRange { table, from, limit: PAGE };
            let page = with_timeout(within, (self.read_range)(selection)).await?;
            if page.version.era != whole.version.era {
                return Err(TableError::HistoryGone);
            }
            whole.has_more = page.has_more;
            whole.rows.extend(page.rows);
        }
        Ok(whole)
    }
}

/// Waits for the answer of a call, for a time at most.
///
/// # Errors
///
/// Returns the call's error, and [`TableError::Unanswered`] where the time is over.
pub async fn with_timeout(time: Duration, call: TableFuture<Rows>) -> Result<Rows, TableError> {
    let answer = runtime::timeout(time, call).await;
    answer.unwrap_or_else(|| Err(TableError::Unanswered("no answer in time".to_owned())))
}

/// A table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableName {
    /// The operator's configuration.
    Configuration,
    /// The servers' entries about themselves.
    Servers,
    /// The status of the operator's orders.
    Status,
    /// A table of the product's own.
    Internal(&'static str),
}

/// Some rows of a table that follow each other in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// The table.
    pub table: TableName,
    /// The first key; empty for the table's first row.
    pub from: String,
    /// How many rows, at the most.
    pub limit: usize,
}

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key in the table.
    pub key: String,
    /// Its content; `None` where the row is gone.
    pub value: Option<Vec<u8>>,
    /// The version at which it was last written.
    pub version: TableVersion,
}

/// Rows, with the version and time of the table service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The newest version.
    pub version: TableVersion,
    /// The table service's steady clock.
    pub table_time: Millis,
    /// Whether further rows follow these in the table.
    pub has_more: bool,
}

/// Writes under conditions, all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What to write or remove.
    pub writes: Vec<Write>,
}

/// The version that a row must have; [`TableVersion::absent`] where it must not be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The table.
    pub table: TableName,
    /// The row's key.
    pub key: String,
    /// The version.
    pub version: TableVersion,
}

/// A row to write, or to remove where there is no value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The table: one of the product's own, or that of the operator's orders.
    pub table: TableName,
    /// The row's key.
    pub key: String,
    /// The content.
    pub value: Option<Vec<u8>>,
}

/// Explains why a call of the table service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// A condition did not hold; the rows as they are.
    Conflict(Rows),
    /// The requested changes are no longer kept; read anew.
    HistoryGone,
    /// The table service has come back from an older copy since the rows were read that a condition names, or
    /// an answer is of the time before its return. A write may have been done, and is gone.
    StaleEra,
    /// The service refused; nothing was done.
    Refused(u16),
    /// There was no answer; a write may have been done or may still be.
    Unanswered(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(_) => write!(f, "a condition did not hold"),
            Self::HistoryGone => write!(f, "the history is gone"),
            Self::StaleEra => write!(f, "the table service came back from an older copy"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Unanswered(why) => write!(f, "no answer: {why}"),
        }
    }
}

impl std::error::Error for TableError {}
