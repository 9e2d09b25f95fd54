//! A stream and a body that report to the handle of their connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::Body;
use super::connections::{Connection, ResponseGuard};

/// A stream that records when bytes arrive.
#[derive(Debug)]
pub(super) struct TrackedStream<T> {
    inner: T,
    connection: Connection,
}

impl<T> TrackedStream<T> {
    /// Wraps the stream of a connection.
    pub fn new(inner: T, connection: Connection) -> Self {
        Self { inner, connection }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for TrackedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(1..))) {
            self.connection.record_read();
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for TrackedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

/// A response body whose connection counts as responding until the body is dropped.
pub(super) struct TrackedBody {
    inner: Body,
    _guard: ResponseGuard,
}

impl TrackedBody {
    /// Wraps the body of a response.
    pub fn new(inner: Body, guard: ResponseGuard) -> Self {
        Self { inner, _guard: guard }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
