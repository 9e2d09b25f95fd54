//! Why a response does not belong to the request that was sent.

use std::fmt;

/// Reason why a response does not belong to the request that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The response carries no ID.
    MissingId,
    /// The response carries the ID of another request, or several IDs.
    OtherId(String),
    /// The peer that relayed the request received such a response.
    ReportedByPeer,
}

impl Mismatch {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::MissingId => "missing_id",
            Self::OtherId(_) => "other_id",
            Self::ReportedByPeer => "reported_by_peer",
        }
    }

    /// Returns the ID in the response, if it carries one.
    pub fn get_received_id(&self) -> Option<&str> {
        match self {
            Self::OtherId(id) => Some(id),
            Self::MissingId | Self::ReportedByPeer => None,
        }
    }
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingId => write!(f, "the response carries no request ID"),
            Self::OtherId(id) => write!(f, "the response carries the request ID {id:?}"),
            Self::ReportedByPeer => write!(f, "the peer received the response to another request"),
        }
    }
}
