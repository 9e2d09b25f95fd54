//! Plain services: one request, one whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;

use super::{ATTEMPT, KEY};
use crate::http::{self, Body, SendError};
use crate::runtime;

const MAX_ANSWER: usize = 16 << 20;
const DEFAULT_TYPE: &str = "application/octet-stream";

/// A request for a plain service.
#[derive(Clone, Copy, Debug)]
pub struct Plain<'a> {
    /// The method.
    pub method: &'a str,
    /// The path on the server.
    pub path: &'a str,
    /// Headers to pass on.
    pub headers: &'a [(String, String)],
    /// The body.
    pub body: &'a Bytes,
    /// The attempt's name.
    pub attempt: &'a str,
    /// The request key.
    pub key: &'a str,
}

/// A whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media_type: String,
    /// The body.
    pub body: Bytes,
}

impl Plain<'_> {
    /// Sends the request and reads the answer whole, within a time.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only where no byte of the request left.
    pub async fn send(
        &self,
        http: &http::Client,
        to: SocketAddr,
        time: Duration,
    ) -> Result<Reply, SendError> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", to.to_string())
            .header(ATTEMPT, self.attempt)
            .header(KEY, self.key);
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Body::from(self.body.clone()));
        let request = request.map_err(|error| SendError::NotSent(error.to_string()))?;
        let exchange = async {
            let response = http.send(to, request).await?;
            let status = response.status().as_u16();
            let media_type = response.headers().get("content-type");
            let media_type = media_type.and_then(|value| value.to_str().ok());
            let media_type = media_type.unwrap_or(DEFAULT_TYPE).to_owned();
            let body = http::read_body(response.into_body(), MAX_ANSWER).await;
            let body =
                body.ok_or_else(|| SendError::MaybeSent("the answer broke off".to_owned()))?;
            Ok(Reply { status, media_type, body })
        };
        let late = || Err(SendError::MaybeSent("no answer in time".to_owned()));
        runtime::timeout(time, exchange).await.unwrap_or_else(late)
    }
}
