//! HTTP calls between nodes for content that does not fit a datagram: the configuration, and the
//! missing parts of the server list and the roster.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use keeljunction_core::serving::table_version::TableVersion;

use super::server_relay;
use crate::event::{self, Event};
use crate::http::{Body, read_body};
use crate::node::{Node, document, watch};
use crate::port::Row;
use crate::runtime;

const CONFIGURATION_PATH: &str = "/configuration";
const SERVERS_PATH: &str = "/servers";
const NODES_PATH: &str = "/nodes";
/// The query parameter with the version from which changes are requested.
const AFTER_PARAMETER: &str = "after=";
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The timeout of a call, as a fraction of the time within which a configuration must be in force.
/// A long document takes a while over a narrow link, and a peer may not answer.
const CALL_TIMEOUT_FRACTION: f64 = 0.5;
/// The maximum number of concurrent fetches of the same document. They go to different peers, one
/// of them may not answer, and more would delay each other on a narrow link.
const MAX_CONCURRENT_FETCHES: usize = 2;

/// Serves the calls of peers: requests for servers, and documents.
pub(in crate::node) async fn serve(
    node: Arc<Node>,
    mut request: Request<Incoming>,
) -> Response<Body> {
    if !node.link.get_cluster().take_from(request.headers_mut()) {
        return refuse(&node, &request);
    }
    if server_relay::is_relayed(&request) {
        return server_relay::serve(node, request).await;
    }
    let document = match request.uri().path() {
        CONFIGURATION_PATH => {
            let document = node.with(|state| state.configuration_document.clone());
            document.map(|document| document.get_compressed())
        }
        NODES_PATH => encode_roster_delta(&node, read_after(request.uri().query())),
        SERVERS_PATH => encode_update(&node, read_after(request.uri().query())),
        _ => None,
    };
    let Some(document) = document else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    Response::new(Body::from(document))
}

/// Refuses a call from a node of another cluster. The response carries the ID of a relayed request,
/// whose sender would otherwise assume that it may have run.
fn refuse(node: &Node, request: &Request<Incoming>) -> Response<Body> {
    event::emit(&Event::CallRefused { path: request.uri().path(), reason: "cluster" });
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    let id_header = &node.platform.header_codec.request_id;
    if let Some(id) = request.headers().get(id_header) {
        response.headers_mut().insert(id_header, id.clone());
    }
    response
}

/// Parses the version of the peer's list from a query; returns `None` if the peer has no list.
fn read_after<T: FromStr>(query: Option<&str>) -> Option<T> {
    query?.strip_prefix(AFTER_PARAMETER)?.parse().ok()
}

/// Encodes the part of the server list that a peer lacks.
fn encode_update(node: &Node, after: Option<TableVersion>) -> Option<Bytes> {
    let encoded = node.with(|state| {
        let is_known = state.directory.is_known();
        is_known.then(|| postcard::to_stdvec(&state.directory.get_update(after)))
    })?;
    match encoded {
        Ok(encoded) => Some(Bytes::from(encoded)),
        Err(error) => {
            log::error!("failed to encode the server list: {error}");
            None
        }
    }
}

/// Encodes the part of the roster that a peer lacks.
fn encode_roster_delta(node: &Node, after: Option<u64>) -> Option<Bytes> {
    let now = node.now();
    let delta = node.with(|state| state.members.get_roster_delta(now, after.unwrap_or(0)));
    let encoded = postcard::to_stdvec(&delta);
    encoded
        .inspect_err(|error| log::error!("failed to encode the roster: {error}"))
        .ok()
        .map(Bytes::from)
}

/// Fetches the additions to a peer's roster.
pub(super) async fn fetch_roster_delta(node: Arc<Node>, from: SocketAddr, after: u64) {
    let path = format!("{NODES_PATH}?{AFTER_PARAMETER}{after}");
    let Some(document) = fetch(&node, from, &path).await else { return };
    let now = node.now();
    match postcard::from_bytes(&document) {
        Ok(delta) => node.with(|state| state.members.apply_roster_delta(now, from, &delta)),
        Err(error) => log::warn!("malformed roster from {from}: {error}"),
    }
}

/// Fetches a peer's configuration and adopts it if it is newer.
pub(super) async fn fetch_configuration(node: Arc<Node>, from: SocketAddr) {
    let Some(_slot) = FetchSlot::acquire(&node.active_fetches.configuration) else { return };
    let Some(document) = fetch(&node, from, CONFIGURATION_PATH).await else { return };
    let Some(text) = document::decompress(&document) else { return };
    let row = Row { key: String::new(), value: Some(text), version: TableVersion::default() };
    watch::adopt_configuration(&node, &[row]);
}

/// A slot of a fetch in progress, released on drop.
struct FetchSlot<'a>(&'a AtomicUsize);

impl<'a> FetchSlot<'a> {
    /// Acquires a slot; returns `None` if all are in use.
    fn acquire(calls: &'a AtomicUsize) -> Option<Self> {
        let before = calls.fetch_add(1, Ordering::SeqCst);
        let slot = Self(calls);
        (before < MAX_CONCURRENT_FETCHES).then_some(slot)
    }
}

impl Drop for FetchSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Fetches the part of a peer's server list that this node lacks. Returns `true` if the peer answered.
pub(super) async fn fetch_servers(node: &Node, from: SocketAddr) -> bool {
    let Some(_slot) = FetchSlot::acquire(&node.active_fetches.servers) else { return false };
    let after =
        node.with(|state| state.directory.is_known().then(|| state.directory.get_version()));
    let path = match after {
        Some(version) => format!("{SERVERS_PATH}?{AFTER_PARAMETER}{version}"),
        None => SERVERS_PATH.to_owned(),
    };
    let Some(document) = fetch(node, from, &path).await else { return false };
    match postcard::from_bytes(&document) {
        Ok(update) => {
            watch::apply_update(node, update);
            true
        }
        Err(error) => {
            log::warn!("malformed server list from {from}: {error}");
            false
        }
    }
}

async fn fetch(node: &Node, from: SocketAddr, path: &str) -> Option<Bytes> {
    let request = Request::get(path).header("host", from.to_string());
    let mut request = request.body(Body::empty()).ok()?;
    node.link.get_cluster().add_to(request.headers_mut());
    let fetching = async {
        let response = node.get_http_client().send(from, request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        read_body(response.into_body(), MAX_RESPONSE_BYTES).await
    };
    let bound = Duration::from_millis(node.settings.bounds.config_apply_ms);
    runtime::timeout(bound.mul_f64(CALL_TIMEOUT_FRACTION), fetching).await.flatten()
}
