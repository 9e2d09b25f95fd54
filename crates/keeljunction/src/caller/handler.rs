//! Answers callers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, TrySendError};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use keeljunction_core::outcome::Outcome;

use super::check::{self, Checked};
use super::event::{LAST, Shape};
use super::problem::{Problem, respond};
use crate::http::Body;
use crate::node::{Answer, Node, accept};
use crate::peer::wire::Final;
use crate::runtime;

/// Pieces that wait for a slow reader.
const WAITING_PIECES: usize = 4;
/// When to come back to another node, in milliseconds.
const CLOSED_RETRY_MS: u64 = 1_000;
const KEY: &str = "idempotency-key";

/// Answers one request of a caller.
///
/// A node that is stopping closes each connection after its response, so that no caller is about
/// to use one again when the node ends.
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
    if node.is_closed() {
        return closed(node);
    }
    let Some(force) = node.get_force() else {
        let why = node.get_unready().unwrap_or("not ready");
        let problem = Problem::refused(StatusCode::SERVICE_UNAVAILABLE, why);
        return respond(&problem.retry_after(CLOSED_RETRY_MS));
    };
    let checked = match check::check(node, &force, request).await {
        Ok(checked) => checked,
        Err(problem) => {
            node.metric.count("requests_bad", 1);
            return respond(&problem);
        }
    };
    let response = give(node, checked).await;
    node.metric.time("head_ms", node.now() - started);
    response
}

/// A node that takes nothing more refuses at once.
fn closed(node: &Node) -> Response<Body> {
    node.metric.count("requests_refused", 1);
    let problem = Problem::refused(StatusCode::SERVICE_UNAVAILABLE, "this node is stopping");
    respond(&problem.retry_after(CLOSED_RETRY_MS))
}

async fn give(node: &Arc<Node>, checked: Checked) -> Response<Body> {
    let Checked { request, naming, offset, model, is_chat } = checked;
    let is_model = request.is_model();
    let stream = request.stream;
    let shape = Shape { key: request.key.clone(), model, is_chat };
    let answer = accept::accept(node, request, naming);
    let mut response = if is_model && stream {
        match answer.accepted().await {
            Some(ended) if !is_done(&ended) && answer.get_length() == 0 => {
                respond(&Problem::from_final(&ended))
            }
            _ => events(node, answer, shape.clone(), offset),
        }
    } else {
        let ended = answer.ended().await;
        match is_done(&ended) {
            false => respond(&Problem::from_final(&ended)),
            true if is_model => whole(&answer, &shape, &ended),
            true => plain(ended),
        }
    };
    if let Ok(key) = HeaderValue::from_str(&shape.key) {
        response.headers_mut().insert(KEY, key);
    }
    response
}

fn is_done(ended: &Final) -> bool {
    ended.outcome == Outcome::Done.as_str()
}

fn plain(ended: Final) -> Response<Body> {
    let mut response = Response::new(Body::from(ended.body));
    *response.status_mut() =
        StatusCode::from_u16(ended.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(media_type) = HeaderValue::from_str(&ended.media_type) {
        response.headers_mut().insert("content-type", media_type);
    }
    response
}

fn whole(answer: &Answer, shape: &Shape, ended: &Final) -> Response<Body> {
    let mut tokens = answer.get_since(0).tokens;
    if tokens.is_empty() && !ended.body.is_empty() {
        tokens.push(String::from_utf8_lossy(&ended.body).into_owned());
    }
    let mut response =
        Response::new(Body::from(shape.whole(&tokens.concat(), tokens.len() as u64)));
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}

/// Gives an answer as events, from an offset on.
fn events(node: &Arc<Node>, answer: Arc<Answer>, shape: Shape, offset: u64) -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(WAITING_PIECES);
    let node = node.clone();
    runtime::spawn(async move {
        if write(&node, &answer, &shape, offset, &sender).await.is_none() {
            node.metric.count("callers_cut", 1);
            log::info!("the caller of {} did not take its answer in time or has gone", shape.key);
            let _ = sender.try_send(Err(io::Error::from(io::ErrorKind::TimedOut)));
        }
    });
    let mut response = Response::new(Body::from_channel(receiver));
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    response
}

/// Writes events as the answer grows; `None` where the caller is slow or has gone.
async fn write(
    node: &Node,
    answer: &Answer,
    shape: &Shape,
    offset: u64,
    sender: &Sender<io::Result<Bytes>>,
) -> Option<()> {
    let time = Duration::from_millis(node.settings.limits.write_ms);
    let mut offset = offset;
    loop {
        let news = answer.beyond(offset).await;
        let mut text = String::new();
        for token in &news.tokens {
            text.push_str(&shape.token(offset, token));
            offset += 1;
        }
        if let Some(ended) = &news.ended {
            text.push_str(&last(shape, ended, offset));
        }
        node.metric.count("tokens_relayed", news.tokens.len() as u64);
        put(sender, Bytes::from(text), time).await?;
        if news.ended.is_some() {
            return Some(());
        }
    }
}

/// Gives a piece to the connection; a timer is set only where it does not take it at once.
async fn put(sender: &Sender<io::Result<Bytes>>, piece: Bytes, time: Duration) -> Option<()> {
    match sender.try_send(Ok(piece)) {
        Ok(()) => Some(()),
        Err(TrySendError::Closed(_)) => None,
        Err(TrySendError::Full(piece)) => runtime::timeout(time, sender.send(piece)).await?.ok(),
    }
}

/// Writes what ends a stream. A recorded answer comes as one event.
fn last(shape: &Shape, ended: &Final, offset: u64) -> String {
    if !is_done(ended) {
        return format!("event: error\ndata: {}\n\n", Problem::from_final(ended).to_json());
    }
    let recorded = match offset {
        0 if !ended.body.is_empty() => shape.token(0, &String::from_utf8_lossy(&ended.body)),
        _ => String::new(),
    };
    format!("{recorded}{}{LAST}", shape.finish())
}
