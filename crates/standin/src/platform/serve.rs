//! The platform's calls, over HTTP.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use keeljunction::http::Body;
use keeljunction::platform::{Notice, Read, Scan, Start, Started, Transaction, Vm, VmState};
use keeljunction::runtime::{self, lock};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::fault::{Fault, Mode, Target};
use super::state::State;
use crate::reply;

/// A VM that leaves, or is gone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Departure {
    /// Its name.
    pub vm: String,
}

type Shared = Arc<Mutex<State>>;

/// Serves the platform until the process ends.
pub async fn serve(port: u16, lag: Duration) {
    let state: Shared = Arc::new(Mutex::new(State::new(lag)));
    reply::serve(port, |_| {}, move |request| answer(state.clone(), request)).await;
}

async fn answer(state: Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let is_get = request.method() == Method::GET;
    lock(&state).calls += 1;
    let targets: &[Target] = match path.as_str() {
        "/table/commit" => &[Target::Commit, Target::Table],
        path if path.starts_with("/table/") => &[Target::Table],
        path if path.starts_with("/objects/") => &[Target::Store],
        "/vms" | "/notices" if is_get => &[Target::Vms],
        "/cloud/start" => &[Target::Cloud],
        _ => &[],
    };
    let fault = lock(&state).take_fault(targets);
    let (parts, body) = request.into_parts();
    let content = reply::read(body).await;
    let effect = move || act(&state, &parts.method, &path, &content);
    match fault {
        None => effect(),
        Some(fault) => go_wrong(fault, effect).await,
    }
}

async fn go_wrong(
    fault: Fault,
    effect: impl FnOnce() -> Response<Body> + Send + 'static,
) -> Response<Body> {
    let time = Duration::from_millis(fault.ms);
    match fault.mode {
        Mode::None => effect(),
        Mode::Down => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        Mode::Slow => {
            runtime::sleep(time).await;
            effect()
        }
        Mode::Lost => {
            effect();
            reply::cut()
        }
        Mode::Late => {
            runtime::spawn(async move {
                runtime::sleep(time).await;
                effect();
            });
            reply::cut()
        }
    }
}

fn act(state: &Shared, method: &Method, path: &str, content: &[u8]) -> Response<Body> {
    let mut state = lock(state);
    match (method.as_str(), path) {
        ("POST", "/table/read") => with(content, |read: Read| reply::json(&state.read(&read.keys))),
        ("POST", "/table/scan") => {
            with(content, |scan: Scan| reply::json(&state.scan(&scan.prefix)))
        }
        ("POST", "/table/commit") => with(content, |t: Transaction| reply::json(&state.commit(&t))),
        ("GET", "/vms") => reply::json(&state.list()),
        ("GET", "/notices") => reply::json(&state.notices()),
        ("POST", "/vms") => with(content, |vm: Vm| done(|| state.set_vm(vm))),
        ("POST", "/vms/leave") => {
            with(content, |leaving: Departure| leave(&mut state, &leaving.vm))
        }
        ("POST", "/vms/gone") => {
            with(content, |gone: Departure| done(|| state.remove_vm(&gone.vm)))
        }
        ("POST", "/notices") => with(content, |notice: Notice| done(|| state.give_notice(&notice))),
        ("POST", "/faults") => with(content, |fault: Fault| done(|| state.set_fault(fault))),
        ("POST", "/cloud/start") => with(content, |start: Start| cloud_start(&mut state, start)),
        ("GET", "/cloud/started") => reply::json(&state.started),
        ("GET", "/calls") => reply::json(&json!({ "calls": state.calls })),
        (_, path) => match path.strip_prefix("/objects/") {
            Some(key) => object(&mut state, method, key, content),
            None => reply::status(StatusCode::NOT_FOUND),
        },
    }
}

fn with<T: for<'de> Deserialize<'de>>(
    content: &[u8],
    act: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match serde_json::from_slice(content) {
        Ok(message) => act(message),
        Err(_) => reply::status(StatusCode::BAD_REQUEST),
    }
}

fn done(act: impl FnOnce()) -> Response<Body> {
    act();
    reply::json(&json!({}))
}

fn leave(state: &mut State, vm: &str) -> Response<Body> {
    match state.list().into_iter().find(|known| known.name == vm) {
        Some(known) => done(|| state.set_vm(Vm { state: VmState::Leaving, ..known })),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

fn cloud_start(state: &mut State, start: Start) -> Response<Body> {
    let number = state.started.len();
    let fresh = || (format!("{}-{number}", start.service), start.clone());
    let (vm, _) = state.started.entry(start.token.clone()).or_insert_with(fresh);
    reply::json(&Started { vm: vm.clone() })
}

fn object(state: &mut State, method: &Method, key: &str, content: &[u8]) -> Response<Body> {
    if *method == Method::PUT {
        state.objects.insert(key.to_owned(), content.to_vec().into());
        return done(|| {});
    }
    match state.objects.get(key) {
        Some(content) => Response::new(Body::from(content.clone())),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}
