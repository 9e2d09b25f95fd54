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
    /// Rejections per second that the server tolerates, if it is brittle: it crashes above that.
    pub max_rejections: Option<u32>,
}

impl Signal {
    /// Returns `true` if the response has no backpressure signal.
    pub fn is_empty(&self) -> bool {
        let Self { rate_limit, back_off, is_leaving, max_rejections } = self;
        rate_limit.is_none() && back_off.is_none() && !is_leaving && max_rejections.is_none()
    }
}
