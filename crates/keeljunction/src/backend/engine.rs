//! The client for model engines: token streams, cache events, load reports and orders.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{
    ATTEMPT_HEADER, Client, KEY_HEADER, PREFILL_HEADER, PRIORITY_HEADER, SendError, Tokens, call,
};
use crate::http::{self, Body, Target};
use crate::runtime;

const MAX_RESPONSE_BYTES: usize = 4 << 20;
const ATTEMPTS_PATH: &str = "/attempts";

/// A request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest<'a> {
    /// The path of the client's request.
    pub path: &'a str,
    /// The body of the client's request.
    pub body: &'a [u8],
    /// The ID of the attempt.
    pub attempt: &'a str,
    /// The priority of the request class.
    pub priority: u32,
    /// The request key.
    pub key: &'a str,
    /// The tokens of the answer that were already generated.
    pub tokens: &'a [String],
}

/// A load report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Load {
    /// The number of running and waiting requests.
    pub requests: u32,
    /// The number of prompt tokens that wait for prefill.
    pub queued_tokens: u64,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}

/// A list of cache events, starting at a given number.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Events {
    /// The events, ordered by number, possibly with gaps.
    pub events: Vec<Event>,
}

/// One cache event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Event {
    /// The number of the event.
    pub number: u64,
    /// The blocks that were added to the cache.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// The blocks that were evicted from the cache.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a newer fencing token.
    Fenced,
    /// The engine rejected the order or did not respond.
    Failed,
}

/// A client for one model engine.
pub struct Engine<'a> {
    /// The client for backend servers.
    pub client: &'a Client,
    /// The address of the engine.
    pub address: SocketAddr,
    /// The timeout for a response header, and for a complete short response.
    pub timeout: Duration,
}

impl Engine<'_> {
    /// Starts an attempt. If the request contains tokens, generation resumes after them.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the engine cannot have run the attempt. This includes
    /// responses with status 429 or 503.
    pub async fn send(&self, request: &EngineRequest<'_>) -> Result<Response<Tokens>, SendError> {
        let body = engine_body(request).map_err(SendError::NotSent)?;
        let request = self
            .request(Method::POST, request.path)
            .header("content-type", "application/json")
            .header(ATTEMPT_HEADER, request.attempt)
            .header(PRIORITY_HEADER, request.priority.to_string())
            .header(KEY_HEADER, request.key)
            .body(Body::from(body));
        self.stream(request).await
    }

    /// Reads an attempt that is running, or has run, starting at an offset.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if the engine does not respond or does not know the attempt.
    pub async fn attach(&self, attempt: &str, offset: u64) -> Result<Response<Tokens>, SendError> {
        let target =
            Target::new(ATTEMPTS_PATH).with_segment(attempt).with_parameter("from", offset);
        self.stream(self.request(Method::GET, target.as_str()).body(Body::empty())).await
    }

    /// Cancels an attempt whose tokens are no longer read. Returns `true` if the engine confirmed
    /// this.
    pub async fn cancel(&self, attempt: &str) -> bool {
        let target = Target::new(ATTEMPTS_PATH).with_segment(attempt);
        let request = self.request(Method::DELETE, target.as_str());
        match request.body(Body::empty()) {
            Ok(request) => self.exchange(request).await.is_ok(),
            Err(_) => false,
        }
    }

    /// Makes this engine fetch the KV cache of an attempt from another engine.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if the cache was not fetched.
    pub async fn import(&self, from: &str, attempt: &str) -> Result<(), SendError> {
        let body = json!({ "from": from, "attempt": attempt }).to_string();
        let request = self.request(Method::POST, "/kv/import").body(Body::from(body));
        self.exchange(request.map_err(not_sent)?).await.map(|_| ())
    }

    /// Sends an order.
    pub async fn order(&self, order: &Value) -> OrderResult {
        let request = self.request(Method::POST, "/orders").body(Body::from(order.to_string()));
        let Ok(request) = request else { return OrderResult::Failed };
        let sending = call::send(self.client, self.address, request);
        let sent = runtime::timeout(self.timeout, sending).await;
        match sent.map(|sent| sent.map(|response| response.into_parts().0.status)) {
            Some(Ok(StatusCode::OK)) => OrderResult::Accepted,
            Some(Ok(StatusCode::CONFLICT)) => OrderResult::Fenced,
            _ => OrderResult::Failed,
        }
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if the engine does not respond.
    pub async fn load(&self) -> Result<Load, SendError> {
        self.read("/load").await
    }

    /// Reads the cache events, starting at a number.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if the engine does not respond.
    pub async fn events(&self, from: u64) -> Result<Events, SendError> {
        let target = Target::new("/cache/events").with_parameter("from", from);
        self.read(target.as_str()).await
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder().method(method).uri(path).header("host", self.address.to_string())
    }

    async fn read<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, SendError> {
        let request = self.request(Method::GET, path).body(Body::empty()).map_err(not_sent)?;
        let content = self.exchange(request).await?;
        serde_json::from_slice(&content).map_err(|error| SendError::MaybeSent(error.to_string()))
    }

    async fn exchange(&self, request: Request<Body>) -> Result<Bytes, SendError> {
        let exchange = async {
            let response = call::send(self.client, self.address, request).await?;
            let (head, body) = response.into_parts();
            let status = head.status;
            let content = http::read_body(body, MAX_RESPONSE_BYTES).await;
            let content = content.ok_or_else(|| SendError::MaybeSent("broke off".to_owned()))?;
            if status == StatusCode::OK { Ok(content) } else { Err(error_status(status)) }
        };
        runtime::timeout(self.timeout, exchange).await.unwrap_or_else(|| Err(timed_out()))
    }

    async fn stream(
        &self,
        request: Result<Request<Body>, hyper::http::Error>,
    ) -> Result<Response<Tokens>, SendError> {
        let request = request.map_err(not_sent)?;
        let sending = call::send(self.client, self.address, request);
        let sent = runtime::timeout(self.timeout, sending).await;
        let (head, body) = sent.unwrap_or_else(|| Err(timed_out()))?.into_parts();
        let status = head.status;
        if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return Err(SendError::NotSent(format!("rejected with status {status}")));
        }
        let prefill = head.headers.get(PREFILL_HEADER).and_then(|value| value.to_str().ok());
        let prefill = prefill.and_then(|value| value.parse().ok()).unwrap_or(0);
        Ok(Response::from_parts(head, Tokens::new(body, prefill)))
    }
}

/// Builds the request body for the engine, which always streams and resumes after known tokens.
fn engine_body(request: &EngineRequest<'_>) -> Result<Vec<u8>, String> {
    let mut body: Value =
        serde_json::from_slice(request.body).map_err(|error| error.to_string())?;
    body["stream"] = json!(true);
    if !request.tokens.is_empty() {
        body["resume"] = json!({ "tokens": request.tokens });
    }
    serde_json::to_vec(&body).map_err(|error| error.to_string())
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}

fn error_status(status: StatusCode) -> SendError {
    SendError::MaybeSent(format!("status {status}"))
}

fn timed_out() -> SendError {
    SendError::MaybeSent("no response before the timeout".to_owned())
}
