//! A handle for closing a caller's connection from outside its task.

use std::net::Shutdown;
use std::time::Duration;

use async_net::TcpStream;
use rustix::net::sockopt::{set_socket_linger, set_socket_send_buffer_size};

/// Size of the system's send buffer for a caller; the system counts about as much again for itself.
/// It is below the default, so that a caller that has stopped reading is noticed, and large enough
/// for 80 Mbit/s at a round trip of 6 ms.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// A handle of a caller's connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle(TcpStream);

impl ConnectionHandle {
    /// Creates a handle of a connection and limits its send buffer.
    pub fn new(stream: &TcpStream) -> Self {
        if let Err(error) = set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES) {
            log::debug!("cannot set the send buffer size of a connection: {error}");
        }
        Self(stream.clone())
    }

    /// Closes the connection at once and discards unsent data. The caller sees a reset instead of a
    /// response that looks complete.
    pub fn reset(&self) {
        if let Err(error) = set_socket_linger(&self.0, Some(Duration::ZERO)) {
            log::debug!("cannot discard the unsent data of a connection: {error}");
        }
        if let Err(error) = self.0.shutdown(Shutdown::Both) {
            log::debug!("the connection was already closed: {error}");
        }
    }
}
