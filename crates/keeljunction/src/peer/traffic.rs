//! Byte counters for the traffic between nodes.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Returns the bytes that this process has sent to peers and received from them, including all
/// framing above TCP.
pub fn get_traffic() -> (u64, u64) {
    (SENT.load(Ordering::Relaxed), RECEIVED.load(Ordering::Relaxed))
}

/// A connection whose bytes are counted.
pub(super) struct CountedStream(pub TcpStream);

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.0).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            RECEIVED.fetch_add(count as u64, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            SENT.fetch_add(count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
