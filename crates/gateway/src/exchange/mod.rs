//! One request, from its head to its final outcome.
//!
//! | module | does |
//! |---|---|
//! | `admission` | checks the request and finds its route, client account and time |
//! | `upload` | reads the body within the node's memory and the caller's time |
//! | `dispatch` | sends the request to servers until there is an answer |
//! | `progress` | holds how far the attempts have come |
//! | `pick` | picks the server of an attempt |
//! | `attempt` | sends the request to one server and judges what comes back |
//! | `signals` | takes over what servers say about the requests that follow |
//! | `notes` | records attempts in state, logs and metrics |
//! | `relay` | makes the caller's response from an answer |
//! | `source` | reads the answer from its server, and lets another server go on with it |
//! | `feed` | passes the answer on, and reads ahead while the caller does not read |
//! | `flow` | holds the state of an answer that is passed on |
//! | `callers` | disconnects callers that do not read |
//! | `rejection` | says why a request ends without an answer |
//! | `respond` | writes refusals, and logs and counts the end of each request |

mod admission;
mod attempt;
mod callers;
mod dispatch;
mod feed;
mod flow;
mod notes;
mod pick;
mod progress;
mod rejection;
mod relay;
mod respond;
mod signals;
mod source;
mod upload;

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response};
use keeljunction_core::serving::configuration::RouteKind;

use crate::http::Body;
use crate::node::Node;
use admission::Exchange;
use respond::{Record, close_after};
use upload::Arriving;

pub use callers::{disconnect_stalled, watch as watch_callers};

/// Answers a caller's request.
///
/// Dropping the future, or the body of the response, cancels what is still running: the caller has
/// left.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let head = (node.platform.header_codec.decode_request)(&parts);
    let mut record = Record::begin(node.clone(), &head);
    let mut arriving = Arriving::new(body, &parts.headers);
    record.peer = parts.extensions.remove();
    let admitted = Exchange::admit(&node, parts, head, &mut arriving, &mut record).await;
    let exchange = match admitted {
        Ok(exchange) => Arc::new(exchange),
        Err(refused) => {
            let mut response = record.refuse(refused);
            if arriving.is_begun() {
                close_after(&mut response);
            }
            arriving.drain();
            return response;
        }
    };
    let mut response = match dispatch::run(&node, &exchange, &mut record).await {
        Ok(answer) => {
            if exchange.route.kind != (RouteKind::Streaming { resumable: true }) {
                exchange.release_body();
            }
            relay::pass_on(node.clone(), exchange, answer, record)
        }
        Err(refused) => {
            exchange.refund_quota(refused.reason);
            record.refuse(refused)
        }
    };
    if node.is_short_of_memory() {
        close_after(&mut response);
    }
    response
}
