//! Splits the bytes of a stream into events.

use bytes::{Bytes, BytesMut};

use super::scanner::Scanner;

/// The maximum number of bytes of an incomplete event that are kept until the event is complete.
pub const MAX_PENDING_BYTES: usize = 64 * 1024;
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// An event or a part of it. A comment or a blank line between two events is forwarded like an event
/// without a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in the event's `id` line, if these bytes contain that line.
    pub id: Option<u64>,
    /// The event's bytes, with the blank line that ends it if the event is complete.
    pub bytes: Bytes,
    /// Whether the event ends with these bytes. The parts of a longer event than
    /// [`MAX_PENDING_BYTES`] are forwarded as they arrive.
    pub is_complete: bool,
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

    /// Returns the next complete event, or the next part of a long one.
    pub fn next_event(&mut self) -> Option<Event> {
        let read = self.scanner.read_to_boundary(&self.pending[self.scanned..]);
        let length = read.map_or(self.pending.len(), |read| self.scanned + read);
        if read.is_none() && length <= MAX_PENDING_BYTES {
            self.scanned = length;
            return None;
        }
        self.scanned = 0;
        let bytes = self.pending.split_to(length).freeze();
        Some(Event { id: read_id(&bytes), bytes, is_complete: read.is_some() })
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
