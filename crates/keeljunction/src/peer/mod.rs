//! The protocol between nodes: `tonic` over `hyper` on this crate's executor.

mod channel;
mod listener;
mod pool;
mod traffic;

/// Code generated from `proto/peer.proto` by `make codegen`.
#[allow(missing_docs, clippy::all)]
#[path = "generated/keeljunction.peer.v1.rs"]
pub mod generated;

pub use channel::Channel;
pub use generated as wire;
pub use listener::Listener;
pub use pool::Pool;
pub use traffic::get_traffic;
