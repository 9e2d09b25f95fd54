//! Calls between nodes for what does not fit a datagram: the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use keeljunction_core::Millis;

use super::{Node, watch};
use crate::http::{Body, read};
use crate::port::Row;
use crate::runtime;

const CONFIGURATION_PATH: &str = "/configuration";
const LONGEST_CONFIGURATION: usize = 8 << 20;
const CALL_WITHIN: Duration = Duration::from_millis(700);

/// Serves the configuration to peers, as the operator wrote it.
pub(super) async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let document = node.with(|state| state.configuration_document.clone());
    let mut response = match (request.uri().path(), document) {
        (CONFIGURATION_PATH, Some(document)) => return Response::new(Body::from(document)),
        _ => Response::new(Body::empty()),
    };
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

/// Takes a peer's word for the newest version, and gets the configuration from it where it is
/// newer than the one in force.
pub(super) fn take_freshness(
    node: &Arc<Node>,
    from: SocketAddr,
    asked_at: Millis,
    version: u64,
    age: Millis,
) {
    let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
    if known >= Some(version) {
        node.with(|state| state.freshness.confirm_by_peer(asked_at, age));
        return;
    }
    let node = node.clone();
    runtime::spawn(async move {
        let Some(Some(document)) = runtime::within(CALL_WITHIN, fetch(&node, from)).await else {
            return;
        };
        let row = Row { key: String::new(), value: Some(document), version: 0 };
        watch::adopt_configuration(&node, &[row]);
        node.with(|state| {
            if state.configuration.as_ref().map(|known| known.version) >= Some(version) {
                state.freshness.confirm_by_peer(asked_at, age);
            }
        });
    });
}

async fn fetch(node: &Node, from: SocketAddr) -> Option<Vec<u8>> {
    let request = Request::get(CONFIGURATION_PATH).header("host", from.to_string());
    let response = node.servers.send(from, request.body(Body::empty()).ok()?).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    read(response.into_body(), LONGEST_CONFIGURATION).await.map(|bytes| bytes.to_vec())
}
