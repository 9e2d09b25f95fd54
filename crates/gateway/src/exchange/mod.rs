//! Handles one client request, from its head to its final outcome.
//!
//! | module | purpose |
//! |---|---|
//! | `admission` | validates the request and determines its route, client account and deadline |
//! | `quota_charge` | takes the request's quota units from its client account |
//! | `upload` | reads the request body within the memory budget and the time limit |
//! | `origin` | finds the software version that began a stream which the request resumes |
//! | `pin` | holds the software version that a stream stays at |
//! | `begin` | pins a stream that begins, and records its origin |
//! | `dispatch` | sends the request to servers until one responds |
//! | `progress` | tracks the attempts made so far |
//! | `pick` | picks the server for an attempt |
//! | `attempt` | sends the request to one server and checks its response |
//! | `attempt_error` | holds the reason why an attempt gave no valid response |
//! | `load_guard` | counts a request in the load of its server |
//! | `server_body` | reads the body of a response and decides whether it is complete |
//! | `way` | sends it directly, or through a peer if the node is cut off from the servers |
//! | `signals` | applies the load signals in server responses |
//! | `notes` | records attempts in the node's state, logs and metrics |
//! | `relay` | builds the caller's response from a server's response |
//! | `source` | reads the response body from the server and resumes it on another server |
//! | `feed` | forwards the response body and reads ahead while the caller is slow |
//! | `flow` | holds the state of a response body that is being forwarded |
//! | `callers` | disconnects callers that have stopped reading |
//! | `rejection` | holds the reason why a request ends without a response |
//! | `open_response` | tracks for how long a response has been open |
//! | `stopping` | decides which requests a node that shuts down still sends to servers |
//! | `respond` | writes rejections, and logs and counts the end of each request |

mod admission;
mod attempt;
mod attempt_error;
mod begin;
mod callers;
mod dispatch;
mod feed;
mod flow;
mod load_guard;
mod notes;
mod open_response;
mod origin;
mod pick;
mod pin;
mod progress;
mod quota_charge;
mod rejection;
mod relay;
mod respond;
mod server_body;
mod signals;
mod source;
mod stopping;
mod upload;
mod way;

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response};
use keeljunction_core::serving::configuration::RouteKind;

use crate::http::Body;
use crate::node::Node;
use admission::Exchange;
use respond::{RequestRecord, announce_close};
use upload::IncomingBody;

pub use callers::{disconnect_stalled, watch as watch_callers};

/// Handles a caller's request.
///
/// Dropping the future or the response body cancels the work that is still running, because the
/// caller has disconnected.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let head = (node.platform.header_codec.decode_request)(&parts);
    let mut record = RequestRecord::begin(node.clone(), &head);
    let mut incoming_body = IncomingBody::new(body, &parts.headers);
    record.connection = parts.extensions.remove();
    let admitted = Exchange::admit(&node, parts, head, &mut incoming_body, &mut record).await;
    let exchange = match admitted {
        Ok(exchange) => Arc::new(exchange),
        Err(refusal) => {
            let mut response = record.reject(refusal);
            if incoming_body.has_read_started() {
                announce_close(&mut response);
            }
            incoming_body.drain();
            return response;
        }
    };
    let mut response = match dispatch::run(&node, &exchange, &mut record).await {
        Ok(response) => {
            if exchange.route.kind != (RouteKind::Streaming { resumable: true }) {
                exchange.release_body();
            }
            relay::relay(node.clone(), exchange, response, record)
        }
        Err(refusal) => {
            exchange.refund_quota(refusal.reason);
            record.reject(refusal)
        }
    };
    if node.is_short_of_memory() {
        announce_close(&mut response);
    }
    response
}
