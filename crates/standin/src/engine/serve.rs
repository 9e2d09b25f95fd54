//! The HTTP interface of the engine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::Sender;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use keeljunction::backend::{
    ATTEMPT_HEADER, Events, KEY_HEADER, Load, PREFILL_HEADER, PRIORITY_HEADER,
};
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

const DEFAULT_MAX_TOKENS: u64 = 16;
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// An entry of the execution log: an attempt that this engine ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The idempotency key of the request.
    pub key: String,
    /// The attempt id.
    pub attempt: String,
    /// Number of output tokens that the request supplied to resume from.
    pub resumed_from: usize,
    /// Number of tokens computed before the first new one.
    pub prefill: u64,
    /// Arrival time, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub unix_ms: u64,
}

/// A scripted fault that applies to streams started after it is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Sends every token twice.
    pub double: bool,
    /// Inserts tokens of another attempt.
    pub foreign: bool,
    /// Swaps every second pair of tokens.
    pub reorder: bool,
    /// Resets the connection after this many tokens; 0 disables this.
    pub cut_after: usize,
    /// Rejects new requests with status 503.
    pub refuse: bool,
}

struct Engine {
    options: Options,
    attempts: Mutex<HashMap<String, Arc<Attempt>>>,
    executions: Mutex<Vec<Execution>>,
    orders: Mutex<Vec<Value>>,
    highest_fence: Mutex<u64>,
    cache: Mutex<Cache>,
    prefill: Prefill,
    used_slots: AtomicUsize,
    in_flight: AtomicUsize,
    load_report: Mutex<(Instant, Load)>,
    fault: Mutex<Fault>,
    http: http::Client,
}

/// Serves an engine until the process ends.
pub async fn serve(port: u16, options: Options, on_listening: impl FnOnce(SocketAddr)) {
    let initial_load = Load { requests: 0, queued_tokens: 0, age_ms: 0 };
    let engine = Arc::new(Engine {
        attempts: Mutex::default(),
        executions: Mutex::default(),
        orders: Mutex::default(),
        highest_fence: Mutex::default(),
        cache: Mutex::new(Cache::new(options.cache_blocks, options.event_loss_interval)),
        prefill: Prefill::default(),
        used_slots: AtomicUsize::new(0),
        in_flight: AtomicUsize::new(0),
        load_report: Mutex::new((Instant::now(), initial_load)),
        fault: Mutex::default(),
        http: http::Client::new(Duration::from_millis(500)),
        options,
    });
    let reporting_engine = engine.clone();
    let report_interval = Duration::from_millis(reporting_engine.options.report_lag_ms.max(1));
    runtime::spawn_periodic(report_interval, move || {
        let engine = reporting_engine.clone();
        async move { *lock(&engine.load_report) = (Instant::now(), engine.get_load()) }
    });
    reply::serve(port, on_listening, move |request| handle_request(engine.clone(), request)).await;
}

async fn handle_request(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            start_completion(engine, request).await
        }
        (&Method::GET, "/load") => {
            let (updated_at, load) = *lock(&engine.load_report);
            reply::json(&Load { age_ms: updated_at.elapsed().as_millis() as u64, ..load })
        }
        (&Method::GET, "/cache/events") => {
            let from = reply::get_query_parameter(&request, "from")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            reply::json(&Events { events: lock(&engine.cache).get_events_from(from) })
        }
        (&Method::GET, "/ran") => reply::json(&*lock(&engine.executions)),
        (&Method::GET, "/orders") => reply::json(&*lock(&engine.orders)),
        (&Method::POST, "/orders") => accept_order(&engine, request).await,
        (&Method::POST, "/kv/import") => import_cache(engine, request).await,
        (&Method::POST, "/faults") => {
            *lock(&engine.fault) = reply::read_json(request.into_body()).await.unwrap_or_default();
            reply::json(&json!({}))
        }
        (method, path) => {
            let attempt = path.strip_prefix("/attempts/").and_then(reply::decode_segment);
            match (method, attempt.as_deref(), path.strip_prefix("/kv/")) {
                (&Method::GET, Some(id), _) => attach(&engine, id, &request),
                (&Method::DELETE, Some(id), _) => cancel(&engine, id),
                (&Method::GET, _, Some(id)) => export_cache(&engine, id).await,
                _ => reply::status(StatusCode::NOT_FOUND),
            }
        }
    }
}

async fn start_completion(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    if lock(&engine.fault).refuse {
        return reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let header = |name: &str| {
        request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (id, key, priority) =
        (header(ATTEMPT_HEADER), header(KEY_HEADER), header(PRIORITY_HEADER).parse().unwrap_or(0));
    let Some(body) = reply::read_json::<Value>(request.into_body()).await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    let prompt = get_prompt(&body);
    let tokens: Vec<String> =
        serde_json::from_value(body["resume"]["tokens"].clone()).unwrap_or_default();
    let max_tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS) as usize;
    let context = format!("{prompt}{}", tokens.concat());
    let blocks = route::hash_blocks(&context);
    let cached = lock(&engine.cache).count_cached_tokens(&blocks);
    let prefill = route::count_tokens(&context).saturating_sub(cached);
    let unix_ms = runtime::unix_ms();
    lock(&engine.executions).push(Execution {
        key,
        attempt: id.clone(),
        resumed_from: tokens.len(),
        prefill,
        unix_ms,
    });
    let from = tokens.len();
    let attempt = Arc::new(Attempt::new(&prompt, tokens));
    lock(&engine.attempts).insert(id.clone(), attempt.clone());
    engine.in_flight.fetch_add(1, Ordering::SeqCst);
    let (generating_engine, generated_attempt) = (engine.clone(), attempt.clone());
    runtime::spawn(async move {
        generate(&generating_engine, &generated_attempt, priority, prefill, &blocks, max_tokens)
            .await
    });
    let mut response = stream_tokens(&engine, attempt, id, from);
    response.headers_mut().insert(PREFILL_HEADER, prefill.into());
    response
}

fn get_prompt(body: &Value) -> String {
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
    max_tokens: usize,
) {
    while engine.used_slots.load(Ordering::SeqCst) >= engine.options.slots {
        runtime::sleep(SLOT_POLL_INTERVAL).await;
    }
    engine.used_slots.fetch_add(1, Ordering::SeqCst);
    engine.prefill.run(prefill, engine.options.prefill_tokens_per_second, priority).await;
    lock(&engine.cache).store(blocks);
    let mut generated = attempt.get_tokens().len();
    while generated < max_tokens && !attempt.is_cancelled() {
        attempt.push_token();
        generated += 1;
        runtime::sleep(Duration::from_millis(engine.options.token_interval_ms)).await;
    }
    attempt.finish();
    let context = format!("{}{}", attempt.prompt, attempt.get_tokens().concat());
    lock(&engine.cache).store(&route::hash_blocks(&context));
    engine.used_slots.fetch_sub(1, Ordering::SeqCst);
    engine.in_flight.fetch_sub(1, Ordering::SeqCst);
}

/// Streams the tokens of an attempt from an offset on, applying the scripted faults.
fn stream_tokens(
    engine: &Engine,
    attempt: Arc<Attempt>,
    id: String,
    from: usize,
) -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(16);
    let fault = lock(&engine.fault).clone();
    runtime::spawn(async move {
        let mut writer = Writer { sender, id, fault, offset: from, held_back: None, written: 0 };
        while let Some((tokens, is_last)) = attempt.wait_for_tokens(writer.offset).await {
            for token in tokens {
                if writer.write_token(&token).await.is_none() {
                    return;
                }
            }
            if is_last {
                writer.write_done().await;
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
    async fn write_token(&mut self, text: &str) -> Option<()> {
        let event = format_event(&self.id, self.offset, text);
        self.offset += 1;
        if self.fault.foreign {
            self.write(super::serve::format_event("another", self.offset - 1, " foreign")).await?;
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
            let reset = Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset));
            let _ = self.sender.send(reset).await;
            return None;
        }
        Some(())
    }

    async fn write_done(&mut self) {
        if let Some(earlier) = self.held_back.take() {
            let _ = self.write(earlier).await;
        }
        let _ = self.write("data: [DONE]\n\n".to_owned()).await;
    }

    async fn write(&self, event: String) -> Option<()> {
        self.sender.send(Ok(Bytes::from(event))).await.ok()
    }
}

fn format_event(id: &str, offset: usize, text: &str) -> String {
    let data = json!({ "choices": [{ "index": 0, "text": text }] });
    format!("id: {id}/{offset}\ndata: {data}\n\n")
}

fn attach(engine: &Engine, id: &str, request: &Request<Incoming>) -> Response<Body> {
    let from =
        reply::get_query_parameter(request, "from").and_then(|n| n.parse().ok()).unwrap_or(0);
    let attempt = lock(&engine.attempts).get(id).cloned();
    match attempt {
        Some(attempt) => stream_tokens(engine, attempt, id.to_owned(), from),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

fn cancel(engine: &Engine, id: &str) -> Response<Body> {
    if let Some(attempt) = lock(&engine.attempts).get(id) {
        attempt.cancel();
    }
    reply::json(&json!({}))
}

/// Returns the KV cache blocks of an attempt, after the time that the transfer takes.
async fn export_cache(engine: &Engine, id: &str) -> Response<Body> {
    let attempt = lock(&engine.attempts).get(id).cloned();
    let Some(attempt) = attempt.filter(|_| engine.options.export_tokens_per_second > 0) else {
        return reply::status(StatusCode::NOT_FOUND);
    };
    let context = format!("{}{}", attempt.prompt, attempt.get_tokens().concat());
    let micros =
        route::count_tokens(&context) * 1_000_000 / engine.options.export_tokens_per_second;
    runtime::sleep(Duration::from_micros(micros)).await;
    reply::json(&json!({ "blocks": route::hash_blocks(&context) }))
}

async fn import_cache(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
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
    let body = http::read_body(response.into_body(), 16 << 20).await.unwrap_or_default();
    let exported: Value = serde_json::from_slice(&body).unwrap_or_default();
    match serde_json::from_value::<Vec<u64>>(exported["blocks"].clone()) {
        Ok(blocks) => {
            lock(&engine.cache).store(&blocks);
            reply::json(&json!({}))
        }
        Err(_) => reply::status(StatusCode::BAD_GATEWAY),
    }
}

/// Accepts an order unless its fencing token is lower than the highest one seen.
async fn accept_order(engine: &Engine, request: Request<Incoming>) -> Response<Body> {
    let Some(order) = reply::read_json::<Value>(request.into_body()).await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    let token = order["fence"].as_u64().unwrap_or(0);
    let mut highest_fence = lock(&engine.highest_fence);
    if engine.options.checks_fences && token < *highest_fence {
        return reply::status(StatusCode::CONFLICT);
    }
    *highest_fence = token.max(*highest_fence);
    lock(&engine.orders).push(order);
    reply::json(&json!({}))
}

impl Engine {
    fn get_load(&self) -> Load {
        Load {
            requests: self.in_flight.load(Ordering::SeqCst) as u32,
            queued_tokens: self.prefill.get_queued_tokens(),
            age_ms: 0,
        }
    }
}
