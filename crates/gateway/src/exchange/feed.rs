//! Forwards a response body from its server to the caller.
//!
//! While the caller keeps up, its connection polls the server's response directly, without another
//! task or a copy. If the caller's connection has not polled for more data by the next check, a
//! task reads ahead into a buffer, whose bytes are reserved, until the connection polls again.
//!
//! Invariants: bytes leave in the order of their arrival. The caller's connection and the
//! read-ahead task read from the server one at a time, under the lock. A body that is not forwarded
//! to its end resets the caller's connection.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::{Stream, future};
use keeljunction_core::Millis;
use keeljunction_core::serving::memory::Kind;
use keeljunction_core::serving::read_ahead::{Buffer, Caller, get_limit};

use super::flow::Flow;
use super::respond::{Delivery, RequestRecord};
use super::source::{BodyEvent, Source};
use crate::active_responses::{ResponseHandle, ResponseStatus};
use crate::event::{self, Event};

use crate::http::{Body, ConnectionHandle};
use crate::node::{Node, ReservationGuard};
use crate::runtime::{self, lock};

/// Maximum size of a chunk passed to a caller's connection. Data held by the connection cannot be
/// observed, so small chunks reveal sooner that a caller has stopped reading.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// A response body that is being forwarded to its caller.
struct Feed {
    node: Arc<Node>,
    id: u64,
    request: String,
    delivery: Arc<Delivery>,
    /// Time on the node's clock at which the server's response is aborted.
    deadline: Millis,
    flow: Mutex<Flow>,
}

/// The request that a response belongs to, and its caller's connection.
pub(super) struct Recipient {
    request: String,
    delivery: Arc<Delivery>,
    connection: Option<ConnectionHandle>,
}

impl Recipient {
    /// Returns the recipient of the response to a request.
    pub fn for_record(record: &RequestRecord) -> Self {
        let (delivery, connection) = (record.delivery.clone(), record.connection.clone());
        Self { request: record.id.clone(), delivery, connection }
    }
}

/// Returns a body that forwards a server's bytes until `deadline`.
pub(super) fn stream_body(
    node: &Arc<Node>,
    recipient: Recipient,
    source: Source,
    deadline: Millis,
) -> Body {
    let reservation = ReservationGuard::new(node, Kind::ReadAhead);
    let feed = Feed::new(node, recipient, reservation, deadline);
    lock(&feed.flow).source = Some(source);
    Body::from_stream(FeedBody(feed), None)
}

/// Returns a body for a response that was read completely. `reservation` holds its memory.
pub(super) fn complete_body(
    node: &Arc<Node>,
    bytes: Bytes,
    reservation: ReservationGuard,
    record: RequestRecord,
) -> Body {
    let length = bytes.len() as u64;
    if bytes.len() <= MAX_CHUNK_BYTES {
        return Body::from(bytes);
    }
    let feed = Feed::new(node, Recipient::for_record(&record), reservation, Millis::MAX);
    let mut flow = lock(&feed.flow);
    flow.buffer.push(bytes);
    flow.record = Some(Box::new(record));
    flow.is_ended = true;
    drop(flow);
    Body::from_stream(FeedBody(feed), Some(length))
}

impl Feed {
    fn new(
        node: &Arc<Node>,
        recipient: Recipient,
        reservation: ReservationGuard,
        deadline: Millis,
    ) -> Arc<Self> {
        let Recipient { request, delivery, connection } = recipient;
        delivery.open();
        let bound = get_limit(node.with(|state| state.memory.get_capacity()));
        let flow = Flow::new(Buffer::new(bound), reservation, connection, node.now());
        let flow = Mutex::new(flow);
        let id = node.active_responses.make_id();
        let feed = Arc::new(Self { node: node.clone(), id, request, delivery, deadline, flow });
        node.active_responses.add(id, feed.make_handle());
        feed
    }

    /// Creates the node's handle of the feed, which does not keep the feed alive.
    fn make_handle(self: &Arc<Self>) -> ResponseHandle {
        let (checked, disconnected) = (Arc::downgrade(self), Arc::downgrade(self));
        ResponseHandle {
            request: self.request.clone(),
            check_status: Box::new(move |now| checked.upgrade().map(|feed| feed.check_status(now))),
            disconnect: Box::new(move |reason| {
                if let Some(feed) = disconnected.upgrade() {
                    feed.disconnect(reason);
                }
            }),
        }
    }

    /// Returns the next chunk for the caller, from the buffer or else from the server.
    fn poll_next(&self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut flow = lock(&self.flow);
        flow.is_caller_waiting = false;
        if flow.buffer.is_empty() && flow.is_open() {
            match flow.poll_source(self.node.now(), context) {
                Poll::Pending => {
                    flow.is_caller_waiting = true;
                    flow.progress.reset();
                    // The server now wakes the caller's connection instead of the read-ahead task.
                    flow.read_ahead_task = None;
                    flow.is_reading_ahead = false;
                    return Poll::Pending;
                }
                Poll::Ready(Some(BodyEvent::Chunk(chunk))) if chunk.len() <= MAX_CHUNK_BYTES => {
                    return Poll::Ready(Some(Ok(self.deliver(&mut flow, chunk))));
                }
                Poll::Ready(event) => self.accept(&mut flow, event),
            }
        }
        if let Some(chunk) = flow.buffer.pop(MAX_CHUNK_BYTES) {
            flow.adjust_reservation();
            if flow.buffer.is_empty() && flow.is_ended && flow.error.is_none() {
                // If the length is known, the connection does not poll after the last byte.
                self.delivery.finish();
            }
            return Poll::Ready(Some(Ok(self.deliver(&mut flow, chunk))));
        }
        if let Some(error) = flow.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        self.delivery.finish();
        Poll::Ready(None)
    }

    /// Handles an event from the server, and logs an interrupted response.
    fn accept(&self, flow: &mut Flow, event: Option<BodyEvent>) {
        if let Some(BodyEvent::End(Err(error), _)) = &event {
            event::emit(&Event::AnswerCut {
                request: &self.request,
                why: &error.to_string(),
                read_bytes: flow.read_bytes,
                held_bytes: flow.buffer.get_bytes(),
                is_held_full: !flow.buffer.is_reading(),
                unread_ms: self.node.now().saturating_sub(flow.last_read_at),
                resting_ms: flow.progress.get_stalled(),
            });
        }
        flow.push(event);
    }

    fn deliver(&self, flow: &mut Flow, chunk: Bytes) -> Bytes {
        flow.progress.record_read(chunk.len());
        self.delivery.record_chunk(self.node.now());
        chunk
    }

    /// Checks whether the caller reads the available data, and starts to read ahead if it does not.
    fn check_status(self: &Arc<Self>, now: Millis) -> ResponseStatus {
        let mut flow = lock(&self.flow);
        let since = now.saturating_sub(flow.checked_at);
        flow.checked_at = now;
        match flow.is_caller_waiting {
            true => flow.progress.reset(),
            false => flow.progress.record_check(since),
        }
        let is_short_of_memory = !flow.adjust_reservation();
        // After the deadline the source only ends, which needs no memory.
        let is_worth_reading =
            now >= self.deadline || (flow.buffer.is_reading() && !is_short_of_memory);
        if flow.is_open() && is_worth_reading && !flow.is_caller_waiting && !flow.is_reading_ahead {
            flow.is_reading_ahead = true;
            let feed = self.clone();
            let reading = future::poll_fn(move |context| feed.poll_ahead(context));
            flow.read_ahead_task = Some(runtime::spawn_with_handle(reading));
        }
        let (bytes, stalled) = (flow.buffer.get_bytes(), flow.progress.get_stalled());
        let caller = Caller { id: self.id, bytes, stalled };
        let is_too_slow = flow.progress.is_too_slow();
        ResponseStatus { caller, is_too_slow, is_ended: flow.is_ended, is_short_of_memory }
    }

    /// Reads from the server until the caller's connection polls, the buffer is full, or the
    /// response has ended.
    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut flow = lock(&self.flow);
        while !flow.is_caller_waiting && flow.is_open() {
            let now = self.node.now();
            let is_past_deadline = now >= self.deadline;
            if !is_past_deadline && (!flow.buffer.is_reading() || !flow.adjust_reservation()) {
                break;
            }
            let Poll::Ready(event) = flow.poll_source(now, context) else { return Poll::Pending };
            if let Some(BodyEvent::Chunk(chunk)) = &event {
                self.node.metrics.read_ahead.inc_by(chunk.len() as u64);
            }
            self.accept(&mut flow, event);
        }
        flow.is_reading_ahead = false;
        Poll::Ready(())
    }

    /// Aborts the response and its run on the server, and resets the caller's connection.
    fn disconnect(&self, reason: &'static str) {
        let mut flow = lock(&self.flow);
        self.delivery.disconnect();
        let deferred_drop = flow.close();
        flow.error = Some(io::Error::new(io::ErrorKind::TimedOut, reason));
        let connection = flow.connection.take();
        drop(flow);
        drop(deferred_drop);
        if let Some(connection) = connection {
            connection.reset();
        }
    }
}

/// A feed as the body of the caller's response. Dropping it aborts the run on the server.
struct FeedBody(Arc<Feed>);

impl Stream for FeedBody {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_next(context)
    }
}

impl Drop for FeedBody {
    fn drop(&mut self) {
        self.0.node.active_responses.remove(self.0.id);
        let deferred_drop = lock(&self.0.flow).close();
        drop(deferred_drop);
    }
}
