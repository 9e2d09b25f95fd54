//! The body of an answer between its server and its caller.
//!
//! While the caller keeps up, its connection reads the server itself: no task and no copy lies
//! between them. Where the caller has not asked for more by the next look, a task reads ahead into a
//! buffer, whose bytes are reserved, until the caller asks again.
//!
//! Invariants: bytes leave in the order in which they came; only one of both sides reads the server
//! at a time, under the lock; what was not passed on to its end cuts the caller's connection.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll};

use async_executor::Task;
use bytes::Bytes;
use futures_lite::{Stream, future};
use keeljunction_core::Millis;
use keeljunction_core::serving::memory::Kind;
use keeljunction_core::serving::read_ahead::{Buffer, Caller, Progress, get_bound};

use super::respond::{Passage, Record};
use super::source::{Source, Step};
use crate::http::{Body, Peer};
use crate::node::{Node, Reservation};
use crate::runtime::{self, lock};

/// Bytes that are given to a caller's connection at a time. What it has been given is out of sight,
/// so that it shows soon whether the caller reads.
const PIECE_BYTES: usize = 16 * 1024;

/// An answer on its way to its caller.
pub struct Feed {
    node: Arc<Node>,
    id: u64,
    request: String,
    passage: Arc<Passage>,
    /// When the server's answer is cut off if it has not ended.
    due: Millis,
    flow: Mutex<Flow>,
}

struct Flow {
    source: Option<Source>,
    /// The record of the request, once its server's answer has ended.
    record: Option<Box<Record>>,
    /// Whether the server's answer has ended.
    is_ended: bool,
    buffer: Buffer,
    held: Reservation,
    error: Option<io::Error>,
    /// Whether the caller has asked for more and waits for the server.
    is_asking: bool,
    /// The task that reads ahead, while [`Flow::is_reading`].
    reader: Option<Task<()>>,
    is_reading: bool,
    progress: Progress,
    looked_at: Millis,
    peer: Option<Peer>,
}

/// What a look at an answer showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Look {
    /// Its caller.
    pub caller: Caller,
    /// Whether the caller takes too little for too long.
    pub is_over: bool,
    /// Whether memory is missing for what was read.
    pub is_short: bool,
}

/// Who reads an answer.
pub(super) struct Reader {
    request: String,
    passage: Arc<Passage>,
    peer: Option<Peer>,
}

impl Reader {
    /// Returns the reader of a request's answer.
    pub fn of(record: &Record) -> Self {
        let (passage, peer) = (record.passage.clone(), record.peer.clone());
        Self { request: record.id.clone(), passage, peer }
    }
}

/// Passes on what a server sends.
pub(super) fn open(node: &Arc<Node>, reader: Reader, source: Source, due: Millis) -> Body {
    let held = Reservation::new(node, Kind::ReadAhead);
    let feed = Feed::new(node, reader, held, due);
    lock(&feed.flow).source = Some(source);
    Body::stream(FeedBody(feed), None)
}

/// Passes on an answer that was read whole, with what is held for it.
pub(super) fn whole(node: &Arc<Node>, bytes: Bytes, held: Reservation, record: Record) -> Body {
    let length = bytes.len() as u64;
    if bytes.len() <= PIECE_BYTES {
        return Body::from(bytes);
    }
    let feed = Feed::new(node, Reader::of(&record), held, Millis::MAX);
    let mut flow = lock(&feed.flow);
    flow.buffer.push(bytes);
    flow.record = Some(Box::new(record));
    flow.is_ended = true;
    drop(flow);
    Body::stream(FeedBody(feed), Some(length))
}

impl Feed {
    fn new(node: &Arc<Node>, reader: Reader, held: Reservation, due: Millis) -> Arc<Self> {
        let Reader { request, passage, peer } = reader;
        passage.open();
        let bound = get_bound(node.with(|state| state.memory.get_capacity()));
        let flow = Flow {
            source: None,
            record: None,
            is_ended: false,
            buffer: Buffer::new(bound),
            held,
            error: None,
            is_asking: false,
            reader: None,
            is_reading: false,
            progress: Progress::default(),
            looked_at: node.now(),
            peer,
        };
        let flow = Mutex::new(flow);
        node.feeds.add(|id| Self { node: node.clone(), id, request, passage, due, flow })
    }

    /// Returns the id of the request.
    pub(super) fn get_request(&self) -> &str {
        &self.request
    }

    /// Gives the caller what is there, or asks the server for more.
    fn poll_next(&self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut flow = lock(&self.flow);
        flow.is_asking = false;
        if flow.buffer.is_empty() && flow.is_open() {
            match flow.poll_source(context) {
                Poll::Pending => {
                    flow.is_asking = true;
                    flow.progress.note_asked();
                    // The reader would wait for a wake-up that now goes to the caller.
                    flow.reader = None;
                    flow.is_reading = false;
                    return Poll::Pending;
                }
                Poll::Ready(Some(Step::Piece(piece))) if piece.len() <= PIECE_BYTES => {
                    return Poll::Ready(Some(Ok(self.pass_on(&mut flow, piece))));
                }
                Poll::Ready(step) => flow.take(step),
            }
        }
        if let Some(piece) = flow.buffer.pop(PIECE_BYTES) {
            flow.settle();
            if flow.buffer.is_empty() && flow.is_ended && flow.error.is_none() {
                // Nobody asks for more where the length is known.
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

    fn pass_on(&self, flow: &mut Flow, piece: Bytes) -> Bytes {
        flow.progress.note_taken(piece.len());
        self.passage.note_piece(self.node.now());
        piece
    }

    /// Looks whether the caller takes what is there, and reads ahead where it does not.
    pub(super) fn look(self: &Arc<Self>, now: Millis) -> Look {
        let mut flow = lock(&self.flow);
        let since = now.saturating_sub(flow.looked_at);
        flow.looked_at = now;
        match flow.is_asking {
            true => flow.progress.note_asked(),
            false => flow.progress.note_look(since),
        }
        let is_short = !flow.settle();
        // Once the time is over, the source only ends, for which no room is needed.
        let is_worth_reading = now >= self.due || (flow.buffer.is_reading() && !is_short);
        if flow.is_open() && is_worth_reading && !flow.is_asking && !flow.is_reading {
            flow.is_reading = true;
            let feed = self.clone();
            let reading = future::poll_fn(move |context| feed.poll_ahead(context));
            flow.reader = Some(runtime::task(reading));
        }
        let (bytes, resting) = (flow.buffer.get_bytes(), flow.progress.get_resting());
        let caller = Caller { id: self.id, bytes, resting };
        Look { caller, is_over: flow.progress.is_too_slow(), is_short }
    }

    /// Reads the server until the caller asks, the buffer is full, or the answer has ended.
    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut flow = lock(&self.flow);
        while !flow.is_asking && flow.is_open() {
            let is_due = self.node.now() >= self.due;
            if !is_due && (!flow.buffer.is_reading() || !flow.settle()) {
                break;
            }
            let Poll::Ready(step) = flow.poll_source(context) else { return Poll::Pending };
            if let Some(Step::Piece(piece)) = &step {
                self.node.metrics.read_ahead.inc_by(piece.len() as u64);
            }
            flow.take(step);
        }
        flow.is_reading = false;
        Poll::Ready(())
    }

    /// Ends the answer and its run; its caller's connection is cut.
    pub(super) fn disconnect(&self, reason: &'static str) {
        let mut flow = lock(&self.flow);
        self.passage.disconnect();
        let ended = flow.end();
        flow.error = Some(io::Error::new(io::ErrorKind::TimedOut, reason));
        let peer = flow.peer.take();
        drop(flow);
        drop(ended);
        if let Some(peer) = peer {
            peer.cut();
        }
    }
}

impl Flow {
    /// Returns `true` if more may come of the server.
    fn is_open(&self) -> bool {
        self.source.is_some() && !self.is_ended && self.error.is_none()
    }

    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Step>> {
        match self.source.as_mut() {
            Some(source) => source.as_mut().poll_next(context),
            None => Poll::Ready(None),
        }
    }

    /// Takes what came of the server.
    fn take(&mut self, step: Option<Step>) {
        match step {
            Some(Step::Piece(piece)) => self.buffer.push(piece),
            Some(Step::End(end, record)) => {
                self.is_ended = true;
                self.error = end.err();
                self.record = Some(record);
            }
            None => self.is_ended = true,
        }
        self.settle();
    }

    /// Reserves what the buffer holds, or releases what it holds no longer; returns `false` where
    /// there is no room.
    fn settle(&mut self) -> bool {
        let (bytes, reserved) = (self.buffer.get_bytes() as u64, self.held.get_bytes());
        if reserved > bytes {
            self.held.shrink(reserved - bytes);
        }
        reserved >= bytes || self.held.grow(bytes - reserved)
    }

    /// Takes out all that must be dropped outside the lock.
    fn end(&mut self) -> (Option<Source>, Option<Box<Record>>, Option<Task<()>>) {
        self.buffer = Buffer::new(0);
        self.settle();
        (self.source.take(), self.record.take(), self.reader.take())
    }
}

/// The caller's side of a feed. The run ends when it is dropped.
struct FeedBody(Arc<Feed>);

impl Stream for FeedBody {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_next(context)
    }
}

impl Drop for FeedBody {
    fn drop(&mut self) {
        self.0.node.feeds.remove(self.0.id);
        let ended = lock(&self.0.flow).end();
        drop(ended);
    }
}

/// All answers on their way.
#[derive(Default)]
pub struct Feeds(Mutex<Known>);

#[derive(Default)]
struct Known {
    next: u64,
    feeds: std::collections::HashMap<u64, Weak<Feed>>,
}

impl Feeds {
    fn add(&self, make: impl FnOnce(u64) -> Feed) -> Arc<Feed> {
        let mut known = lock(&self.0);
        known.next += 1;
        let id = known.next;
        let feed = Arc::new(make(id));
        known.feeds.insert(id, Arc::downgrade(&feed));
        feed
    }

    fn remove(&self, id: u64) {
        lock(&self.0).feeds.remove(&id);
    }

    /// Lists them.
    pub(super) fn list(&self) -> Vec<Arc<Feed>> {
        lock(&self.0).feeds.values().filter_map(Weak::upgrade).collect()
    }
}
