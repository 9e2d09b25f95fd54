//! Exchanges with other nodes which requests crash servers (see
//! [`keeljunction_core::serving::quarantine`]).
//!
//! Reports go to the keeper of the service, the aggregator that owns its name. What the keeper decides
//! goes to all nodes at once as news, and some of all that is known goes with each report, for nodes that
//! missed it or were not there yet.

use std::sync::Arc;

use keeljunction_core::serving::quarantine::{Crash, Fingerprint, Standing, Verdict};

use super::message::{Message, Notification};
use crate::event::{self, Event};
use crate::node::Node;
use crate::node::state::State;
use crate::runtime;

/// Sends reports that are due, and judges as the keeper; once in each period of reports.
pub(super) async fn step(node: &Node) {
    send_reports(node).await;
    let now = node.now();
    for verdict in node.with(|state| state.quarantine.judge(now)) {
        announce(node, verdict);
    }
}

/// Sends the reports of servers that crashed to the keepers of their services.
pub(in crate::node) async fn send_reports(node: &Node) {
    let now = node.now();
    let due = node.with(|state| {
        let State { quarantine, members, .. } = state;
        quarantine.take_due(now, |service| members.find_owner(service))
    });
    for (keeper, crash) in due {
        node.link.send(now, keeper, &Message::ServerCrashed(crash)).await;
    }
}

/// Takes the report of a server that crashed, as the keeper.
pub(super) fn take_report(node: &Node, crash: &Crash) {
    let now = node.now();
    node.with(|state| state.quarantine.merge_report(now, crash));
}

/// Notes that a server answered a request whole, and notifies the keeper where the request is suspected.
pub(crate) fn note_request_completed(node: &Arc<Node>, fingerprint: Fingerprint) {
    let now = node.now();
    let service = node.with(|state| state.quarantine.record_completion(now, fingerprint));
    if let Some(service) = service {
        runtime::spawn(tell_answered(node.clone(), service, fingerprint));
    }
}

/// Notifies the keeper of a service that a request was answered whole.
async fn tell_answered(node: Arc<Node>, service: u64, fingerprint: Fingerprint) {
    match node.with(|state| state.members.find_owner(service)) {
        Some(keeper) => {
            node.link.send(node.now(), keeper, &Message::RequestAnswered(fingerprint)).await;
        }
        None => take_answered(&node, fingerprint),
    }
}

/// Takes the word of a node that a request was answered whole, as the keeper.
pub(super) fn take_answered(node: &Node, fingerprint: Fingerprint) {
    let now = node.now();
    let cleared = node.with(|state| state.quarantine.merge_completion(now, fingerprint));
    if let Some(verdict) = cleared {
        announce(node, verdict);
    }
}

/// Sends all nodes what this one decided as the keeper.
fn announce(node: &Node, verdict: Verdict) {
    log(&verdict, true);
    node.notify_peers(Notification::RequestJudged(verdict));
}

/// Takes what another node knows of a request; returns `true` if it is news.
pub(super) fn take_verdict(node: &Arc<Node>, verdict: Verdict) -> bool {
    let now = node.now();
    let merged = node.with(|state| state.quarantine.merge(now, verdict));
    if merged.is_news {
        log(&verdict, false);
    }
    if merged.is_answered_here {
        runtime::spawn(tell_answered(node.clone(), verdict.service, verdict.fingerprint));
    }
    merged.is_news
}

/// Takes the verdicts that came with a report.
pub(super) fn take_verdicts(node: &Arc<Node>, verdicts: Vec<Verdict>) {
    for verdict in verdicts {
        take_verdict(node, verdict);
    }
}

/// Takes a verdict from the platform's table, and sends it to all nodes where it is news.
pub(in crate::node) fn take_kept(node: &Arc<Node>, verdict: Verdict) {
    if take_verdict(node, verdict) {
        node.notify_peers(Notification::RequestJudged(verdict));
    }
}

fn log(verdict: &Verdict, is_keeper: bool) {
    if verdict.standing == Standing::Suspected && !is_keeper {
        return;
    }
    event::emit(&Event::RequestJudged {
        fingerprint: verdict.fingerprint.to_string(),
        service: verdict.service,
        standing: verdict.standing.as_str(),
        servers_crashed: verdict.servers_crashed,
        left_ms: verdict.left,
        is_keeper,
    });
}
