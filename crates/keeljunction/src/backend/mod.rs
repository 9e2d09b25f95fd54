//! The HTTP side towards backend servers.

mod engine;
mod plain;
mod tokens;

pub use engine::{Engine, EngineRequest, Event, Events, Load, Ordered};
pub use plain::{PlainRequest, Reply};
pub use tokens::{Piece, Tokens};

/// The header that names the attempt a request belongs to.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// The header that carries the class's priority; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The header in which an engine says how many tokens it must compute before the next one.
pub const PREFILL_HEADER: &str = "x-prefill-tokens";
/// The header that carries the request key, for servers that de-duplicate by it.
pub const KEY_HEADER: &str = "idempotency-key";
