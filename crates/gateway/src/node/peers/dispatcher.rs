//! Hands each message that arrives from another node to the module that handles it.

use std::sync::Arc;

use super::link::Received;
use super::message::Message;
use super::{
    loads, notifications, permits, quarantine, quota, received_report, slots, stream_origins,
    summary_relay, versions,
};
use crate::node::{Node, staleness};
use crate::runtime;

/// Receives messages and hands them on, until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    let mut buffer = Vec::new();
    loop {
        let received = node.link.receive(&mut buffer).await;
        dispatch(&node, received).await;
    }
}

async fn dispatch(node: &Arc<Node>, received: Received) {
    let Received { from, sent, echoed_at, message } = received;
    summary_relay::record_round_trip(node, from, echoed_at, &message);
    match message {
        Message::Report(report) => received_report::handle_report(node, echoed_at, *report),
        Message::Summary(summary) => {
            summary_relay::handle_summary(node, from, sent, echoed_at, *summary)
        }
        Message::RelayedSummary { sent, summary } => {
            summary_relay::handle_relayed(node, sent, *summary);
        }
        Message::Overview(overview) => {
            received_report::handle_overview(node, from, echoed_at, *overview)
        }
        Message::QueryVersions => {
            let versions = Message::Versions(staleness::get_versions(node));
            node.link.send(node.now(), from, &versions).await;
        }
        Message::Versions(versions) => versions::handle(node, from, echoed_at, &versions),
        Message::Notification(notification) => {
            notifications::handle(node, from, notification).await
        }
        Message::QueryLoads { query_id, node: requester, servers } => {
            loads::answer_query(node, from, query_id, &requester, &servers).await;
        }
        Message::Loads { query_id, loads } => loads::handle_answer(node, query_id, loads),
        Message::QueryQuota { query_id, account, units } => {
            quota::answer_query(node, from, query_id, account, units).await;
        }
        Message::Quota { query_id, account, units, decision } => {
            quota::handle_decision(node, query_id, &account, units, decision);
        }
        Message::RequestPermit { query_id, observation, data_centre } => {
            permits::answer_request(node, from, query_id, &observation, &data_centre).await;
        }
        Message::Permit { query_id, key, decision } => {
            permits::handle_decision(node, from, query_id, key, decision).await;
        }
        Message::ReleasePermit(key) => permits::handle_release(node, key),
        Message::RequestSlot { query_id, request, data_centre } => {
            slots::answer_request(node, from, query_id, &request, &data_centre).await;
        }
        Message::Slot { query_id, decision } => {
            slots::handle_decision(node, query_id, decision);
        }
        Message::SlotsHeld(holdings) => slots::handle_holdings(node, &holdings),
        Message::SlotRejected { key, max_rejections } => {
            slots::handle_rejection(node, key, max_rejections);
        }
        Message::BrittleServices(observations) => {
            for observation in &observations {
                slots::apply_brittleness(node, observation);
            }
        }
        Message::ServerCrashed(end) => quarantine::handle_report(node, &end),
        Message::PromptsInterrupted(crash) => quarantine::handle_prompt_report(node, &crash),
        Message::RequestCompleted(fingerprint) => {
            quarantine::handle_completed(node, fingerprint);
        }
        Message::LoadChanged { node: peer, loads } => loads::handle_change(node, &peer, loads),
        Message::StreamOrigins(batches) => {
            stream_origins::handle_copies(node, from, &batches).await;
        }
        Message::StreamOriginsStored { holder, keys } => {
            stream_origins::handle_stored(node, holder, &keys);
        }
        Message::RequestStreamOrigins(entry) => {
            runtime::spawn(stream_origins::answer_request(node.clone(), from, entry));
        }
        Message::StreamOriginsSent { holder, records } => {
            stream_origins::handle_sent(node, holder, records);
        }
        Message::QueryStreamOrigin { query_id, key, services } => {
            stream_origins::answer_query(node, from, query_id, key, &services).await;
        }
        Message::ConfirmStreamOrigin { query_id, key, services } => {
            let node = node.clone();
            runtime::spawn(stream_origins::answer_confirmation(
                node, from, query_id, key, services,
            ));
        }
        Message::QueryArchivedOrigin { query_id, key } => {
            runtime::spawn(stream_origins::answer_archived(node.clone(), from, query_id, key));
        }
        Message::StreamOrigin { query_id, answer } => {
            stream_origins::handle_answer(node, query_id, answer);
        }
    }
}
