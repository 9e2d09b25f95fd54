//! The body of a response, which returns its connection to the client.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use super::IdleConnections;
use super::connection::Connection;
use crate::http::Progress;
use crate::runtime;

/// The body of a response. Its connection is kept for reuse if the body was read to the end, and
/// closed at once if the body is dropped earlier.
pub struct ResponseBody {
    body: Incoming,
    progress: Progress,
    is_ended: bool,
    kept: Option<KeptConnection>,
}

/// The connection of a response, and the idle connections to which it returns.
struct KeptConnection {
    to: SocketAddr,
    connection: Connection,
    idle: IdleConnections,
    max_idle_per_address: Arc<AtomicUsize>,
}

impl ResponseBody {
    /// Wraps the body of a response of an address. Its connection returns to `idle` unless
    /// `max_idle_per_address` are idle there.
    pub(super) fn new(
        body: Incoming,
        to: SocketAddr,
        connection: Connection,
        idle: IdleConnections,
        max_idle_per_address: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            body,
            progress: connection.get_progress(),
            is_ended: false,
            kept: Some(KeptConnection { to, connection, idle, max_idle_per_address }),
        }
    }

    /// Closes the connection without reading the rest of the body.
    pub fn close_connection(mut self) {
        self.kept = None;
    }

    /// Returns `true` if too many bytes arrived without completing a part of the body.
    pub fn is_endless(&self) -> bool {
        self.progress.is_endless()
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if polled.is_ready() {
            self.progress.record();
        }
        if matches!(polled, Poll::Ready(None)) {
            self.is_ended = true;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let Some(mut kept) = self.kept.take() else { return };
        if !self.is_ended && !self.body.is_end_stream() {
            return;
        }
        runtime::spawn(async move {
            if kept.connection.wait_until_ready().await {
                let mut idle = runtime::lock(&kept.idle);
                let connections = idle.entry(kept.to).or_default();
                kept.connection.record_idle();
                if connections.len() < kept.max_idle_per_address.load(Ordering::Relaxed) {
                    connections.push(kept.connection);
                }
            }
        });
    }
}
