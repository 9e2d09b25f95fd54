//! The handler of client requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, TrySendError};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use keeljunction_core::outcome::Outcome;

use super::check::{self, ValidRequest};
use super::event::{DONE_EVENT, Envelope};
use super::problem::{Problem, respond};
use crate::http::Body;
use crate::node::{Answer, Node, accept};
use crate::peer::wire::Final;
use crate::runtime;

/// Pieces that are buffered for a slow client.
const CHANNEL_CAPACITY: usize = 4;
/// Retry delay sent while this node stops or is not ready. The client then reaches another node.
const STOPPING_RETRY_AFTER_MS: u64 = 1_000;
const KEY_HEADER: &str = "idempotency-key";

/// Handles one client request.
///
/// A node that is stopping closes each connection after its response, so that no client reuses a
/// connection while the node exits.
pub async fn answer(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let mut response = respond_to(&node, request).await;
    if node.is_stopping() {
        response.headers_mut().insert("connection", HeaderValue::from_static("close"));
    }
    response
}

async fn respond_to(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let started = node.now();
    node.metric.count("requests", 1);
    let _guard = node.begin_request();
    if node.is_closed() {
        return reject_stopping(node);
    }
    let Some(active) = node.get_active_bundle() else {
        let why = node.get_unready_reason().unwrap_or("not ready");
        let problem = Problem::refused(StatusCode::SERVICE_UNAVAILABLE, why);
        return respond(&problem.retry_after(STOPPING_RETRY_AFTER_MS));
    };
    let valid = match check::check(node, &active, request).await {
        Ok(valid) => valid,
        Err(problem) => {
            node.metric.count("requests_bad", 1);
            return respond(&problem);
        }
    };
    let response = handle(node, valid).await;
    node.metric.time("head_ms", node.now() - started);
    response
}

/// Rejects a request because the node accepts no new ones.
fn reject_stopping(node: &Node) -> Response<Body> {
    node.metric.count("requests_refused", 1);
    let problem = Problem::refused(StatusCode::SERVICE_UNAVAILABLE, "this node is stopping");
    respond(&problem.retry_after(STOPPING_RETRY_AFTER_MS))
}

async fn handle(node: &Arc<Node>, valid: ValidRequest) -> Response<Body> {
    let ValidRequest { request, key_source, offset, model, is_chat } = valid;
    let is_model = request.is_model();
    let stream = request.stream;
    let envelope = Envelope { key: request.key.clone(), model, is_chat };
    let answer = accept::accept(node, request, key_source);
    let mut response = if is_model && stream {
        match answer.wait_accepted().await {
            Some(ended) if !is_done(&ended) && answer.get_length() == 0 => {
                respond(&Problem::from_final(&ended))
            }
            _ => event_stream(node, answer, envelope.clone(), offset),
        }
    } else {
        let ended = answer.wait_ended().await;
        match is_done(&ended) {
            false => respond(&Problem::from_final(&ended)),
            true if is_model => json_response(&answer, &envelope, &ended),
            true => plain_response(ended),
        }
    };
    if let Ok(key) = HeaderValue::from_str(&envelope.key) {
        response.headers_mut().insert(KEY_HEADER, key);
    }
    response
}

fn is_done(ended: &Final) -> bool {
    ended.outcome == Outcome::Done.as_str()
}

fn plain_response(ended: Final) -> Response<Body> {
    let mut response = Response::new(Body::from(ended.body));
    *response.status_mut() =
        StatusCode::from_u16(ended.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(media_type) = HeaderValue::from_str(&ended.media_type) {
        response.headers_mut().insert("content-type", media_type);
    }
    response
}

fn json_response(answer: &Answer, envelope: &Envelope, ended: &Final) -> Response<Body> {
    let mut tokens = answer.get_since(0).tokens;
    if tokens.is_empty() && !ended.body.is_empty() {
        tokens.push(String::from_utf8_lossy(&ended.body).into_owned());
    }
    let mut response =
        Response::new(Body::from(envelope.document(&tokens.concat(), tokens.len() as u64)));
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}

/// Responds with an answer as events, starting at an offset.
fn event_stream(
    node: &Arc<Node>,
    answer: Arc<Answer>,
    envelope: Envelope,
    offset: u64,
) -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(CHANNEL_CAPACITY);
    let node = node.clone();
    runtime::spawn(async move {
        if write(&node, &answer, &envelope, offset, &sender).await.is_none() {
            node.metric.count("callers_cut", 1);
            log::info!(
                "request {}: the client disconnected or did not read its answer in time",
                envelope.key
            );
            let _ = sender.try_send(Err(io::Error::from(io::ErrorKind::TimedOut)));
        }
    });
    let mut response = Response::new(Body::from_channel(receiver));
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    response
}

/// Writes events as tokens arrive. Returns `None` if the client is too slow or has disconnected.
async fn write(
    node: &Node,
    answer: &Answer,
    envelope: &Envelope,
    offset: u64,
    sender: &Sender<io::Result<Bytes>>,
) -> Option<()> {
    let time = Duration::from_millis(node.settings.limits.write_ms);
    let mut offset = offset;
    loop {
        let update = answer.wait_beyond(offset).await;
        let mut text = String::new();
        for token in &update.tokens {
            text.push_str(&envelope.token(offset, token));
            offset += 1;
        }
        if let Some(ended) = &update.ended {
            text.push_str(&final_events(envelope, ended, offset));
        }
        node.metric.count("tokens_relayed", update.tokens.len() as u64);
        send_piece(sender, Bytes::from(text), time).await?;
        if update.ended.is_some() {
            return Some(());
        }
    }
}

/// Sends a chunk to the connection. A timer is set only if the channel is full.
async fn send_piece(
    sender: &Sender<io::Result<Bytes>>,
    piece: Bytes,
    time: Duration,
) -> Option<()> {
    match sender.try_send(Ok(piece)) {
        Ok(()) => Some(()),
        Err(TrySendError::Closed(_)) => None,
        Err(TrySendError::Full(piece)) => runtime::timeout(time, sender.send(piece)).await?.ok(),
    }
}

/// Formats the events that end a stream. A recorded answer is sent as one event.
fn final_events(envelope: &Envelope, ended: &Final, offset: u64) -> String {
    if !is_done(ended) {
        return format!("event: error\ndata: {}\n\n", Problem::from_final(ended).to_json());
    }
    let recorded = match offset {
        0 if !ended.body.is_empty() => envelope.token(0, &String::from_utf8_lossy(&ended.body)),
        _ => String::new(),
    };
    format!("{recorded}{}{DONE_EVENT}", envelope.finish())
}
