//! Confirms which software versions are possible, by reads that begin after the request that needs
//! them.
//!
//! A node that stood still or was cut off does not know which versions appeared meanwhile. What it
//! knows tells of a stream's origin only as of its last read, and the stream may have begun later.
//! Reads are shared by the requests that wait for them.

use std::pin::pin;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use futures_util::future::{Either, select};
use keeljunction_core::Millis;
use keeljunction_core::serving::stream_origin::{Answer, Key};

use crate::node::peers::stream_origins as peers;
use crate::node::{Node, version_rows, watch};
use crate::runtime::{self, lock};

/// The timeout of a read, including the wait for an earlier one. A stream that cannot go on is
/// refused at once.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the first way to a confirmation takes before the other one is tried as well.
const OTHER_WAY_DELAY: Duration = Duration::from_millis(100);
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
/// The readers answer for other nodes, so that few nodes call the table service. The other way is
/// tried as well if the first one takes long.
pub(super) async fn confirm(node: &Node, key: Option<Key>, services: &[&str]) -> Option<Answer> {
    let (read_delay, ask_delay) = match watch::is_reader(node) {
        true => (Duration::ZERO, OTHER_WAY_DELAY),
        false => (OTHER_WAY_DELAY, Duration::ZERO),
    };
    let reading = async {
        runtime::sleep(read_delay).await;
        let is_read = read(node).await;
        is_read.then(|| get_answer(node, key, services))
    };
    let asking = async {
        runtime::sleep(ask_delay).await;
        peers::ask_readers(node, key, services).await
    };
    take_first(reading, asking).await
}

/// Returns the first answer; `None` if neither future has one.
async fn take_first<T>(
    one: impl Future<Output = Option<T>>,
    other: impl Future<Output = Option<T>>,
) -> Option<T> {
    match select(pin!(one), pin!(other)).await {
        Either::Left((None, other)) => other.await,
        Either::Right((None, one)) => one.await,
        Either::Left((answer, _)) | Either::Right((answer, _)) => answer,
    }
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
