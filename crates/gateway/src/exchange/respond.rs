//! Writes refusals, and logs and counts the end of each request.

use std::sync::{Arc, Mutex};

use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::Fingerprint;
use keeljunction_core::serving::refusal::Refusal;

use crate::event::{self, Event};
use crate::http::{Body, ConnectionHandle};
use crate::metrics::{RequestLabels, ServiceLabels};
use crate::node::Node;
use crate::node::state::InFlightGuard;
use crate::port::RequestHead;
use crate::runtime::lock;

/// A refusal, as it is answered to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refused {
    /// Why.
    pub reason: Refusal,
    /// Milliseconds after which room is expected.
    pub retry_after: Millis,
    /// Time that the caller has left.
    pub left: Millis,
}

/// What of an answer was passed on to its caller.
pub(super) struct Passage {
    arrived: Millis,
    passed: Mutex<Passed>,
}

/// When an answer's pieces were passed on, and how far it has come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Passed {
    first_token: Option<Millis>,
    last_piece_at: Option<Millis>,
    longest_gap: Option<Millis>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// No body is passed on piece by piece.
    #[default]
    None,
    Open,
    Finished,
    Disconnected,
}

impl Passage {
    fn new(arrived: Millis) -> Self {
        Self { arrived, passed: Mutex::default() }
    }

    fn get(&self) -> Passed {
        *lock(&self.passed)
    }

    /// Notes that a body is passed on piece by piece.
    pub fn open(&self) {
        lock(&self.passed).stage = Stage::Open;
    }

    /// Notes that all of the body was passed on.
    pub fn finish(&self) {
        lock(&self.passed).stage = Stage::Finished;
    }

    /// Notes that the caller was disconnected.
    pub fn disconnect(&self) {
        lock(&self.passed).stage = Stage::Disconnected;
    }

    /// Notes a piece that is passed on, and the pause before it.
    pub fn note_piece(&self, now: Millis) {
        let mut passed = lock(&self.passed);
        passed.first_token.get_or_insert(now - self.arrived);
        if let Some(before) = passed.last_piece_at.replace(now) {
            passed.longest_gap = passed.longest_gap.max(Some(now - before));
        }
    }

    /// Returns the outcome of a request, given that of its server's answer.
    fn judge(&self, answer: &'static str) -> &'static str {
        match self.get().stage {
            Stage::Disconnected => "disconnected",
            Stage::Open if answer == ANSWERED => "left",
            _ => answer,
        }
    }
}

/// The outcome of a request whose answer came whole.
pub(super) const ANSWERED: &str = "answered";

/// What is known of a request until it ends. Dropping it logs and counts the end.
pub(super) struct Record {
    node: Arc<Node>,
    _guard: InFlightGuard,
    arrived: Millis,
    /// The request's id.
    pub id: String,
    /// The route's name.
    pub route: Option<String>,
    /// The service's name.
    pub service: Option<String>,
    /// The client account's name.
    pub account: Option<String>,
    /// The version of the configuration that was acted on.
    pub version: Option<u64>,
    /// How old the knowledge was that it is the newest.
    pub age: Option<Millis>,
    /// Attempts so far.
    pub attempts: u32,
    /// What was passed on to the caller.
    pub passage: Arc<Passage>,
    /// The caller's connection.
    pub peer: Option<ConnectionHandle>,
    /// Names the request's content, once its body is there.
    pub fingerprint: Option<Fingerprint>,
    status: u16,
    outcome: &'static str,
    /// Time from the request's arrival until its server's answer had ended.
    answer_time: Option<Millis>,
    retry_after: Option<u64>,
}

impl Record {
    /// Begins the record of a request that has just arrived.
    pub fn begin(node: Arc<Node>, head: &RequestHead) -> Self {
        let guard = node.track_request();
        let arrived = node.now();
        Self {
            node,
            _guard: guard,
            arrived,
            id: head.id.clone().unwrap_or_default(),
            route: None,
            service: None,
            account: None,
            version: None,
            age: None,
            attempts: 0,
            passage: Arc::new(Passage::new(arrived)),
            peer: None,
            fingerprint: None,
            status: 0,
            outcome: "left",
            answer_time: None,
            retry_after: None,
        }
    }

    /// Returns when the request arrived.
    pub fn get_arrival(&self) -> Millis {
        self.arrived
    }

    /// Notes a piece that is passed on.
    pub fn note_piece(&self) {
        self.passage.note_piece(self.node.now());
    }

    /// Notes the status and outcome with which the answer ends.
    pub fn end(&mut self, status: u16, outcome: &'static str) {
        self.status = status;
        self.outcome = outcome;
    }

    /// Notes that the server's answer has ended; its caller may take the rest of it later.
    pub fn note_answer_end(&mut self) {
        self.answer_time = Some(self.node.now().saturating_sub(self.arrived));
    }

    /// Makes the response of a refusal.
    pub fn refuse(mut self, refused: Refused) -> Response<Body> {
        self.end(refused.reason.get_status(), refused.reason.as_str());
        let mut response = Response::new(Body::from(format!("{}\n", refused.reason.as_str())));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let after = refused.reason.get_retry_after(refused.retry_after, refused.left);
        if let Some(after) = after {
            self.retry_after = Some(after.as_millis() as u64);
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        close_if_stopping(&self.node, &mut response);
        response
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let total = self.node.now().saturating_sub(self.arrived);
        let Passed { first_token, longest_gap, .. } = self.passage.get();
        self.outcome = self.passage.judge(self.outcome);
        let text = |name: &Option<String>| name.clone().unwrap_or_default();
        let labels = RequestLabels {
            service: text(&self.service),
            account: text(&self.account),
            outcome: self.outcome.to_owned(),
        };
        self.node.metrics.requests.get_or_create(&labels).inc();
        if let Some(service) = &self.service {
            let labels = ServiceLabels { service: service.clone() };
            let metrics = &self.node.metrics;
            metrics.total.get_or_create(&labels).observe(total as f64 / 1_000.0);
            if let Some(first) = first_token {
                metrics.first_token.get_or_create(&labels).observe(first as f64 / 1_000.0);
            }
            if let Some(gap) = longest_gap {
                metrics.longest_gap.get_or_create(&labels).observe(gap as f64 / 1_000.0);
            }
        }
        let fingerprint = self.fingerprint.filter(|_| self.outcome != ANSWERED);
        event::emit(&Event::RequestEnded {
            request: &self.id,
            fingerprint: fingerprint.map(|fingerprint| fingerprint.to_string()),
            route: self.route.as_deref(),
            account: self.account.as_deref(),
            status: self.status,
            outcome: self.outcome,
            attempts: self.attempts,
            first_token_ms: first_token,
            longest_gap_ms: longest_gap,
            answer_ms: self.answer_time,
            total_ms: total,
            retry_after_ms: self.retry_after,
            version: self.version,
            age_ms: self.age,
        });
    }
}

/// Announces to the caller that its connection closes after the response.
pub(super) fn close_after(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Announces that the connection closes, where the node is about to end.
pub(super) fn close_if_stopping(node: &Node, response: &mut Response<Body>) {
    if node.is_stopping() {
        close_after(response);
    }
}
