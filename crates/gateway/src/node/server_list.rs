//! Brings the server list up to date for requests that would be refused because it lacks their servers.
//!
//! A node that stood still or was cut off has the list of a time before that. It may learn of a stream's
//! origin first, whose servers joined meanwhile.

use std::time::Duration;

use keeljunction_core::Millis;

use super::peers::versions as peers;
use super::reads::{Order, read_or_ask};
use super::{Node, watch};
use crate::runtime;

/// The timeout of an update, including the wait for an earlier one. A request that cannot be served is
/// refused at once.
const TIMEOUT: Duration = Duration::from_millis(150);
/// The age up to which an update serves further requests. Each of them is refused if the servers are
/// gone for good.
const MAX_AGE_MS: Millis = 500;

/// Brings the server list up to date, unless that was done a moment ago. The list may remain as it is if
/// neither the table service nor a node that reads it answers.
pub(crate) async fn refresh(node: &Node) {
    let since = node.now().saturating_sub(MAX_AGE_MS);
    let update = node.server_list_reads.share(node, since, async || update(node).await);
    match runtime::timeout(TIMEOUT, update).await {
        Some(true) => {}
        Some(false) => log::warn!("the server list of a refused request could not be read"),
        None => log::warn!("the server list of a refused request was not read in time"),
    }
}

async fn update(node: &Node) -> bool {
    let reading = async { watch::read_changed_servers(node).await.then_some(()) };
    let asking = async { peers::fetch_servers(node).await.then_some(()) };
    read_or_ask(Order::of(node), reading, asking).await.is_some()
}
