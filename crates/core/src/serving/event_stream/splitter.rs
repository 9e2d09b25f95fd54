//! Splits the bytes of a stream into events.

use bytes::{Bytes, BytesMut};

use super::scanner::Scanner;

const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// A complete event, and its number if it has one. A comment or a blank line between two events is
/// passed on like an event without a number.
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
    scanner: Scanner,
    /// The number of pending bytes that the scanner has read.
    scanned: usize,
}

impl Splitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        match self.scanner.read_to_boundary(&self.pending[self.scanned..]) {
            Some(read) => {
                let bytes = self.pending.split_to(self.scanned + read).freeze();
                self.scanned = 0;
                Some(Event { id: read_id(&bytes), bytes })
            }
            None => {
                self.scanned = self.pending.len();
                None
            }
        }
    }

    /// Returns the bytes of an incomplete event.
    pub fn get_rest(&self) -> &[u8] {
        &self.pending
    }
}

/// Reads the number of an event's `id` line.
fn read_id(event: &[u8]) -> Option<u64> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
