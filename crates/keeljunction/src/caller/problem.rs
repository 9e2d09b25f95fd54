//! Problem documents (RFC 9457) with the outcome of the request.

use hyper::{Response, StatusCode};
use keeljunction_core::outcome::Outcome;
use serde::Serialize;

use crate::http::Body;
use crate::peer::wire::Final;

/// A rejection or failure, as sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The reason phrase of the status.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The cause, with the possible values and a tip where they apply.
    pub detail: String,
    /// Whether the request ran: `not_run` or `unknown`.
    pub outcome: String,
    /// The delay before a retry, in milliseconds, if a retry may help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem for a request that was rejected and did not run.
    pub fn refused(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            status: status.as_u16(),
            detail: detail.into(),
            outcome: Outcome::NotRun.as_str().to_owned(),
            retry_after_ms: None,
        }
    }

    /// Sets the delay before a retry, in milliseconds.
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Creates a problem from the result of a request that ended without an answer.
    pub fn from_final(ended: &Final) -> Self {
        let status = StatusCode::from_u16(ended.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
        Self {
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            status: status.as_u16(),
            detail: ended.detail.clone(),
            outcome: ended.outcome.clone(),
            retry_after_ms: (ended.retry_after_ms > 0).then_some(ended.retry_after_ms),
        }
    }

    /// Serializes the document to JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Creates a response with a problem document.
pub fn respond(problem: &Problem) -> Response<Body> {
    let mut response = Response::new(Body::from(problem.to_json()));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/problem+json"),
    );
    if let Some(ms) = problem.retry_after_ms {
        headers.insert("retry-after", hyper::header::HeaderValue::from(ms.div_ceil(1000)));
    }
    response
}
