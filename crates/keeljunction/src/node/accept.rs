//! Takes a request, or refuses it at once.
//!
//! A request is accepted once it has a grant, a copy of its record at a peer, and, where it must
//! not be repeated, a claim. Whatever is missing, it is refused with when to come back.

use std::sync::Arc;

use keeljunction_core::claim::Verdict;
use keeljunction_core::shard::{Grant, Refusal};
use uuid::Uuid;

use super::answer::{not_run, unknown};
use super::grant::{Usage, Want};
use super::relay::Start;
use super::{Answer, Node, Request, claims, copy, ending, find, grant, relay};
use crate::peer::wire::Final;
use crate::runtime;

/// When to come back where all seats are taken, in milliseconds.
const SEAT_RETRY_MS: u64 = 500;
/// When to come back where neither a peer nor the platform answers, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 1_000;

/// How a caller names its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Naming {
    /// The key came with the request, so the request may be known somewhere.
    Given,
    /// The key was drawn for it.
    Drawn,
    /// The caller comes back for the rest of an answer.
    Returning,
}

/// Takes a request in, or finds the answer that it has. The answer may end at once as a refusal.
pub fn accept(node: &Arc<Node>, request: Request, naming: Naming) -> Arc<Answer> {
    let id = request.get_id();
    let answer = {
        let mut answers = runtime::lock(&node.answers);
        let known = answers.get(&id);
        if let Some(known) = known.filter(|a| naming == Naming::Returning || !a.is_spent()) {
            return same_or_refused(node, known, request);
        }
        let answer = Arc::new(Answer::new(request));
        answers.insert(id, answer.clone());
        answer
    };
    let (node, taken) = (node.clone(), answer.clone());
    runtime::spawn(async move { take(node, taken, naming).await });
    answer
}

fn same_or_refused(node: &Node, known: &Arc<Answer>, request: Request) -> Arc<Answer> {
    if known.request.digest == request.digest {
        return known.clone();
    }
    let refused = Arc::new(Answer::new(request));
    refused.finish(node.now(), key_reused());
    refused
}

fn key_reused() -> Final {
    not_run(422, "the key was used for another request", 0)
}

async fn take(node: Arc<Node>, answer: Arc<Answer>, naming: Naming) {
    // The claim of an unrepeatable request names who has it; others are looked for.
    let is_sought = naming == Naming::Given && !answer.request.needs_claim();
    if (is_sought || naming == Naming::Returning) && find::resume(&node, &answer).await {
        return;
    }
    if naming == Naming::Returning {
        let lost = unknown(409, "no node knows this answer; ask again without Last-Event-ID", 0);
        return ending::refuse(&node, &answer, lost);
    }
    let Some(seat) = node.take_seat(&answer.request.account) else {
        return ending::refuse(
            &node,
            &answer,
            not_run(429, "too many requests are in flight", SEAT_RETRY_MS),
        );
    };
    match prepare(&node, &answer).await {
        Ok(start) => {
            answer.own();
            answer.accept();
            relay::run(node.clone(), answer, start).await;
        }
        Err(Instead::End(ended)) => ending::refuse(&node, &answer, ended),
        Err(Instead::RunsAt(runner)) => {
            drop(seat);
            return follow_runner(&node, &answer, &runner).await;
        }
    }
    drop(seat);
}

/// What becomes of a request that is not run here.
enum Instead {
    /// It ends at once.
    End(Final),
    /// Another node has its claim.
    RunsAt(String),
}

/// Follows the node that has the claim of an unrepeatable request, where it answers for it.
async fn follow_runner(node: &Arc<Node>, answer: &Arc<Answer>, runner: &str) {
    if !find::follow_at(node, answer, runner).await && !find::resume(node, answer).await {
        ending::refuse(node, answer, sent_before());
    }
}

fn sent_before() -> Final {
    unknown(409, "the request was sent before and its answer is not known", OUTAGE_RETRY_MS)
}

/// Gets all that an accepted request needs.
async fn prepare(node: &Arc<Node>, answer: &Arc<Answer>) -> Result<Start, Instead> {
    let request = &answer.request;
    node.count_try(&request.service.name);
    let want = Want {
        wait: request.class.first_token_ms / 2,
        priority: request.class.priority,
        avoid: &[],
    };
    let granted = grant::acquire(node, request, want).await;
    let no_room = |r: Refusal| not_run(503, "no backend server has room", r.retry_after);
    let grant = granted.map_err(|refusal| Instead::End(no_room(refusal)))?;
    let place = if request.is_safe() { None } else { Some(copy::place(node, answer).await) };
    if place == Some(None) {
        release_grant(node, &grant);
        let ended = not_run(503, "the request's record could not be copied", OUTAGE_RETRY_MS);
        return Err(Instead::End(ended));
    }
    let place = place.flatten();
    let attempt = Uuid::new_v4().to_string();
    if request.needs_claim()
        && let Err(instead) = get_claim(node, answer, &attempt).await
    {
        release_grant(node, &grant);
        if let Some(place) = &place {
            copy::forget(node, answer, place).await;
        }
        return Err(instead);
    }
    if let Some(place) = place {
        copy::keep(node, answer, place);
    }
    Ok(Start::Granted(grant, attempt))
}

/// Claims a request that must not be repeated, or says what its caller gets instead.
async fn get_claim(node: &Arc<Node>, answer: &Answer, attempt: &str) -> Result<(), Instead> {
    match claims::claim(node, &answer.request, attempt).await {
        Ok(Verdict::HeldByOther(runner)) => Err(Instead::RunsAt(runner)),
        Ok(verdict) => judged(verdict).map_err(Instead::End),
        Err(fault) => {
            claims::release(node, &answer.request, attempt);
            node.metric.count("claims_failed", 1);
            let why = format!("the request could not be claimed: {fault}");
            Err(Instead::End(not_run(503, &why, OUTAGE_RETRY_MS)))
        }
    }
}

/// Turns the verdict over a claim into leave to run, or into what the caller gets instead.
fn judged(verdict: Verdict) -> Result<(), Final> {
    match verdict {
        Verdict::Run => Ok(()),
        Verdict::Recorded(answer) => Err(ending::recorded(&answer)),
        Verdict::Released => Err(not_run(503, "the request was given up before it was sent", 0)),
        Verdict::HeldByOther(_) | Verdict::Available => Err(sent_before()),
        Verdict::Mismatch => Err(key_reused()),
    }
}

fn release_grant(node: &Arc<Node>, grant: &Grant) {
    grant::release(node, &grant.id, Usage { cost: Some(0), is_failed: false });
}
