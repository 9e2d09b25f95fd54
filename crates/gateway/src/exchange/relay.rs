//! Makes the caller's response from a server's answer.

use std::sync::Arc;

use hyper::http::response::Parts;
use hyper::{HeaderMap, Response};

use super::admission::{Exchange, HOP_BY_HOP};
use super::attempt::{Answer, AnswerBody};
use super::feed::{self, Recipient};
use super::respond::{ANSWERED, Record, close_if_stopping};
use super::source::{self, Open};
use crate::http::Body;
use crate::node::{self, Node};

/// Returns the caller's response, which passes on a server's answer.
pub(super) fn pass_on(
    node: Arc<Node>,
    exchange: Arc<Exchange>,
    answer: Answer,
    mut record: Record,
) -> Response<Body> {
    let Answer { server, parts, body, load, held } = answer;
    let status = parts.status.as_u16();
    let mut response = head(&parts);
    *response.body_mut() = match body {
        AnswerBody::Whole(bytes) => {
            note_success(&node, &exchange, status);
            record.note_piece();
            record.note_answer_end();
            record.end(status, ANSWERED);
            feed::whole(&node, bytes, held, record)
        }
        AnswerBody::Open { first, rest } => {
            record.end(status, "left");
            let recipient = Recipient::of(&record);
            let open = Open { status, server, first, rest, load };
            let due = exchange.due;
            let source = source::read(node.clone(), exchange, record, open);
            feed::open(&node, recipient, source, due)
        }
    };
    close_if_stopping(&node, &mut response);
    response
}

/// Notes that a server answered a request whole: the request does not crash servers. A failure does not
/// show that, since a server may say it of a request that it has not begun.
pub(super) fn note_success(node: &Arc<Node>, exchange: &Exchange, status: u16) {
    if (200..300).contains(&status) {
        node::note_request_completed(node, exchange.fingerprint);
    }
}

/// Makes a response without a body, without the headers that hold for one connection only.
fn head(parts: &Parts) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = parts.status;
    let mut headers: HeaderMap = parts.headers.clone();
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
    *response.headers_mut() = headers;
    response
}
