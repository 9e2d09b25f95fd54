//! HTTP clients for backend servers.
//!
//! Each call carries an ID of its own, which the server repeats in its response. A response with
//! another ID, or with none, belongs to no call: nothing in it counts, and its connection is closed.

mod call;
mod engine;
mod plain;
mod tokens;

pub use call::make_client;
pub use engine::{Engine, EngineRequest, Event, Events, Load, OrderResult};
pub use keeljunction_gateway::backend::{Client, SendError};
pub use plain::{PlainRequest, Reply};
pub use tokens::{Piece, Tokens};

/// The header with the ID of a call, which servers repeat in their responses.
pub const CALL_HEADER: &str = "x-call-id";
/// The header with the ID of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// The header with the priority of the request class; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The response header with the number of tokens that an engine must prefill first.
pub const PREFILL_HEADER: &str = "x-prefill-tokens";
/// The header with the request key, for servers that deduplicate requests by it.
pub const KEY_HEADER: &str = "idempotency-key";
