//! Calls between nodes for what does not fit a datagram: the configuration and the whole list of
//! servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use keeljunction_core::serving::directory::Server;

use crate::http::{Body, read};
use crate::node::{Node, document, watch};
use crate::port::Row;
use crate::runtime;

const CONFIGURATION_PATH: &str = "/configuration";
const SERVERS_PATH: &str = "/servers";
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
        SERVERS_PATH => list_servers(&node),
        _ => None,
    };
    let Some(document) = document else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    Response::new(Body::from(document))
}

fn list_servers(node: &Node) -> Option<Bytes> {
    let list = node.with(|state| {
        let servers: Vec<Server> = state.directory.iter().cloned().collect();
        state.has_servers.then_some((state.directory.get_version(), servers))
    });
    postcard::to_stdvec(&list?).ok().map(Bytes::from)
}

/// Gets a peer's configuration and adopts it where it is newer.
pub(super) async fn get_configuration(node: Arc<Node>, from: SocketAddr) {
    let Some(_call) = Call::begin(&node.fetching.configuration) else { return };
    let Some(document) = fetch(&node, from, CONFIGURATION_PATH).await else { return };
    let Some(text) = document::unpack(&document) else { return };
    let row = Row { key: String::new(), value: Some(text), version: 0 };
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

/// Gets a peer's list of servers and takes it over where it is not older.
pub(super) async fn get_servers(node: Arc<Node>, from: SocketAddr) {
    let Some(_call) = Call::begin(&node.fetching.servers) else { return };
    let Some(document) = fetch(&node, from, SERVERS_PATH).await else { return };
    let decoded: Result<(u64, Vec<Server>), _> = postcard::from_bytes(&document);
    if let Ok((version, servers)) = decoded {
        watch::replace_servers(&node, version, servers);
    }
}

async fn fetch(node: &Node, from: SocketAddr, path: &str) -> Option<Bytes> {
    let request = Request::get(path).header("host", from.to_string());
    let request = request.body(Body::empty()).ok()?;
    let fetching = async {
        let response = node.servers.send(from, request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        read(response.into_body(), LONGEST_ANSWER).await
    };
    let bound = Duration::from_millis(node.settings.bounds.config_apply_ms);
    runtime::within(bound.mul_f64(CALL_PART), fetching).await.flatten()
}
