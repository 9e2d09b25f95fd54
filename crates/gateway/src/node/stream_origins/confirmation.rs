//! Confirms which software versions are possible, by reads that begin after the request that needs
//! them.
//!
//! A node that stood still or was cut off does not know which versions appeared meanwhile. What it
//! knows tells of a stream's origin only as of its last read, and the stream may have begun later.
//! Reads are shared by the requests that wait for them.

use std::time::Duration;

use futures_lite::future;
use keeljunction_core::Millis;
use keeljunction_core::serving::stream_origin::{Answer, Key};

use crate::node::peers::stream_origins as peers;
use crate::node::reads::{Order, read_or_ask};
use crate::node::{Node, version_rows, watch};
use crate::runtime;

/// The timeout of a read, including the wait for an earlier one. A stream that cannot go on is
/// refused at once.
const READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns what is known of a stream's origin as of a time after this call began; `None` if neither
/// the table service nor a node that reads it answers.
pub(super) async fn confirm(node: &Node, key: Option<Key>, services: &[&str]) -> Option<Answer> {
    let reading = async {
        let is_read = read(node).await;
        is_read.then(|| get_answer(node, key, services))
    };
    read_or_ask(Order::of(node), reading, peers::ask_readers(node, key, services)).await
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
    let read = async || {
        let reads = future::zip(watch::read_changed_servers(node), version_rows::read_again(node));
        let (servers, rows) = reads.await;
        servers && rows
    };
    node.version_reads.share(node, asked_at, asked_at, read).await
}

fn get_answer(node: &Node, key: Option<Key>, services: &[&str]) -> Answer {
    let now = node.now();
    node.with(|state| peers::get_answer(state, now, key, services))
}
