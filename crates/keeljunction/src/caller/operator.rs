//! The HTTP API for operators: health, readiness, status, and a trigger to read the roll.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use keeljunction_core::member::State;
use serde::{Deserialize, Serialize};

use super::problem::{Problem, respond};
use crate::http::Body;
use crate::node::{Node, adoption};
use crate::peer::get_traffic;
use crate::runtime;

/// The status of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The node's name.
    pub node: String,
    /// The data centre of the node.
    pub data_centre: String,
    /// Whether the node accepts requests.
    pub ready: bool,
    /// The number of the active roll, or 0 if there is none.
    pub roll: u64,
    /// The version of the active bundle.
    pub version: String,
    /// The number of running requests.
    pub running: usize,
    /// The number of records held for other nodes.
    pub records: usize,
    /// The known nodes and their membership state.
    pub members: BTreeMap<String, String>,
    /// The known backend servers, and whether they are live or leaving.
    pub servers: BTreeMap<String, String>,
    /// The owned shards, with the number of grants and of waiting requests.
    pub shards: BTreeMap<String, (usize, usize)>,
    /// The bytes sent to peers and received from them since startup.
    pub peer_bytes: (u64, u64),
    /// The counters since startup.
    pub counts: BTreeMap<String, u64>,
}

/// Handles one request of an operator or health checker.
pub async fn operator(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Response::new(Body::from("ok\n")),
        (&Method::GET, "/readyz") => readiness(&node),
        (&Method::GET, "/status") => status(&node),
        (&Method::POST, "/nudge") => {
            adoption::read_roll(&node).await;
            Response::new(Body::from(format!("{}\n", node.get_roll())))
        }
        _ => {
            let detail = "no such path; possible: GET /healthz, /readyz, /status, POST /nudge";
            respond(&Problem::refused(StatusCode::NOT_FOUND, detail))
        }
    }
}

fn readiness(node: &Node) -> Response<Body> {
    match node.get_unready_reason() {
        None => Response::new(Body::from("ready\n")),
        Some(why) => respond(&Problem::refused(StatusCode::SERVICE_UNAVAILABLE, why)),
    }
}

fn status(node: &Node) -> Response<Body> {
    let content = serde_json::to_vec(&describe(node)).unwrap_or_default();
    let mut response = Response::new(Body::from(content));
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}

fn describe(node: &Node) -> Status {
    let state = |state: State| match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    };
    let members = runtime::lock(&node.members);
    let members = members.iter().map(|m| (m.name.clone(), state(m.state).to_owned())).collect();
    let directory = runtime::lock(&node.directory);
    let server_state = |name: &str| if directory.is_leaving(name) { "leaving" } else { "live" };
    let servers =
        directory.iter().map(|s| (s.name.clone(), server_state(&s.name).to_owned())).collect();
    drop(directory);
    let owned: Vec<_> = runtime::lock(&node.grants.owned)
        .iter()
        .map(|(key, shard)| (key.clone(), shard.clone()))
        .collect();
    let load = |shard: &crate::node::shard::Shard| {
        shard.with(|queue, _| (queue.get_granted(), queue.get_waiting()))
    };
    Status {
        node: node.get_name().to_owned(),
        data_centre: node.settings.node.data_centre.clone(),
        ready: node.get_unready_reason().is_none(),
        roll: node.get_roll(),
        version: node
            .get_active_bundle()
            .map(|active| active.roll.version.clone())
            .unwrap_or_default(),
        running: node.get_running(),
        records: runtime::lock(&node.records).len(),
        members,
        servers,
        shards: owned
            .iter()
            .map(|((service, n), shard)| (format!("{service}/{n}"), load(shard)))
            .collect(),
        peer_bytes: get_traffic(),
        counts: node
            .metric
            .get_counts()
            .into_iter()
            .map(|(name, n)| (name.to_owned(), n))
            .collect(),
    }
}
