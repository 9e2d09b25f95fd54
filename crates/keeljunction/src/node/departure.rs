//! Drains streams from VMs that are being reclaimed.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::directory::Departure;
use keeljunction_core::drain::{self, Action, Limits, Stream};

use super::{Answer, Node, grant, stop};
use crate::runtime;

/// Applies a departure: the server gets no new requests and its streams are drained.
///
/// If the VM is that of this node, the node stops.
pub fn apply(node: &Arc<Node>, departure: &Departure) {
    let is_new = runtime::lock(&node.directory).add_departure(departure);
    if !is_new {
        return;
    }
    let left = departure.gone_at.saturating_sub(node.now());
    if departure.server == node.get_name() {
        stop::begin(node, Duration::from_millis(left));
    }
    log::info!("VM {} leaves in {left} ms", departure.server);
    node.metric.count("departures", 1);
    grant::sync_all(node);
    node.notify_peers();
    drain_streams(node, &departure.server, left);
}

/// Plans how the streams of this node leave a server, and notifies their relays.
fn drain_streams(node: &Arc<Node>, server: &str, notice: u64) {
    let answers = streams_on(node, server);
    let Some(first) = answers.first() else { return };
    let node_count = node.usable_nodes().len().max(1) as u64;
    let export = first.request.service.export_tokens_per_second / node_count;
    let limits = Limits { notice, export_tokens_per_second: export };
    answers.iter().for_each(|answer| answer.expedite_replication());
    let streams: Vec<Stream> = answers.iter().map(|answer| to_stream(answer)).collect();
    for (attempt, action) in drain::plan(&limits, &streams) {
        let name = match action {
            Action::Finish => "drain_finish",
            Action::Move => "drain_move",
            Action::Resume => "drain_resume",
        };
        node.metric.count(name, 1);
        if action == Action::Finish {
            continue;
        }
        let is_planned =
            |answer: &&Arc<Answer>| answer.get_attempt().is_some_and(|a| a.id == attempt);
        if let Some(answer) = answers.iter().find(is_planned) {
            answer.request_drain(action);
        }
    }
}

/// Returns the unfinished model answers on a server.
fn streams_on(node: &Node, server: &str) -> Vec<Arc<Answer>> {
    let answers = runtime::lock(&node.answers);
    let is_running_there = |answer: &&Arc<Answer>| {
        answer.request.is_model()
            && answer.get_ended_at().is_none()
            && answer.get_attempt().is_some_and(|attempt| attempt.server == server)
    };
    answers.values().filter(is_running_there).cloned().collect()
}

fn to_stream(answer: &Answer) -> Stream {
    let generated = answer.get_length();
    let request = &answer.request;
    Stream {
        attempt: answer.get_attempt().map(|attempt| attempt.id).unwrap_or_default(),
        priority: request.class.priority,
        context_tokens: request.prompt.tokens + generated,
        tokens_left: request.prompt.output_tokens.saturating_sub(generated),
        gap_ms: request.class.gap_ms,
    }
}
