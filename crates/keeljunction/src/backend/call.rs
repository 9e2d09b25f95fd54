//! Calls that carry an ID of their own.

use std::net::SocketAddr;

use hyper::Request;
use hyper::header::{HeaderName, HeaderValue};
use keeljunction_gateway::backend::{Client, Response, SendError};

use super::CALL_HEADER;
use crate::http::{self, Body};

/// Creates a client whose calls carry IDs in [`CALL_HEADER`].
pub fn make_client(http: http::Client) -> Client {
    Client::new(http, HeaderName::from_static(CALL_HEADER))
}

/// Sends a request with a new ID, and returns the response that repeats it.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] only if no byte of the request was sent.
pub(super) async fn send(
    client: &Client,
    to: SocketAddr,
    mut request: Request<Body>,
) -> Result<Response, SendError> {
    let id = uuid::Uuid::new_v4().simple().to_string();
    let id = HeaderValue::from_str(&id).map_err(|error| SendError::NotSent(error.to_string()))?;
    request.headers_mut().insert(CALL_HEADER, id);
    client.send(to, request).await
}
