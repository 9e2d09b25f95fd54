//! Admission of requests.
//!
//! A request is accepted once it has a grant, a copy of its record at a peer, and a claim if it
//! must not be repeated. Without any of these it is rejected at once, with a retry delay.

use std::sync::Arc;

use keeljunction_core::claim::Verdict;
use keeljunction_core::shard::{Grant, Refusal};
use uuid::Uuid;

use super::answer::{not_run, unknown};
use super::grant::{GrantOptions, Usage};
use super::relay::Start;
use super::{Answer, Node, Request, claims, copy, ending, find, grant, relay};
use crate::peer::wire::Final;
use crate::runtime;

/// Retry delay sent when an in-flight limit is reached.
const SATURATED_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent when neither a peer nor the platform responds.
const OUTAGE_RETRY_AFTER_MS: u64 = 1_000;

/// Where the key of a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// The client sent the key, so a node may already know the request.
    Client,
    /// This node generated the key.
    Generated,
    /// The client reconnects for the rest of an answer.
    Resumption,
}

/// Accepts a request, or returns the answer of an earlier request with the same key.
///
/// A rejected request is returned as an answer that has already ended.
pub fn accept(node: &Arc<Node>, request: Request, key_source: KeySource) -> Arc<Answer> {
    let id = request.get_id();
    let answer = {
        let mut answers = runtime::lock(&node.answers);
        let known = answers.get(&id);
        if let Some(known) = known.filter(|a| key_source == KeySource::Resumption || !a.is_failed())
        {
            return reuse_or_refuse(node, known, request);
        }
        let answer = Arc::new(Answer::new(request));
        answers.insert(id, answer.clone());
        answer
    };
    let (node, admitted) = (node.clone(), answer.clone());
    runtime::spawn(async move { admit(node, admitted, key_source).await });
    answer
}

fn reuse_or_refuse(node: &Node, known: &Arc<Answer>, request: Request) -> Arc<Answer> {
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

async fn admit(node: Arc<Node>, answer: Arc<Answer>, key_source: KeySource) {
    // A request that needs a claim finds its runner in the claim row; any other is searched for.
    let is_search_needed = key_source == KeySource::Client && !answer.request.needs_claim();
    if (is_search_needed || key_source == KeySource::Resumption)
        && find::follow_known(&node, &answer).await
    {
        return;
    }
    if key_source == KeySource::Resumption {
        let lost = unknown(409, "no node knows this answer; ask again without Last-Event-ID", 0);
        return ending::refuse(&node, &answer, lost);
    }
    let Some(permit) = node.try_acquire_permit(&answer.request.account) else {
        return ending::refuse(
            &node,
            &answer,
            not_run(429, "too many requests are in flight", SATURATED_RETRY_AFTER_MS),
        );
    };
    match prepare(&node, &answer).await {
        Ok(start) => {
            answer.set_own();
            answer.set_accepted();
            relay::run(node.clone(), answer, start).await;
        }
        Err(NotRunHere::End(ended)) => ending::refuse(&node, &answer, ended),
        Err(NotRunHere::RunsAt(runner)) => {
            drop(permit);
            return follow_runner(&node, &answer, &runner).await;
        }
    }
    drop(permit);
}

/// Why a request does not run on this node.
enum NotRunHere {
    /// The request ends at once with this result.
    End(Final),
    /// The named node holds its claim.
    RunsAt(String),
}

/// Follows the node that holds the claim of a request that must not be repeated, if that node
/// confirms it.
async fn follow_runner(node: &Arc<Node>, answer: &Arc<Answer>, runner: &str) {
    if !find::follow_runner(node, answer, runner).await && !find::follow_known(node, answer).await {
        ending::refuse(node, answer, already_sent());
    }
}

fn already_sent() -> Final {
    unknown(409, "the request was sent before and its answer is not known", OUTAGE_RETRY_AFTER_MS)
}

/// Obtains the grant, the copy of the record and the claim that an accepted request needs.
async fn prepare(node: &Arc<Node>, answer: &Arc<Answer>) -> Result<Start, NotRunHere> {
    let request = &answer.request;
    node.count_first_attempt(&request.service.name);
    let options = GrantOptions {
        wait: request.class.first_token_ms / 2,
        priority: request.class.priority,
        avoid: &[],
    };
    let granted = grant::acquire(node, request, options).await;
    let no_capacity = |r: Refusal| not_run(503, "no backend server has room", r.retry_after);
    let grant = granted.map_err(|refusal| NotRunHere::End(no_capacity(refusal)))?;
    let location = if request.is_safe() { None } else { Some(copy::create(node, answer).await) };
    if location == Some(None) {
        release_grant(node, &grant);
        let ended = not_run(503, "the request's record could not be copied", OUTAGE_RETRY_AFTER_MS);
        return Err(NotRunHere::End(ended));
    }
    let location = location.flatten();
    let attempt = Uuid::new_v4().to_string();
    if request.needs_claim()
        && let Err(not_run_here) = claim_request(node, answer, &attempt).await
    {
        release_grant(node, &grant);
        if let Some(location) = &location {
            copy::discard(node, answer, location).await;
        }
        return Err(not_run_here);
    }
    if let Some(location) = location {
        copy::keep_updated(node, answer, location);
    }
    Ok(Start::Granted(grant, attempt))
}

/// Claims a request that must not be repeated.
///
/// # Errors
///
/// Returns why the request does not run on this node.
async fn claim_request(node: &Arc<Node>, answer: &Answer, attempt: &str) -> Result<(), NotRunHere> {
    match claims::claim(node, &answer.request, attempt).await {
        Ok(Verdict::HeldByOther(runner)) => Err(NotRunHere::RunsAt(runner)),
        Ok(verdict) => resolve_verdict(verdict).map_err(NotRunHere::End),
        Err(fault) => {
            claims::release(node, &answer.request, attempt);
            node.metric.count("claims_failed", 1);
            let why = format!("the request could not be claimed: {fault}");
            Err(NotRunHere::End(not_run(503, &why, OUTAGE_RETRY_AFTER_MS)))
        }
    }
}

/// Converts the verdict on a claim: `Ok` if the request may run, otherwise the result for the
/// client.
fn resolve_verdict(verdict: Verdict) -> Result<(), Final> {
    match verdict {
        Verdict::Run => Ok(()),
        Verdict::Recorded(answer) => Err(ending::recorded(&answer)),
        Verdict::Released => Err(not_run(503, "the request was given up before it was sent", 0)),
        Verdict::HeldByOther(_) | Verdict::Available => Err(already_sent()),
        Verdict::Mismatch => Err(key_reused()),
    }
}

fn release_grant(node: &Arc<Node>, grant: &Grant) {
    grant::release(node, &grant.id, Usage { cost: Some(0), is_failed: false });
}
