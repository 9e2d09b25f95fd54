//! Ends answers: a completed one is recorded with its claim, and a rejected request is removed.

use std::sync::Arc;

use keeljunction_core::claim;

use super::answer::{Attempt, done};
use super::{Answer, Node, claims};
use crate::peer::wire::Final;
use crate::runtime;

/// Ends a model answer that has all its tokens.
pub fn finish_model(node: &Arc<Node>, answer: &Answer, attempt: &Attempt) {
    node.metric.count("requests_done", 1);
    answer.finish(node.now(), done(200, "text/event-stream", Vec::new()));
    record_claim(node, answer, &attempt.id);
}

/// Ends the answer of a plain service, and records it with the claim.
pub fn finish_plain(node: &Arc<Node>, answer: &Answer, attempt: &str, end: Final) {
    node.metric.count("requests_done", 1);
    answer.finish(node.now(), end);
    record_claim(node, answer, attempt);
}

/// Records an answer with its claim, so that a repeated request gets the same answer.
fn record_claim(node: &Arc<Node>, answer: &Answer, attempt: &str) {
    if !answer.request.needs_claim() {
        return;
    }
    let update = answer.get_since(0);
    let Some(ended) = update.ended else { return };
    let body =
        if answer.request.is_model() { update.tokens.concat().into_bytes() } else { ended.body };
    let recorded = claim::Answer {
        status: ended.status as u16,
        media_type: ended.media_type,
        body: hex::encode(body),
    };
    claims::record(node, &answer.request, attempt, recorded);
}

/// Rejects a request that has not been sent.
pub fn refuse(node: &Arc<Node>, answer: &Answer, ended: Final) {
    node.metric.count("requests_refused", 1);
    runtime::lock(&node.answers).remove(&answer.request.get_id());
    answer.finish(node.now(), ended);
}

/// Returns the answer that was recorded with a claim.
pub fn recorded(answer: &claim::Answer) -> Final {
    let body = hex::decode(&answer.body).unwrap_or_default();
    done(answer.status, &answer.media_type, body)
}
