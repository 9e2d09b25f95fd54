//! Where the events of a stream begin and end.
//!
//! A server may stop in the middle of an event. Where another server goes on, only whole events
//! may be passed on, each number once and in order.

use bytes::{Bytes, BytesMut};

/// A whole event with its blank line, and its number where it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number of the event's `id` line.
    pub id: Option<u64>,
    /// The event's bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Cuts the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.searched = 0;
        Some(Event { id: read_id(&bytes), bytes })
    }

    /// Returns the bytes of an event that has not ended.
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

/// Which event of a stream comes next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    last: Option<u64>,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// It comes next: pass it on.
    Next,
    /// It was passed on before.
    Duplicate,
    /// One before it is missing.
    Gap,
}

impl Sequence {
    /// Starts a sequence after the event that the caller has got already.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that was passed on.
    pub fn get_last(&self) -> Option<u64> {
        self.last
    }

    /// Judges the number of an event.
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
