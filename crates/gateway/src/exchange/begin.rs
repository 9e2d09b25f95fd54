//! Pins a stream that begins to the software version of its server, and records its origin.

use std::sync::Arc;

use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::stream_origin::{Key, Origin};

use super::admission::Exchange;
use super::attempt::ServerResponse;
use super::pin::Pin;
use crate::node::{Node, stream_origins};

/// Pins a stream that begins now to the software version of its server, and records its origin.
///
/// Copies of the record are sent to other nodes before this returns, so that a caller that has
/// received an event can resume the stream at any node.
pub(super) async fn record(node: &Arc<Node>, exchange: &Exchange, response: &ServerResponse) {
    let is_begun = response.parts.status.is_success() && exchange.route.kind.is_resumable();
    if !is_begun || exchange.pin.get().is_some() {
        return;
    }
    let pin = match node.with(|state| state.directory.is_software_replaced(&response.server)) {
        true => Pin::Unpinnable,
        false => pin_to_server(node, exchange, &response.server).await,
    };
    if exchange.pin.set(pin).is_err() {
        log::error!("the stream of a request was pinned twice");
    }
}

async fn pin_to_server(node: &Arc<Node>, exchange: &Exchange, server: &Server) -> Pin {
    let origin = Origin::new(&server.service, &server.version);
    let id = exchange.head.id.as_deref().unwrap_or("");
    let key = Key::new(exchange.account.as_deref().unwrap_or(""), id);
    let running = stream_origins::begin(node, key, &origin, exchange.caller_deadline).await;
    Pin::Pinned { origin, _running: vec![running] }
}
