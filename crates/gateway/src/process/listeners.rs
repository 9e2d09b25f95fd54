//! Handlers of the readiness, metrics and rollouts endpoints.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::http::Body;
use crate::node::{Node, gauges};

const READINESS_PATH: &str = "/ready";
/// The path of the rollouts endpoint, on the metrics listener.
pub const ROLLOUTS_PATH: &str = "/rollouts";

/// Responds whether the node should receive new connections.
pub(super) async fn readiness(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != READINESS_PATH {
        return reply(StatusCode::NOT_FOUND, "");
    }
    if node.is_ready() {
        return reply(StatusCode::OK, "ready\n");
    }
    reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

/// Serves the metrics as text, and the rollouts as JSON.
pub(super) async fn metrics(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == ROLLOUTS_PATH {
        return rollouts(&node);
    }
    gauges::update(&node);
    reply(StatusCode::OK, node.metrics.render())
}

fn rollouts(node: &Node) -> Response<Body> {
    let now = node.now();
    let summaries = node.with(|state| state.rollouts.list_summaries(now));
    match serde_json::to_string(&summaries) {
        Ok(text) => reply(StatusCode::OK, text),
        Err(error) => {
            log::error!("failed to encode the rollouts as JSON: {error}");
            reply(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

fn reply(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(Body::from(text.into()));
    *response.status_mut() = status;
    response
}
