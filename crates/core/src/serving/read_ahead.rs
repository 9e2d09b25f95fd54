//! How much of an answer is read before its caller takes it, and when a caller is disconnected.
//!
//! An answer is read as fast as its server sends it, so that a caller's pause neither costs the
//! answer nor keeps the server's slot. What the caller has not taken is held up to a bound; then
//! reading stops until the caller has taken half of it. A caller that takes next to nothing of what
//! is held for it is disconnected.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::Millis;

/// How many answers at their bound fill a node's memory for callers and servers: eight callers may
/// rest at the same time before the memory is used up, and one alone cannot take it.
const ANSWERS_HELD: u64 = 8;
/// Bytes that one read of an answer may bring: as much as the HTTP library reads at a time. Reading
/// goes on only where they fit.
pub const READ_BYTES: usize = 420 * 1024;
/// The time within which a caller must take [`MIN_PROGRESS_BYTES`] of what is held for it, in milliseconds:
/// longer than a person's pause or a lost packet's repeats, shorter than most callers' deadlines.
pub const PROGRESS_TIMEOUT: Millis = 10_000;
/// Bytes that a caller must take within [`PROGRESS_TIMEOUT`]. At this rate an answer of 100 kB is held
/// for an hour.
pub const MIN_PROGRESS_BYTES: usize = 256;
/// How long a caller must have taken nothing to be disconnected where memory is short or the node
/// is about to stop, in milliseconds: a caller that reads at all takes something within it.
pub const STALL_TIMEOUT: Millis = 1_000;
/// The longest time that one look at a caller counts for, in milliseconds. After a pause of the whole
/// process, its callers' silence says nothing of them.
const LONGEST_LOOK: Millis = 500;

/// Returns the bytes that a node may hold of one answer, where it may hold `capacity` bytes in all.
pub fn get_limit(capacity: u64) -> usize {
    usize::try_from(capacity / ANSWERS_HELD).unwrap_or(usize::MAX)
}

/// The part of an answer that was read and that its caller has not taken.
#[derive(Clone, Debug)]
pub struct Buffer {
    bound: usize,
    pieces: VecDeque<Bytes>,
    bytes: usize,
    is_full: bool,
}

impl Buffer {
    /// Makes an empty buffer that holds up to `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Self { bound, pieces: VecDeque::new(), bytes: 0, is_full: false }
    }

    /// Returns the bytes that are held.
    pub fn get_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns `true` if nothing is held.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Returns `true` if more may be read.
    ///
    /// Once the buffer was full, reading goes on when half of it was taken, and not for each piece.
    pub fn is_reading(&self) -> bool {
        !self.is_full
    }

    /// Adds a piece of at most [`READ_BYTES`].
    pub fn push(&mut self, piece: Bytes) {
        self.bytes += piece.len();
        self.pieces.push_back(piece);
        self.is_full = self.bytes + READ_BYTES > self.bound;
    }

    /// Takes the first `most` bytes at most; `None` where nothing is held.
    pub fn pop(&mut self, most: usize) -> Option<Bytes> {
        let first = self.pieces.front_mut()?;
        let piece = match first.len() > most {
            true => first.split_to(most),
            false => self.pieces.pop_front()?,
        };
        self.bytes -= piece.len();
        self.is_full &= self.bytes > self.bound / 2;
        Some(piece)
    }
}

/// How a caller takes what is held for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Time in which bytes were there and the caller took none, in milliseconds.
    resting: Millis,
    /// Time since the caller last took [`MIN_PROGRESS_BYTES`], in milliseconds.
    since_progress: Millis,
    /// Bytes taken meanwhile.
    taken: usize,
}

impl Progress {
    /// Notes that the caller took bytes.
    pub fn record_read(&mut self, bytes: usize) {
        self.resting = 0;
        self.taken += bytes;
        if self.taken >= MIN_PROGRESS_BYTES {
            *self = Self::default();
        }
    }

    /// Notes a look at a caller that has not polled for more since it took the last piece. `since` is
    /// the time since the look before, in milliseconds.
    pub fn record_check(&mut self, since: Millis) {
        let since = since.min(LONGEST_LOOK);
        self.resting += since;
        self.since_progress += since;
    }

    /// Notes that the caller waits for the server.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns how long the caller has taken nothing, in milliseconds.
    pub fn get_stalled(&self) -> Millis {
        self.resting
    }

    /// Returns `true` if the caller took too little for too long.
    pub fn is_too_slow(&self) -> bool {
        self.since_progress >= PROGRESS_TIMEOUT
    }
}

/// A caller for whom bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Its number, unique within the node.
    pub id: u64,
    /// The bytes that are held for it.
    pub bytes: usize,
    /// How long it has taken nothing, in milliseconds.
    pub stalled: Millis,
}

/// Picks the callers to disconnect so that `missing` bytes become free: those that rest, the
/// slowest and largest first. A caller that reads is never picked.
pub fn pick_stalled(callers: &[Caller], missing: usize) -> Vec<u64> {
    let mut resting: Vec<&Caller> =
        callers.iter().filter(|c| c.bytes > 0 && c.stalled >= STALL_TIMEOUT).collect();
    resting.sort_unstable_by_key(|c| std::cmp::Reverse((c.bytes as u64 * c.stalled, c.id)));
    let mut freed = 0;
    let mut picked = Vec::new();
    for caller in resting {
        if freed >= missing {
            break;
        }
        freed += caller.bytes;
        picked.push(caller.id);
    }
    picked
}
