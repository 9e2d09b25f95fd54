//! A stand-in for a plain service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use keeljunction::backend::{ATTEMPT_HEADER, KEY_HEADER, Load};
use keeljunction::http::Body;
use keeljunction::runtime::{self, lock};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::reply;

/// One request that really ran here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// The request key.
    pub key: String,
    /// The attempt.
    pub attempt: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// When it arrived, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// A scripted fault of the requests that come from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Run the request, and lose the answer.
    pub lose: bool,
    /// Take longer, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct Service {
    ran: Mutex<Vec<Ran>>,
    replies: Mutex<HashMap<String, String>>,
    fault: Mutex<Fault>,
    requests: AtomicU32,
    deduplicates: bool,
}

/// Serves a plain service until the process ends.
pub async fn serve(port: u16, deduplicates: bool, started: impl FnOnce(SocketAddr)) {
    let service = Arc::new(Service { deduplicates, ..Service::default() });
    reply::serve(port, started, move |request| answer(service.clone(), request)).await;
}

async fn answer(service: Arc<Service>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/load" => {
            let requests = service.requests.load(Ordering::SeqCst);
            reply::json(&Load { requests, queued_tokens: 0, age_ms: 0 })
        }
        "/ran" => reply::json(&*lock(&service.ran)),
        "/faults" => {
            *lock(&service.fault) = reply::read_json(request.into_body()).await.unwrap_or_default();
            reply::json(&json!({}))
        }
        _ => {
            service.requests.fetch_add(1, Ordering::SeqCst);
            let response = run(&service, request).await;
            service.requests.fetch_sub(1, Ordering::SeqCst);
            response
        }
    }
}

async fn run(service: &Service, request: Request<Incoming>) -> Response<Body> {
    let header = |name: &str| {
        request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (key, attempt, method) =
        (header(KEY_HEADER), header(ATTEMPT_HEADER), request.method().to_string());
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let delay = reply::query(&request, "delay_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    let fault = *lock(&service.fault);
    let body = reply::read(request.into_body()).await;
    let known = lock(&service.replies).get(&key).cloned();
    if let Some(known) = known.filter(|_| service.deduplicates) {
        return typed(known);
    }
    let ran =
        Ran { key: key.clone(), attempt, method, path: path.clone(), unix_ms: runtime::unix_ms() };
    lock(&service.ran).push(ran);
    runtime::sleep(Duration::from_millis(delay + fault.slow_ms)).await;
    let text =
        json!({ "key": key, "path": path, "echo": String::from_utf8_lossy(&body) }).to_string();
    lock(&service.replies).insert(key, text.clone());
    if fault.lose { reply::cut() } else { typed(text) }
}

fn typed(text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    let media_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", media_type);
    response
}
