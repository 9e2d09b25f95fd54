//! Calls between nodes for what does not fit a datagram: the configuration, and what a node lacks of the
//! lists of servers and of nodes.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use keeljunction_core::serving::table_version::TableVersion;

use crate::http::{Body, read_body};
use crate::node::{Node, document, watch};
use crate::port::Row;
use crate::runtime;

const CONFIGURATION_PATH: &str = "/configuration";
const SERVERS_PATH: &str = "/servers";
const NODES_PATH: &str = "/nodes";
/// The part of the query of a list that gives the version from which changes are wanted.
const AFTER: &str = "after=";
const LONGEST_ANSWER: usize = 16 << 20;
/// How long a call may take, as a part of the time in which a configuration must be in force: a
/// long document takes a while over a narrow link, and a peer may be silent.
const CALL_PART: f64 = 0.5;
/// Calls for the same document at the same time, of different peers: one of them may be silent, and
/// more would hold each other up on a narrow link.
const MOST_AT_ONCE: usize = 2;

/// Serves what this node knows to peers.
pub(in crate::node) async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let document = match request.uri().path() {
        CONFIGURATION_PATH => {
            let document = node.with(|state| state.configuration_document.clone());
            document.map(|document| document.get_packed())
        }
        NODES_PATH => list_additions(&node, read_after(request.uri().query())),
        SERVERS_PATH => get_update(&node, read_after(request.uri().query())),
        _ => None,
    };
    let Some(document) = document else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    Response::new(Body::from(document))
}

/// Reads from a query the version up to which a peer knows the list; `None` where it knows none.
fn read_after<T: FromStr>(query: Option<&str>) -> Option<T> {
    query?.strip_prefix(AFTER)?.parse().ok()
}

/// Encodes what a peer lacks of the list of servers.
fn get_update(node: &Node, after: Option<TableVersion>) -> Option<Bytes> {
    let encoded = node.with(|state| {
        let is_known = state.directory.is_known();
        is_known.then(|| postcard::to_stdvec(&state.directory.get_update(after)))
    })?;
    match encoded {
        Ok(encoded) => Some(Bytes::from(encoded)),
        Err(error) => {
            log::error!("the list of servers cannot be encoded: {error}");
            None
        }
    }
}

/// Encodes what a peer lacks of the list of nodes.
fn list_additions(node: &Node, after: Option<u64>) -> Option<Bytes> {
    let now = node.now();
    let additions = node.with(|state| state.members.get_roster_delta(now, after.unwrap_or(0)));
    let encoded = postcard::to_stdvec(&additions);
    encoded
        .inspect_err(|error| log::error!("the nodes cannot be encoded: {error}"))
        .ok()
        .map(Bytes::from)
}

/// Gets from a peer what was added to its list of nodes.
pub(super) async fn get_additions(node: Arc<Node>, from: SocketAddr, after: u64) {
    let path = format!("{NODES_PATH}?{AFTER}{after}");
    let Some(document) = fetch(&node, from, &path).await else { return };
    let now = node.now();
    match postcard::from_bytes(&document) {
        Ok(additions) => node.with(|state| state.members.apply_roster_delta(now, from, &additions)),
        Err(error) => log::warn!("the list of nodes of {from} cannot be read: {error}"),
    }
}

/// Gets a peer's configuration and adopts it where it is newer.
pub(super) async fn get_configuration(node: Arc<Node>, from: SocketAddr) {
    let Some(_call) = Call::begin(&node.fetching.configuration) else { return };
    let Some(document) = fetch(&node, from, CONFIGURATION_PATH).await else { return };
    let Some(text) = document::unpack(&document) else { return };
    let row = Row { key: String::new(), value: Some(text), version: TableVersion::default() };
    watch::adopt_configuration(&node, &[row]);
}

/// Counts a call until it is dropped.
struct Call<'a>(&'a AtomicUsize);

impl<'a> Call<'a> {
    /// Begins, unless as many as may be at once are going on.
    fn begin(calls: &'a AtomicUsize) -> Option<Self> {
        let before = calls.fetch_add(1, Ordering::SeqCst);
        let call = Self(calls);
        (before < MOST_AT_ONCE).then_some(call)
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Gets from a peer what this node lacks of the list of servers.
pub(super) async fn get_servers(node: Arc<Node>, from: SocketAddr) {
    let Some(_call) = Call::begin(&node.fetching.servers) else { return };
    let after =
        node.with(|state| state.directory.is_known().then(|| state.directory.get_version()));
    let path = match after {
        Some(version) => format!("{SERVERS_PATH}?{AFTER}{version}"),
        None => SERVERS_PATH.to_owned(),
    };
    let Some(document) = fetch(&node, from, &path).await else { return };
    match postcard::from_bytes(&document) {
        Ok(update) => watch::take_update(&node, update),
        Err(error) => log::warn!("the list of servers of {from} cannot be read: {error}"),
    }
}

async fn fetch(node: &Node, from: SocketAddr, path: &str) -> Option<Bytes> {
    let request = Request::get(path).header("host", from.to_string());
    let request = request.body(Body::empty()).ok()?;
    let fetching = async {
        let response = node.http_client.send(from, request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        read_body(response.into_body(), LONGEST_ANSWER).await
    };
    let bound = Duration::from_millis(node.settings.bounds.config_apply_ms);
    runtime::timeout(bound.mul_f64(CALL_PART), fetching).await.flatten()
}
