//! The reasons why a request has no response.

use std::fmt;

/// Reason why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent, so it cannot have run.
    NotSent(String),
    /// Part of the request may have arrived.
    MaybeSent(String),
    /// The request was sent, and the connection received more bytes than a response head may have.
    Endless(String),
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
        }
    }
}

impl std::error::Error for SendError {}
