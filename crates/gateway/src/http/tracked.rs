//! Reports what arrives on a connection, and how long its responses last.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::Body;
use super::connections::{Connection, ResponseGuard};
use super::observed_stream::ReadObserver;

impl ReadObserver for Connection {
    fn record_read(&self, bytes: usize) {
        if bytes > 0 {
            self.record_arrival();
        }
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
