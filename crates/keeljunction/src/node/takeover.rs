//! Takeover of the requests of a dead node, from their records.

use std::sync::Arc;

use keeljunction_core::takeover::{self, RequestFacts};
use uuid::Uuid;

use super::answer::{Attempt, not_run, unknown};
use super::relay::Start;
use super::request::Id;
use super::state::HeldRecord;
use super::{Answer, Node, Request, claims, copy, ending, relay};
use crate::peer::wire::{Final, Record};
use crate::runtime;

/// Takes over all requests of a dead node.
pub fn take_over_node(node: &Arc<Node>, dead_node: &str) {
    let records = runtime::lock(&node.records);
    let ids: Vec<Id> = records
        .iter()
        .filter(|(_, held)| held.record.owner == dead_node)
        .map(|(id, _)| id.clone())
        .collect();
    drop(records);
    for id in ids {
        take_over_request(node, &id);
    }
}

/// Takes over the request of one record. Returns `true` if this node now runs it or has its answer.
pub fn take_over_request(node: &Arc<Node>, id: &Id) -> bool {
    if runtime::lock(&node.answers).contains_key(id) {
        return true;
    }
    let held = runtime::lock(&node.records).get(id).cloned();
    let Some(held) = held else { return false };
    let Some(active) = node.get_active_bundle() else { return false };
    let mut record = held.record.clone();
    record.deadline_left_ms = held.deadline.saturating_sub(node.now());
    let Some(request) = Request::from_record(node.now(), &record, &active.document) else {
        return false;
    };
    let answer = Arc::new(Answer::new(request));
    if runtime::lock(&node.answers).insert(id.clone(), answer.clone()).is_some() {
        return true;
    }
    let node = node.clone();
    runtime::spawn(async move { resume_from_record(&node, &answer, held).await });
    true
}

/// Restores an answer from a record and continues its request.
pub async fn resume_from_record(node: &Arc<Node>, answer: &Arc<Answer>, held: HeldRecord) {
    runtime::lock(&node.records).remove(&answer.request.get_id());
    answer.push(held.record.tokens.clone());
    if let Some(ended) = held.record.r#final.clone() {
        answer.set_own();
        answer.set_accepted();
        answer.finish(node.now(), ended);
        return;
    }
    node.metric.count("requests_taken_over", 1);
    answer.set_own();
    answer.set_accepted();
    if let Some(location) = copy::create(node, answer).await {
        copy::keep_updated(node, answer, location);
    }
    match decide_start(node, answer, &held.record).await {
        Some(start) => {
            let (node, answer) = (node.clone(), answer.clone());
            runtime::spawn(relay::run(node, answer, start));
        }
        None => log::info!("request {} ended at takeover", answer.request.key),
    }
}

/// Decides how the request continues. Returns `None` if it ended the answer.
async fn decide_start(node: &Arc<Node>, answer: &Arc<Answer>, record: &Record) -> Option<Start> {
    let request = &answer.request;
    let running = running_attempt(record);
    let facts = RequestFacts {
        is_model: request.is_model(),
        is_repeatable: request.class.repeatable || request.service.deduplicates,
        has_attempt: running.is_some(),
    };
    let attempt = Uuid::new_v4().to_string();
    let claim = match request.needs_claim() {
        true => claims::claim(node, request, &attempt).await.ok(),
        false => None,
    };
    match takeover::choose_strategy(facts, request.needs_claim(), claim) {
        takeover::Strategy::Attach => running.map(Start::Attached),
        takeover::Strategy::Rerun => Some(Start::Fresh),
        takeover::Strategy::Claimed => Some(Start::Claimed(attempt)),
        takeover::Strategy::Recorded(recorded) => finish(node, answer, ending::recorded(&recorded)),
        takeover::Strategy::NotRun => {
            finish(node, answer, not_run(503, "the request was given up before it was sent", 0))
        }
        takeover::Strategy::Unknown => {
            let why = "the node that had the request is gone and it is not to be repeated";
            finish(node, answer, unknown(502, why, 0))
        }
    }
}

fn finish(node: &Node, answer: &Answer, ended: Final) -> Option<Start> {
    answer.finish(node.now(), ended);
    None
}

fn running_attempt(record: &Record) -> Option<Attempt> {
    (!record.attempt.is_empty()).then(|| Attempt {
        id: record.attempt.clone(),
        server: record.server.clone(),
        address: record.server_address.clone(),
    })
}
