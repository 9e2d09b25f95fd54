//! Relays requests to servers for nodes that are cut off from them.
//!
//! A node sends the request to a peer's address for other nodes, with the server's ID and software
//! version in headers.
//! The peer forwards it unchanged, and returns the response with the outcome in a header. The node
//! that received the request from its caller keeps all decisions: admission, the choice of the
//! server, permits, retries, and the response to the caller. A peer never forwards a request to
//! another peer.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_lite::{Stream, StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode, Version};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::response_body::Framing;
use keeljunction_core::serving::server_path::{Candidate, Refusal};

use crate::backend::{self, Mismatch, SendError};
use crate::event::{self, Event};
use crate::http::{Body, decode_text, encode_text, get_framing, remove_standard_hop_by_hop};
use crate::metrics::{ReasonCounters, ReasonLabels};
use crate::node::InFlightGuard;
use crate::node::{Node, server_paths};

/// The ID of the server that a request is relayed to.
const SERVER_HEADER: HeaderName = HeaderName::from_static("keeljunction-relay-server");
/// The software version of that server, which may have been replaced under its ID; older nodes do not
/// name it.
const VERSION_HEADER: HeaderName = HeaderName::from_static("keeljunction-relay-version");
/// The outcome of relaying a request.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("keeljunction-relay-outcome");
/// What declared the end of the body when the server sent it; older peers omit it. A peer sends
/// a body that ended with its connection in chunks, after which it would look declared.
const FRAMING_HEADER: HeaderName = HeaderName::from_static("keeljunction-relay-framing");
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];
/// Peers that may fail to connect to a server before it counts as gone. A single one may be cut off
/// as well.
const MAX_UNREACHABLE_OFFERS: usize = 2;

/// What a peer did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The response is the server's.
    Relayed,
    /// The peer does not relay requests now; nothing was sent.
    Unavailable,
    /// The peer does not list the server as ready at this software version; nothing was sent.
    UnknownServer,
    /// The peer could not connect to the server; nothing was sent.
    Unreachable,
    /// The server did not respond, and may have run the request.
    Unanswered,
    /// The server sent more bytes than a response head may have. It may have run the request.
    Endless,
    /// The server's response belongs to another request, or to none. It may have run this one.
    Mismatched,
}

impl Outcome {
    const ALL: [Self; 7] = [
        Self::Relayed,
        Self::Unavailable,
        Self::UnknownServer,
        Self::Unreachable,
        Self::Unanswered,
        Self::Endless,
        Self::Mismatched,
    ];

    /// Returns the outcome's name in headers, logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Relayed => "relayed",
            Self::Unavailable => "unavailable",
            Self::UnknownServer => "unknown_server",
            Self::Unreachable => "unreachable",
            Self::Unanswered => "unanswered",
            Self::Endless => "endless",
            Self::Mismatched => "mismatched",
        }
    }

    /// Removes the outcome from a peer's response. Returns `None` if there is none, because the
    /// peer's version does not relay requests. An unknown outcome may mean that the request has run.
    fn take(response: &mut backend::Response) -> Option<Self> {
        let value = response.headers_mut().remove(OUTCOME_HEADER)?;
        let known = Self::ALL.into_iter().find(|outcome| value == outcome.as_str());
        Some(known.unwrap_or(Self::Unanswered))
    }
}

/// A relayed request, until its response has ended.
struct RelayGuard {
    node: Arc<Node>,
    _in_flight: InFlightGuard,
}

impl RelayGuard {
    /// Counts a request, or returns `None` if this node relays too many.
    fn begin(node: &Arc<Node>) -> Option<Self> {
        let is_counted = node.active_relays.begin();
        is_counted.then(|| Self { node: node.clone(), _in_flight: node.track_request() })
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.node.active_relays.end();
    }
}

/// Returns `true` if a call from another node is a request to a server.
pub(super) fn is_relayed(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(SERVER_HEADER)
}

/// Passes a request of another node to its server. The response carries the request's ID even if it
/// is not the server's.
pub(super) async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let id_header = &node.platform.header_codec.request_id;
    let id = request.headers().get(id_header).cloned();
    let (outcome, mut response) = match relay(&node, request).await {
        Ok(response) => (Outcome::Relayed, response),
        Err(outcome) => {
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            if let Some(id) = id {
                response.headers_mut().insert(id_header, id);
            }
            (outcome, response)
        }
    };
    count(&node.metrics.relayed_for_peers, outcome);
    let value = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, value);
    response
}

async fn relay(
    node: &Arc<Node>,
    mut request: Request<Incoming>,
) -> Result<Response<Body>, Outcome> {
    let id = request.headers_mut().remove(SERVER_HEADER);
    let id = id.as_ref().and_then(decode_text).unwrap_or("");
    let version = request.headers_mut().remove(VERSION_HEADER);
    let server = node.with(|state| state.directory.get_ready(id).cloned());
    let is_picked = |server: &Server| {
        version.as_ref().is_none_or(|version| version.as_bytes() == server.version.as_bytes())
    };
    let server = server.filter(is_picked).ok_or(Outcome::UnknownServer)?;
    let is_available = !node.is_stopping()
        && !node.is_short_of_memory()
        && !server_paths::is_cut_off(node, &server.service);
    if !is_available {
        return Err(Outcome::Unavailable);
    }
    let guard = RelayGuard::begin(node).ok_or(Outcome::Unavailable)?;
    let request_id = request.headers().get(&node.platform.header_codec.request_id);
    let request_id = request_id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    remove_standard_hop_by_hop(request.headers_mut());
    let request = request.map(|body| forward_body(body, ()));
    match node.backend.send(server.address, request).await {
        Ok(response) => {
            server_paths::record_response(node, &server.service);
            let (mut parts, body) = response.into_parts();
            let framing = get_framing(&parts, &body);
            // A response of HTTP/1.0 without a length ends with its connection, whatever the reason.
            parts.version = Version::HTTP_11;
            remove_standard_hop_by_hop(&mut parts.headers);
            parts.headers.insert(FRAMING_HEADER, HeaderValue::from_static(framing.as_str()));
            Ok(Response::from_parts(parts, forward_body(body, guard)))
        }
        Err(error) if error.is_not_sent() => {
            server_paths::record_unreachable(node, &server);
            Err(Outcome::Unreachable)
        }
        Err(SendError::Mismatched(mismatch)) => {
            event::emit(&Event::ResponseMismatched {
                request: &request_id,
                server: &server.id,
                why: mismatch.as_str(),
                received_id: mismatch.get_received_id(),
            });
            Err(Outcome::Mismatched)
        }
        Err(SendError::Endless(why)) => {
            log::warn!("the server {} sends no response: {why}", server.id);
            Err(Outcome::Endless)
        }
        Err(_) => Err(Outcome::Unanswered),
    }
}

/// Forwards a body chunk by chunk, and drops the guard at its end.
fn forward_body<B, G>(body: B, guard: G) -> Body
where
    B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
    G: Send + 'static,
{
    if body.is_end_stream() {
        return Body::empty();
    }
    let length = body.size_hint().exact();
    Body::from_stream(read_chunks(body, guard), length)
}

fn read_chunks<B, G>(body: B, guard: G) -> impl Stream<Item = io::Result<Bytes>>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let frames = stream::unfold((body, guard), |(mut body, guard)| async move {
        let frame = body.frame().await?;
        Some((frame.map_err(io::Error::other), (body, guard)))
    });
    frames.filter_map(|frame| match frame {
        Ok(frame) => frame.into_data().ok().map(Ok),
        Err(error) => Some(Err(error)),
    })
}

/// Sends a request to a server through a peer. `build` creates the request, once for each peer.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] if no peer has sent it to the server.
pub(crate) async fn send(
    node: &Arc<Node>,
    server: &Server,
    build: impl Fn() -> Option<Request<Body>>,
) -> Result<backend::Response, SendError> {
    let mut unreachable = 0;
    for peer in pick_peers(node) {
        let Some(mut request) = build().and_then(|request| address_to(server, request)) else {
            break;
        };
        node.link.get_cluster().add_to(request.headers_mut());
        let sent = node.backend.send(peer.address, request).await;
        match interpret(node, server, peer, sent) {
            Offer::Declined => {}
            Offer::Unreachable => unreachable += 1,
            Offer::Ended(result) => return *result,
        }
        if unreachable == MAX_UNREACHABLE_OFFERS {
            record_unreachable(node, server);
            break;
        }
    }
    Err(SendError::NotSent("no peer relays the request".to_owned()))
}

/// What came of offering a request to a peer.
enum Offer {
    /// The peer does not relay the request.
    Declined,
    /// The peer could not connect to the server.
    Unreachable,
    /// The attempt has ended.
    Ended(Box<Result<backend::Response, SendError>>),
}

/// Applies the response of a peer.
fn interpret(
    node: &Node,
    server: &Server,
    peer: Candidate,
    sent: Result<backend::Response, SendError>,
) -> Offer {
    let mut response = match sent {
        Ok(response) => response,
        Err(error) if error.is_not_sent() => {
            record_refusal(node, peer, Refusal::Unavailable);
            return Offer::Declined;
        }
        Err(error) => {
            record_refusal(node, peer, Refusal::Unavailable);
            return Offer::Ended(Box::new(Err(error)));
        }
    };
    let Some(outcome) = Outcome::take(&mut response) else {
        record_refusal(node, peer, Refusal::Unsupported);
        return Offer::Declined;
    };
    restore_framing(&mut response, peer);
    count(&node.metrics.relayed_by_peers, outcome);
    event::emit(&Event::RequestRelayed {
        server: &server.id,
        peer: peer.address,
        outcome: outcome.as_str(),
    });
    match outcome {
        Outcome::Relayed => {
            server_paths::update_path(node, &server.service, |path| path.record_relayed());
            let now = node.now();
            node.with(|state| state.paths.relays.record_relayed(now, peer));
            Offer::Ended(Box::new(Ok(response)))
        }
        Outcome::Unavailable => {
            record_refusal(node, peer, Refusal::Unavailable);
            Offer::Declined
        }
        Outcome::UnknownServer => Offer::Declined,
        Outcome::Unreachable => Offer::Unreachable,
        Outcome::Unanswered => {
            let why = format!("the peer {} got no response", peer.address);
            Offer::Ended(Box::new(Err(SendError::MaybeSent(why))))
        }
        Outcome::Endless => {
            let why = format!("the peer {} received no response", peer.address);
            Offer::Ended(Box::new(Err(SendError::Endless(why))))
        }
        Outcome::Mismatched => {
            Offer::Ended(Box::new(Err(SendError::Mismatched(Mismatch::ReportedByPeer))))
        }
    }
}

/// Moves the server's framing from a peer's header to the extensions of the response.
fn restore_framing(response: &mut backend::Response, peer: Candidate) {
    let Some(value) = response.headers_mut().remove(FRAMING_HEADER) else { return };
    match FRAMINGS.into_iter().find(|framing| value == framing.as_str()) {
        Some(framing) => {
            response.extensions_mut().insert(framing);
        }
        None => log::warn!("the peer {} reports an unknown framing: {value:?}", peer.address),
    }
}

/// Records that peers could not connect to a server.
fn record_unreachable(node: &Node, server: &Server) {
    let now = node.now();
    let ready = node.with(|state| state.directory.iter_ready(&server.service).count());
    server_paths::update_path(node, &server.service, |path| {
        path.record_unreachable_for_peer(now, short_id(&server.id), ready);
    });
}

fn record_refusal(node: &Node, peer: Candidate, refusal: Refusal) {
    let now = node.now();
    node.with(|state| state.paths.relays.record_refusal(now, peer, refusal));
}

/// Picks the peers that a request is offered to, in order.
fn pick_peers(node: &Node) -> Vec<Candidate> {
    let now = node.now();
    let own_data_centre = &node.settings.node.data_centre;
    node.with(|state| {
        let candidates = state.members.iter_relays(now).map(|entry| Candidate {
            address: entry.address,
            is_local: entry.data_centre == *own_data_centre,
        });
        state.paths.relays.pick(now, candidates, &mut fastrand::Rng::new())
    })
}

/// Adds the headers that name the server and its software version. Returns `None` if one of them
/// cannot be part of a header.
fn address_to(server: &Server, mut request: Request<Body>) -> Option<Request<Body>> {
    let value = encode_text(&server.id)?;
    let version = HeaderValue::from_bytes(server.version.as_bytes()).ok()?;
    request.headers_mut().insert(SERVER_HEADER, value);
    request.headers_mut().insert(VERSION_HEADER, version);
    Some(request)
}

fn count(metric: &ReasonCounters, outcome: Outcome) {
    metric.get_or_create(&ReasonLabels { reason: outcome.as_str().to_owned() }).inc();
}
