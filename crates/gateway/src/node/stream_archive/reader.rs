//! Reads archived records for requests that would be refused without.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::Event as Signal;
use keeljunction_core::serving::stream_origin::{Key, Shard, Standing};

use super::{TABLE, row};
use crate::event::{self, Event};
use crate::node::{Node, table};
use crate::port::{RowRange, TableError, TableName};
use crate::runtime::{self, lock};

/// The maximum time for reading the rows of a shard.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// The time for which the records that were read answer further requests.
const REUSE_PERIOD: Duration = Duration::from_millis(300);
/// The time for which no rows are read after a read that failed.
const FAILURE_PERIOD: Duration = Duration::from_millis(2_000);
/// The number of rows that are read with one call.
const PAGE_ROWS: usize = 64;

type Records = Arc<HashMap<Key, Standing>>;

/// The reads of shards that are in progress or have just ended.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    /// The records of each shard; `None` while it is being read.
    shards: Mutex<HashMap<Shard, Option<Records>>>,
    /// Signals that a read has ended.
    ended: Signal,
}

/// Returns the archived record of a stream. Requests for streams of one shard share a read.
pub(crate) async fn find(node: &Arc<Node>, key: Key) -> Option<Standing> {
    let shard = Shard::of(key);
    if begin_read(node, shard) {
        runtime::spawn(read(node.clone(), shard));
    }
    let records = runtime::timeout(READ_TIMEOUT * 2, wait(node, shard)).await.flatten()?;
    records.get(&key).cloned()
}

/// Returns `true` if the caller is to read the shard.
fn begin_read(node: &Node, shard: Shard) -> bool {
    let mut shards = lock(&node.stream_archive_reads.shards);
    let is_known = shards.contains_key(&shard);
    shards.entry(shard).or_insert(None);
    !is_known
}

/// Waits for the records of a shard.
async fn wait(node: &Node, shard: Shard) -> Option<Records> {
    loop {
        let ended = node.stream_archive_reads.ended.listen();
        let read = lock(&node.stream_archive_reads.shards).get(&shard).cloned()?;
        if read.is_some() {
            return read;
        }
        ended.await;
    }
}

/// Reads a shard, and keeps its records for a short time.
async fn read(node: Arc<Node>, shard: Shard) {
    let read = runtime::timeout(READ_TIMEOUT, read_rows(&node, shard)).await;
    let read =
        read.unwrap_or_else(|| Err(TableError::Unanswered("the reads timed out".to_owned())));
    let kept_for = if read.is_ok() { REUSE_PERIOD } else { FAILURE_PERIOD };
    let records = read.unwrap_or_else(|error| {
        event::emit(&Event::TableCallFailed { what: TABLE, error: error.to_string() });
        HashMap::new()
    });
    lock(&node.stream_archive_reads.shards).insert(shard, Some(Arc::new(records)));
    node.stream_archive_reads.ended.notify(usize::MAX);
    runtime::sleep(kept_for).await;
    lock(&node.stream_archive_reads.shards).remove(&shard);
}

async fn read_rows(node: &Node, shard: Shard) -> Result<HashMap<Key, Standing>, TableError> {
    let prefix = shard.get_prefix();
    let mut from = prefix.clone();
    let mut found = HashMap::new();
    loop {
        let selection = RowRange { table: TableName::Internal(TABLE), from, limit: PAGE_ROWS };
        let page = table::read_some(node, selection, READ_TIMEOUT).await?;
        let of_shard = page.rows.iter().filter(|row| row.key.starts_with(&prefix));
        of_shard.for_each(|row| row::merge(&mut found, row, page.table_time));
        match page.rows.last().filter(|last| page.has_more && last.key.starts_with(&prefix)) {
            // The smallest key after the last one.
            Some(last) => from = format!("{}\0", last.key),
            None => return Ok(found),
        }
    }
}
