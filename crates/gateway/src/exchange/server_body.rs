//! Reads the body of a server's response, and decides whether it is complete at its end.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use keeljunction_core::serving::response_body::{Content, EndCheck, Framing, Truncation};

use crate::http::ResponseBody;

const EVENT_STREAM: &str = "text/event-stream";

/// Why a body is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cut {
    /// The connection was interrupted before the declared end.
    Interrupted,
    /// The server sent too many bytes without completing a part of the body or an event of a stream.
    Endless,
    /// The body had a regular end and is incomplete.
    Truncated(Truncation),
}

impl Cut {
    /// Returns the reason's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interrupted => "broke_off",
            Self::Endless => "endless",
            Self::Truncated(Truncation::InsideEvent) => "ended_inside_event",
            Self::Truncated(Truncation::NoEvent) => "ended_without_event",
        }
    }
}

/// The unread part of a body.
pub(super) struct BodyReader {
    body: ResponseBody,
    check: EndCheck,
}

impl BodyReader {
    /// Creates the reader of an unread body.
    pub fn new(body: ResponseBody, framing: Framing, content: Content) -> Self {
        Self { body, check: EndCheck::new(framing, content) }
    }

    /// Reads the next bytes, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Returns the reason why the body is incomplete.
    pub async fn read(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            match self.body.frame().await {
                None => return self.check.check_end().map(|()| None).map_err(Cut::Truncated),
                Some(Err(error)) if self.body.is_endless() => {
                    log::warn!("a response does not end: {error}");
                    return Err(Cut::Endless);
                }
                Some(Err(error)) => {
                    log::debug!("a response was interrupted: {error}");
                    return Err(Cut::Interrupted);
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.check.push(&data);
                        if self.check.is_endless() {
                            log::warn!("a response is a stream in which no event ends");
                            return Err(Cut::Endless);
                        }
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}

/// Returns what a response body consists of. If the head names no type, a successful response on a
/// streaming route is a stream of events, unless its length is known in advance.
pub(super) fn get_content(parts: &Parts, framing: Framing, is_streaming_route: bool) -> Content {
    let is_event_stream = match parts.headers.get(CONTENT_TYPE).map(|value| value.to_str()) {
        Some(Ok(name)) => {
            let name = name.split(';').next().unwrap_or("").trim();
            name.eq_ignore_ascii_case(EVENT_STREAM)
        }
        Some(Err(_)) => false,
        None => is_streaming_route && parts.status.is_success() && framing != Framing::Length,
    };
    if is_event_stream { Content::Events } else { Content::Opaque }
}
