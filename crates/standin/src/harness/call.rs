//! Client calls to the nodes and to the stand-in processes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eventsource_stream::{Event, Eventsource};
use futures_lite::StreamExt;
use http_body_util::BodyDataStream;
use hyper::{Method, Request};
use keeljunction::http::{Body, Client, SendError, read_body};
use keeljunction::runtime;
use serde_json::{Value, json};
use std::pin::Pin;

const MAX_BODY_BYTES: usize = 64 << 20;
const DONE_MARKER: &str = "[DONE]";
/// Timeout of a JSON request from the harness to a stand-in or a node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A client request that can be sent to any node.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The request path.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: String,
}

/// A response, read to its end or to the point where it broke off.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The HTTP status; 0 if there was no response.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The idempotency key that the node returned.
    pub key: String,
    /// The body, or the concatenated token texts of a stream.
    pub body: String,
    /// The offset of the last token received.
    pub last_offset: Option<u64>,
    /// Whether the response was received completely and is not an error.
    pub is_complete: bool,
    /// The problem document in the error event of a stream.
    pub problem: Option<Value>,
    /// The arrival time of each token, measured from the start of the call.
    pub token_times: Vec<Duration>,
    /// The arrival time of the response head, measured from the start of the call.
    pub head_time: Duration,
}

impl Response {
    /// Parses the body as JSON; returns `null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the outcome in the problem document, or `done` for a complete response without one.
    pub fn outcome(&self) -> String {
        let document = self.problem.clone().unwrap_or_else(|| self.json());
        let outcome = document["outcome"].as_str().unwrap_or_default().to_owned();
        if outcome.is_empty() && self.is_complete { "done".to_owned() } else { outcome }
    }
}

impl Call {
    /// Creates a streaming completion request to a model.
    pub fn completion(
        credential: &str,
        class: &str,
        model: &str,
        prompt: &str,
        tokens: u64,
    ) -> Self {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
        Self::new(Method::POST, "/v1/completions", credential, class).body(body.to_string())
    }

    /// Creates a request to a plain service.
    pub fn plain(credential: &str, class: &str, method: Method, path: &str, body: &str) -> Self {
        Self::new(method, path, credential, class).body(body.to_owned())
    }

    /// Sets the idempotency key.
    pub fn key(self, key: &str) -> Self {
        self.header("idempotency-key", key)
    }

    /// Sets a header, replacing an earlier value.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Removes a header.
    pub fn remove_header(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self
    }

    /// Sets the request body.
    pub fn body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// Sends the request and reads the response to its end, or until it breaks off.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if no response head arrives.
    pub async fn send(&self, client: &Client, to: SocketAddr) -> Result<Response, SendError> {
        let mut stream = self.open(client, to).await?;
        while stream.next().await {}
        Ok(stream.response)
    }

    /// Sends the request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] if no response head arrives.
    pub async fn open(&self, client: &Client, to: SocketAddr) -> Result<Stream, SendError> {
        let started = Instant::now();
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", to.to_string());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Body::from(self.body.clone()));
        let request = request.map_err(|error| SendError::NotSent(error.to_string()))?;
        let http_response = client.send(to, request).await?;
        let header = |name: &str| {
            http_response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let mut response = Response {
            status: http_response.status().as_u16(),
            retry_after: header("retry-after").and_then(|seconds| seconds.parse().ok()),
            key: header("idempotency-key").unwrap_or_default(),
            head_time: started.elapsed(),
            ..Response::default()
        };
        let is_stream = header("content-type").is_some_and(|kind| kind == "text/event-stream");
        if !is_stream {
            let body = read_body(http_response.into_body(), MAX_BODY_BYTES).await;
            response.is_complete = body.is_some() && response.status < 400;
            response.body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
            return Ok(Stream { response, started, events: None });
        }
        let events = BodyDataStream::new(http_response.into_body()).eventsource().map(Result::ok);
        Ok(Stream { response, started, events: Some(Box::pin(events)) })
    }

    fn new(method: Method, path: &str, credential: &str, class: &str) -> Self {
        let call = Self { method, path: path.to_owned(), headers: Vec::new(), body: String::new() };
        call.header("authorization", &format!("Bearer {credential}"))
            .header("keeljunction-class", class)
    }
}

type Events = Pin<Box<dyn futures_lite::Stream<Item = Option<Event>> + Send>>;

/// A response that is being read.
pub struct Stream {
    /// The part of the response read so far.
    pub response: Response,
    started: Instant,
    events: Option<Events>,
}

impl Stream {
    /// Reads the next event; returns `false` at the end of the stream.
    pub async fn next(&mut self) -> bool {
        let Some(events) = &mut self.events else { return false };
        let Some(Some(event)) = events.next().await else { return false };
        if event.data == DONE_MARKER {
            self.response.is_complete = self.response.problem.is_none();
            return false;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.event == "error" {
            self.response.problem = Some(data);
            return true;
        }
        if let Ok(offset) = parse_offset(&event.id)
            && self.response.last_offset != Some(offset)
        {
            self.response.last_offset = Some(offset);
            let choice = &data["choices"][0];
            let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
            self.response.body.push_str(text.unwrap_or_default());
            self.response.token_times.push(self.started.elapsed());
        }
        true
    }

    /// Reads until `count` tokens have arrived or the stream ends.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.response.token_times.len() < count && self.next().await {}
    }
}

/// Parses the token offset in an event id: `offset` from a node, `attempt/offset` from an engine.
fn parse_offset(id: &str) -> Result<u64, std::num::ParseIntError> {
    id.rsplit('/').next().unwrap_or(id).parse()
}

/// Posts JSON to a stand-in and returns its JSON response.
pub async fn post_json(
    client: &Client,
    to: SocketAddr,
    path: &str,
    message: &Value,
) -> Option<Value> {
    let request = Request::post(path)
        .header("host", to.to_string())
        .body(Body::from(message.to_string()))
        .ok()?;
    send_json(client, to, request).await
}

/// Fetches JSON from a stand-in or from the operator listener of a node.
pub async fn get_json(client: &Client, to: SocketAddr, path: &str) -> Option<Value> {
    let request = Request::get(path).header("host", to.to_string()).body(Body::empty()).ok()?;
    send_json(client, to, request).await
}

/// Sends a request and parses the JSON response.
///
/// Prints the reason of a failure, because the caller only gets `None`.
async fn send_json(client: &Client, to: SocketAddr, request: Request<Body>) -> Option<Value> {
    let path = request.uri().path().to_owned();
    let started = Instant::now();
    let response = runtime::timeout(RESPONSE_TIMEOUT, try_send_json(client, to, request)).await;
    let response = response.unwrap_or_else(|| Err("no response within the timeout".to_owned()));
    response
        .inspect_err(|error| eprintln!("{to}{path} failed after {:?}: {error}", started.elapsed()))
        .ok()
}

async fn try_send_json(
    client: &Client,
    to: SocketAddr,
    request: Request<Body>,
) -> Result<Value, String> {
    let http_response = client.send(to, request).await.map_err(|error| error.to_string())?;
    let status = http_response.status();
    let body = read_body(http_response.into_body(), MAX_BODY_BYTES)
        .await
        .ok_or("response body ended early or was too long")?;
    serde_json::from_slice(&body)
        .map_err(|error| format!("response with status {status} is not valid JSON: {error}"))
}
