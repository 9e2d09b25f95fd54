//! Answers the balancer's question and serves metrics.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::Node;
use crate::http::Body;

const READINESS_PATH: &str = "/ready";

/// Answers whether the node should get new connections.
pub(super) async fn readiness(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != READINESS_PATH {
        return reply(StatusCode::NOT_FOUND, "");
    }
    if node.is_ready() {
        return reply(StatusCode::OK, "ready\n");
    }
    reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

/// Serves the metrics as text.
pub(super) async fn metrics(node: Arc<Node>, _request: Request<Incoming>) -> Response<Body> {
    let text = node.metrics.render(&node);
    reply(StatusCode::OK, text)
}

fn reply(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(Body::from(text.into()));
    *response.status_mut() = status;
    response
}
