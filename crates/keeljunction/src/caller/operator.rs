//! The operator's page: health, readiness, status, and a nudge to look for a new roll.

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

/// What a node says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The node's name.
    pub node: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// The number of the roll in force; 0 where there is none.
    pub roll: u64,
    /// The version of the bundle in force.
    pub version: String,
    /// Requests that run here.
    pub running: usize,
    /// Records held for other nodes.
    pub records: usize,
    /// The nodes it knows, and how it thinks they are.
    pub members: BTreeMap<String, String>,
    /// The backend servers it knows, and whether they are leaving.
    pub servers: BTreeMap<String, String>,
    /// The shards that it owns, with grants out and requests waiting.
    pub shards: BTreeMap<String, (usize, usize)>,
    /// Bytes sent to peers and received from them since it was started.
    pub peer_bytes: (u64, u64),
    /// Counts since it was started.
    pub counts: BTreeMap<String, u64>,
}

/// Answers one request of an operator or health checker.
pub async fn operator(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Response::new(Body::from("ok\n")),
        (&Method::GET, "/readyz") => ready(&node),
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

fn ready(node: &Node) -> Response<Body> {
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
