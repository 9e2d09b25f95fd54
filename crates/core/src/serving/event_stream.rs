//! Splits event streams into events and checks their order.
//!
//! A server may stop in the middle of an event. If another server resumes the stream, only complete
//! events may be passed on, each number once and in order.

use bytes::{Bytes, BytesMut};

/// A complete event, and its number if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in the event's `id` line.
    pub id: Option<u64>,
    /// The event's bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.searched = 0;
        Some(Event { id: read_id(&bytes), bytes })
    }

    /// Returns the bytes of an incomplete event.
    pub fn get_rest(&self) -> &[u8] {
        &self.pending
    }

    /// Finds the end of the blank line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.searched;
        while let Some(length) = self.pending[line_start..].iter().position(|b| *b == b'\n') {
            let line = &self.pending[line_start..line_start + length];
            line_start += length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(line_start);
            }
        }
        self.searched = line_start;
        None
    }
}

/// Reads the number of an event's `id` line.
fn read_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.into_iter().find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

/// The sequence of the events of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    last: Option<u64>,
}

/// The result of checking an event's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// The event is the next one: pass it on.
    Next,
    /// The event was passed on before.
    Duplicate,
    /// An event before this one is missing.
    Gap,
}

impl Sequence {
    /// Starts a sequence after the last event that the caller has received.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that was passed on.
    pub fn get_last(&self) -> Option<u64> {
        self.last
    }

    /// Checks the number of an event, and records it if it is the next one.
    pub fn check(&mut self, id: u64) -> SequenceCheck {
        match self.last {
            Some(last) if id <= last => SequenceCheck::Duplicate,
            Some(last) if id > last + 1 => SequenceCheck::Gap,
            _ => {
                self.last = Some(id);
                SequenceCheck::Next
            }
        }
    }
}
