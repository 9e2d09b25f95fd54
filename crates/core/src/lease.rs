//! Leases with fencing tokens.
//!
//! A lease is a row of the table service; the row's version is the fencing token. The holder
//! measures the lease on its own monotonic clock from the moment *before* it sent its request,
//! minus a margin, and checks it just before every order. A holder that was suspended past the end
//! of its lease therefore sends nothing.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// A lease, as stored in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The node that holds the lease.
    pub holder: String,
    /// Duration of the lease from each renewal, in milliseconds.
    pub length_ms: Millis,
    /// A number that changes with each renewal, so that watchers can see that the holder is alive.
    pub renewal: u64,
}

/// A lease, as seen by its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    fence: u64,
    requested_at: Millis,
    length: Millis,
    margin: Millis,
}

impl Lease {
    /// Creates a lease that was requested at `requested_at` and granted with a fencing token.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the margin is not shorter than the lease.
    pub fn new(fence: u64, requested_at: Millis, length: Millis, margin: Millis) -> Self {
        debug_assert!(
            margin < length,
            "the margin must be shorter than the lease: lengthen the lease"
        );
        Self { fence, requested_at, length, margin }
    }

    /// Returns the fencing token to send with an order, or `None` once the lease may have expired.
    pub fn get_fence(&self, now: Millis) -> Option<u64> {
        let until = self.requested_at + self.length - self.margin;
        (now < until).then_some(self.fence)
    }

    /// Returns `true` if the lease is due for renewal.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        now >= self.requested_at + self.length / 3
    }
}

/// Watches another node's lease in order to take it over once it expires.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watcher {
    seen: Option<(u64, Millis)>,
}

impl Watcher {
    /// Records the row's version and returns `true` if the lease has certainly expired.
    ///
    /// The lease is measured from when this watcher first saw the version, so no clocks are compared.
    /// `order_timeout` is added where servers do not check fencing tokens.
    pub fn is_lapsed(
        &mut self,
        now: Millis,
        version: u64,
        row: &Row,
        order_timeout: Millis,
    ) -> bool {
        match self.seen {
            Some((seen, since)) if seen == version => now >= since + row.length_ms + order_timeout,
            _ => {
                self.seen = Some((version, now));
                false
            }
        }
    }
}
