//! Requests to a queue and its answers.

use crate::Millis;

/// A request that asks for a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// The name that the grant will have.
    pub id: String,
    /// The group that is charged.
    pub group: String,
    /// The class's priority; 0 is the most urgent.
    pub priority: u32,
    /// When the answer is of no more use.
    pub deadline: Millis,
    /// How long it may wait for its turn.
    pub wait: Millis,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that it may generate at most.
    pub output_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// Servers not to choose, by name.
    pub avoid: Vec<String>,
}

/// A backend server that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The grant's name.
    pub id: String,
    /// The group that is charged.
    pub group: String,
    /// The server's name.
    pub server: String,
    /// Where it is reached, as `IP:port`.
    pub address: String,
    /// Tokens of the prompt that it is thought to hold.
    pub cached_tokens: u64,
    /// Tokens of the prompt that it must read.
    pub uncached_tokens: u64,
    /// What the group was charged.
    pub cost: u64,
}

/// Explains why there is no grant, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Milliseconds after which there should be room.
    pub retry_after: Millis,
}

/// What the queue says to an [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it there now.
    Granted(Grant),
    /// Its turn comes; [`Queue::poll`](super::Queue::poll) will tell.
    Waiting,
    /// There will be no room in time.
    Refused(Refusal),
}
