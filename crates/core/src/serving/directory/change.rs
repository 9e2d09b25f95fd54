//! The effects of updates of the list.

use super::Server;

/// The effect of a change of the list on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server is new and gets work.
    Joined(Server),
    /// The server has started to leave.
    Leaving(Server),
    /// The server is no longer listed.
    Gone(Server),
}

/// The effect of an announcement that a server is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartureOutcome {
    /// Whether the announcement is new and must be forwarded.
    pub is_news: bool,
    /// The effect on the list.
    pub change: Option<Change>,
}
