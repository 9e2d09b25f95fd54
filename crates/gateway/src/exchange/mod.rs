//! One request, from its head to its final outcome.
//!
//! | module | does |
//! |---|---|
//! | `admission` | checks the request and finds its route, client account and time |
//! | `dispatch` | sends the request to servers until there is an answer |
//! | `pick` | picks the server of an attempt |
//! | `attempt` | sends the request to one server and judges what comes back |
//! | `relay` | passes the answer on |
//! | `respond` | writes refusals, and tells of each request's end |

mod admission;
mod attempt;
mod dispatch;
mod pick;
mod relay;
mod respond;

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::Body;
use crate::node::Node;
use admission::Exchange;
use respond::Record;

/// Answers a caller's request.
///
/// Dropping the future, or the body that it gives, cancels what is still running: the caller has
/// left.
pub async fn answer(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let head = (node.platform.dialect.read_request)(&parts);
    let mut record = Record::begin(node.clone(), &head);
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
