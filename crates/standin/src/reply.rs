//! An HTTP server for the stand-ins, and helpers for requests and responses.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use keeljunction::backend::CALL_HEADER;
use keeljunction::http::{Body, Limits, Server, Shutdown};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;

const MAX_BODY_BYTES: usize = 64 << 20;

/// Creates a JSON response.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    Response::new(Body::from(serde_json::to_vec(value).unwrap_or_default()))
}

/// Creates an empty response with a status.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Creates a response whose body fails with a connection reset.
///
/// The client cannot tell whether the call took effect.
pub fn broken_body() -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(1);
    let _ = sender.try_send(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
    Response::new(Body::from_channel(receiver))
}

/// Decodes a path segment. Returns `None` if there are several, or if it is not text.
pub fn decode_segment(segment: &str) -> Option<String> {
    let decoded = percent_decode_str(segment).decode_utf8().ok()?;
    (!segment.contains('/')).then(|| decoded.into_owned())
}

/// Reads a body; returns no bytes if reading fails.
pub async fn read_body(body: Incoming) -> Bytes {
    keeljunction::http::read_body(body, MAX_BODY_BYTES).await.unwrap_or_default()
}

/// Reads a body as JSON; returns `None` if it is not valid.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read_body(body).await).ok()
}

/// Returns the value of a query parameter.
pub fn get_query_parameter<'a>(request: &'a Request<Incoming>, key: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}

/// Serves on loopback until the process ends.
///
/// Prints the listen address to standard output as one line of JSON. Each response repeats the ID of
/// its call.
pub async fn serve<F, Fut>(port: u16, on_listening: impl FnOnce(SocketAddr), handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let server = match Server::bind(address, Limits::default(), Shutdown::default()).await {
        Ok(server) => server,
        Err(error) => return eprintln!("failed to listen on {address}: {error}"),
    };
    if let Ok(address) = server.get_address() {
        println!("{}", serde_json::json!({ "address": address }));
        on_listening(address);
    }
    server.serve(move |request| repeat_call_id(request, handler.clone())).await;
}

async fn repeat_call_id<F, Fut>(request: Request<Incoming>, handler: F) -> Response<Body>
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<Body>>,
{
    let id = request.headers().get(CALL_HEADER).cloned();
    let mut response = handler(request).await;
    if let Some(id) = id {
        response.headers_mut().insert(CALL_HEADER, id);
    }
    response
}
