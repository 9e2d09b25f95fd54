//! The client for plain services: one request, one complete response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;

use super::{ATTEMPT_HEADER, Client, KEY_HEADER, SendError, call};
use crate::http::{self, Body};
use crate::runtime;

const MAX_RESPONSE_BYTES: usize = 16 << 20;
const DEFAULT_MEDIA_TYPE: &str = "application/octet-stream";

/// A request for a plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainRequest<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path on the server.
    pub path: &'a str,
    /// The forwarded headers.
    pub headers: &'a [(String, String)],
    /// The request body.
    pub body: &'a Bytes,
    /// The ID of the attempt.
    pub attempt: &'a str,
    /// The request key.
    pub key: &'a str,
}

/// A complete response of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media_type: String,
    /// The body.
    pub body: Bytes,
}

impl PlainRequest<'_> {
    /// Sends the request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request was sent, and
    /// [`SendError::MaybeSent`] for any other failure or after the timeout.
    pub async fn send(
        &self,
        client: &Client,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Reply, SendError> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", address.to_string())
            .header(ATTEMPT_HEADER, self.attempt)
            .header(KEY_HEADER, self.key);
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Body::from(self.body.clone()));
        let request = request.map_err(|error| SendError::NotSent(error.to_string()))?;
        let exchange = async {
            let (head, body) = call::send(client, address, request).await?.into_parts();
            let status = head.status.as_u16();
            let media_type = head.headers.get("content-type");
            let media_type = media_type.and_then(|value| value.to_str().ok());
            let media_type = media_type.unwrap_or(DEFAULT_MEDIA_TYPE).to_owned();
            let body = http::read_body(body, MAX_RESPONSE_BYTES).await;
            let body =
                body.ok_or_else(|| SendError::MaybeSent("incomplete response".to_owned()))?;
            Ok(Reply { status, media_type, body })
        };
        let timed_out = || Err(SendError::MaybeSent("no response before the timeout".to_owned()));
        runtime::timeout(timeout, exchange).await.unwrap_or_else(timed_out)
    }
}
