//! The requests to a queue and its decisions.

use crate::Millis;

/// A request for a grant, which assigns a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// The ID of the grant.
    pub id: String,
    /// The group that is charged.
    pub group: String,
    /// The priority of the request class; 0 is the most urgent.
    pub priority: u32,
    /// The deadline of the request.
    pub deadline: Millis,
    /// How long the request may wait in the queue.
    pub wait: Millis,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub output_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// Names of the servers to avoid.
    pub avoid: Vec<String>,
}

/// A permit to send a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The ID of the grant.
    pub id: String,
    /// The group that is charged.
    pub group: String,
    /// The server's name.
    pub server: String,
    /// The server's address, as `IP:port`.
    pub address: String,
    /// Prompt tokens assumed to be in the server's cache.
    pub cached_tokens: u64,
    /// Prompt tokens that the server must process.
    pub uncached_tokens: u64,
    /// The cost charged to the group.
    pub cost: u64,
}

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Milliseconds after which there is expected to be room.
    pub retry_after: Millis,
}

/// The decision on a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to the granted server now.
    Granted(Grant),
    /// The request is queued; [`Queue::poll`](super::Queue::poll) returns the final decision.
    Waiting,
    /// No room is expected in time.
    Refused(Refusal),
}
