//! HTTP by `hyper` on the project's executor: bodies, a client with kept connections, a server, and the
//! sockets under both.

mod body;
mod client;
mod peer;
mod server;
mod socket;

pub use body::{Body, read_body};
pub use client::{Client, ResponseBody, SendError};
pub use peer::ConnectionHandle;
pub use server::{ConnectionCount, Limits, Server, StopSignal};
pub use socket::{Socket, WriteState, drive};
