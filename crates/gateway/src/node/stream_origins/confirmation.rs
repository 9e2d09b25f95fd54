//! Confirms which software versions are possible, by reads that begin after the request that needs
//! them.
//!
//! A node that stood still or was cut off does not know which versions appeared meanwhile. What it
//! knows tells of a stream's origin only as of its last read, and the stream may have begun later.
//! Reads are shared by the requests that wait for them.

use std::sync::Mutex;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use keeljunction_core::Millis;
use keeljunction_core::serving::stream_origin::{Answer, Key};

use crate::node::peers::stream_origins as peers;
use crate::node::{Node, version_rows, watch};
use crate::runtime::{self, lock};

/// The timeout of a read, including the wait for an earlier one. A stream that cannot go on is
/// refused at once.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// The minimum interval between the beginnings of two reads, in milliseconds.
const READ_INTERVAL_MS: Millis = 50;

/// A read of the tables.
#[derive(Clone, Copy, Debug)]
struct Read {
    begun_at: Millis,
    is_complete: bool,
}

/// The reads of this node, one at a time.
#[derive(Debug)]
pub(in crate::node) struct Reads {
    /// Holds an item while a read is in progress.
    turns: (Sender<()>, Receiver<()>),
    last: Mutex<Option<Read>>,
}

impl Default for Reads {
    fn default() -> Self {
        Self { turns: async_channel::bounded(1), last: Mutex::default() }
    }
}

/// The turn to read, until it is dropped.
struct Turn<'a>(&'a Receiver<()>);

impl<'a> Turn<'a> {
    /// Waits for the turn; returns `None` if the reads have ended.
    async fn wait(reads: &'a Reads) -> Option<Self> {
        reads.turns.0.send(()).await.ok()?;
        Some(Self(&reads.turns.1))
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        if self.0.try_recv().is_err() {
            log::error!("a turn to read the software versions ended twice");
        }
    }
}

/// Returns what is known of a stream's origin as of a time after this call began; `None` if neither
/// the table service nor a node that reads it answers.
///
/// The readers answer for other nodes, so that few nodes call the table service.
pub(super) async fn confirm(node: &Node, key: Option<Key>, services: &[&str]) -> Option<Answer> {
    let is_reader = watch::is_reader(node);
    if is_reader && read(node).await {
        return Some(get_answer(node, key, services));
    }
    if let Some(answer) = peers::ask_readers(node, key, services).await {
        return Some(answer);
    }
    let is_read = !is_reader && read(node).await;
    is_read.then(|| get_answer(node, key, services))
}

/// Reads the server list and the rows of versions by calls that begin after this one. Returns `true`
/// if both were read.
pub(in crate::node) async fn read(node: &Node) -> bool {
    let asked_at = node.now();
    let is_read = runtime::timeout(READ_TIMEOUT, read_shared(node, asked_at)).await;
    if is_read.is_none() {
        log::warn!("the software versions of a stream could not be confirmed in time");
    }
    is_read.unwrap_or(false)
}

async fn read_shared(node: &Node, asked_at: Millis) -> bool {
    let reads = &node.version_reads;
    let Some(_turn) = Turn::wait(reads).await else { return false };
    let last = *lock(&reads.last);
    if let Some(read) = last.filter(|read| read.begun_at > asked_at) {
        return read.is_complete;
    }
    let next = last.map_or(0, |read| read.begun_at + READ_INTERVAL_MS);
    runtime::sleep(Duration::from_millis(next.saturating_sub(node.now()))).await;
    let begun_at = node.now();
    // The read may be cancelled.
    *lock(&reads.last) = Some(Read { begun_at, is_complete: false });
    let (servers, rows) =
        future::zip(watch::read_changed_servers(node), version_rows::read_again(node)).await;
    let is_complete = servers && rows;
    *lock(&reads.last) = Some(Read { begun_at, is_complete });
    is_complete
}

fn get_answer(node: &Node, key: Option<Key>, services: &[&str]) -> Answer {
    let now = node.now();
    node.with(|state| peers::get_answer(state, now, key, services))
}
