//! State of a response body that is being forwarded.

use std::io;
use std::task::{Context, Poll};

use async_executor::Task;
use keeljunction_core::Millis;
use keeljunction_core::serving::read_ahead::{Buffer, Progress};

use super::respond::RequestRecord;
use super::source::{BodyEvent, Source};
use crate::http::ConnectionHandle;
use crate::node::ReservationGuard;

/// State of a response body, shared by the caller's connection and the read-ahead task.
pub(super) struct Flow {
    /// The server's response, or `None` if it was read completely beforehand.
    pub source: Option<Source>,
    /// The record of the request, once the server's response has ended.
    pub record: Option<Box<RequestRecord>>,
    /// Whether the server's response has ended.
    pub is_ended: bool,
    /// Data read from the server and not yet taken by the caller.
    pub buffer: Buffer,
    /// Memory reserved for the buffer.
    pub reservation: ReservationGuard,
    /// Error that interrupted the response, until the caller's connection receives it.
    pub error: Option<io::Error>,
    /// Whether the caller's connection has polled for more and waits for the server.
    pub is_caller_waiting: bool,
    /// The read-ahead task, while [`Flow::is_reading_ahead`] is set.
    pub read_ahead_task: Option<Task<()>>,
    /// Whether the read-ahead task is running.
    pub is_reading_ahead: bool,
    /// Progress of the caller in reading the response.
    pub progress: Progress,
    /// Time of the last check.
    pub checked_at: Millis,
    /// Bytes of the response that were read from the server.
    pub read_bytes: u64,
    /// Time at which the server last sent data.
    pub last_read_at: Millis,
    /// The caller's connection.
    pub connection: Option<ConnectionHandle>,
}

/// Parts of a closed flow that are dropped after its lock is released, because dropping them takes
/// other locks.
pub(super) struct DeferredDrop {
    _source: Option<Source>,
    _record: Option<Box<RequestRecord>>,
    _read_ahead_task: Option<Task<()>>,
}

impl Flow {
    /// Creates the state of an unread response.
    pub fn new(
        buffer: Buffer,
        reservation: ReservationGuard,
        connection: Option<ConnectionHandle>,
        now: Millis,
    ) -> Self {
        Self {
            source: None,
            record: None,
            is_ended: false,
            buffer,
            reservation,
            error: None,
            is_caller_waiting: false,
            read_ahead_task: None,
            is_reading_ahead: false,
            progress: Progress::default(),
            checked_at: now,
            read_bytes: 0,
            last_read_at: now,
            connection,
        }
    }

    /// Returns `true` if the server may send more data.
    pub fn is_open(&self) -> bool {
        self.source.is_some() && !self.is_ended && self.error.is_none()
    }

    /// Polls the server for the next event of its response.
    pub fn poll_source(
        &mut self,
        now: Millis,
        context: &mut Context<'_>,
    ) -> Poll<Option<BodyEvent>> {
        let Some(source) = self.source.as_mut() else { return Poll::Ready(None) };
        let polled = source.as_mut().poll_next(context);
        if let Poll::Ready(Some(BodyEvent::Chunk(chunk))) = &polled {
            self.read_bytes += chunk.len() as u64;
            self.last_read_at = now;
        }
        polled
    }

    /// Appends a chunk to the buffer, or records the end of the response.
    pub fn push(&mut self, event: Option<BodyEvent>) {
        match event {
            Some(BodyEvent::Chunk(chunk)) => self.buffer.push(chunk),
            Some(BodyEvent::End(result, record)) => {
                self.is_ended = true;
                self.error = result.err();
                self.record = Some(record);
            }
            None => self.is_ended = true,
        }
        self.adjust_reservation();
    }

    /// Adjusts the reservation to the buffer size. Returns `false` if it cannot grow.
    pub fn adjust_reservation(&mut self) -> bool {
        let (bytes, reserved) = (self.buffer.get_bytes() as u64, self.reservation.get_bytes());
        if reserved > bytes {
            self.reservation.shrink(reserved - bytes);
        }
        reserved >= bytes || self.reservation.grow(bytes - reserved)
    }

    /// Clears the buffer and returns the parts that must be dropped outside the lock.
    #[must_use]
    pub fn close(&mut self) -> DeferredDrop {
        self.buffer = Buffer::new(0);
        self.adjust_reservation();
        DeferredDrop {
            _source: self.source.take(),
            _record: self.record.take(),
            _read_ahead_task: self.read_ahead_task.take(),
        }
    }
}
