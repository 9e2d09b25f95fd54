//! A socket for the HTTP library, and a driver that resumes the connection after a blocked write.
//!
//! After a blocked write, the library flushes once more before it yields. If the socket has become
//! writable meanwhile, the flush succeeds, and the socket drops the waker that the blocked write
//! had registered. The library then has more of the body to write, but nothing wakes it: the
//! response stalls until its caller is disconnected as one that does not read. The driver therefore
//! polls a connection again if a write succeeded after a blocked one.
//!
//! The extra poll happens only in those turns. `tests/blocked_writes.rs` guards against the stall.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol_hyper::rt::FuturesIo;

use super::metered::MeteredStream;
use super::{ConnectionHandle, Progress};

/// Number of bytes after which a connection yields to other tasks. The library reads for as long as
/// bytes arrive that make up no message.
const MAX_TURN_BYTES: usize = 128 * 1024;

/// No write of the current turn was blocked.
const CLEAR: u8 = 0;
/// A write was blocked, and none has succeeded since.
const BLOCKED: u8 = 1;
/// A write succeeded after a blocked one.
const RESUMED: u8 = 2;

/// State of the writes to a socket in one turn of its connection, and the bytes read in that turn.
#[derive(Clone, Debug, Default)]
pub struct WriteState(Arc<Turn>);

#[derive(Debug, Default)]
struct Turn {
    writes: AtomicU8,
    read_bytes: AtomicUsize,
}

impl WriteState {
    fn reset(&self) {
        self.0.writes.store(CLEAR, Ordering::Relaxed);
        self.0.read_bytes.store(0, Ordering::Relaxed);
    }

    pub(super) fn add_read(&self, bytes: usize) {
        self.0.read_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn has_read_enough(&self) -> bool {
        self.0.read_bytes.load(Ordering::Relaxed) >= MAX_TURN_BYTES
    }

    fn record<T>(&self, polled: &Poll<T>) {
        match polled {
            Poll::Pending => self.0.writes.store(BLOCKED, Ordering::Relaxed),
            Poll::Ready(_) if self.0.writes.load(Ordering::Relaxed) == BLOCKED => {
                self.0.writes.store(RESUMED, Ordering::Relaxed);
            }
            Poll::Ready(_) => {}
        }
    }

    fn has_resumed(&self) -> bool {
        self.0.writes.load(Ordering::Relaxed) == RESUMED
    }
}

/// A socket that tracks the state of its writes.
#[derive(Debug)]
pub struct Socket<T> {
    inner: FuturesIo<MeteredStream<T>>,
    write_state: WriteState,
    connection_handle: Option<ConnectionHandle>,
}

impl<T> Socket<T> {
    /// Wraps a socket.
    pub fn new(inner: T) -> Self {
        Self::create(inner, None)
    }

    /// Wraps a socket, from which nothing is read once its responses make no progress.
    pub fn with_progress(inner: T, progress: Progress) -> Self {
        Self::create(inner, Some(progress))
    }

    fn create(inner: T, progress: Option<Progress>) -> Self {
        let write_state = WriteState::default();
        let stream = MeteredStream::new(inner, write_state.clone(), progress);
        Self { inner: FuturesIo::new(stream), write_state, connection_handle: None }
    }

    /// Sets the handle that accepts the end of the connection once all responses are written.
    pub fn with_connection_handle(self, connection_handle: ConnectionHandle) -> Self {
        Self { connection_handle: Some(connection_handle), ..self }
    }

    /// Returns the write state for the driver of the connection.
    pub fn get_write_state(&self) -> WriteState {
        self.write_state.clone()
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
        self.write_state.record(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    /// Shuts the socket down. The library does that only after it has written and flushed the whole
    /// response; after an error, it drops the socket.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(connection_handle) = &self.connection_handle {
            connection_handle.accept_end();
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Drives a connection over a [`Socket`] to its end.
pub async fn drive<C>(mut connection: Pin<&mut C>, write_state: &WriteState) -> C::Output
where
    C: Future,
{
    future::poll_fn(|context| {
        write_state.reset();
        let polled = connection.as_mut().poll(context);
        if polled.is_pending() && write_state.has_resumed() {
            context.waker().wake_by_ref();
        }
        polled
    })
    .await
}
