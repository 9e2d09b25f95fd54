//! Carries an accepted request through as many attempts as it may have.

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
use super::grant::{self, Usage, Want};
use super::{Answer, Node, claims};
use crate::runtime;

/// How often an attempt is attached to again in vain after its stream broke off.
const ATTACHES: u32 = 2;
/// Pause before attaching again, and the longest before asking for a server again.
const ATTACH_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE_MS: u64 = 500;
/// When to come back after a request was given up for want of retries, in milliseconds.
const NO_RETRY_MS: u64 = 1_000;

/// A grant that was not used.
const UNUSED: Usage = Usage { cost: Some(0), is_failed: false };

/// Where a request starts.
#[derive(Clone, Debug)]
pub enum Start {
    /// With a grant, and the attempt's name, which a claim may bear.
    Granted(Grant, String),
    /// By attaching to an attempt that may still run.
    Attached(Attempt),
    /// With a claim that names this attempt.
    Claimed(String),
    /// From nothing.
    Anew,
}

/// Says what to do after an attempt.
enum Step {
    Stop,
    Again,
}

/// Everything that one request's attempts share.
struct Run {
    node: Arc<Node>,
    answer: Arc<Answer>,
    cursor: Cursor,
    avoid: Vec<String>,
    /// The attempt that was steered off its server, and how.
    left: Option<(Attempt, Action)>,
    /// The attempt that the claim names; only that may be sent.
    claimed: Option<String>,
}

/// Carries a request through until its answer has ended.
pub async fn run(node: Arc<Node>, answer: Arc<Answer>, start: Start) {
    let cursor = Cursor::new("", answer.get_length());
    let mut run = Run { node, answer, cursor, avoid: Vec::new(), left: None, claimed: None };
    let mut granted = match start {
        Start::Granted(grant, attempt) => {
            run.claimed = run.answer.request.needs_claim().then(|| attempt.clone());
            Some((grant, attempt))
        }
        Start::Attached(attempt) => match run.attach(&attempt).await {
            Step::Stop => return,
            Step::Again => None,
        },
        Start::Claimed(attempt) => {
            run.claimed = Some(attempt);
            None
        }
        Start::Anew => None,
    };
    loop {
        let (grant, name) = match granted.take() {
            Some(granted) => granted,
            None => match run.next_grant().await {
                Some(grant) => {
                    let name = run.claimed.clone().unwrap_or_else(|| Uuid::new_v4().to_string());
                    (grant, name)
                }
                None => return,
            },
        };
        if matches!(run.attempt(grant, name).await, Step::Stop) {
            return;
        }
    }
}

impl Run {
    /// Makes one attempt with a grant, and decides how to go on.
    async fn attempt(&mut self, grant: Grant, name: String) -> Step {
        let attempt =
            Attempt { id: name, server: grant.server.clone(), address: grant.address.clone() };
        if let Some(step) = self.leave_behind(&attempt, &grant).await {
            return step;
        }
        self.answer.set_attempt(attempt.clone());
        // Whoever learns of a departure after this sees the attempt and steers it.
        if self.node.is_leaving(&attempt.server) {
            grant::release(&self.node, &grant.id, UNUSED);
            self.avoid.push(attempt.server);
            return Step::Again;
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

    /// Goes on reading an attempt whose stream broke off, where its server still has it.
    async fn reattach(&mut self, end: End, attempt: &Attempt) -> End {
        let mut end = end;
        if !self.answer.request.is_model() {
            return end;
        }
        let mut fruitless = 0;
        while matches!(end, End::Interrupted) && fruitless < ATTACHES {
            let before = self.cursor.get_next();
            end = attempt::attach(&self.node, &self.answer, attempt, &mut self.cursor).await;
            if self.cursor.get_next() == before {
                fruitless += 1;
                runtime::sleep(ATTACH_PAUSE).await;
            }
        }
        end
    }

    /// Attaches to an attempt that another node began.
    async fn attach(&mut self, attempt: &Attempt) -> Step {
        self.answer.set_sent();
        self.answer.set_attempt(attempt.clone());
        let end = attempt::attach(&self.node, &self.answer, attempt, &mut self.cursor).await;
        let end = self.reattach(end, attempt).await;
        self.decide(end, attempt.clone()).await
    }

    async fn decide(&mut self, end: End, attempt: Attempt) -> Step {
        let standing = Conditions {
            is_repeatable: self.answer.request.class.repeatable,
            is_leaving: self.node.is_leaving(&attempt.server),
        };
        match keeljunction_core::attempt::decide_next(end, standing, || self.take_retry()) {
            Next::Done => Step::Stop,
            Next::KeepReading => Box::pin(self.attach(&attempt)).await,
            Next::FailOver => {
                self.avoid.push(attempt.server);
                Step::Again
            }
            Next::Migrate(action) => {
                self.node.metric.count("streams_moved", 1);
                self.avoid = vec![attempt.server.clone()];
                self.left = Some((attempt, action));
                Step::Again
            }
            Next::GiveUp(reason) => {
                if reason == Reason::DeadlineExceeded {
                    self.cancel(&attempt).await;
                }
                let retry_after = if reason.is_transient() { NO_RETRY_MS } else { 0 };
                self.give_up(reason.as_str(), reason.get_status(), retry_after)
            }
        }
    }

    fn take_retry(&self) -> bool {
        self.node.take_retry(&self.answer.request.service.name)
    }

    /// Asks for another server until the deadline, most urgently: the request is accepted.
    async fn next_grant(&mut self) -> Option<Grant> {
        loop {
            let left = self.answer.request.deadline.saturating_sub(self.node.now());
            let want = Want { wait: left, priority: 0, avoid: &self.avoid };
            let refusal = match grant::acquire(&self.node, &self.answer.request, want).await {
                Ok(grant) => return Some(grant),
                Err(refusal) => refusal,
            };
            if self.is_hopeless(&refusal) {
                self.give_up("no backend server had room in time", 503, refusal.retry_after);
                return None;
            }
            let pause = refusal.retry_after.min(LONGEST_PAUSE_MS);
            runtime::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Returns `true` if the next room comes only after the deadline; then the end comes at once.
    fn is_hopeless(&self, refusal: &Refusal) -> bool {
        self.node.now() + refusal.retry_after.min(LONGEST_PAUSE_MS) >= self.answer.request.deadline
    }

    /// Leaves the attempt that was steered off its server: the next engine fetches its KV cache
    /// where that is the plan, and it is cancelled.
    ///
    /// Only when an unrepeatable request's attempt is surely cancelled may it go on elsewhere;
    /// else it is followed where it is.
    async fn leave_behind(&mut self, next: &Attempt, grant: &Grant) -> Option<Step> {
        let (left, action) = self.left.take()?;
        if action == Action::Move {
            self.fetch_cache(&left, next).await;
        }
        let is_cancelled = self.cancel(&left).await;
        if is_cancelled || self.answer.request.class.repeatable {
            return None;
        }
        grant::release(&self.node, &grant.id, UNUSED);
        Some(Box::pin(self.attach(&left)).await)
    }

    async fn fetch_cache(&self, left: &Attempt, next: &Attempt) {
        let Ok(address) = next.address.parse() else { return };
        let imported = attempt::engine(&self.node, address).import(&left.address, &left.id).await;
        let name = if imported.is_ok() { "caches_moved" } else { "caches_lost" };
        self.node.metric.count(name, 1);
    }

    /// Cancels an attempt; returns `true` if its engine has confirmed that.
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
                if let Some(claimed) = &self.claimed {
                    claims::release(&self.node, &self.answer.request, claimed);
                }
                not_run(503, why, retry_after)
            }
        };
        self.node.metric.count("requests_given_up", 1);
        self.answer.finish(self.node.now(), ended);
        Step::Stop
    }
}
