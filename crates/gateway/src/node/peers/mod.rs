//! Exchanges datagrams with the other nodes.
//!
//! | module | does |
//! |---|---|
//! | `message` | defines the messages |
//! | `link` | sends and receives datagrams |
//! | `register` | finds the other nodes in a table of the platform |
//! | `report` | exchanges counts some times a second |
//! | `audience` | says whom a node reports to, and holds samples for the next report |
//! | `carry` | sends summaries to other regions, and passes theirs on in this one |
//! | `carrying` | holds what is kept of summaries for other regions |
//! | `pending_loads` | holds questions for loads, and changed loads |
//! | `loads` | keeps and asks for the loads of servers, where nodes report in groups |
//! | `quota` | asks the owner of a client account whether a request is within its limit |
//! | `permits` | asks the owners of limited servers for permits |
//! | `questions` | holds questions that wait for answers |
//! | `quarantine` | exchanges which requests crash servers |
//! | `versions` | confirms what this node knows of the platform's tables, or gets what it lacks |
//! | `notifications` | passes on what must not wait for the next report |
//! | `calls` | gets what does not fit a datagram |
//!
//! Nothing that has to hold depends on one datagram arriving: what is not heard makes a node more
//! careful, never less.

pub(super) mod audience;
pub(super) mod calls;
mod carry;
pub(super) mod carrying;
pub(super) mod link;
pub(super) mod loads;
pub(super) mod message;
pub(super) mod notifications;
pub(super) mod pending_loads;
pub(crate) mod permits;
pub(crate) mod quarantine;
pub(super) mod questions;
pub(crate) mod quota;
mod register;
pub(super) mod report;
mod versions;

use std::sync::Arc;

use self::link::Received;
use self::message::Message;
use super::{Node, staleness};
use crate::runtime;

/// Starts the exchange with other nodes.
pub(super) fn start(node: &Arc<Node>) {
    runtime::spawn(register::run(node.clone()));
    runtime::spawn(listen(node.clone()));
    runtime::spawn(report::run(node.clone()));
    runtime::spawn(versions::ask(node.clone()));
    runtime::spawn(notifications::send(node.clone()));
    runtime::spawn(loads::send_changes(node.clone()));
}

async fn listen(node: Arc<Node>) {
    let mut buffer = Vec::new();
    loop {
        let Received { from, sent, asked_at, message } = node.link.receive(&mut buffer).await;
        carry::note_round_trip(&node, from, asked_at, &message);
        match message {
            Message::Report(report) => report::take_report(&node, asked_at, *report),
            Message::Summary(summary) => carry::take(&node, from, sent, asked_at, *summary),
            Message::Carried { run, sent_at, summary } => {
                carry::take_carried(&node, (run, sent_at), *summary);
            }
            Message::Overview(overview) => report::take_overview(&node, from, asked_at, *overview),
            Message::AskVersions => {
                let versions = Message::Versions(staleness::get_versions(&node));
                node.link.send(node.now(), from, &versions).await;
            }
            Message::Versions(versions) => versions::take(&node, from, asked_at, &versions),
            Message::Notification(notification) => {
                notifications::take(&node, from, notification).await
            }
            Message::AskLoads { question, node: asking, servers } => {
                loads::answer(&node, from, question, &asking, &servers).await;
            }
            Message::Loads { question, loads } => loads::take(&node, question, loads),
            Message::AskQuota { question, account, units } => {
                quota::answer(&node, from, question, account, units).await;
            }
            Message::Quota { question, account, units, decision } => {
                quota::take(&node, question, &account, units, decision);
            }
            Message::AskPermit { question, sighting, data_centre } => {
                permits::answer(&node, from, question, &sighting, &data_centre).await;
            }
            Message::Permit { question, key, decision } => {
                permits::take_answer(&node, from, question, key, decision).await;
            }
            Message::ReturnPermit(key) => permits::take_back(&node, key),
            Message::ServerCrashed(end) => quarantine::take_report(&node, &end),
            Message::RequestAnswered(fingerprint) => {
                quarantine::take_answered(&node, fingerprint);
            }
            Message::LoadChanged { node: peer, loads } => loads::take_change(&node, &peer, loads),
        }
    }
}
