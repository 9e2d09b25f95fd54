//! Messages between nodes.
//!
//! | module | purpose |
//! |---|---|
//! | `message` | defines the messages |
//! | `cluster` | rejects messages of other clusters |
//! | `link` | sends and receives datagrams |
//! | `dispatcher` | hands each message that arrives to the module that handles it |
//! | `discovery` | discovers the other nodes through a table of the platform |
//! | `report` | sends counts several times a second |
//! | `received_report` | merges the counts that other nodes send |
//! | `report_target` | defines the recipients of reports, and buffers samples for the next report |
//! | `summary_relay` | sends summaries to other regions, and relays theirs in this one |
//! | `relay_state` | holds the state of `summary_relay` |
//! | `loads` | tracks and queries the load of servers if nodes report in groups |
//! | `pending_loads` | holds pending load queries and load changes |
//! | `quota` | queries the owner of a client account whether a request is within its limit |
//! | `permits` | acquires permits from the owners of limited servers |
//! | `stream_origins` | sends and queries the software versions that began streams |
//! | `pending_queries` | holds queries that await an answer |
//! | `quarantine` | exchanges verdicts on requests that crash servers |
//! | `versions` | confirms or updates the node's copies of the platform's tables |
//! | `notifications` | sends and forwards changes that must not wait for the next report |
//! | `server_relay` | relays requests to servers for nodes that are cut off from them |
//! | `calls` | fetches content that does not fit a datagram |
//!
//! No guarantee depends on the delivery of a single datagram: a lost message makes a node more
//! conservative, never less.

pub(super) mod calls;
pub(super) mod cluster;
mod discovery;
mod dispatcher;
pub(super) mod link;
pub(super) mod loads;
pub(super) mod message;
pub(super) mod notifications;
pub(super) mod pending_loads;
pub(super) mod pending_queries;
pub(crate) mod permits;
pub(crate) mod quarantine;
pub(crate) mod quota;
mod received_report;
pub(super) mod relay_state;
pub(super) mod report;
pub(super) mod report_target;
pub(crate) mod server_relay;
pub(crate) mod slots;
pub(super) mod stream_origins;
mod summary_relay;
pub(super) mod versions;

use std::sync::Arc;

use super::Node;
use crate::runtime;

/// Starts the tasks that exchange messages with other nodes.
pub(super) fn start(node: &Arc<Node>) {
    runtime::spawn(discovery::run(node.clone()));
    runtime::spawn(dispatcher::run(node.clone()));
    runtime::spawn(report::run(node.clone()));
    runtime::spawn(versions::run(node.clone()));
    runtime::spawn(notifications::send(node.clone()));
    runtime::spawn(loads::send_changes(node.clone()));
    runtime::spawn(slots::send_changes(node.clone()));
}
