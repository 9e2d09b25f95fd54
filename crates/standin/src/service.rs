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

/// An entry of the execution log: a request that this service ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The idempotency key of the request.
    pub key: String,
    /// The attempt id.
    pub attempt: String,
    /// The HTTP method.
    pub method: String,
    /// The request path and query.
    pub path: String,
    /// Arrival time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// A scripted fault that applies to requests received after it is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Runs the request but loses the response.
    pub lose: bool,
    /// Additional processing time, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct Service {
    executions: Mutex<Vec<Execution>>,
    responses: Mutex<HashMap<String, String>>,
    fault: Mutex<Fault>,
    in_flight: AtomicU32,
    deduplicates: bool,
}

/// Serves a plain service until the process ends.
pub async fn serve(port: u16, deduplicates: bool, on_listening: impl FnOnce(SocketAddr)) {
    let service = Arc::new(Service { deduplicates, ..Service::default() });
    reply::serve(port, on_listening, move |request| handle_request(service.clone(), request)).await;
}

async fn handle_request(service: Arc<Service>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/load" => {
            let requests = service.in_flight.load(Ordering::SeqCst);
            reply::json(&Load { requests, queued_tokens: 0, age_ms: 0 })
        }
        "/ran" => reply::json(&*lock(&service.executions)),
        "/faults" => {
            *lock(&service.fault) = reply::read_json(request.into_body()).await.unwrap_or_default();
            reply::json(&json!({}))
        }
        _ => {
            service.in_flight.fetch_add(1, Ordering::SeqCst);
            let response = run(&service, request).await;
            service.in_flight.fetch_sub(1, Ordering::SeqCst);
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
    let delay = reply::get_query_parameter(&request, "delay_ms")
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(0);
    let fault = *lock(&service.fault);
    let body = reply::read_body(request.into_body()).await;
    let recorded = lock(&service.responses).get(&key).cloned();
    if let Some(recorded) = recorded.filter(|_| service.deduplicates) {
        return json_response(recorded);
    }
    let execution = Execution {
        key: key.clone(),
        attempt,
        method,
        path: path.clone(),
        unix_ms: runtime::unix_ms(),
    };
    lock(&service.executions).push(execution);
    runtime::sleep(Duration::from_millis(delay + fault.slow_ms)).await;
    let text =
        json!({ "key": key, "path": path, "echo": String::from_utf8_lossy(&body) }).to_string();
    lock(&service.responses).insert(key, text.clone());
    if fault.lose { reply::broken_body() } else { json_response(text) }
}

fn json_response(text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    let media_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", media_type);
    response
}
