//! An observed rate limit, as nodes gossip it.

use serde::{Deserialize, Serialize};

use super::InstanceKey;
use crate::Millis;

/// The rate limit in a response of a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The incarnation of the server.
    pub key: InstanceKey,
    /// Requests per second from all nodes together, or `None` if the server no longer reports a
    /// limit.
    pub rate: Option<f64>,
    /// The time since the response, in milliseconds.
    pub age: Millis,
}
