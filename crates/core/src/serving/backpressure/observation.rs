//! What a node saw of a server's rate limit.

use serde::{Deserialize, Serialize};

use super::InstanceKey;
use crate::Millis;

/// What an answer of a server said of its rate limit, as nodes pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The server.
    pub key: InstanceKey,
    /// Requests a second from all nodes together; `None` where it names no limit any more.
    pub rate: Option<f64>,
    /// The time since the answer, in milliseconds.
    pub age: Millis,
}
