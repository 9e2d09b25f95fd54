//! Exchanges reports and verdicts on requests that crash servers (see
//! [`keeljunction_core::serving::quarantine`]).
//!
//! Reports go to the owner of the service, the aggregator that owns its name. The owner's verdicts
//! go to all nodes as notifications, and each report carries some of the known verdicts for nodes
//! that missed them or started later.

use std::sync::Arc;

use keeljunction_core::serving::quarantine::{
    Crash, Fingerprint, PromptCrash, Report, Standing, Verdict,
};

use super::message::{Message, Notification};
use crate::event::{self, Event};
use crate::node::Node;
use crate::node::state::State;
use crate::runtime;

/// Sends due reports, and decides as the owner; called once per report period.
pub(super) async fn step(node: &Node) {
    send_reports(node).await;
    let now = node.now();
    for verdict in node.with(|state| state.quarantine.judge(now)) {
        announce(node, verdict);
    }
}

/// Sends the reports of crashed servers to the owners of their services.
pub(in crate::node) async fn send_reports(node: &Node) {
    let now = node.now();
    let due = node.with(|state| {
        let State { quarantine, members, .. } = state;
        quarantine.take_due(now, |service| members.find_owner(service))
    });
    for (owner, report) in due {
        let message = match report {
            Report::Requests(crash) => Message::ServerCrashed(crash),
            Report::Prompts(crash) => Message::PromptsInterrupted(crash),
        };
        node.link.send(now, owner, &message).await;
    }
}

/// Handles a report of interrupted prompts, as the owner.
pub(super) fn handle_prompt_report(node: &Node, crash: &PromptCrash) {
    let now = node.now();
    node.with(|state| state.quarantine.merge_prompt_report(now, crash));
}

/// Handles the report of a crashed server, as the owner.
pub(super) fn handle_report(node: &Node, crash: &Crash) {
    let now = node.now();
    node.with(|state| state.quarantine.merge_report(now, crash));
}

/// Records that a server completed the response to a request, and notifies the owner if the request
/// is suspected.
pub(crate) fn record_request_completed(node: &Arc<Node>, fingerprint: Fingerprint) {
    let now = node.now();
    let service = node.with(|state| state.quarantine.record_completion(now, fingerprint));
    if let Some(service) = service {
        runtime::spawn(notify_completed(node.clone(), service, fingerprint));
    }
}

/// Records that a server completed the response to a prompt with these parts, and notifies the owner
/// if one of them is suspected.
pub(crate) fn record_parts_completed(node: &Arc<Node>, parts: &[Fingerprint]) {
    let now = node.now();
    for part in parts {
        let service = node.with(|state| state.quarantine.record_part_completion(now, *part));
        if let Some(service) = service {
            runtime::spawn(notify_completed(node.clone(), service, *part));
        }
    }
}

/// Notifies the owner of a service that a request was completed.
async fn notify_completed(node: Arc<Node>, service: u64, fingerprint: Fingerprint) {
    match node.with(|state| state.members.find_owner(service)) {
        Some(owner) => {
            node.link.send(node.now(), owner, &Message::RequestCompleted(fingerprint)).await;
        }
        None => handle_completed(&node, fingerprint),
    }
}

/// Handles a node's message that a request was completed, as the owner.
pub(super) fn handle_completed(node: &Node, fingerprint: Fingerprint) {
    let now = node.now();
    let cleared = node.with(|state| state.quarantine.merge_completion(now, fingerprint));
    if let Some(verdict) = cleared {
        announce(node, verdict);
    }
}

/// Sends this node's verdict as the owner to all nodes.
fn announce(node: &Node, verdict: Verdict) {
    log(&verdict, true);
    node.notify_peers(Notification::RequestJudged(verdict));
}

/// Applies the verdict of another node; returns `true` if it is new.
pub(super) fn apply_verdict(node: &Arc<Node>, verdict: Verdict) -> bool {
    let now = node.now();
    let merged = node.with(|state| state.quarantine.merge(now, verdict));
    if merged.is_news {
        log(&verdict, false);
    }
    if merged.is_answered_here {
        runtime::spawn(notify_completed(node.clone(), verdict.service, verdict.fingerprint));
    }
    merged.is_news
}

/// Applies the verdicts in a report.
pub(super) fn apply_verdicts(node: &Arc<Node>, verdicts: Vec<Verdict>) {
    for verdict in verdicts {
        apply_verdict(node, verdict);
    }
}

/// Applies a verdict from the platform's table, and sends it to all nodes if it is new.
pub(in crate::node) fn apply_persisted(node: &Arc<Node>, verdict: Verdict) {
    if apply_verdict(node, verdict) {
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
