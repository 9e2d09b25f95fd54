//! When the eras of the table service began, as rows keep it.
//!
//! The first node that needs to know writes the row of an era. A node that starts later learns from it how old the
//! era is.

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
const CALL_WITHIN: Duration = Duration::from_millis(700);

/// The origin of an era, as its row keeps it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct OriginRow {
    /// When the first node saw the era, on the table service's clock.
    seen_at: Millis,
    /// The same on that node's wall clock, in milliseconds since the Unix epoch.
    unix_ms: u64,
}

/// Makes the origin of the current era known, where nothing shows yet when it began: reads its row, and
/// writes it where this node is the first.
///
/// # Errors
///
/// Returns the error of the call that failed.
pub(super) async fn find(node: &Node) -> Result<(), TableError> {
    let era = node.with(|state| state.eras.get());
    if era == Era::UNNAMED || node.with(|state| state.eras.get_origin()).is_some() {
        return Ok(());
    }
    let rows = table::read_all(node, TABLE, CALL_WITHIN).await?;
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

/// Writes the origin of an era of which the table, as it was read, holds none.
async fn write(node: &Node, rows: &Rows) -> Result<OriginRow, TableError> {
    let era = rows.version.era;
    let origin = OriginRow { seen_at: rows.table_time, unix_ms: runtime::unix_ms() };
    let key = make_key(era);
    let version = TableVersion::absent(era);
    let value = serde_json::to_vec(&origin).ok();
    match table::replace(node, TABLE, &key, version, value, CALL_WITHIN).await {
        Ok(_) => Ok(origin),
        Err(TableError::Conflict(found)) if !found.rows.is_empty() => {
            Ok(decode(&found.rows[0], rows.table_time))
        }
        Err(error) => Err(error),
    }
}

/// Returns the key of an era's origin.
fn make_key(era: Era) -> String {
    era.get_number().unwrap_or_default().to_string()
}

/// Reads the origin of an era. One that cannot be read might be as late as its reading.
fn decode(row: &Row, read_at: Millis) -> OriginRow {
    serde_json::from_slice(row.value.as_deref().unwrap_or_default()).unwrap_or_else(|error| {
        event::emit(&Event::DocumentRejected { error: format!("the origin of an era: {error}") });
        OriginRow { seen_at: read_at, unix_ms: runtime::unix_ms() }
    })
}
