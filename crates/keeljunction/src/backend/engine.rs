//! Model engines: streams, their caches and their load.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{ATTEMPT, KEY, PREFILL, PRIORITY, Tokens};
use crate::http::{self, Body, SendError};
use crate::runtime;

const MAX_ANSWER: usize = 4 << 20;

/// What to send to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Send<'a> {
    /// The path of the caller's request.
    pub path: &'a str,
    /// The caller's body.
    pub body: &'a [u8],
    /// The attempt's name.
    pub attempt: &'a str,
    /// The class's priority.
    pub priority: u32,
    /// The request key.
    pub key: &'a str,
    /// Tokens of the answer that are already there.
    pub tokens: &'a [String],
}

/// A load report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Load {
    /// Requests running or waiting.
    pub requests: u32,
    /// Prompt tokens waiting to be read.
    pub queued_tokens: u64,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
}

/// Cache events from one number on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Events {
    /// The events, in the order of their numbers, possibly with gaps.
    pub events: Vec<Event>,
}

/// One cache event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Event {
    /// Its number.
    pub number: u64,
    /// Blocks that the cache holds from now on.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Blocks that it no longer holds.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// It was taken.
    Taken,
    /// A newer fence was seen before.
    OldFence,
    /// It was refused, or there was no answer.
    Failed,
}

/// One model engine.
pub struct Engine<'a> {
    /// The client to reach it with.
    pub http: &'a http::Client,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Time for an answer's head.
    pub within: Duration,
}

impl Engine<'_> {
    /// Starts an attempt, or goes on with an answer where it was broken off.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] where the engine cannot have run it, which it also says
    /// itself by status 429 or 503.
    pub async fn send(&self, send: &Send<'_>) -> Result<Response<Tokens>, SendError> {
        let body = engine_body(send).map_err(SendError::NotSent)?;
        let request = self
            .request(Method::POST, send.path)
            .header("content-type", "application/json")
            .header(ATTEMPT, send.attempt)
            .header(PRIORITY, send.priority.to_string())
            .header(KEY, send.key)
            .body(Body::from(body));
        self.stream(request).await
    }

    /// Reads an attempt that runs, or has run, from an offset on.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] where the engine does not answer or does not know the attempt.
    pub async fn attach(&self, attempt: &str, offset: u64) -> Result<Response<Tokens>, SendError> {
        let path = format!("/attempts/{attempt}?from={offset}");
        self.stream(self.request(Method::GET, &path).body(Body::empty())).await
    }

    /// Ends an attempt whose tokens nobody reads any more; returns `true` if the engine confirmed it.
    pub async fn cancel(&self, attempt: &str) -> bool {
        let request = self.request(Method::DELETE, &format!("/attempts/{attempt}"));
        match request.body(Body::empty()) {
            Ok(request) => self.exchange(request).await.is_ok(),
            Err(_) => false,
        }
    }

    /// Lets this engine fetch the KV cache of an attempt from another engine.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] where that did not work.
    pub async fn import(&self, from: &str, attempt: &str) -> Result<(), SendError> {
        let body = json!({ "from": from, "attempt": attempt }).to_string();
        let request = self.request(Method::POST, "/kv/import").body(Body::from(body));
        self.exchange(request.map_err(not_sent)?).await.map(|_| ())
    }

    /// Sends an order.
    pub async fn order(&self, order: &Value) -> Ordered {
        let request = self.request(Method::POST, "/orders").body(Body::from(order.to_string()));
        let Ok(request) = request else { return Ordered::Failed };
        let sent = runtime::timeout(self.within, self.http.send(self.address, request)).await;
        match sent {
            Some(Ok(response)) if response.status() == StatusCode::OK => Ordered::Taken,
            Some(Ok(response)) if response.status() == StatusCode::CONFLICT => Ordered::OldFence,
            _ => Ordered::Failed,
        }
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] where the engine does not answer.
    pub async fn load(&self) -> Result<Load, SendError> {
        self.read("/load").await
    }

    /// Reads the cache events from a number on.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] where the engine does not answer.
    pub async fn events(&self, from: u64) -> Result<Events, SendError> {
        self.read(&format!("/cache/events?from={from}")).await
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
            let response = self.http.send(self.address, request).await?;
            let status = response.status();
            let content = http::read_body(response.into_body(), MAX_ANSWER).await;
            let content = content.ok_or_else(|| SendError::MaybeSent("broke off".to_owned()))?;
            if status == StatusCode::OK { Ok(content) } else { Err(refused(status)) }
        };
        runtime::timeout(self.within, exchange).await.unwrap_or_else(|| Err(late()))
    }

    async fn stream(
        &self,
        request: Result<Request<Body>, hyper::http::Error>,
    ) -> Result<Response<Tokens>, SendError> {
        let request = request.map_err(not_sent)?;
        let sent = runtime::timeout(self.within, self.http.send(self.address, request)).await;
        let response = sent.unwrap_or_else(|| Err(late()))?;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return Err(SendError::NotSent(format!(
                    "refused with status {}",
                    response.status()
                )));
            }
            _ => {}
        }
        let prefill = response.headers().get(PREFILL).and_then(|value| value.to_str().ok());
        let prefill = prefill.and_then(|value| value.parse().ok()).unwrap_or(0);
        Ok(response.map(|body| Tokens::new(body, prefill)))
    }
}

/// Makes the body for the engine: always a stream, with the tokens that are already there.
fn engine_body(send: &Send<'_>) -> Result<Vec<u8>, String> {
    let mut body: Value = serde_json::from_slice(send.body).map_err(|error| error.to_string())?;
    body["stream"] = json!(true);
    if !send.tokens.is_empty() {
        body["resume"] = json!({ "tokens": send.tokens });
    }
    serde_json::to_vec(&body).map_err(|error| error.to_string())
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}

fn refused(status: StatusCode) -> SendError {
    SendError::MaybeSent(format!("status {status}"))
}

fn late() -> SendError {
    SendError::MaybeSent("no answer in time".to_owned())
}
