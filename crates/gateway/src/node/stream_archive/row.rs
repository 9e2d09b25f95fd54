//! The rows of archived records.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::stream_origin::{Batch, Key, Record, Standing};
use serde::{Deserialize, Serialize};

use crate::event::{self, Event};
use crate::port::Row;

/// A row of archived records.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    /// When the row was written, on the table service's clock.
    written_at: Millis,
    /// The records, with the time until they expire from then on.
    batches: Vec<Batch>,
}

/// Encodes a row that is written at a time of the table service's clock.
///
/// # Errors
///
/// Returns the error of the encoder.
pub(super) fn encode(written_at: Millis, records: Vec<Record>) -> Result<Vec<u8>, postcard::Error> {
    let batches = Batch::pack(records).into_iter().flatten().collect();
    postcard::to_stdvec(&Content { written_at, batches })
}

/// Adds the records of a row that have not expired at a time of the table service's clock.
pub(super) fn merge(found: &mut HashMap<Key, Standing>, row: &Row, table_time: Millis) {
    let Some(value) = row.value.as_deref() else { return };
    let content: Content = match postcard::from_bytes(value) {
        Ok(content) => content,
        Err(error) => {
            let error = format!("malformed row in table {}: {}: {error}", super::TABLE, row.key);
            event::emit(&Event::DocumentRejected { error });
            return;
        }
    };
    // The clock of a restored copy may be behind the clock that set the time in the row.
    let age = table_time.saturating_sub(content.written_at);
    for batch in content.batches {
        let standing =
            batch.origin.map_or(Standing::Ambiguous, |origin| Standing::Known(Arc::new(origin)));
        for stream in batch.streams.iter().filter(|stream| age < stream.expires_in) {
            add(found, stream.key, &standing);
        }
    }
}

/// Adds a record. Different records of one stream make it ambiguous.
fn add(found: &mut HashMap<Key, Standing>, key: Key, standing: &Standing) {
    match found.entry(key) {
        Entry::Vacant(entry) => {
            entry.insert(standing.clone());
        }
        Entry::Occupied(mut entry) if entry.get() != standing => {
            entry.insert(Standing::Ambiguous);
        }
        Entry::Occupied(_) => {}
    }
}
