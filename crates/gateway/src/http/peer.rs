//! The other end of a caller's connection, for whoever must end it from outside.

use std::net::Shutdown;
use std::time::Duration;

use async_net::TcpStream;
use rustix::net::sockopt::{set_socket_linger, set_socket_send_buffer_size};

/// Bytes that the system buffers towards a caller; it counts about as many again for itself. Less
/// than it takes by itself, so that a caller that has stopped reading shows, and enough for
/// 80 Mbit/s over a way of 6 ms.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// A caller's connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle(TcpStream);

impl ConnectionHandle {
    /// Takes a handle of a connection and bounds what the system buffers for it.
    pub fn new(stream: &TcpStream) -> Self {
        if let Err(error) = set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES) {
            log::debug!("the send buffer keeps its size: {error}");
        }
        Self(stream.clone())
    }

    /// Ends the connection at once, with all that waits to be sent: the caller sees a reset, and no
    /// answer that looks whole.
    pub fn reset(&self) {
        if let Err(error) = set_socket_linger(&self.0, Some(Duration::ZERO)) {
            log::debug!("what waits on a connection is not dropped: {error}");
        }
        if let Err(error) = self.0.shutdown(Shutdown::Both) {
            log::debug!("a connection had ended already: {error}");
        }
    }
}
