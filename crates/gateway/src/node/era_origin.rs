//! Persists when the eras of the table service began.
//!
//! The first node that needs the origin of an era writes its row. Nodes that start later read the
//! age of the era from it.

use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::era::{Era, Origin};
use keeljunction_core::serving::table_version::TableVersion;
use serde::{Deserialize, Serialize};

use super::{Node, table};
use crate::event::{self, Event};
use crate::port::{Row, Rows, TableError, TableName};
use crate::runtime;

const TABLE: TableName = TableName::Internal("eras");
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The row of an era's origin.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct OriginRow {
    /// When the first node observed the era, on the table service's clock.
    seen_at: Millis,
    /// The same time on that node's wall clock, in milliseconds since the Unix epoch.
    unix_ms: u64,
}

/// Determines the origin of the current era if it is unknown: reads its row, or writes the row if
/// there is none.
///
/// # Errors
///
/// Returns the error of the failed call.
pub(super) async fn find(node: &Node) -> Result<(), TableError> {
    let era = node.with(|state| state.eras.get());
    if era == Era::UNNAMED || node.with(|state| state.eras.get_origin()).is_some() {
        return Ok(());
    }
    let rows = table::read_all(node, TABLE, CALL_TIMEOUT).await?;
    let key = make_key(rows.version.era);
    let found = rows.rows.iter().find(|row| row.key == key);
    let origin = match found {
        Some(row) => decode(row, rows.table_time),
        None => write(node, &rows).await?,
    };
    let age = rows.table_time.saturating_sub(origin.seen_at);
    let now = node.now();
    node.with(|state| {
        let origin = Origin { age, unix_ms: origin.unix_ms };
        state.eras.set_origin(now, rows.version.era, origin);
    });
    Ok(())
}

/// Writes the origin of an era that has no row among the given ones.
async fn write(node: &Node, rows: &Rows) -> Result<OriginRow, TableError> {
    let era = rows.version.era;
    let origin = OriginRow { seen_at: rows.table_time, unix_ms: runtime::unix_ms() };
    let key = make_key(era);
    let version = TableVersion::absent(era);
    let value = serde_json::to_vec(&origin).ok();
    match table::replace(node, TABLE, &key, version, value, CALL_TIMEOUT).await {
        Ok(_) => Ok(origin),
        Err(TableError::Conflict(found)) if !found.rows.is_empty() => {
            Ok(decode(&found.rows[0], rows.table_time))
        }
        Err(error) => Err(error),
    }
}

/// Returns the row key of an era's origin.
fn make_key(era: Era) -> String {
    era.get_number().unwrap_or_default().to_string()
}

/// Decodes the origin of an era. A malformed row counts as written at the time of reading, the
/// latest possible origin.
fn decode(row: &Row, read_at: Millis) -> OriginRow {
    serde_json::from_slice(row.value.as_deref().unwrap_or_default()).unwrap_or_else(|error| {
        event::emit(&Event::DocumentRejected { error: format!("malformed era origin: {error}") });
        OriginRow { seen_at: read_at, unix_ms: runtime::unix_ms() }
    })
}
