//! One request, from its head to its final outcome.
//!
//! | module | does |
//! |---|---|
//! | `admission` | checks the request and finds its route, client account and time |
//! | `dispatch` | chooses servers and sends the request until there is an answer |
//! | `attempt` | sends the request to one server and judges what comes back |
//! | `relay` | makes the caller's response from an answer |
//! | `source` | reads the answer from its server, and lets another server go on with it |
//! | `feed` | passes the answer on, and reads ahead while the caller does not read |
//! | `callers` | lets callers go that do not read |
//! | `respond` | writes refusals, and tells of each request's end |

mod admission;
mod attempt;
mod callers;
mod dispatch;
mod feed;
mod relay;
mod respond;
mod source;

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::Body;
use crate::node::Node;
use admission::Exchange;
use respond::Record;

pub use callers::{let_resting_go, watch as watch_callers};
pub use feed::Feeds;

/// Answers a caller's request.
///
/// Dropping the future, or the body that it gives, cancels what is still running: the caller has
/// left.
pub async fn answer(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let head = (node.platform.dialect.read_request)(&parts);
    let mut record = Record::begin(node.clone(), &head);
    record.peer = parts.extensions.remove();
    let admitted = Exchange::admit(&node, parts, head, body, &mut record).await;
    let exchange = match admitted {
        Ok(exchange) => Arc::new(exchange),
        Err(refused) => return record.refuse(refused),
    };
    match dispatch::run(&node, &exchange, &mut record).await {
        Ok(answer) => relay::pass_on(node, exchange, answer, record),
        Err(refused) => {
            exchange.refund_quota(&node, refused.reason);
            record.refuse(refused)
        }
    }
}
