//! A response that carries the ID of its request.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::Extensions;
use hyper::http::response::Parts;

use super::Mismatch;
use crate::http::ResponseBody;

/// A response that carries the ID of its request.
pub struct Response(hyper::Response<ResponseBody>);

impl Response {
    /// Returns the response if it carries the ID of the request. Otherwise closes its connection,
    /// since all later responses on it would be off by one as well.
    ///
    /// # Errors
    ///
    /// Returns the reason if the response has no ID, another one, or several that differ.
    pub(super) fn verify(
        received: hyper::Response<ResponseBody>,
        id_header: &HeaderName,
        id: &HeaderValue,
    ) -> Result<Self, Mismatch> {
        let mut ids = received.headers().get_all(id_header).iter().peekable();
        let mismatch = match ids.peek() {
            None => Some(Mismatch::MissingId),
            Some(_) => ids.find(|received| *received != id).map(|other| {
                Mismatch::OtherId(String::from_utf8_lossy(other.as_bytes()).into_owned())
            }),
        };
        match mismatch {
            None => Ok(Self(received)),
            Some(mismatch) => {
                received.into_body().close_connection();
                Err(mismatch)
            }
        }
    }

    /// Returns the headers.
    pub fn headers_mut(&mut self) -> &mut HeaderMap {
        self.0.headers_mut()
    }

    /// Returns the extensions.
    pub fn extensions_mut(&mut self) -> &mut Extensions {
        self.0.extensions_mut()
    }

    /// Returns the head and the body.
    pub fn into_parts(self) -> (Parts, ResponseBody) {
        self.0.into_parts()
    }
}
