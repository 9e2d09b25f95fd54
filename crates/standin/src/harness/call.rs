//! Calls as callers make them.

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

const MAX_ANSWER: usize = 64 << 20;
const LAST: &str = "[DONE]";
/// The time in which a stand-in or a node answers a call of the harness.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);

/// A call, to be sent to any node.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

/// A whole answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status; 0 where there was none.
    pub status: u16,
    /// Seconds in the `Retry-After` header.
    pub retry_after: Option<u64>,
    /// The request key.
    pub key: String,
    /// The body; of a stream, the text of its tokens.
    pub body: String,
    /// The offset of the last token.
    pub last_id: Option<u64>,
    /// Whether the answer is whole.
    pub is_whole: bool,
    /// The problem document that ended a stream.
    pub problem: Option<Value>,
    /// When each token came, since the call was made.
    pub times: Vec<Duration>,
    /// When the head came.
    pub head: Duration,
}

impl Answer {
    /// Reads the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the outcome that the caller got.
    pub fn outcome(&self) -> String {
        let document = self.problem.clone().unwrap_or_else(|| self.json());
        let outcome = document["outcome"].as_str().unwrap_or_default().to_owned();
        if outcome.is_empty() && self.is_whole { "done".to_owned() } else { outcome }
    }
}

impl Call {
    /// Asks a model for a stream of tokens.
    pub fn model(credential: &str, class: &str, model: &str, prompt: &str, tokens: u64) -> Self {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
        Self::new(Method::POST, "/v1/completions", credential, class).body(body.to_string())
    }

    /// Calls a plain service.
    pub fn plain(credential: &str, class: &str, method: Method, path: &str, body: &str) -> Self {
        Self::new(method, path, credential, class).body(body.to_owned())
    }

    /// Names the request.
    pub fn key(self, key: &str) -> Self {
        self.header("idempotency-key", key)
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Takes a header away.
    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: String) -> Self {
        self.body = body;
        self
    }

    /// Makes the call and reads the answer whole, or as far as it comes.
    ///
    /// # Errors
    ///
    /// Returns the [`SendError`] where there is no response at all.
    pub async fn send(&self, client: &Client, to: SocketAddr) -> Result<Answer, SendError> {
        let mut stream = self.open(client, to).await?;
        while stream.next().await {}
        Ok(stream.answer)
    }

    /// Makes the call and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the [`SendError`] where there is no response at all.
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
        let response = client.send(to, request).await?;
        let header = |name: &str| {
            response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let mut answer = Answer {
            status: response.status().as_u16(),
            retry_after: header("retry-after").and_then(|seconds| seconds.parse().ok()),
            key: header("idempotency-key").unwrap_or_default(),
            head: started.elapsed(),
            ..Answer::default()
        };
        let is_stream = header("content-type").is_some_and(|kind| kind == "text/event-stream");
        if !is_stream {
            let body = read_body(response.into_body(), MAX_ANSWER).await;
            answer.is_whole = body.is_some() && answer.status < 400;
            answer.body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
            return Ok(Stream { answer, started, events: None });
        }
        let events = BodyDataStream::new(response.into_body()).eventsource().map(Result::ok);
        Ok(Stream { answer, started, events: Some(Box::pin(events)) })
    }

    fn new(method: Method, path: &str, credential: &str, class: &str) -> Self {
        let call = Self { method, path: path.to_owned(), headers: Vec::new(), body: String::new() };
        call.header("authorization", &format!("Bearer {credential}"))
            .header("keeljunction-class", class)
    }
}

type Events = Pin<Box<dyn futures_lite::Stream<Item = Option<Event>> + Send>>;

/// An answer that is being read.
pub struct Stream {
    /// What was read so far.
    pub answer: Answer,
    started: Instant,
    events: Option<Events>,
}

impl Stream {
    /// Reads the next event; returns false where there are no more.
    pub async fn next(&mut self) -> bool {
        let Some(events) = &mut self.events else { return false };
        let Some(Some(event)) = events.next().await else { return false };
        if event.data == LAST {
            self.answer.is_whole = self.answer.problem.is_none();
            return false;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.event == "error" {
            self.answer.problem = Some(data);
            return true;
        }
        if let Ok(offset) = offset_of(&event.id)
            && self.answer.last_id != Some(offset)
        {
            self.answer.last_id = Some(offset);
            let choice = &data["choices"][0];
            let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
            self.answer.body.push_str(text.unwrap_or_default());
            self.answer.times.push(self.started.elapsed());
        }
        true
    }

    /// Reads until so many tokens are there, or there are no more.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.answer.times.len() < count && self.next().await {}
    }
}

/// Reads the offset from the id of an event: of a node, or of an engine, which names the attempt too.
fn offset_of(id: &str) -> Result<u64, std::num::ParseIntError> {
    id.rsplit('/').next().unwrap_or(id).parse()
}

/// Sends JSON to a stand-in.
pub async fn ask(client: &Client, to: SocketAddr, path: &str, message: &Value) -> Option<Value> {
    let request = Request::post(path)
        .header("host", to.to_string())
        .body(Body::from(message.to_string()))
        .ok()?;
    exchange(client, to, request).await
}

/// Reads JSON from a stand-in or an operator's page.
pub async fn get(client: &Client, to: SocketAddr, path: &str) -> Option<Value> {
    let request = Request::get(path).header("host", to.to_string()).body(Body::empty()).ok()?;
    exchange(client, to, request).await
}

/// Exchanges JSON; a failure is printed with its reason, because a test sees only that there is no answer.
async fn exchange(client: &Client, to: SocketAddr, request: Request<Body>) -> Option<Value> {
    let path = request.uri().path().to_owned();
    let started = Instant::now();
    let answer = runtime::timeout(ANSWER_WITHIN, try_exchange(client, to, request)).await;
    let answer = answer.unwrap_or_else(|| Err("no answer in time".to_owned()));
    answer
        .inspect_err(|why| eprintln!("{to}{path} failed after {:?}: {why}", started.elapsed()))
        .ok()
}

async fn try_exchange(
    client: &Client,
    to: SocketAddr,
    request: Request<Body>,
) -> Result<Value, String> {
    let response = client.send(to, request).await.map_err(|failure| failure.to_string())?;
    let status = response.status();
    let body = read_body(response.into_body(), MAX_ANSWER).await.ok_or("the body broke off")?;
    serde_json::from_slice(&body).map_err(|error| format!("{status}, not JSON: {error}"))
}
