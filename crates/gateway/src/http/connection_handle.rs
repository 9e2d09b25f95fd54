//! A handle of a caller's connection, which decides whether its caller sees an end or a reset.

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_net::TcpStream;
use rustix::net::connect_unspec;
use rustix::net::sockopt::{set_socket_linger, set_socket_send_buffer_size};

/// Size of the system's send buffer for a caller; the system counts about as much again for itself.
/// It is below the default, so that a caller that has stopped reading is noticed, and large enough
/// for 80 Mbit/s at a round trip of 6 ms.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// A handle of a caller's connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    stream: TcpStream,
    /// Whether closing the connection resets it.
    is_end_reset: Arc<AtomicBool>,
}

impl ConnectionHandle {
    /// Creates a handle of a connection and limits its send buffer.
    pub fn new(stream: &TcpStream) -> Self {
        if let Err(error) = set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES) {
            log::debug!("cannot set the send buffer size of a connection: {error}");
        }
        Self { stream: stream.clone(), is_end_reset: Arc::default() }
    }

    /// Lets any end of the connection be a reset until [`Self::accept_end`], that of a killed
    /// process too. A response whose end only its connection declares begins with this call.
    pub fn reject_end(&self) {
        self.is_end_reset.store(true, Ordering::Relaxed);
        if let Err(error) = set_socket_linger(&self.stream, Some(Duration::ZERO)) {
            log::warn!("a connection that breaks off will look complete to its caller: {error}");
        }
    }

    /// Lets the end of the connection be an end of its response again, because the system has all
    /// bytes of the response.
    pub fn accept_end(&self) {
        if !self.is_end_reset.swap(false, Ordering::Relaxed) {
            return;
        }
        if let Err(error) = set_socket_linger(&self.stream, None) {
            log::warn!("the end of a complete response will be a reset to its caller: {error}");
        }
    }

    /// Closes the connection at once and discards unsent data. The caller sees a reset instead of a
    /// response that looks complete.
    pub fn reset(&self) {
        // A shutdown would send an end first, which is all that a caller sees that reads before the
        // reset. A dissolved association sends only the reset.
        let Err(error) = connect_unspec(&self.stream) else { return };
        log::debug!("cannot reset a connection before it is closed: {error}");
        self.reject_end();
        if let Err(error) = self.stream.shutdown(Shutdown::Both) {
            log::debug!("the connection was already closed: {error}");
        }
    }
}
