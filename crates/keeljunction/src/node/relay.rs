//! Runs an accepted request, with failover and migration between backend servers.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::attempt::{Conditions, End, Next, Reason};
use keeljunction_core::drain::Action;
use keeljunction_core::outcome::Outcome;
use keeljunction_core::shard::{GENERATED_TOKEN_COST, Grant, Refusal};
use keeljunction_core::stream::Cursor;
use uuid::Uuid;

use super::answer::{Attempt, not_run, unknown};
use super::attempt;
use super::grant::{self, GrantOptions, Usage};
use super::{Answer, Node, claims};
use crate::runtime;

/// Attaches without progress after the stream of an attempt was interrupted.
const MAX_FRUITLESS_ATTACHES: u32 = 2;
const ATTACH_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_GRANT_RETRY_INTERVAL_MS: u64 = 500;
/// Retry delay sent when the retry budget is exhausted, in milliseconds.
const NO_RETRY_BUDGET_RETRY_AFTER_MS: u64 = 1_000;

/// The usage of a grant that was not used.
const UNUSED: Usage = Usage { cost: Some(0), is_failed: false };

/// How a request starts or resumes.
#[derive(Clone, Debug)]
pub enum Start {
    /// With a grant and the ID of the attempt, which a claim may name.
    Granted(Grant, String),
    /// By attaching to an attempt that may still be running.
    Attached(Attempt),
    /// With a claim that names this attempt.
    Claimed(String),
    /// With neither a grant nor an attempt.
    Fresh,
}

/// The next step after an attempt.
enum Step {
    Stop,
    Retry,
}

/// The state shared by the attempts of one request.
struct Relay {
    node: Arc<Node>,
    answer: Arc<Answer>,
    cursor: Cursor,
    avoid: Vec<String>,
    /// The attempt that is being drained from its server, and how.
    migrating: Option<(Attempt, Action)>,
    /// The attempt that the claim names. No other attempt may be sent.
    claimed_attempt: Option<String>,
}

/// Runs a request until its answer has ended.
pub async fn run(node: Arc<Node>, answer: Arc<Answer>, start: Start) {
    let cursor = Cursor::new("", answer.get_length());
    let mut relay =
        Relay { node, answer, cursor, avoid: Vec::new(), migrating: None, claimed_attempt: None };
    let mut granted = match start {
        Start::Granted(grant, attempt) => {
            relay.claimed_attempt = relay.answer.request.needs_claim().then(|| attempt.clone());
            Some((grant, attempt))
        }
        Start::Attached(attempt) => match relay.attach(&attempt).await {
            Step::Stop => return,
            Step::Retry => None,
        },
        Start::Claimed(attempt) => {
            relay.claimed_attempt = Some(attempt);
            None
        }
        Start::Fresh => None,
    };
    loop {
        let (grant, name) = match granted.take() {
            Some(granted) => granted,
            None => match relay.next_grant().await {
                Some(grant) => {
                    let name =
                        relay.claimed_attempt.clone().unwrap_or_else(|| Uuid::new_v4().to_string());
                    (grant, name)
                }
                None => return,
            },
        };
        if matches!(relay.attempt(grant, name).await, Step::Stop) {
            return;
        }
    }
}

impl Relay {
    /// Makes one attempt with a grant, and decides on the next step.
    async fn attempt(&mut self, grant: Grant, name: String) -> Step {
        let attempt =
            Attempt { id: name, server: grant.server.clone(), address: grant.address.clone() };
        if let Some(step) = self.complete_migration(&attempt, &grant).await {
            return step;
        }
        self.answer.set_attempt(attempt.clone());
        // A departure that is applied after this point finds the attempt and drains it.
        if self.node.is_leaving(&attempt.server) {
            grant::release(&self.node, &grant.id, UNUSED);
            self.avoid.push(attempt.server);
            return Step::Retry;
        }
        let before = self.cursor.get_next();
        let priority = self.answer.request.class.priority;
        let end = if self.answer.request.is_model() {
            attempt::run_model(
                &self.node,
                &self.answer,
                &attempt,
                priority,
                &mut self.cursor,
                &grant.id,
            )
            .await
        } else {
            attempt::run_plain(&self.node, &self.answer, &attempt).await
        };
        let generated = self.cursor.get_next() - before;
        let usage = Usage {
            cost: Some(grant.uncached_tokens + GENERATED_TOKEN_COST * generated),
            is_failed: matches!(end, End::NotSent | End::Interrupted),
        };
        let end = self.reattach(end, &attempt).await;
        grant::release(&self.node, &grant.id, usage);
        self.decide(end, attempt).await
    }

    /// Resumes reading an interrupted attempt, as long as its server still has it.
    async fn reattach(&mut self, end: End, attempt: &Attempt) -> End {
        let mut end = end;
        if !self.answer.request.is_model() {
            return end;
        }
        let mut fruitless = 0;
        while matches!(end, End::Interrupted) && fruitless < MAX_FRUITLESS_ATTACHES {
            let before = self.cursor.get_next();
            end = attempt::attach(&self.node, &self.answer, attempt, &mut self.cursor).await;
            if self.cursor.get_next() == before {
                fruitless += 1;
                runtime::sleep(ATTACH_RETRY_INTERVAL).await;
            }
        }
        end
    }

    /// Attaches to an attempt that another node started.
    async fn attach(&mut self, attempt: &Attempt) -> Step {
        self.answer.set_sent();
        self.answer.set_attempt(attempt.clone());
        let end = attempt::attach(&self.node, &self.answer, attempt, &mut self.cursor).await;
        let end = self.reattach(end, attempt).await;
        self.decide(end, attempt.clone()).await
    }

    async fn decide(&mut self, end: End, attempt: Attempt) -> Step {
        let conditions = Conditions {
            is_repeatable: self.answer.request.class.repeatable,
            is_leaving: self.node.is_leaving(&attempt.server),
        };
        match keeljunction_core::attempt::decide_next(end, conditions, || self.take_retry()) {
            Next::Done => Step::Stop,
            Next::KeepReading => Box::pin(self.attach(&attempt)).await,
            Next::FailOver => {
                self.avoid.push(attempt.server);
                Step::Retry
            }
            Next::Migrate(action) => {
                self.node.metric.count("streams_moved", 1);
                self.avoid = vec![attempt.server.clone()];
                self.migrating = Some((attempt, action));
                Step::Retry
            }
            Next::GiveUp(reason) => {
                if reason == Reason::DeadlineExceeded {
                    self.cancel(&attempt).await;
                }
                let retry_after =
                    if reason.is_transient() { NO_RETRY_BUDGET_RETRY_AFTER_MS } else { 0 };
                self.give_up(reason.as_str(), reason.get_status(), retry_after)
            }
        }
    }

    fn take_retry(&self) -> bool {
        self.node.take_retry(&self.answer.request.service.name)
    }

    /// Acquires a grant for another server, at the highest priority since the request is accepted.
    ///
    /// Returns `None` if there is none before the deadline; the answer has ended then.
    async fn next_grant(&mut self) -> Option<Grant> {
        loop {
            let remaining = self.answer.request.deadline.saturating_sub(self.node.now());
            let options = GrantOptions { wait: remaining, priority: 0, avoid: &self.avoid };
            let refusal = match grant::acquire(&self.node, &self.answer.request, options).await {
                Ok(grant) => return Some(grant),
                Err(refusal) => refusal,
            };
            if self.is_past_deadline(&refusal) {
                self.give_up("no backend server had room in time", 503, refusal.retry_after);
                return None;
            }
            let interval = refusal.retry_after.min(MAX_GRANT_RETRY_INTERVAL_MS);
            runtime::sleep(Duration::from_millis(interval)).await;
        }
    }

    /// Returns `true` if the next retry would come after the deadline. The request then ends at
    /// once.
    fn is_past_deadline(&self, refusal: &Refusal) -> bool {
        self.node.now() + refusal.retry_after.min(MAX_GRANT_RETRY_INTERVAL_MS)
            >= self.answer.request.deadline
    }

    /// Completes the migration of the attempt that is being drained.
    ///
    /// The next engine fetches its KV cache if the action is a move, and the attempt is cancelled.
    /// A request that must not be repeated continues elsewhere only if its cancellation is
    /// confirmed. Otherwise this node keeps following it on the previous server.
    async fn complete_migration(&mut self, next: &Attempt, grant: &Grant) -> Option<Step> {
        let (previous, action) = self.migrating.take()?;
        if action == Action::Move {
            self.fetch_cache(&previous, next).await;
        }
        let is_cancelled = self.cancel(&previous).await;
        if is_cancelled || self.answer.request.class.repeatable {
            return None;
        }
        grant::release(&self.node, &grant.id, UNUSED);
        Some(Box::pin(self.attach(&previous)).await)
    }

    async fn fetch_cache(&self, previous: &Attempt, next: &Attempt) {
        let Ok(address) = next.address.parse() else { return };
        let imported =
            attempt::engine(&self.node, address).import(&previous.address, &previous.id).await;
        let name = if imported.is_ok() { "caches_moved" } else { "caches_lost" };
        self.node.metric.count(name, 1);
    }

    /// Cancels an attempt. Returns `true` if its engine confirmed this.
    async fn cancel(&self, attempt: &Attempt) -> bool {
        match attempt.address.parse() {
            Ok(address) => attempt::engine(&self.node, address).cancel(&attempt.id).await,
            Err(_) => false,
        }
    }

    fn give_up(&self, why: &str, status: u16, retry_after: u64) -> Step {
        let ended = match keeljunction_core::attempt::decide_outcome(self.answer.is_sent()) {
            Outcome::Done | Outcome::Unknown => unknown(status, why, retry_after),
            Outcome::NotRun => {
                if let Some(claimed_attempt) = &self.claimed_attempt {
                    claims::release(&self.node, &self.answer.request, claimed_attempt);
                }
                not_run(503, why, retry_after)
            }
        };
        self.node.metric.count("requests_given_up", 1);
        self.answer.finish(self.node.now(), ended);
        Step::Stop
    }
}
