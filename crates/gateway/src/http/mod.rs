//! HTTP with `hyper` on the project's executor: bodies, a client that reuses connections, a server,
//! and the sockets under both.

mod body;
mod client;
mod connection_handle;
mod headers;
mod server;
mod socket;

pub use body::{Body, read_body};
pub use client::{Client, ResponseBody, ReuseOutcome, SendError};
pub use connection_handle::ConnectionHandle;
pub use headers::{get_framing, remove_hop_by_hop, remove_standard_hop_by_hop};
pub use server::{ConnectionCount, Limits, Server, StopSignal};
pub use socket::{Socket, WriteState, drive};
