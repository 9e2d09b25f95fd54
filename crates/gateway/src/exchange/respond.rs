//! Writes rejections, and logs and counts the end of each request.

use std::sync::{Arc, Mutex};

use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::Fingerprint;
use keeljunction_core::serving::refusal::Refusal;
use keeljunction_core::serving::response_body::Framing;

use super::open_response::OpenResponse;
use crate::event::{self, Event};
use crate::http::{Body, ConnectionHandle};
use crate::metrics::{RequestLabels, ServiceLabels};
use crate::node::InFlightGuard;
use crate::node::Node;
use crate::port::RequestHead;
use crate::runtime::lock;

/// A rejection as it is sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RefusalResponse {
    /// The reason.
    pub reason: Refusal,
    /// Time after which capacity is expected, in milliseconds.
    pub retry_after: Millis,
    /// Time left until the caller's deadline, in milliseconds.
    pub time_remaining: Millis,
}

/// Delivery of a response body to the caller.
pub(super) struct Delivery {
    arrived_at: Millis,
    state: Mutex<DeliveryState>,
}

/// Progress and timing of a delivery.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DeliveryState {
    first_token: Option<Millis>,
    last_chunk_at: Option<Millis>,
    longest_gap: Option<Millis>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// The body is not forwarded in chunks.
    #[default]
    None,
    Open,
    Finished,
    Disconnected,
}

impl Delivery {
    fn new(arrived_at: Millis) -> Self {
        Self { arrived_at, state: Mutex::default() }
    }

    fn get(&self) -> DeliveryState {
        *lock(&self.state)
    }

    /// Records that the body is forwarded in chunks.
    pub fn open(&self) {
        lock(&self.state).stage = Stage::Open;
    }

    /// Records that the whole body was delivered.
    pub fn finish(&self) {
        lock(&self.state).stage = Stage::Finished;
    }

    /// Records that the caller was disconnected.
    pub fn disconnect(&self) {
        lock(&self.state).stage = Stage::Disconnected;
    }

    /// Records a delivered chunk and the gap before it.
    pub fn record_chunk(&self, now: Millis) {
        let mut state = lock(&self.state);
        state.first_token.get_or_insert(now - self.arrived_at);
        if let Some(before) = state.last_chunk_at.replace(now) {
            state.longest_gap = state.longest_gap.max(Some(now - before));
        }
    }

    /// Returns the outcome of the request, given the outcome of the server's response.
    fn get_outcome(&self, response_outcome: &'static str) -> &'static str {
        match self.get().stage {
            Stage::Disconnected => "disconnected",
            Stage::Open if response_outcome == ANSWERED => "left",
            _ => response_outcome,
        }
    }
}

/// Outcome of a request that received a complete response.
pub(super) const ANSWERED: &str = "answered";

/// Record of a request. Dropping it logs and counts the end of the request.
pub(super) struct RequestRecord {
    node: Arc<Node>,
    _guard: InFlightGuard,
    arrived_at: Millis,
    /// The request id.
    pub id: String,
    /// The route name.
    pub route: Option<String>,
    /// The service name.
    pub service: Option<String>,
    /// The client account name.
    pub account: Option<String>,
    /// Version of the configuration that the request was handled with.
    pub configuration_version: Option<u64>,
    /// Time since that version was last confirmed to be the newest.
    pub configuration_age: Option<Millis>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Delivery of the response body.
    pub delivery: Arc<Delivery>,
    /// The caller's connection.
    pub connection: Option<ConnectionHandle>,
    /// What declares the end of the server's response, if one has begun.
    pub framing: Option<Framing>,
    /// Fingerprint of the request's content, once the body has arrived.
    pub fingerprint: Option<Fingerprint>,
    status: u16,
    outcome: &'static str,
    /// Whether the request resumes a stream.
    is_resumed: bool,
    /// The response, from the admission of the request until its caller has it.
    open_response: Option<OpenResponse>,
    /// Time from the arrival of the request to the end of the server's response.
    response_time: Option<Millis>,
    retry_after: Option<u64>,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    pub fn begin(node: Arc<Node>, head: &RequestHead) -> Self {
        let guard = node.track_request();
        let arrived_at = node.now();
        Self {
            node,
            _guard: guard,
            arrived_at,
            id: head.id.clone().unwrap_or_default(),
            route: None,
            service: None,
            account: None,
            configuration_version: None,
            configuration_age: None,
            attempts: 0,
            delivery: Arc::new(Delivery::new(arrived_at)),
            connection: None,
            framing: None,
            fingerprint: None,
            status: 0,
            outcome: "left",
            is_resumed: false,
            open_response: None,
            response_time: None,
            retry_after: None,
        }
    }

    /// Returns the time when the request arrived.
    pub fn get_arrival(&self) -> Millis {
        self.arrived_at
    }

    /// Records a delivered chunk.
    pub fn record_chunk(&self) {
        self.delivery.record_chunk(self.node.now());
    }

    /// Sets the status and the outcome of the request.
    pub fn set_outcome(&mut self, status: u16, outcome: &'static str) {
        self.status = status;
        self.outcome = outcome;
    }

    /// Records that the request was admitted, so that it waits for a response from now on. The rest of
    /// a stream that it resumes does not show how long a whole response takes.
    pub fn record_admission(&mut self, route: &str, is_resumed: bool) {
        self.is_resumed = is_resumed;
        self.open_response = Some(OpenResponse::begin(&self.node, route, self.arrived_at));
    }

    /// Records that the server's response has ended. The caller may read the rest of it later.
    pub fn record_response_end(&mut self) {
        self.response_time = Some(self.node.now().saturating_sub(self.arrived_at));
    }

    /// Builds the response for a rejection.
    pub fn reject(mut self, refusal: RefusalResponse) -> Response<Body> {
        self.set_outcome(refusal.reason.get_status(), refusal.reason.as_str());
        let mut response = Response::new(Body::from(format!("{}\n", refusal.reason.as_str())));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let after = refusal.reason.get_retry_after(refusal.retry_after, refusal.time_remaining);
        if let Some(after) = after {
            self.retry_after = Some(after.as_millis() as u64);
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        announce_close_if_stopping(&self.node, &mut response);
        response
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let now = self.node.now();
        let total = now.saturating_sub(self.arrived_at);
        let shutdown = self.node.get_shutdown(now);
        let DeliveryState { first_token, longest_gap, .. } = self.delivery.get();
        self.outcome = self.delivery.get_outcome(self.outcome);
        let text = |name: &Option<String>| name.as_deref().unwrap_or_default().into();
        let labels = RequestLabels {
            service: text(&self.service),
            account: text(&self.account),
            outcome: self.outcome.to_owned(),
        };
        self.node.metrics.requests.get_or_create(&labels).inc();
        if let Some(service) = &self.service {
            let labels = ServiceLabels { service: service.as_str().into() };
            let metrics = &self.node.metrics;
            metrics.total.get_or_create(&labels).observe(total as f64 / 1_000.0);
            if let Some(first) = first_token {
                metrics.first_token.get_or_create(&labels).observe(first as f64 / 1_000.0);
            }
            if let Some(gap) = longest_gap {
                metrics.longest_gap.get_or_create(&labels).observe(gap as f64 / 1_000.0);
            }
        }
        self.record_time(total);
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
            framing: self.framing.map(Framing::as_str),
            answer_ms: self.response_time,
            total_ms: total,
            retry_after_ms: self.retry_after,
            version: self.configuration_version,
            age_ms: self.configuration_age,
            stopping_ms: shutdown.map(|shutdown| shutdown.elapsed),
        });
    }
}

impl RequestRecord {
    /// Records how long the response took until its caller had it.
    fn record_time(&mut self, total: Millis) {
        if self.outcome != ANSWERED {
            return;
        }
        if let Some(open) = self.open_response.take() {
            open.complete();
        }
        // An error response tells nothing about how long a complete one takes.
        let is_success = (200..300).contains(&self.status);
        if let Some(route) = self.route.as_ref().filter(|_| is_success && !self.is_resumed) {
            self.node.with(|state| state.response_times.record(route, self.arrived_at, total));
        }
    }
}

/// Announces that the connection closes after the response.
pub(super) fn announce_close(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Announces that the connection closes if the node is stopping.
pub(super) fn announce_close_if_stopping(node: &Node, response: &mut Response<Body>) {
    if node.is_stopping() {
        announce_close(response);
    }
}
