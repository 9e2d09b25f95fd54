//! Moves streams off VMs that are going away.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::directory::Departure;
use keeljunction_core::drain::{self, Action, Limits, Stream};

use super::{Answer, Node, grant, stop};
use crate::runtime;

/// Takes news in that a VM is leaving: nothing new goes there, and its streams are moved. Of its
/// own VM the node learns like that too, and stops.
pub fn learn(node: &Arc<Node>, departure: &Departure) {
    let is_new = runtime::lock(&node.directory).add_departure(departure);
    if !is_new {
        return;
    }
    let left = departure.gone_at.saturating_sub(node.now());
    if departure.server == node.get_name() {
        stop::begin(node, Duration::from_millis(left));
    }
    log::info!("server {} is leaving in {left} ms", departure.server);
    node.metric.count("departures", 1);
    grant::sync_all(node);
    node.post_news();
    steer(node, &departure.server, left);
}

/// Plans the streams of this node on a server that is leaving, and notifies their relays.
fn steer(node: &Arc<Node>, server: &str, notice: u64) {
    let answers = running_on(node, server);
    let Some(first) = answers.first() else { return };
    let sharers = node.usable_nodes().len().max(1) as u64;
    let export = first.request.service.export_tokens_per_second / sharers;
    let limits = Limits { notice, export_tokens_per_second: export };
    answers.iter().for_each(|answer| answer.press());
    let streams: Vec<Stream> = answers.iter().map(|answer| describe(answer)).collect();
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
        let is_it = |answer: &&Arc<Answer>| answer.get_attempt().is_some_and(|a| a.id == attempt);
        if let Some(answer) = answers.iter().find(is_it) {
            answer.steer(action);
        }
    }
}

/// Lists the model answers that run on a server.
fn running_on(node: &Node, server: &str) -> Vec<Arc<Answer>> {
    let answers = runtime::lock(&node.answers);
    let is_there = |answer: &&Arc<Answer>| {
        answer.request.is_model()
            && answer.get_ended_at().is_none()
            && answer.get_attempt().is_some_and(|attempt| attempt.server == server)
    };
    answers.values().filter(is_there).cloned().collect()
}

fn describe(answer: &Answer) -> Stream {
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
