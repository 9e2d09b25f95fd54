//! Whether the servers of a service are brittle, as nodes gossip it.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// An observation of whether the servers of a service are brittle. Its times are durations, since
/// the clocks of nodes differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brittleness {
    /// The short id of the service.
    pub service: u64,
    /// Rejections per second that each server tolerates, or `None` if the servers are not brittle.
    pub max_rejections: Option<u32>,
    /// The time since the servers became brittle, in milliseconds.
    pub brittle_for: Millis,
    /// The time since the latest response that showed this, in milliseconds.
    pub age: Millis,
}
