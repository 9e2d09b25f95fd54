//! The body of an answer between its server and its caller.
//!
//! While the caller keeps up, its connection polls the server's answer directly, without a task or
//! a copy in between. Where the caller's connection has not polled for more by the next look, a task
//! reads ahead into a buffer, whose bytes are reserved, until the connection polls again.
//!
//! Invariants: bytes leave in the order in which they came; the caller's connection and the task
//! read the server one at a time, under the lock; an answer that is not passed on to its end cuts the
//! caller's connection.

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
use super::respond::{Passage, Record};
use super::source::{Source, Step};
use crate::active_responses::{ResponseHandle, ResponseStatus};
use crate::event::{self, Event};

use crate::http::{Body, ConnectionHandle};
use crate::node::{Node, Reservation};
use crate::runtime::{self, lock};

/// The most bytes that are passed to a caller's connection at a time. What the connection holds is
/// out of sight: with small pieces a caller that stops reading shows soon.
const PIECE_BYTES: usize = 16 * 1024;

/// An answer on its way to its caller.
struct Feed {
    node: Arc<Node>,
    id: u64,
    request: String,
    passage: Arc<Passage>,
    /// The time on the node's clock at which the server's answer is cut off.
    due: Millis,
    flow: Mutex<Flow>,
}

/// The request that an answer belongs to, and its caller's connection.
pub(super) struct Recipient {
    request: String,
    passage: Arc<Passage>,
    peer: Option<ConnectionHandle>,
}

impl Recipient {
    /// Returns the recipient of a request's answer.
    pub fn of(record: &Record) -> Self {
        let (passage, peer) = (record.passage.clone(), record.peer.clone());
        Self { request: record.id.clone(), passage, peer }
    }
}

/// Returns the body that passes on what a server sends until `due`.
pub(super) fn open(node: &Arc<Node>, recipient: Recipient, source: Source, due: Millis) -> Body {
    let held = Reservation::new(node, Kind::ReadAhead);
    let feed = Feed::new(node, recipient, held, due);
    lock(&feed.flow).source = Some(source);
    Body::from_stream(FeedBody(feed), None)
}

/// Returns the body that passes on an answer that was read whole. `held` is its reservation.
pub(super) fn whole(node: &Arc<Node>, bytes: Bytes, held: Reservation, record: Record) -> Body {
    let length = bytes.len() as u64;
    if bytes.len() <= PIECE_BYTES {
        return Body::from(bytes);
    }
    let feed = Feed::new(node, Recipient::of(&record), held, Millis::MAX);
    let mut flow = lock(&feed.flow);
    flow.buffer.push(bytes);
    flow.record = Some(Box::new(record));
    flow.is_ended = true;
    drop(flow);
    Body::from_stream(FeedBody(feed), Some(length))
}

impl Feed {
    fn new(node: &Arc<Node>, recipient: Recipient, held: Reservation, due: Millis) -> Arc<Self> {
        let Recipient { request, passage, peer } = recipient;
        passage.open();
        let bound = get_limit(node.with(|state| state.memory.get_capacity()));
        let flow = Flow::new(Buffer::new(bound), held, peer, node.now());
        let flow = Mutex::new(flow);
        let id = node.active_responses.make_id();
        let feed = Arc::new(Self { node: node.clone(), id, request, passage, due, flow });
        node.active_responses.add(id, feed.make_handle());
        feed
    }

    /// Makes what the node keeps of the answer, which does not keep the answer itself.
    fn make_handle(self: &Arc<Self>) -> ResponseHandle {
        let (looking, disconnecting) = (Arc::downgrade(self), Arc::downgrade(self));
        ResponseHandle {
            request: self.request.clone(),
            check_status: Box::new(move |now| looking.upgrade().map(|feed| feed.look(now))),
            disconnect: Box::new(move |reason| {
                if let Some(feed) = disconnecting.upgrade() {
                    feed.disconnect(reason);
                }
            }),
        }
    }

    /// Returns the next piece for the caller: from the buffer, or else from the server.
    fn poll_next(&self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut flow = lock(&self.flow);
        flow.is_caller_waiting = false;
        if flow.buffer.is_empty() && flow.is_open() {
            match flow.poll_source(self.node.now(), context) {
                Poll::Pending => {
                    flow.is_caller_waiting = true;
                    flow.progress.reset();
                    // The server now wakes the caller's connection, and no longer this task.
                    flow.reading = None;
                    flow.is_reading_ahead = false;
                    return Poll::Pending;
                }
                Poll::Ready(Some(Step::Piece(piece))) if piece.len() <= PIECE_BYTES => {
                    return Poll::Ready(Some(Ok(self.pass_on(&mut flow, piece))));
                }
                Poll::Ready(step) => self.take(&mut flow, step),
            }
        }
        if let Some(piece) = flow.buffer.pop(PIECE_BYTES) {
            flow.settle();
            if flow.buffer.is_empty() && flow.is_ended && flow.error.is_none() {
                // Where the length is known, the connection does not poll after the last byte.
                self.passage.finish();
            }
            return Poll::Ready(Some(Ok(self.pass_on(&mut flow, piece))));
        }
        if let Some(error) = flow.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        self.passage.finish();
        Poll::Ready(None)
    }

    /// Takes what came from the server, and logs an answer that breaks off.
    fn take(&self, flow: &mut Flow, step: Option<Step>) {
        if let Some(Step::End(Err(error), _)) = &step {
            event::emit(&Event::AnswerCut {
                request: &self.request,
                why: &error.to_string(),
                read_bytes: flow.read_bytes,
                held_bytes: flow.buffer.get_bytes(),
                is_held_full: !flow.buffer.is_reading(),
                unread_ms: self.node.now().saturating_sub(flow.read_at),
                resting_ms: flow.progress.get_stalled(),
            });
        }
        flow.take(step);
    }

    fn pass_on(&self, flow: &mut Flow, piece: Bytes) -> Bytes {
        flow.progress.record_read(piece.len());
        self.passage.note_piece(self.node.now());
        piece
    }

    /// Notes whether the caller takes what is there, and starts to read ahead where it does not.
    fn look(self: &Arc<Self>, now: Millis) -> ResponseStatus {
        let mut flow = lock(&self.flow);
        let since = now.saturating_sub(flow.looked_at);
        flow.looked_at = now;
        match flow.is_caller_waiting {
            true => flow.progress.reset(),
            false => flow.progress.record_check(since),
        }
        let is_short = !flow.settle();
        // After `due` the source only ends, which needs no room.
        let is_worth_reading = now >= self.due || (flow.buffer.is_reading() && !is_short);
        if flow.is_open() && is_worth_reading && !flow.is_caller_waiting && !flow.is_reading_ahead {
            flow.is_reading_ahead = true;
            let feed = self.clone();
            let reading = future::poll_fn(move |context| feed.poll_ahead(context));
            flow.reading = Some(runtime::spawn_with_handle(reading));
        }
        let (bytes, stalled) = (flow.buffer.get_bytes(), flow.progress.get_stalled());
        let caller = Caller { id: self.id, bytes, stalled };
        ResponseStatus { caller, is_too_slow: flow.progress.is_too_slow(), is_short }
    }

    /// Reads the server until the caller's connection polls, the buffer is full, or the answer has
    /// ended.
    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut flow = lock(&self.flow);
        while !flow.is_caller_waiting && flow.is_open() {
            let now = self.node.now();
            let is_due = now >= self.due;
            if !is_due && (!flow.buffer.is_reading() || !flow.settle()) {
                break;
            }
            let Poll::Ready(step) = flow.poll_source(now, context) else { return Poll::Pending };
            if let Some(Step::Piece(piece)) = &step {
                self.node.metrics.read_ahead.inc_by(piece.len() as u64);
            }
            self.take(&mut flow, step);
        }
        flow.is_reading_ahead = false;
        Poll::Ready(())
    }

    /// Ends the answer and its run at the server, and resets the caller's connection.
    fn disconnect(&self, reason: &'static str) {
        let mut flow = lock(&self.flow);
        self.passage.disconnect();
        let leftover = flow.end();
        flow.error = Some(io::Error::new(io::ErrorKind::TimedOut, reason));
        let peer = flow.peer.take();
        drop(flow);
        drop(leftover);
        if let Some(peer) = peer {
            peer.reset();
        }
    }
}

/// A feed as the body of the caller's response. Dropping it ends the run at the server.
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
        let leftover = lock(&self.0.flow).end();
        drop(leftover);
    }
}
