//! A client for backend servers.

use std::fmt;
use std::net::SocketAddr;

use hyper::Request;
use hyper::header::{HeaderName, HeaderValue};

use super::{Mismatch, Response};
use crate::http::{self, Body, ResponseBody, ReuseOutcome};

/// Reason why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent, so it cannot have run.
    NotSent(String),
    /// Part of the request may have arrived.
    MaybeSent(String),
    /// The request was sent, and the connection received more bytes than a response head may have. It
    /// may have run.
    Endless(String),
    /// The request was sent, and the response on its connection does not belong to it. It may have
    /// run.
    Mismatched(Mismatch),
}

impl SendError {
    /// Returns `true` if no byte of the request was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::MaybeSent(why) | Self::Endless(why) => write!(f, "no response: {why}"),
            Self::Mismatched(mismatch) => write!(f, "no response: {mismatch}"),
        }
    }
}

impl std::error::Error for SendError {}

impl From<http::SendError> for SendError {
    fn from(error: http::SendError) -> Self {
        match error {
            http::SendError::NotSent(why) => Self::NotSent(why),
            http::SendError::MaybeSent(why) => Self::MaybeSent(why),
            http::SendError::Endless(why) => Self::Endless(why),
        }
    }
}

impl From<Mismatch> for SendError {
    fn from(mismatch: Mismatch) -> Self {
        Self::Mismatched(mismatch)
    }
}

/// A client for backend servers, and for peers that relay requests to them. It returns only
/// responses that carry the ID of their request.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
    id_header: HeaderName,
}

impl Client {
    /// Creates a client, given the header with the ID of a request, which responses repeat.
    pub fn new(http: http::Client, id_header: HeaderName) -> Self {
        Self { http, id_header }
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request left this machine, which
    /// includes requests without an ID.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response, SendError> {
        let id = self.get_id(&request)?;
        let received = self.http.send(to, request).await?;
        Ok(self.verify(received, &id)?)
    }

    /// Sends a request on an idle connection and waits for the response head. Returns `None` if there
    /// is no usable connection; the request was not sent.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if no byte of the request left this machine.
    pub async fn send_on_idle(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Option<Result<Response, SendError>> {
        let id = match self.get_id(&request) {
            Ok(id) => id,
            Err(error) => return Some(Err(error)),
        };
        match self.http.send_on_idle(to, request).await {
            ReuseOutcome::NoConnection(_) => None,
            ReuseOutcome::Sent(Err(error)) => Some(Err(error.into())),
            ReuseOutcome::Sent(Ok(received)) => {
                Some(self.verify(received, &id).map_err(SendError::from))
            }
        }
    }

    /// Returns the HTTP client, for anything but requests to servers.
    pub fn get_http(&self) -> &http::Client {
        &self.http
    }

    fn get_id(&self, request: &Request<Body>) -> Result<HeaderValue, SendError> {
        let id = request.headers().get(&self.id_header).cloned();
        id.ok_or_else(|| SendError::NotSent("the request has no ID".to_owned()))
    }

    fn verify(
        &self,
        received: hyper::Response<ResponseBody>,
        id: &HeaderValue,
    ) -> Result<Response, Mismatch> {
        Response::verify(received, &self.id_header, id)
    }
}
