//! The engine's calls, over HTTP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::Sender;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use keeljunction::backend::{ATTEMPT, Events, KEY, Load, PREFILL, PRIORITY};
use keeljunction::http::{self, Body};
use keeljunction::runtime::{self, lock};
use keeljunction_core::route;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::attempt::Attempt;
use super::cache::Cache;
use super::options::Options;
use super::prefill::Prefill;
use crate::reply;

const DEFAULT_TOKENS: u64 = 16;
const SLOT_LOOK: Duration = Duration::from_millis(1);

/// One attempt that really ran here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// The request key.
    pub key: String,
    /// The attempt.
    pub attempt: String,
    /// Tokens that were already there.
    pub resumed_from: usize,
    /// Tokens that had to be computed before the first new one.
    pub prefill: u64,
    /// When it arrived, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub unix_ms: u64,
}

/// A scripted fault of the streams that start from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Give every token twice.
    pub double: bool,
    /// Give tokens of another attempt in between.
    pub foreign: bool,
    /// Swap every second pair of tokens.
    pub reorder: bool,
    /// Cut the stream after so many tokens; 0 for never.
    pub cut_after: usize,
    /// Refuse new requests with status 503.
    pub refuse: bool,
}

struct Engine {
    options: Options,
    attempts: Mutex<HashMap<String, Arc<Attempt>>>,
    ran: Mutex<Vec<Ran>>,
    orders: Mutex<Vec<Value>>,
    fence: Mutex<u64>,
    cache: Mutex<Cache>,
    prefill: Prefill,
    running: AtomicUsize,
    requests: AtomicUsize,
    report: Mutex<(Instant, Load)>,
    fault: Mutex<Fault>,
    http: http::Client,
}

/// Serves an engine until the process ends.
pub async fn serve(port: u16, options: Options, started: impl FnOnce(SocketAddr)) {
    let load = Load { requests: 0, queued_tokens: 0, age_ms: 0 };
    let engine = Arc::new(Engine {
        attempts: Mutex::default(),
        ran: Mutex::default(),
        orders: Mutex::default(),
        fence: Mutex::default(),
        cache: Mutex::new(Cache::new(options.cache_blocks, options.event_gap)),
        prefill: Prefill::default(),
        running: AtomicUsize::new(0),
        requests: AtomicUsize::new(0),
        report: Mutex::new((Instant::now(), load)),
        fault: Mutex::default(),
        http: http::Client::new(Duration::from_millis(500)),
        options,
    });
    let reporting = engine.clone();
    let lag = Duration::from_millis(reporting.options.report_lag_ms.max(1));
    runtime::spawn_periodic(lag, move || {
        let engine = reporting.clone();
        async move { *lock(&engine.report) = (Instant::now(), engine.load()) }
    });
    reply::serve(port, started, move |request| answer(engine.clone(), request)).await;
}

async fn answer(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => start(engine, request).await,
        (&Method::GET, "/load") => {
            let (at, load) = *lock(&engine.report);
            reply::json(&Load { age_ms: at.elapsed().as_millis() as u64, ..load })
        }
        (&Method::GET, "/cache/events") => {
            let from = reply::query(&request, "from").and_then(|n| n.parse().ok()).unwrap_or(0);
            reply::json(&Events { events: lock(&engine.cache).events_from(from) })
        }
        (&Method::GET, "/ran") => reply::json(&*lock(&engine.ran)),
        (&Method::GET, "/orders") => reply::json(&*lock(&engine.orders)),
        (&Method::POST, "/orders") => order(&engine, request).await,
        (&Method::POST, "/kv/import") => import(engine, request).await,
        (&Method::POST, "/faults") => {
            *lock(&engine.fault) = reply::read_json(request.into_body()).await.unwrap_or_default();
            reply::json(&json!({}))
        }
        (method, path) => {
            match (method, path.strip_prefix("/attempts/"), path.strip_prefix("/kv/")) {
                (&Method::GET, Some(id), _) => attach(&engine, id, &request),
                (&Method::DELETE, Some(id), _) => cancel(&engine, id),
                (&Method::GET, _, Some(id)) => export(&engine, id).await,
                _ => reply::status(StatusCode::NOT_FOUND),
            }
        }
    }
}

async fn start(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    if lock(&engine.fault).refuse {
        return reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let header = |name: &str| {
        request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (id, key, priority) = (header(ATTEMPT), header(KEY), header(PRIORITY).parse().unwrap_or(0));
    let Some(body) = reply::read_json::<Value>(request.into_body()).await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    let prompt = prompt_of(&body);
    let tokens: Vec<String> =
        serde_json::from_value(body["resume"]["tokens"].clone()).unwrap_or_default();
    let most = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS) as usize;
    let context = format!("{prompt}{}", tokens.concat());
    let blocks = route::hash_blocks(&context);
    let held = lock(&engine.cache).held_tokens(&blocks);
    let prefill = route::count_tokens(&context).saturating_sub(held);
    let unix_ms = runtime::unix_ms();
    lock(&engine.ran).push(Ran {
        key,
        attempt: id.clone(),
        resumed_from: tokens.len(),
        prefill,
        unix_ms,
    });
    let from = tokens.len();
    let attempt = Arc::new(Attempt::new(&prompt, tokens));
    lock(&engine.attempts).insert(id.clone(), attempt.clone());
    engine.requests.fetch_add(1, Ordering::SeqCst);
    let (running, generated) = (engine.clone(), attempt.clone());
    runtime::spawn(async move {
        generate(&running, &generated, priority, prefill, &blocks, most).await
    });
    let mut response = stream(&engine, attempt, id, from);
    response.headers_mut().insert(PREFILL, prefill.into());
    response
}

fn prompt_of(body: &Value) -> String {
    let mut prompt = body["prompt"].as_str().unwrap_or_default().to_owned();
    for message in body["messages"].as_array().into_iter().flatten() {
        prompt.push_str(message["content"].as_str().unwrap_or_default());
        prompt.push(' ');
    }
    prompt
}

async fn generate(
    engine: &Engine,
    attempt: &Attempt,
    priority: u32,
    prefill: u64,
    blocks: &[u64],
    most: usize,
) {
    while engine.running.load(Ordering::SeqCst) >= engine.options.slots {
        runtime::sleep(SLOT_LOOK).await;
    }
    engine.running.fetch_add(1, Ordering::SeqCst);
    engine.prefill.read(prefill, engine.options.prefill_per_second, priority).await;
    lock(&engine.cache).store(blocks);
    let mut generated = attempt.get_tokens().len();
    while generated < most && !attempt.is_cancelled() {
        attempt.push();
        generated += 1;
        runtime::sleep(Duration::from_millis(engine.options.gap_ms)).await;
    }
    attempt.finish();
    let context = format!("{}{}", attempt.prompt, attempt.get_tokens().concat());
    lock(&engine.cache).store(&route::hash_blocks(&context));
    engine.running.fetch_sub(1, Ordering::SeqCst);
    engine.requests.fetch_sub(1, Ordering::SeqCst);
}

/// Writes an attempt's tokens from an offset on, with the faults that are set.
fn stream(engine: &Engine, attempt: Arc<Attempt>, id: String, from: usize) -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(16);
    let fault = lock(&engine.fault).clone();
    runtime::spawn(async move {
        let mut writer = Writer { sender, id, fault, offset: from, held_back: None, written: 0 };
        while let Some((tokens, is_last)) = attempt.beyond(writer.offset).await {
            for token in tokens {
                if writer.token(&token).await.is_none() {
                    return;
                }
            }
            if is_last {
                writer.last().await;
                return;
            }
        }
        let _ = writer
            .sender
            .send(Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)))
            .await;
    });
    let mut response = Response::new(Body::from_channel(receiver));
    let headers = response.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
    response
}

struct Writer {
    sender: Sender<std::io::Result<Bytes>>,
    id: String,
    fault: Fault,
    offset: usize,
    held_back: Option<String>,
    written: usize,
}

impl Writer {
    async fn token(&mut self, text: &str) -> Option<()> {
        let event = event(&self.id, self.offset, text);
        self.offset += 1;
        if self.fault.foreign {
            self.write(super::serve::event("another", self.offset - 1, " foreign")).await?;
        }
        if self.fault.reorder && self.offset % 4 == 1 && self.held_back.is_none() {
            self.held_back = Some(event);
            return Some(());
        }
        self.write(event.clone()).await?;
        if self.fault.double {
            self.write(event).await?;
        }
        if let Some(earlier) = self.held_back.take() {
            self.write(earlier).await?;
        }
        self.written += 1;
        if self.fault.cut_after > 0 && self.written >= self.fault.cut_after {
            let cut = Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset));
            let _ = self.sender.send(cut).await;
            return None;
        }
        Some(())
    }

    async fn last(&mut self) {
        if let Some(earlier) = self.held_back.take() {
            let _ = self.write(earlier).await;
        }
        let _ = self.write("data: [DONE]\n\n".to_owned()).await;
    }

    async fn write(&self, event: String) -> Option<()> {
        self.sender.send(Ok(Bytes::from(event))).await.ok()
    }
}

fn event(id: &str, offset: usize, text: &str) -> String {
    let data = json!({ "choices": [{ "index": 0, "text": text }] });
    format!("id: {id}/{offset}\ndata: {data}\n\n")
}

fn attach(engine: &Engine, id: &str, request: &Request<Incoming>) -> Response<Body> {
    let from = reply::query(request, "from").and_then(|n| n.parse().ok()).unwrap_or(0);
    let attempt = lock(&engine.attempts).get(id).cloned();
    match attempt {
        Some(attempt) => stream(engine, attempt, id.to_owned(), from),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

fn cancel(engine: &Engine, id: &str) -> Response<Body> {
    if let Some(attempt) = lock(&engine.attempts).get(id) {
        attempt.cancel();
    }
    reply::json(&json!({}))
}

/// Gives an attempt's KV cache away, as its blocks, after the time that it takes to send.
async fn export(engine: &Engine, id: &str) -> Response<Body> {
    let attempt = lock(&engine.attempts).get(id).cloned();
    let Some(attempt) = attempt.filter(|_| engine.options.export_per_second > 0) else {
        return reply::status(StatusCode::NOT_FOUND);
    };
    let context = format!("{}{}", attempt.prompt, attempt.get_tokens().concat());
    let micros = route::count_tokens(&context) * 1_000_000 / engine.options.export_per_second;
    runtime::sleep(Duration::from_micros(micros)).await;
    reply::json(&json!({ "blocks": route::hash_blocks(&context) }))
}

async fn import(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let Some(order) = reply::read_json::<Value>(request.into_body()).await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    let from = order["from"].as_str().and_then(|from| from.parse::<SocketAddr>().ok());
    let Some(from) = from else { return reply::status(StatusCode::BAD_REQUEST) };
    let path = format!("/kv/{}", order["attempt"].as_str().unwrap_or_default());
    let request = Request::get(path).header("host", from.to_string()).body(Body::empty());
    let Ok(request) = request else { return reply::status(StatusCode::BAD_REQUEST) };
    let Ok(response) = engine.http.send(from, request).await else {
        return reply::status(StatusCode::BAD_GATEWAY);
    };
    let content = http::read_body(response.into_body(), 16 << 20).await.unwrap_or_default();
    let sent: Value = serde_json::from_slice(&content).unwrap_or_default();
    match serde_json::from_value::<Vec<u64>>(sent["blocks"].clone()) {
        Ok(blocks) => {
            lock(&engine.cache).store(&blocks);
            reply::json(&json!({}))
        }
        Err(_) => reply::status(StatusCode::BAD_GATEWAY),
    }
}

/// Takes an order, unless its fence is older than one that was seen.
async fn order(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let Some(order) = reply::read_json::<Value>(request.into_body()).await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    let number = order["fence"].as_u64().unwrap_or(0);
    let mut fence = lock(&engine.fence);
    if engine.options.checks_fences && number < *fence {
        return reply::status(StatusCode::CONFLICT);
    }
    *fence = number.max(*fence);
    lock(&engine.orders).push(order);
    reply::json(&json!({}))
}

impl Engine {
    fn load(&self) -> Load {
        Load {
            requests: self.requests.load(Ordering::SeqCst) as u32,
            queued_tokens: self.prefill.queued_tokens(),
            age_ms: 0,
        }
    }
}
