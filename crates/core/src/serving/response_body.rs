//! Whether a response body is complete when it has ended.
//!
//! | what declares the end | complete if |
//! |---|---|
//! | a length | all bytes have arrived |
//! | chunks | the last chunk has arrived |
//! | the connection | it was closed and not reset, and a stream has at least one event |
//!
//! The HTTP library reports a missing byte, a missing last chunk and a reset as errors. It reports
//! the close of a connection as a regular end, although a server that stops closes its connections
//! as well. In addition, a stream of events is complete only if its last event is, however its end
//! was declared. A stream that sends many bytes without completing an event is broken, and is not read
//! to its end.

use super::event_stream::Scanner;

/// Maximum number of bytes between two events of a stream, or before its first one. A server that keeps
/// a stream alive sends short comments, which stay far below it.
pub const MAX_BYTES_WITHOUT_EVENT: usize = 4 << 20;
/// Maximum number of bytes of an event, with the comments before it.
pub const MAX_EVENT_BYTES: usize = 16 << 20;

/// What declares the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A length in the head, in bytes.
    Length,
    /// A last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

impl Framing {
    /// Returns the framing's name in logs and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// What a response body consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Any bytes.
    Opaque,
    /// A stream of events.
    Events,
}

/// Why a body is incomplete although its end was regular.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// The body ended inside an event.
    InsideEvent,
    /// The connection was closed before the first event of a stream.
    NoEvent,
}

/// Checks whether a body was complete at its regular end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndCheck {
    framing: Framing,
    events: Option<Scanner>,
}

impl EndCheck {
    /// Creates the check of an unread body.
    pub fn new(framing: Framing, content: Content) -> Self {
        let events = (content == Content::Events).then(Scanner::default);
        Self { framing, events }
    }

    /// Records bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        if let Some(events) = &mut self.events {
            events.push(bytes);
        }
    }

    /// Returns `true` if the body is a stream that sends too many bytes without completing an event.
    pub fn is_endless(&self) -> bool {
        self.events.is_some_and(|events| is_endless(&events))
    }

    /// Checks the body at its regular end.
    ///
    /// # Errors
    ///
    /// Returns the reason why the body is incomplete.
    pub fn check_end(&self) -> Result<(), Truncation> {
        let Some(events) = &self.events else { return Ok(()) };
        if events.is_inside_event() {
            return Err(Truncation::InsideEvent);
        }
        match self.framing == Framing::Connection && !events.has_event() {
            true => Err(Truncation::NoEvent),
            false => Ok(()),
        }
    }
}

/// Returns `true` if too much of a stream was read without the end of an event.
pub fn is_endless(events: &Scanner) -> bool {
    let max = if events.has_open_field() { MAX_EVENT_BYTES } else { MAX_BYTES_WITHOUT_EVENT };
    events.count_pending() > max
}
