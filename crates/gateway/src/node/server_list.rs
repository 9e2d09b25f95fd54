//! Brings the server list up to date for requests that would be refused because it lacks their servers.
//!
//! A node that stood still or was cut off has the list of a time before that. It may learn of a stream's
//! origin first, whose servers joined meanwhile.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
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
/// neither the table service nor a node that reads it answers in time; an update that takes longer serves
/// later requests.
pub(crate) async fn refresh(node: &Arc<Node>) {
    let (ended, end) = async_channel::bounded(1);
    runtime::spawn(update_shared(node.clone(), ended));
    match runtime::timeout(TIMEOUT, end.recv()).await {
        Some(Ok(true)) => {}
        Some(Ok(false) | Err(_)) => {
            log::warn!("the server list could not be read before a request was refused");
        }
        None => log::warn!("the server list was not read in time before a request was refused"),
    }
}

async fn update_shared(node: Arc<Node>, ended: Sender<bool>) {
    let asked_at = node.now();
    let since = asked_at.saturating_sub(MAX_AGE_MS);
    let update = async || update(&node).await;
    let is_updated = node.server_list_reads.share(&node, asked_at, since, update).await;
    if ended.try_send(is_updated).is_err() {
        log::debug!("the request that a server list was read for has ended");
    }
}

/// Reads the changes of the list. Returns `true` if the table service or another node answered.
async fn update(node: &Node) -> bool {
    let reading = async { watch::read_changed_servers(node).await.then_some(()) };
    let asking = async { peers::fetch_servers(node).await.then_some(()) };
    read_or_ask(Order::of(node), reading, asking).await.is_some()
}
