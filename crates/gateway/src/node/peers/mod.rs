//! Messages between nodes.
//!
//! | module | purpose |
//! |---|---|
//! | `message` | defines the messages |
//! | `link` | sends and receives datagrams |
//! | `discovery` | discovers the other nodes through a table of the platform |
//! | `report` | exchanges counts several times a second |
//! | `report_target` | defines the recipients of reports, and buffers samples for the next report |
//! | `summary_relay` | sends summaries to other regions, and relays theirs in this one |
//! | `relay_state` | holds the state of `summary_relay` |
//! | `loads` | tracks and queries the load of servers if nodes report in groups |
//! | `pending_loads` | holds pending load queries and load changes |
//! | `quota` | asks the owner of a client account whether a request is within its limit |
//! | `permits` | acquires permits from the owners of limited servers |
//! | `stream_origins` | sends and asks for the software versions that began streams |
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
mod discovery;
pub(super) mod link;
pub(super) mod loads;
pub(super) mod message;
pub(super) mod notifications;
pub(super) mod pending_loads;
pub(super) mod pending_queries;
pub(crate) mod permits;
pub(crate) mod quarantine;
pub(crate) mod quota;
pub(super) mod relay_state;
pub(super) mod report;
pub(super) mod report_target;
pub(crate) mod server_relay;
pub(crate) mod slots;
pub(super) mod stream_origins;
mod summary_relay;
mod versions;

use std::sync::Arc;

use self::link::Received;
use self::message::Message;
use super::{Node, staleness};
use crate::runtime;

/// Starts the tasks that exchange messages with other nodes.
pub(super) fn start(node: &Arc<Node>) {
    runtime::spawn(discovery::run(node.clone()));
    runtime::spawn(listen(node.clone()));
    runtime::spawn(report::run(node.clone()));
    runtime::spawn(versions::run(node.clone()));
    runtime::spawn(notifications::send(node.clone()));
    runtime::spawn(loads::send_changes(node.clone()));
    runtime::spawn(slots::send_changes(node.clone()));
}

async fn listen(node: Arc<Node>) {
    let mut buffer = Vec::new();
    loop {
        let Received { from, sent, echoed_at, message } = node.link.receive(&mut buffer).await;
        summary_relay::record_round_trip(&node, from, echoed_at, &message);
        match message {
            Message::Report(report) => report::handle_report(&node, echoed_at, *report),
            Message::Summary(summary) => {
                summary_relay::handle_summary(&node, from, sent, echoed_at, *summary)
            }
            Message::RelayedSummary { boot_id, sent_at, summary } => {
                summary_relay::handle_relayed(&node, (boot_id, sent_at), *summary);
            }
            Message::Overview(overview) => {
                report::handle_overview(&node, from, echoed_at, *overview)
            }
            Message::QueryVersions => {
                let versions = Message::Versions(staleness::get_versions(&node));
                node.link.send(node.now(), from, &versions).await;
            }
            Message::Versions(versions) => versions::handle(&node, from, echoed_at, &versions),
            Message::Notification(notification) => {
                notifications::handle(&node, from, notification).await
            }
            Message::QueryLoads { query_id, node: requester, servers } => {
                loads::answer_query(&node, from, query_id, &requester, &servers).await;
            }
            Message::Loads { query_id, loads } => loads::handle_answer(&node, query_id, loads),
            Message::QueryQuota { query_id, account, units } => {
                quota::answer_query(&node, from, query_id, account, units).await;
            }
            Message::Quota { query_id, account, units, decision } => {
                quota::handle_decision(&node, query_id, &account, units, decision);
            }
            Message::RequestPermit { query_id, observation, data_centre } => {
                permits::answer_request(&node, from, query_id, &observation, &data_centre).await;
            }
            Message::Permit { query_id, key, decision } => {
                permits::handle_decision(&node, from, query_id, key, decision).await;
            }
            Message::ReleasePermit(key) => permits::handle_release(&node, key),
            Message::RequestSlot { query_id, request, data_centre } => {
                slots::answer_request(&node, from, query_id, &request, &data_centre).await;
            }
            Message::Slot { query_id, decision } => {
                slots::handle_decision(&node, query_id, decision);
            }
            Message::SlotsHeld(holdings) => slots::handle_holdings(&node, &holdings),
            Message::SlotRejected { key, max_rejections } => {
                slots::handle_rejection(&node, key, max_rejections);
            }
            Message::BrittleServices(observations) => {
                for observation in &observations {
                    slots::apply_brittleness(&node, observation);
                }
            }
            Message::ServerCrashed(end) => quarantine::handle_report(&node, &end),
            Message::PromptsInterrupted(crash) => quarantine::handle_prompt_report(&node, &crash),
            Message::RequestCompleted(fingerprint) => {
                quarantine::handle_completed(&node, fingerprint);
            }
            Message::LoadChanged { node: peer, loads } => loads::handle_change(&node, &peer, loads),
            Message::StreamOrigins(batches) => stream_origins::handle_origins(&node, &batches),
            Message::QueryStreamOrigin { query_id, key, services } => {
                stream_origins::answer_query(&node, from, query_id, key, &services).await;
            }
            Message::StreamOrigin { query_id, answer } => {
                stream_origins::handle_answer(&node, query_id, answer);
            }
        }
    }
}
