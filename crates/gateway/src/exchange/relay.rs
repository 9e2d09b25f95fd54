//! Builds the caller's response from a server's response.

use std::sync::Arc;

use hyper::http::response::Parts;
use hyper::{HeaderMap, Response};
use keeljunction_core::serving::response_body::Framing;

use super::admission::Exchange;
use super::attempt::{ServerBody, ServerResponse};
use super::feed::{self, Recipient};
use super::notes;
use super::respond::{ANSWERED, RequestRecord, announce_close_if_stopping};
use super::source::{self, PartialResponse};
use crate::http::{Body, remove_standard_hop_by_hop};
use crate::node::Node;

/// Returns the caller's response, which forwards the server's response.
pub(super) fn relay(
    node: Arc<Node>,
    exchange: Arc<Exchange>,
    response: ServerResponse,
    mut record: RequestRecord,
) -> Response<Body> {
    let ServerResponse { server, parts, framing, content, body, load, reservation } = response;
    record.framing = Some(framing);
    let status = parts.status.as_u16();
    let mut response = response_head(&parts);
    *response.body_mut() = match body {
        ServerBody::Complete(bytes) => {
            // A server that crashes after the head of such a response ends it as well.
            if framing != Framing::Connection || !bytes.is_empty() {
                notes::record_success(&node, &exchange, status);
            }
            record.record_chunk();
            record.record_response_end();
            record.set_outcome(status, ANSWERED);
            feed::complete_body(&node, bytes, reservation, record)
        }
        ServerBody::Partial { received, rest } => {
            record.set_outcome(status, "left");
            let recipient = Recipient::for_record(&record);
            let partial = PartialResponse { status, server, content, received, rest, load };
            let deadline = exchange.deadline;
            let source = source::read(node.clone(), exchange, record, partial);
            feed::stream_body(&node, recipient, source, deadline)
        }
    };
    announce_close_if_stopping(&node, &mut response);
    response
}

/// Builds a response without a body and without hop-by-hop headers.
fn response_head(parts: &Parts) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = parts.status;
    let mut headers: HeaderMap = parts.headers.clone();
    remove_standard_hop_by_hop(&mut headers);
    *response.headers_mut() = headers;
    response
}
