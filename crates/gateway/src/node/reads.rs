//! Reads on behalf of requests that would otherwise be refused for what this node may have missed,
//! because it stood still or was cut off.

use std::pin::pin;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_util::future::{Either, select};
use keeljunction_core::Millis;

use super::{Node, watch};
use crate::runtime::{self, lock};

/// The minimum interval between the beginnings of two reads, in milliseconds.
const INTERVAL_MS: Millis = 50;
/// How long the first way takes before the other one is tried as well.
const OTHER_WAY_DELAY: Duration = Duration::from_millis(100);

/// Reads of one kind, one at a time. They are shared by the requests that wait for them.
#[derive(Debug)]
pub(super) struct SharedReads {
    /// Holds an item while a read is in progress.
    turns: (Sender<()>, Receiver<()>),
    last: Mutex<Option<Read>>,
}

/// A read that has begun.
#[derive(Clone, Copy, Debug)]
struct Read {
    begun_at: Millis,
    is_complete: bool,
}

/// The turn to read, until it is dropped.
struct Turn<'a>(&'a Receiver<()>);

impl SharedReads {
    /// Reads, unless another request's read began after `asked_at`, or after `since` and was complete.
    /// Both are times on the node's clock. Returns `true` if the read was complete, as `read` returns it.
    pub async fn share(
        &self,
        node: &Node,
        asked_at: Millis,
        since: Millis,
        read: impl AsyncFnOnce() -> bool,
    ) -> bool {
        let Some(_turn) = self.wait_for_turn().await else { return false };
        let last = *lock(&self.last);
        let is_shared =
            |last: &Read| last.begun_at > asked_at || last.is_complete && last.begun_at > since;
        if let Some(last) = last.filter(is_shared) {
            return last.is_complete;
        }
        let next = last.map_or(0, |last| last.begun_at + INTERVAL_MS);
        runtime::sleep(Duration::from_millis(next.saturating_sub(node.now()))).await;
        let begun_at = node.now();
        // The read may be cancelled.
        *lock(&self.last) = Some(Read { begun_at, is_complete: false });
        let is_complete = read().await;
        *lock(&self.last) = Some(Read { begun_at, is_complete });
        is_complete
    }

    /// Waits for the turn; returns `None` if the reads have ended.
    async fn wait_for_turn(&self) -> Option<Turn<'_>> {
        self.turns.0.send(()).await.ok()?;
        Some(Turn(&self.turns.1))
    }
}

impl Default for SharedReads {
    fn default() -> Self {
        Self { turns: async_channel::bounded(1), last: Mutex::default() }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        if self.0.try_recv().is_err() {
            log::error!("a turn to read ended twice");
        }
    }
}

/// Which way to what the tables hold is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// Reading the table service.
    ReadFirst,
    /// Asking another node, so that few nodes call the table service.
    AskFirst,
}

impl Order {
    /// Returns the order for what the readers of the tables tell other nodes.
    pub fn of(node: &Node) -> Self {
        match watch::is_reader(node) {
            true => Self::ReadFirst,
            false => Self::AskFirst,
        }
    }
}

/// Returns the first result of reading the table service and of asking other nodes; `None` if neither
/// has one. The second way is tried as well if the first one takes long.
pub(super) async fn read_or_ask<T>(
    order: Order,
    reading: impl Future<Output = Option<T>>,
    asking: impl Future<Output = Option<T>>,
) -> Option<T> {
    let (read_delay, ask_delay) = match order {
        Order::ReadFirst => (Duration::ZERO, OTHER_WAY_DELAY),
        Order::AskFirst => (OTHER_WAY_DELAY, Duration::ZERO),
    };
    let reading = async {
        runtime::sleep(read_delay).await;
        reading.await
    };
    let asking = async {
        runtime::sleep(ask_delay).await;
        asking.await
    };
    take_first(reading, asking).await
}

/// Returns the first result of two futures; `None` if neither has one.
pub(super) async fn take_first<T>(
    one: impl Future<Output = Option<T>>,
    other: impl Future<Output = Option<T>>,
) -> Option<T> {
    match select(pin!(one), pin!(other)).await {
        Either::Left((None, other)) => other.await,
        Either::Right((None, one)) => one.await,
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}
