//! The HTTP interface of the platform.

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

/// The body of a request that marks a VM as leaving or removes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Departure {
    /// The name of the VM.
    pub vm: String,
}

type SharedState = Arc<Mutex<State>>;

/// Serves the platform until the process ends.
pub async fn serve(port: u16, lag: Duration) {
    let state: SharedState = Arc::new(Mutex::new(State::new(lag)));
    reply::serve(port, |_| {}, move |request| handle_request(state.clone(), request)).await;
}

async fn handle_request(state: SharedState, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let is_get = request.method() == Method::GET;
    lock(&state).call_count += 1;
    let targets: &[Target] = match path.as_str() {
        "/table/commit" => &[Target::Commit, Target::Table],
        path if path.starts_with("/table/") => &[Target::Table],
        path if path.starts_with("/objects/") => &[Target::Store],
        "/vms" | "/notices" if is_get => &[Target::Vms],
        "/cloud/start" => &[Target::Cloud],
        _ => &[],
    };
    let fault = lock(&state).next_fault(targets);
    let (parts, body) = request.into_parts();
    let content = reply::read_body(body).await;
    let effect = move || execute(&state, &parts.method, &path, &content);
    match fault {
        None => effect(),
        Some(fault) => apply_fault(fault, effect).await,
    }
}

async fn apply_fault(
    fault: Fault,
    effect: impl FnOnce() -> Response<Body> + Send + 'static,
) -> Response<Body> {
    let delay = Duration::from_millis(fault.ms);
    match fault.mode {
        Mode::None => effect(),
        Mode::Down => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        Mode::Slow => {
            runtime::sleep(delay).await;
            effect()
        }
        Mode::Lost => {
            effect();
            reply::broken_body()
        }
        Mode::Late => {
            runtime::spawn(async move {
                runtime::sleep(delay).await;
                effect();
            });
            reply::broken_body()
        }
    }
}

fn execute(state: &SharedState, method: &Method, path: &str, content: &[u8]) -> Response<Body> {
    let mut state = lock(state);
    match (method.as_str(), path) {
        ("POST", "/table/read") => {
            parse(content, |read: Read| reply::json(&state.read(&read.keys)))
        }
        ("POST", "/table/scan") => {
            parse(content, |scan: Scan| reply::json(&state.scan(&scan.prefix)))
        }
        ("POST", "/table/commit") => {
            parse(content, |t: Transaction| reply::json(&state.commit(&t)))
        }
        ("GET", "/vms") => reply::json(&state.list_vms()),
        ("GET", "/notices") => reply::json(&state.get_notices()),
        ("POST", "/vms") => parse(content, |vm: Vm| apply(|| state.set_vm(vm))),
        ("POST", "/vms/leave") => {
            parse(content, |departure: Departure| mark_leaving(&mut state, &departure.vm))
        }
        ("POST", "/vms/gone") => {
            parse(content, |departure: Departure| apply(|| state.remove_vm(&departure.vm)))
        }
        ("POST", "/notices") => {
            parse(content, |notice: Notice| apply(|| state.give_notice(&notice)))
        }
        ("POST", "/faults") => parse(content, |fault: Fault| apply(|| state.set_fault(fault))),
        ("POST", "/cloud/start") => parse(content, |start: Start| start_vm(&mut state, start)),
        ("GET", "/cloud/started") => reply::json(&state.started_vms),
        ("GET", "/calls") => reply::json(&json!({ "calls": state.call_count })),
        (_, path) => match path.strip_prefix("/objects/").map(reply::decode_segment) {
            Some(Some(key)) => access_object(&mut state, method, &key, content),
            Some(None) => reply::status(StatusCode::BAD_REQUEST),
            None => reply::status(StatusCode::NOT_FOUND),
        },
    }
}

fn parse<T: for<'de> Deserialize<'de>>(
    content: &[u8],
    handle: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match serde_json::from_slice(content) {
        Ok(message) => handle(message),
        Err(_) => reply::status(StatusCode::BAD_REQUEST),
    }
}

fn apply(change: impl FnOnce()) -> Response<Body> {
    change();
    reply::json(&json!({}))
}

fn mark_leaving(state: &mut State, vm: &str) -> Response<Body> {
    match state.list_vms().into_iter().find(|known| known.name == vm) {
        Some(known) => apply(|| state.set_vm(Vm { state: VmState::Leaving, ..known })),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

fn start_vm(state: &mut State, start: Start) -> Response<Body> {
    let number = state.started_vms.len();
    let new_vm = || (format!("{}-{number}", start.service), start.clone());
    let (vm, _) = state.started_vms.entry(start.token.clone()).or_insert_with(new_vm);
    reply::json(&Started { vm: vm.clone() })
}

fn access_object(state: &mut State, method: &Method, key: &str, content: &[u8]) -> Response<Body> {
    if *method == Method::PUT {
        state.objects.insert(key.to_owned(), content.to_vec().into());
        return apply(|| {});
    }
    match state.objects.get(key) {
        Some(content) => Response::new(Body::from(content.clone())),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}
