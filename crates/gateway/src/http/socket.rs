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

use super::metered::ReadMeter;
use super::observed_stream::ObservedStream;
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

/// One turn of a connection on the executor: the state of its writes, and the bytes read.
#[derive(Clone, Debug, Default)]
pub struct Turn(Arc<TurnState>);

#[derive(Debug, Default)]
struct TurnState {
    writes: AtomicU8,
    read_bytes: AtomicUsize,
}

impl Turn {
    fn begin(&self) {
        self.0.writes.store(CLEAR, Ordering::Relaxed);
        self.0.read_bytes.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    pub(super) fn add_read(&self, bytes: usize) {
        self.0.read_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns `true` if the connection must yield before it reads more.
    pub(super) fn has_read_enough(&self) -> bool {
        self.0.read_bytes.load(Ordering::Relaxed) >= MAX_TURN_BYTES
    }

    fn record_write<T>(&self, polled: &Poll<T>) {
        match polled {
            Poll::Pending => self.0.writes.store(BLOCKED, Ordering::Relaxed),
            Poll::Ready(_) if self.0.writes.load(Ordering::Relaxed) == BLOCKED => {
                self.0.writes.store(RESUMED, Ordering::Relaxed);
            }
            Poll::Ready(_) => {}
        }
    }

    fn has_resumed_write(&self) -> bool {
        self.0.writes.load(Ordering::Relaxed) == RESUMED
    }
}

/// A socket that tracks the reads and writes of each turn.
#[derive(Debug)]
pub struct Socket<T> {
    inner: FuturesIo<ObservedStream<T, ReadMeter>>,
    turn: Turn,
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
        let turn = Turn::default();
        let stream = ObservedStream::new(inner, ReadMeter::new(turn.clone(), progress));
        Self { inner: FuturesIo::new(stream), turn, connection_handle: None }
    }

    /// Sets the handle that accepts the end of the connection once all responses are written.
    pub fn with_connection_handle(self, connection_handle: ConnectionHandle) -> Self {
        Self { connection_handle: Some(connection_handle), ..self }
    }

    /// Returns the turn for the driver of the connection.
    pub fn get_turn(&self) -> Turn {
        self.turn.clone()
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
        self.turn.record_write(&polled);
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
pub async fn drive<C>(mut connection: Pin<&mut C>, turn: &Turn) -> C::Output
where
    C: Future,
{
    future::poll_fn(|context| {
        turn.begin();
        let polled = connection.as_mut().poll(context);
        if polled.is_pending() && turn.has_resumed_write() {
            context.waker().wake_by_ref();
        }
        polled
    })
    .await
}
