//! HTTP clients for backend servers.

mod engine;
mod plain;
mod tokens;

pub use engine::{Engine, EngineRequest, Event, Events, Load, OrderResult};
pub use plain::{PlainRequest, Reply};
pub use tokens::{Piece, Tokens};

/// The header with the ID of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// The header with the priority of the request class; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The response header with the number of tokens that an engine must prefill first.
pub const PREFILL_HEADER: &str = "x-prefill-tokens";
/// The header with the request key, for servers that deduplicate requests by it.
pub const KEY_HEADER: &str = "idempotency-key";
