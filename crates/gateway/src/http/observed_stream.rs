//! A stream whose reads are observed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::io::{AsyncRead, AsyncWrite};

/// Observes the reads from a stream, and may delay or end them.
pub(super) trait ReadObserver {
    /// Waits until bytes may be read.
    ///
    /// # Errors
    ///
    /// Returns the error of the read if no more may be read.
    fn poll_read_allowed(&self, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Records that a number of bytes were read; 0 at the end of the stream.
    fn record_read(&self, bytes: usize);
}

/// A stream that reports its reads to an observer.
#[derive(Debug)]
pub(super) struct ObservedStream<T, O> {
    inner: T,
    observer: O,
}

impl<T, O> ObservedStream<T, O> {
    /// Wraps the stream of a connection.
    pub fn new(inner: T, observer: O) -> Self {
        Self { inner, observer }
    }
}

impl<T: AsyncRead + Unpin, O: ReadObserver + Unpin> AsyncRead for ObservedStream<T, O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.observer.poll_read_allowed(context))?;
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.observer.record_read(bytes);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin, O: Unpin> AsyncWrite for ObservedStream<T, O> {
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
