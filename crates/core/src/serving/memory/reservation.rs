//! Reservations of memory and their owners.

use super::kind::Kind;
use crate::Millis;

/// The longest small body. Most requests are small, and hundreds of them fit in their pool.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// How long nothing of an upload may arrive before it is stalled: several round trips of a poor
/// mobile link.
const STALL_TIMEOUT_MS: Millis = 400;

/// Identifies a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub(super) u64);

/// Who requests a reservation, and what for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester<'a> {
    /// What the bytes are reserved for.
    pub kind: Kind,
    /// The client account, or an empty string if there is none.
    pub account: &'a str,
    /// The request's urgency; 0 is the most urgent.
    pub urgency: u32,
}

/// The bytes reserved for a body, a response or the node itself.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) kind: Kind,
    pub(super) account: String,
    pub(super) urgency: u32,
    pub(super) reserved: u64,
    /// Bytes of a body that have arrived.
    pub(super) received: u64,
    /// When the last bytes of the body arrived.
    pub(super) progressed_at: Millis,
    /// Whether bytes of the body are still missing.
    pub(super) is_uploading: bool,
    /// Whether it was picked for eviction.
    pub(super) is_evicted: bool,
    /// Whether it is a body that has been small so far.
    pub(super) is_small: bool,
}

impl Reservation {
    /// Returns `true` if the body is still small with `bytes` more bytes.
    pub(super) fn is_small_with(&self, bytes: u64) -> bool {
        self.is_small && self.reserved.saturating_add(bytes) <= SMALL_BODY_BYTES
    }

    /// Returns `true` if bytes of the body are missing and none have arrived for a while.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        let idle = now.saturating_sub(self.progressed_at);
        self.is_uploading && !self.is_evicted && idle >= STALL_TIMEOUT_MS
    }

    /// Returns the bytes that are reserved but not in use yet.
    pub(super) fn get_untouched(&self) -> u64 {
        if self.is_uploading { self.reserved.saturating_sub(self.received) } else { 0 }
    }
}
