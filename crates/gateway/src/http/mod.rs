//! HTTP with `hyper` on the project's executor: bodies, a client that reuses connections, a server,
//! and the sockets under both.

mod body;
mod client;
mod connection_handle;
mod connections;
mod headers;
mod metered;
mod observed_stream;
mod progress;
mod server;
mod shutdown;
mod socket;
mod target;
mod tracked;

pub use body::{Body, read_body};
pub use client::{Client, ResponseBody, ReuseOutcome, SendError};
pub use connection_handle::ConnectionHandle;
pub use connections::{Connections, Phase, PhaseCounts};
pub use headers::{
    decode_text, encode_text, get_framing, remove_hop_by_hop, remove_standard_hop_by_hop,
};
pub use progress::Progress;
pub use server::{Limits, Server};
pub use shutdown::{Shutdown, StopSignal};
pub use socket::{Socket, Turn, drive};
pub use target::Target;
