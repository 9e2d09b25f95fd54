//! Sends a request to its server: directly, or through a peer if this node is cut off from the
//! servers.

use std::sync::Arc;

use futures_lite::future;
use hyper::Request;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::server_path::Way;

use crate::backend::{Response, SendError};
use crate::http::Body;
use crate::node::{Node, send_through_peer, server_paths};

/// Sends a request and waits for the response head. `build` creates the request, once for each try
/// to send it.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] only if no byte of the request reached the server.
pub(super) async fn send(
    node: &Arc<Node>,
    server: &Server,
    build: impl Fn() -> Option<Request<Body>>,
) -> Result<Response, SendError> {
    let service = &server.service;
    let request = build().ok_or_else(|| SendError::NotSent("malformed request".to_owned()))?;
    match server_paths::get_way(node, service) {
        Way::Direct => match send_directly(node, server, request).await {
            Err(error) if error.is_not_sent() => {
                server_paths::record_unreachable(node, server);
                if server_paths::get_way(node, service) == Way::Direct {
                    return Err(error);
                }
            }
            result => return result,
        },
        Way::Kept => match node.backend.send_on_idle(server.address, request).await {
            Some(Err(error)) if error.is_not_sent() => {}
            Some(result) => return record(node, service, result),
            None => {}
        },
        Way::Relay => {}
    }
    send_through_peer(node, server, build).await
}

async fn send_directly(
    node: &Arc<Node>,
    server: &Server,
    request: Request<Body>,
) -> Result<Response, SendError> {
    let service = &server.service;
    let sending = node.backend.send(server.address, request);
    let silence = server_paths::watch_silence(node, service, node.now());
    record(node, service, future::or(sending, silence).await)
}

/// Records a response that was received over a connection to the server.
fn record(
    node: &Node,
    service: &str,
    result: Result<Response, SendError>,
) -> Result<Response, SendError> {
    if result.is_ok() {
        server_paths::record_response(node, service);
    }
    result
}
