//! Who holds bytes, and how many.

use super::kind::Kind;
use crate::Millis;

/// Bodies up to this length are small: most requests are, and hundreds of them fit in their pool.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// An upload of which nothing came for this time rests: several round trips of a poor mobile link.
const RESTS_AFTER: Millis = 400;

/// Names a holder of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub(super) u64);

/// Who wants to hold bytes, and what for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester<'a> {
    /// What for.
    pub kind: Kind,
    /// The client account; empty where there is none.
    pub account: &'a str,
    /// The request's urgency; 0 is the most urgent.
    pub urgency: u32,
}

/// A body, an answer or a part of the node itself for which bytes are held.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) kind: Kind,
    pub(super) account: String,
    pub(super) urgency: u32,
    pub(super) reserved: u64,
    /// Bytes of a body that have come.
    pub(super) received: u64,
    /// When bytes of the body came last.
    pub(super) progressed_at: Millis,
    /// Whether bytes of the body are still to come.
    pub(super) is_uploading: bool,
    /// Whether it was picked to make room.
    pub(super) is_evicted: bool,
    /// Whether it is a body that is small up to now.
    pub(super) is_small: bool,
}

impl Reservation {
    /// Returns `true` if the body is still small with so many bytes more.
    pub(super) fn is_small_with(&self, bytes: u64) -> bool {
        self.is_small && self.reserved.saturating_add(bytes) <= SMALL_BODY_BYTES
    }

    /// Returns `true` if bytes of the body are to come and none came for a while.
    pub(super) fn is_resting(&self, now: Millis) -> bool {
        let rested = now.saturating_sub(self.progressed_at);
        self.is_uploading && !self.is_evicted && rested >= RESTS_AFTER
    }

    /// Returns the bytes that are reserved and that no memory was taken for yet.
    pub(super) fn get_untouched(&self) -> u64 {
        if self.is_uploading { self.reserved.saturating_sub(self.received) } else { 0 }
    }
}
