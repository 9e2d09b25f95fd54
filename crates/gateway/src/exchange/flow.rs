//! The state of an answer between its server and its caller: what was read, and what is left to read.

use std::io;
use std::task::{Context, Poll};

use async_executor::Task;
use keeljunction_core::Millis;
use keeljunction_core::serving::read_ahead::{Buffer, Progress};

use super::respond::Record;
use super::source::{Source, Step};
use crate::http::ConnectionHandle;
use crate::node::Reservation;

/// The state of an answer, which the caller's connection and the task that reads ahead share.
pub(super) struct Flow {
    /// The server's answer; `None` where it was read whole before.
    pub source: Option<Source>,
    /// The record of the request, once its server's answer has ended.
    pub record: Option<Box<Record>>,
    /// Whether the server's answer has ended.
    pub is_ended: bool,
    /// What was read and the caller has not taken.
    pub buffer: Buffer,
    /// The memory that is reserved for the buffer.
    pub held: Reservation,
    /// Why the answer is cut, until the caller's connection gets the error.
    pub error: Option<io::Error>,
    /// Whether the caller's connection has polled for more and waits for the server.
    pub is_caller_waiting: bool,
    /// The task that reads ahead, while [`Flow::is_reading_ahead`].
    pub reading: Option<Task<()>>,
    /// Whether a task reads ahead.
    pub is_reading_ahead: bool,
    /// How the caller takes the answer.
    pub progress: Progress,
    /// The time of the last look.
    pub looked_at: Millis,
    /// Bytes of the answer that were read from its server.
    pub read_bytes: u64,
    /// When the server last sent some of them.
    pub read_at: Millis,
    /// The caller's connection.
    pub peer: Option<ConnectionHandle>,
}

/// What is left of an answer. It is dropped after the lock on its flow is released, because its drop
/// takes other locks.
pub(super) struct Leftover {
    _source: Option<Source>,
    _record: Option<Box<Record>>,
    _reading: Option<Task<()>>,
}

impl Flow {
    /// Makes the state of an answer of which nothing was read.
    pub fn new(
        buffer: Buffer,
        held: Reservation,
        peer: Option<ConnectionHandle>,
        now: Millis,
    ) -> Self {
        Self {
            source: None,
            record: None,
            is_ended: false,
            buffer,
            held,
            error: None,
            is_caller_waiting: false,
            reading: None,
            is_reading_ahead: false,
            progress: Progress::default(),
            looked_at: now,
            read_bytes: 0,
            read_at: now,
            peer,
        }
    }

    /// Returns `true` if the server may send more.
    pub fn is_open(&self) -> bool {
        self.source.is_some() && !self.is_ended && self.error.is_none()
    }

    /// Polls the server for the next step of its answer.
    pub fn poll_source(&mut self, now: Millis, context: &mut Context<'_>) -> Poll<Option<Step>> {
        let Some(source) = self.source.as_mut() else { return Poll::Ready(None) };
        let polled = source.as_mut().poll_next(context);
        if let Poll::Ready(Some(Step::Piece(piece))) = &polled {
            self.read_bytes += piece.len() as u64;
            self.read_at = now;
        }
        polled
    }

    /// Puts a piece into the buffer, or notes the end.
    pub fn take(&mut self, step: Option<Step>) {
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

    /// Fits the reservation to the buffer; returns `false` where there is no room to grow it.
    pub fn settle(&mut self) -> bool {
        let (bytes, reserved) = (self.buffer.get_bytes() as u64, self.held.get_bytes());
        if reserved > bytes {
            self.held.shrink(reserved - bytes);
        }
        reserved >= bytes || self.held.grow(bytes - reserved)
    }

    /// Empties the buffer and takes out what must be dropped outside the lock.
    #[must_use]
    pub fn end(&mut self) -> Leftover {
        self.buffer = Buffer::new(0);
        self.settle();
        Leftover {
            _source: self.source.take(),
            _record: self.record.take(),
            _reading: self.reading.take(),
        }
    }
}
