//! Sends a request to one server and checks its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request};
use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::memory::Kind;
use keeljunction_core::serving::response_body::{Content, Framing};
use keeljunction_core::serving::throughput::Sample;

use super::admission::Exchange;
use super::attempt_error::AttemptError;
use super::load_guard::LoadGuard;
use super::server_body::{BodyReader, Cut, get_content};
use super::signals::{self, ResponseInfo};
use super::way;
use crate::backend::SendError;
use crate::event::{self, Event};
use crate::http::{Body, get_framing};
use crate::node::{Node, ReservationGuard, crashes, watch};
use crate::port::{ForwardContext, ResponseHead};
use crate::runtime;

/// Maximum size of a response that is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// A response with a valid head and at least a first token.
pub(super) struct ServerResponse {
    /// The server that sent it.
    pub server: Server,
    /// Status and headers.
    pub parts: Parts,
    /// What declares the end of the body.
    pub framing: Framing,
    /// What the body consists of.
    pub content: Content,
    /// The response body.
    pub body: ServerBody,
    /// Counts the request in the server's load until dropped.
    pub load: LoadGuard,
    /// Memory reserved for the part of the body that was read.
    pub reservation: ReservationGuard,
}

impl ServerResponse {
    /// Returns `true` if the response is a successful stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.parts.status.is_success() && self.content == Content::Events
    }
}

/// The body of a server's response.
pub(super) enum ServerBody {
    /// The complete body.
    Complete(Bytes),
    /// The part received so far, and the remaining stream.
    Partial {
        /// The part received so far.
        received: Bytes,
        /// The remaining body.
        rest: BodyReader,
    },
}

impl ServerBody {
    /// Returns the number of bytes received so far.
    fn count_bytes(&self) -> usize {
        match self {
            Self::Complete(bytes) | Self::Partial { received: bytes, .. } => bytes.len(),
        }
    }
}

/// A failed attempt, with the server's error response if there is one.
pub(super) type FailedAttempt = (AttemptError, Option<Box<ServerResponse>>);

/// Parameters of one attempt.
pub(super) struct AttemptParams<'a> {
    /// The server.
    pub server: &'a Server,
    /// The last event that the caller has received, if the attempt resumes a stream.
    pub last_event_id: Option<u64>,
    /// Time to wait for the response head.
    pub timeout: Millis,
}

/// Sends the request to a server and waits for the response head and the first token, or for the
/// whole body if the response is short and not a stream.
pub(super) async fn send(
    node: &Arc<Node>,
    exchange: &Exchange,
    params: &AttemptParams<'_>,
) -> Result<ServerResponse, FailedAttempt> {
    let timeout = Duration::from_millis(params.timeout);
    let result = runtime::timeout(timeout, send_to_server(node, exchange, params)).await;
    let result = result.unwrap_or(Err((AttemptError::Timeout, None)));
    let has_started = match &result {
        Ok(_) => true,
        Err((error, _)) => error.may_have_run() && *error != AttemptError::Timeout,
    };
    if has_started && params.last_event_id.is_none() {
        exchange.count_usage(node);
    }
    result
}

async fn send_to_server(
    node: &Arc<Node>,
    exchange: &Exchange,
    params: &AttemptParams<'_>,
) -> Result<ServerResponse, FailedAttempt> {
    let is_alone =
        node.with(|state| state.loads.total(&params.server.id).get_waiting_tokens() == 0);
    let mut load = LoadGuard::begin(node, params.server, exchange);
    let sent_at = node.now();
    let sending = way::send(node, params.server, || build_request(node, exchange, params));
    let data_centre = &params.server.data_centre;
    let response = sending.await.map_err(|error| {
        (record_send_error(node, exchange, params.server, sent_at, error), None)
    })?;
    node.count_cross_region_bytes(data_centre, exchange.body_bytes, 0);
    let (parts, response_body) = response.into_parts();
    let framing = get_framing(&parts, &response_body);
    let content = get_content(&parts, framing, exchange.route.kind.is_streaming());
    let fault = check_head(node, params.server, sent_at, &parts);
    if let Some(fault) = fault.filter(|fault| *fault != AttemptError::ServerError) {
        return Err((fault, None));
    }
    let mut reservation = ReservationGuard::new(node, Kind::ReadAhead);
    let reader = BodyReader::new(response_body, framing, content);
    let body = read_start(exchange, reader, &mut reservation)
        .await
        .map_err(|cut| (record_cut(node, exchange, params.server, sent_at, cut), None))?;
    node.count_cross_region_bytes(data_centre, 0, body.count_bytes());
    load.record_first_token();
    // The sample measures how fast a server processes prompts. A round trip to another region
    // would distort it.
    let is_sample = !node.is_cross_region(data_centre);
    if is_sample && exchange.is_model_service && params.last_event_id.is_none() {
        let sample = Sample {
            server: short_id(&params.server.id),
            is_alone,
            tokens: exchange.cost.prompt_tokens,
            first_token_ms: node.now() - sent_at,
        };
        record_throughput(node, &exchange.service, sample);
    }
    let server = params.server.clone();
    let response = ServerResponse { server, parts, framing, content, body, load, reservation };
    match fault {
        // The caller receives the server's error response if no later attempt succeeds.
        Some(fault) => Err((fault, Some(Box::new(response)))),
        None => Ok(response),
    }
}

/// Records why a request has no response, and returns the error of the attempt.
fn record_send_error(
    node: &Arc<Node>,
    exchange: &Exchange,
    server: &Server,
    sent_at: Millis,
    error: SendError,
) -> AttemptError {
    match error {
        SendError::NotSent(_) => AttemptError::NotConnected,
        SendError::Endless(why) => {
            log::warn!("the server {} sends no response: {why}", server.id);
            AttemptError::Endless
        }
        SendError::Mismatched(mismatch) => {
            event::emit(&Event::ResponseMismatched {
                request: exchange.head.id.as_deref().unwrap_or(""),
                server: &server.id,
                why: mismatch.as_str(),
                received_id: mismatch.get_received_id(),
            });
            AttemptError::OtherRequest
        }
        SendError::MaybeSent(_) => {
            if record_disconnect(node, server) {
                // Losing the connection fails the server's other requests too, so eject it at once.
                node.with(|state| state.health.record_connect_failure(node.now(), &server.id));
            }
            crashes::record_interrupted_attempt(
                node,
                server,
                exchange.get_interrupted_attempt(node.now(), sent_at, None),
            );
            AttemptError::Ended
        }
    }
}

/// Records that a body was cut before its first token or its end, and returns the error of the attempt.
fn record_cut(
    node: &Arc<Node>,
    exchange: &Exchange,
    server: &Server,
    sent_at: Millis,
    cut: Cut,
) -> AttemptError {
    if cut == Cut::Endless {
        return AttemptError::Endless;
    }
    record_disconnect(node, server);
    let interrupted = exchange.get_interrupted_attempt(node.now(), sent_at, None);
    crashes::record_interrupted_attempt(node, server, interrupted);
    AttemptError::Cut
}

/// Adds a sample of how fast the service's servers process prompts.
fn record_throughput(node: &Node, service: &str, sample: Sample) {
    let now = node.now();
    node.with(|state| state.throughputs.entry(service.to_owned()).or_default().add(now, sample));
}

/// Records that a server closed a connection before its response was complete. Returns `true` if
/// that lowered the bound on the bytes that the server may hold. A server that is leaving or gone
/// closes connections for other reasons and is ignored.
pub(super) fn record_disconnect(node: &Node, server: &Server) -> bool {
    let (now, id) = (node.now(), &server.id);
    let (held_bytes, bound) = node.with(|state| {
        let held_bytes = state.in_flight_bytes.get(id);
        if state.directory.get(id).is_none_or(|known| known.is_leaving) {
            return (held_bytes, None);
        }
        (held_bytes, state.in_flight_bytes.record_disconnect(now, &server.service, id))
    });
    let Some(bound_bytes) = bound else { return false };
    let service = &server.service;
    event::emit(&Event::HeldBoundLowered { server: id, service, held_bytes, bound_bytes });
    true
}

/// Reads the first token of a stream, or the whole body of any other response.
///
/// Buffered bytes are reserved. A response that does not fit into the memory budget is streamed.
///
/// # Errors
///
/// Returns the reason why the body is incomplete.
async fn read_start(
    exchange: &Exchange,
    mut body: BodyReader,
    reservation: &mut ReservationGuard,
) -> Result<ServerBody, Cut> {
    let is_streaming = exchange.route.kind.is_streaming();
    let mut content = BytesMut::new();
    while let Some(data) = body.read().await? {
        content.extend_from_slice(&data);
        if is_streaming {
            return Ok(ServerBody::Partial { received: content.freeze(), rest: body });
        }
        let is_reserved = reservation.grow(data.len() as u64);
        if !is_reserved || content.len() > MAX_BUFFERED_BYTES {
            return Ok(ServerBody::Partial { received: content.freeze(), rest: body });
        }
    }
    Ok(ServerBody::Complete(content.freeze()))
}

fn build_request(
    node: &Node,
    exchange: &Exchange,
    params: &AttemptParams<'_>,
) -> Option<Request<Body>> {
    let mut headers: HeaderMap = exchange.headers.clone();
    let context = ForwardContext {
        time_remaining: exchange.get_time_remaining(node.now()),
        server_id: &params.server.id,
        account: exchange.account.as_deref(),
        urgency: exchange.is_model_service.then_some(exchange.urgency),
        last_event_id: params.last_event_id,
    };
    if let Err(error) = (node.platform.header_codec.encode_request)(&mut headers, &context) {
        log::warn!("no request is sent to the server {:?}: {error}", params.server.id);
        return None;
    }
    let path = exchange.uri.path_and_query().map_or("/", |path| path.as_str());
    let content = exchange.get_body();
    let body = match content.is_empty() {
        true => Body::empty(),
        false => Body::from(content),
    };
    let mut request =
        Request::builder().method(exchange.method.clone()).uri(path).body(body).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// Returns the fault of a response head, if any. A server that was replaced by another one at its
/// address is marked as leaving.
fn check_head(
    node: &Node,
    server: &Server,
    sent_at: Millis,
    parts: &Parts,
) -> Option<AttemptError> {
    let head = (node.platform.header_codec.decode_response)(parts);
    let fault = find_fault(parts, &head);
    if !head.is_wrong_server {
        let has_run = matches!(fault, None | Some(AttemptError::ServerError));
        let response_info = ResponseInfo { sent_at, status: parts.status, has_run };
        signals::apply(node, server, &response_info, &head);
    }
    if fault == Some(AttemptError::OtherServer) {
        let change =
            node.with(|state| state.directory.record_leaving(&server.id, server.incarnation));
        watch::apply(node, change.into_iter().collect());
    }
    fault
}

/// Returns the fault of a response head, if any.
fn find_fault(parts: &Parts, head: &ResponseHead) -> Option<AttemptError> {
    let status = parts.status;
    if head.is_wrong_server {
        return Some(AttemptError::OtherServer);
    }
    if head.is_not_executed {
        return Some(AttemptError::Declined);
    }
    if head.is_encoded || status.is_informational() {
        return Some(AttemptError::Broken);
    }
    if status.is_success() && !head.is_sealed {
        return Some(AttemptError::Broken);
    }
    // These status codes promise that the request did not run, but the server did not confirm that.
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return Some(AttemptError::Broken);
    }
    status.is_server_error().then_some(AttemptError::ServerError)
}
