//! What a server says in an answer about the requests that follow.

use crate::Millis;

/// What a server says in an answer about the requests that follow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signal {
    /// Requests a second that the server takes from all nodes together, for as long as its answers say
    /// so: a finite number that is not negative.
    pub rate_limit: Option<f64>,
    /// The time in which the server takes no request from this node, in milliseconds.
    pub back_off: Option<Millis>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
}

impl Signal {
    /// Returns `true` if the answer says nothing of the kind.
    pub fn is_empty(&self) -> bool {
        self.rate_limit.is_none() && self.back_off.is_none() && !self.is_leaving
    }
}
