//! Read-ahead: how much of a response is read before its caller takes it, and when a caller is
//! disconnected.
//!
//! A response is read as fast as its server sends it, so that a caller's pause neither loses the
//! response nor keeps a slot of the server. Bytes that the caller has not read yet are buffered up
//! to a limit. Reading then stops until the caller has read half of them. A caller that reads next
//! to nothing of its buffer is disconnected.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::Millis;

/// The number of full buffers that use up a node's memory for callers and servers. Eight callers
/// may stall at the same time before the memory is used up, and a single one cannot use all of it.
const FULL_BUFFERS: u64 = 8;
/// The most bytes that one read of a response returns: as many as the HTTP library reads at a time.
/// Reading continues only if they fit.
pub const READ_BYTES: usize = 420 * 1024;
/// The time within which a caller must read [`MIN_PROGRESS_BYTES`] of its buffer, in milliseconds:
/// longer than a person's pause or the retransmissions of a lost packet, shorter than most callers'
/// deadlines.
pub const PROGRESS_TIMEOUT_MS: Millis = 10_000;
/// Bytes that a caller must read within [`PROGRESS_TIMEOUT_MS`]. At this rate a response of 100 kB
/// is buffered for an hour.
pub const MIN_PROGRESS_BYTES: usize = 256;
/// How long a caller must have read nothing to be disconnected under memory pressure or when the
/// node is about to stop, in milliseconds: a caller that reads at all reads something within this
/// time.
pub const STALL_TIMEOUT_MS: Millis = 1_000;
/// The longest time that one check of a caller counts for. After a pause of the whole process, the
/// silence of its callers means nothing.
const MAX_CHECK_INTERVAL_MS: Millis = 500;

/// Returns the bytes that a node may buffer of one response, given its `capacity` for all of them.
pub fn get_limit(capacity: u64) -> usize {
    usize::try_from(capacity / FULL_BUFFERS).unwrap_or(usize::MAX)
}

/// The bytes of a response that its caller has not read yet.
#[derive(Clone, Debug)]
pub struct Buffer {
    limit: usize,
    chunks: VecDeque<Bytes>,
    bytes: usize,
    is_full: bool,
}

impl Buffer {
    /// Creates an empty buffer for up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, chunks: VecDeque::new(), bytes: 0, is_full: false }
    }

    /// Returns the number of buffered bytes.
    pub fn get_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns `true` if the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns `true` if more may be read from the server.
    ///
    /// Once the buffer was full, reading resumes only when half of it was taken, not for each
    /// chunk.
    pub fn is_reading(&self) -> bool {
        !self.is_full
    }

    /// Adds a chunk of at most [`READ_BYTES`].
    pub fn push(&mut self, chunk: Bytes) {
        self.bytes += chunk.len();
        self.chunks.push_back(chunk);
        self.is_full = self.bytes + READ_BYTES > self.limit;
    }

    /// Takes up to `max` bytes from the front, or returns `None` if the buffer is empty.
    pub fn pop(&mut self, max: usize) -> Option<Bytes> {
        let first = self.chunks.front_mut()?;
        let chunk = match first.len() > max {
            true => first.split_to(max),
            false => self.chunks.pop_front()?,
        };
        self.bytes -= chunk.len();
        self.is_full &= self.bytes > self.limit / 2;
        Some(chunk)
    }
}

/// The progress of a caller in reading its buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Time for which bytes were buffered and the caller read none, in milliseconds.
    stalled: Millis,
    /// Time since the caller last read [`MIN_PROGRESS_BYTES`], in milliseconds.
    since_progress: Millis,
    /// Bytes read in that time.
    read_bytes: usize,
}

impl Progress {
    /// Records that the caller read bytes.
    pub fn record_read(&mut self, bytes: usize) {
        self.stalled = 0;
        self.read_bytes += bytes;
        if self.read_bytes >= MIN_PROGRESS_BYTES {
            *self = Self::default();
        }
    }

    /// Records a check of a caller that has not polled since it read the last chunk. `since` is the
    /// time since the previous check, in milliseconds.
    pub fn record_check(&mut self, since: Millis) {
        let since = since.min(MAX_CHECK_INTERVAL_MS);
        self.stalled += since;
        self.since_progress += since;
    }

    /// Resets the progress, because the caller waits for the server.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the time for which the caller has read nothing, in milliseconds.
    pub fn get_stalled(&self) -> Millis {
        self.stalled
    }

    /// Returns `true` if the caller read too little for too long.
    pub fn is_too_slow(&self) -> bool {
        self.since_progress >= PROGRESS_TIMEOUT_MS
    }
}

/// A caller with buffered bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The caller's number, unique within the node.
    pub id: u64,
    /// The bytes that are buffered for it.
    pub bytes: usize,
    /// The time for which it has read nothing, in milliseconds.
    pub stalled: Millis,
}

/// Picks the callers to disconnect to free `shortfall` bytes: the stalled ones, the slowest and
/// largest first. A caller that is reading is never picked.
pub fn pick_stalled(callers: &[Caller], shortfall: usize) -> Vec<u64> {
    let mut stalled: Vec<&Caller> =
        callers.iter().filter(|c| c.bytes > 0 && c.stalled >= STALL_TIMEOUT_MS).collect();
    stalled.sort_unstable_by_key(|c| std::cmp::Reverse((c.bytes as u64 * c.stalled, c.id)));
    let mut freed = 0;
    let mut picked = Vec::new();
    for caller in stalled {
        if freed >= shortfall {
            break;
        }
        freed += caller.bytes;
        picked.push(caller.id);
    }
    picked
}
