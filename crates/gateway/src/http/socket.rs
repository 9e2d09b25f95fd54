//! A socket under the HTTP library, and the driver of its connection, which sees to it that the connection
//! goes on after each blocked write.
//!
//! The library flushes once more after a write that was blocked, before it gives up its turn. Where the
//! socket has become writable meanwhile, that flush succeeds, and the socket drops the wake that the
//! blocked write had registered. The library then has more of the body to write, and nothing wakes it: the
//! answer stands still until its caller is taken for one that does not read. A connection in which a
//! write succeeded after a blocked one is therefore polled again.
//!
//! What this buys: of 540 callers that rested for 5 s and then read 11,000,000 bytes, 30 or 60 at the same
//! time, four got a part of them; see `tests/blocked_writes.rs`. It costs another poll in the turns in which
//! that happens, and none in all others.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol_hyper::rt::FuturesIo;

/// How the writes of a turn went: no write was blocked so far.
const CLEAR: u8 = 0;
/// A write was blocked, and none succeeded since.
const BLOCKED: u8 = 1;
/// A write succeeded after a blocked one.
const RESUMED: u8 = 2;

/// How the writes to a socket go in one turn of its connection.
#[derive(Clone, Debug, Default)]
pub struct WriteState(Arc<AtomicU8>);

impl WriteState {
    fn begin(&self) {
        self.0.store(CLEAR, Ordering::Relaxed);
    }

    fn note<T>(&self, polled: &Poll<T>) {
        match polled {
            Poll::Pending => self.0.store(BLOCKED, Ordering::Relaxed),
            Poll::Ready(_) if self.0.load(Ordering::Relaxed) == BLOCKED => {
                self.0.store(RESUMED, Ordering::Relaxed);
            }
            Poll::Ready(_) => {}
        }
    }

    fn has_resumed(&self) -> bool {
        self.0.load(Ordering::Relaxed) == RESUMED
    }
}

/// A socket that notes how its writes go.
#[derive(Debug)]
pub struct Socket<T> {
    inner: FuturesIo<T>,
    writes: WriteState,
}

impl<T> Socket<T> {
    /// Wraps a socket.
    pub fn new(inner: T) -> Self {
        Self { inner: FuturesIo::new(inner), writes: WriteState::default() }
    }

    /// Returns how the writes go, for the driver of the connection.
    pub fn get_write_state(&self) -> WriteState {
        self.writes.clone()
    }
}

impl<T: AsyncRead + Unpin> Read for Socket<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> Write for Socket<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.writes.note(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Drives a connection over a [`Socket`] to its end.
pub async fn drive<C>(mut connection: Pin<&mut C>, writes: &WriteState) -> C::Output
where
    C: Future,
{
    future::poll_fn(|context| {
        writes.begin();
        let polled = connection.as_mut().poll(context);
        if polled.is_pending() && writes.has_resumed() {
            context.waker().wake_by_ref();
        }
        polled
    })
    .await
}
