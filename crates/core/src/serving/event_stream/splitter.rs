//! Splits the bytes of a stream into events.

use bytes::{Bytes, BytesMut};

use super::scanner::Scanner;

/// The maximum number of bytes of an incomplete event that are kept until the event is complete.
pub const MAX_PENDING_BYTES: usize = 64 * 1024;
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// An event or a part of it. Comments and blank lines between two events are forwarded together, like
/// an event without a number.
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
        let end = self.find_end();
        let length = end.unwrap_or(self.pending.len());
        if end.is_none() && length <= MAX_PENDING_BYTES {
            return None;
        }
        self.scanned -= length;
        let bytes = self.pending.split_to(length).freeze();
        Some(Event { id: read_id(&bytes), bytes, is_complete: end.is_some() })
    }

    /// Returns the end of the first event, or of the comments and blank lines before it.
    fn find_end(&mut self) -> Option<usize> {
        let mut end = None;
        while end.is_none() || self.is_between_events() {
            let Some(read) = self.scanner.read_to_boundary(&self.pending[self.scanned..]) else {
                self.scanned = self.pending.len();
                break;
            };
            self.scanned += read;
            end = Some(self.scanned);
            if self.scanner.is_after_event() {
                break;
            }
        }
        end
    }

    /// Returns `true` if the next byte belongs to a comment or a blank line.
    fn is_between_events(&self) -> bool {
        matches!(self.pending.get(self.scanned), Some(b':' | b'\n' | b'\r'))
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
