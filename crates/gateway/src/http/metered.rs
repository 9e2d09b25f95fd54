//! A stream that bounds what is read from it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::{AsyncRead, AsyncWrite};

use super::{Progress, WriteState};

/// A stream that ends a turn of its connection after many bytes, so that it yields to other tasks,
/// and that fails once its response makes no progress.
#[derive(Debug)]
pub(super) struct MeteredStream<T> {
    inner: T,
    turn: WriteState,
    progress: Option<Progress>,
}

impl<T> MeteredStream<T> {
    /// Wraps the stream of a connection, with the progress of its responses if that is bounded.
    pub fn new(inner: T, turn: WriteState, progress: Option<Progress>) -> Self {
        Self { inner, turn, progress }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turn.has_read_enough() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if let Some(progress) = &self.progress {
            progress.check_read()?;
        }
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.turn.add_read(bytes);
            if let Some(progress) = &self.progress {
                progress.add_read(bytes);
            }
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
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
