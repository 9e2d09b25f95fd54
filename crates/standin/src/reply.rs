//! Responses, and a way to serve them.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use keeljunction::http::{Body, Limits, Server, StopSignal};
use serde::Serialize;
use serde::de::DeserializeOwned;

const MAX_BODY: usize = 64 << 20;

/// Makes a JSON response.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    Response::new(Body::from(serde_json::to_vec(value).unwrap_or_default()))
}

/// Makes an empty response with a status.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Makes a response whose body breaks off, so that its reader cannot know what happened.
pub fn cut() -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(1);
    let _ = sender.try_send(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
    Response::new(Body::from_channel(receiver))
}

/// Reads a body as bytes.
pub async fn read(body: Incoming) -> Bytes {
    keeljunction::http::read_body(body, MAX_BODY).await.unwrap_or_default()
}

/// Reads a body as JSON.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read(body).await).ok()
}

/// Returns the value of a key of the query.
pub fn query<'a>(request: &'a Request<Incoming>, key: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}

/// Serves on loopback until the process ends; prints the address as one JSON line.
pub async fn serve<F, Fut>(port: u16, started: impl FnOnce(SocketAddr), answer: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let server = match Server::bind(address, Limits::default(), StopSignal::new()).await {
        Ok(server) => server,
        Err(error) => return eprintln!("cannot listen at {address}: {error}"),
    };
    if let Ok(address) = server.get_address() {
        println!("{}", serde_json::json!({ "address": address }));
        started(address);
    }
    server.serve(answer).await;
}
