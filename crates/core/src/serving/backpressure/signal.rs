//! The backpressure signal of a response.

use crate::Millis;

/// The backpressure signal of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signal {
    /// The requests per second that the server accepts from all nodes together, as long as its
    /// responses report it; finite and not negative.
    pub rate_limit: Option<f64>,
    /// The time for which the server accepts no request from this node, in milliseconds.
    pub back_off: Option<Millis>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
}

impl Signal {
    /// Returns `true` if the response has no backpressure signal.
    pub fn is_empty(&self) -> bool {
        self.rate_limit.is_none() && self.back_off.is_none() && !self.is_leaving
    }
}
