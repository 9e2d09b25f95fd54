//! Reads archived records for requests that would be refused without.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::Event as Signal;
use keeljunction_core::serving::stream_origin::{Answer, Key, PossibleOrigins, Shard, Standing};

use super::{TABLE, row};
use crate::event::{self, Event};
use crate::node::peers::stream_origins as peers;
use crate::node::reads::{Order, read_or_ask};
use crate::node::{Node, table};
use crate::port::{Cursor, RowRange, TableError, TableName};
use crate::runtime::{self, lock};

/// The maximum time for reading the rows of a shard.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum time for finding a record, by the archivist and by a read of this node.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);
/// The time for which the records that were read answer further requests.
const REUSE_PERIOD: Duration = Duration::from_millis(300);
/// The time for which no rows are read after a read that failed.
const FAILURE_PERIOD: Duration = Duration::from_millis(2_000);
/// The number of rows that are read with one call.
const PAGE_ROWS: usize = 64;

/// The reads of shards that are in progress or have just ended.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    shards: Mutex<HashMap<Shard, Read>>,
    /// Signals that a read has ended.
    ended: Signal,
}

/// The read of a shard.
#[derive(Clone, Debug)]
enum Read {
    InProgress,
    Failed,
    Complete(Arc<HashMap<Key, Standing>>),
}

/// Returns the archived origin of a stream; `None` if neither this node nor the archivist could
/// read it.
///
/// The archivist reads for other nodes, so that a restart of many nodes causes few reads.
pub(crate) async fn find(node: &Arc<Node>, key: Key) -> Option<Answer> {
    let Some(archivist) = get_other_archivist(node, key) else { return read(node, key).await };
    let asking = peers::ask_archivist(node, key, archivist);
    let found = read_or_ask(Order::AskFirst, read(node, key), asking);
    runtime::timeout(FIND_TIMEOUT, found).await.flatten()
}

/// Returns the address of the node that archives a stream's record; `None` if this node does.
fn get_other_archivist(node: &Node, key: Key) -> Option<SocketAddr> {
    let now = node.now();
    node.with(|state| {
        let ranking = state.members.get_holder_ranking(now);
        let archivist = ranking.get_archivist(Shard::of(key))?;
        (!state.members.is_own(archivist)).then_some(archivist.address)
    })
}

/// Reads the archived origin of a stream; `None` if that failed. Requests for streams of one shard
/// share a read.
pub(in crate::node) async fn read(node: &Arc<Node>, key: Key) -> Option<Answer> {
    let shard = Shard::of(key);
    if begin_read(node, shard) {
        runtime::spawn(read_shard(node.clone(), shard));
    }
    let records = runtime::timeout(READ_TIMEOUT * 2, wait(node, shard)).await.flatten()?;
    let standing = records.get(&key).cloned();
    Some(standing.map_or(Answer::Unknown(PossibleOrigins::default()), Answer::from))
}

/// Returns `true` if the caller is to read the shard.
fn begin_read(node: &Node, shard: Shard) -> bool {
    let mut shards = lock(&node.stream_archive_reads.shards);
    let is_known = shards.contains_key(&shard);
    shards.entry(shard).or_insert(Read::InProgress);
    !is_known
}

/// Waits for the records of a shard; returns `None` if they could not be read.
async fn wait(node: &Node, shard: Shard) -> Option<Arc<HashMap<Key, Standing>>> {
    loop {
        let ended = node.stream_archive_reads.ended.listen();
        let read = lock(&node.stream_archive_reads.shards).get(&shard).cloned()?;
        match read {
            Read::InProgress => ended.await,
            Read::Failed => return None,
            Read::Complete(records) => return Some(records),
        }
    }
}

/// Reads a shard, and keeps the outcome for a short time.
async fn read_shard(node: Arc<Node>, shard: Shard) {
    let read = runtime::timeout(READ_TIMEOUT, read_rows(&node, shard)).await;
    let read =
        read.unwrap_or_else(|| Err(TableError::Unanswered("the reads timed out".to_owned())));
    let (read, kept_for) = match read {
        Ok(records) => (Read::Complete(Arc::new(records)), REUSE_PERIOD),
        Err(error) => {
            event::emit(&Event::TableCallFailed { what: TABLE, error: error.to_string() });
            (Read::Failed, FAILURE_PERIOD)
        }
    };
    lock(&node.stream_archive_reads.shards).insert(shard, read);
    node.stream_archive_reads.ended.notify(usize::MAX);
    runtime::sleep(kept_for).await;
    lock(&node.stream_archive_reads.shards).remove(&shard);
}

async fn read_rows(node: &Node, shard: Shard) -> Result<HashMap<Key, Standing>, TableError> {
    let prefix = shard.get_prefix();
    let table = TableName::Internal(TABLE);
    let mut cursor = Cursor::new(RowRange { table, from: prefix.clone(), limit: PAGE_ROWS });
    let mut found = HashMap::new();
    loop {
        let mut page = table::read_some(node, cursor.get_next().clone(), READ_TIMEOUT).await?;
        let has_more = cursor.advance(&mut page)?;
        let of_shard = page.rows.iter().filter(|row| row.key.starts_with(&prefix));
        of_shard.for_each(|row| row::merge(&mut found, row, page.table_time));
        let ends_in_shard = page.rows.last().is_some_and(|last| last.key.starts_with(&prefix));
        if !has_more || !ends_in_shard {
            return Ok(found);
        }
    }
}
