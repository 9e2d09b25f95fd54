//! Whether a holder may still act.
//!
//! A lease is a row of the table service; the row's version is its fence. The holder counts from
//! the moment *before* its request, on its own monotonic clock, less a margin, and checks that just
//! before every order: a holder that slept past its lease sends nothing.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// A lease, as the table service keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The node that holds it.
    pub holder: String,
    /// How long it is held from each renewal, in milliseconds.
    pub length_ms: Millis,
    /// A number that each renewal changes, so that watchers see it live.
    pub renewal: u64,
}

/// What a holder knows of its own lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    fence: u64,
    asked_at: Millis,
    length: Millis,
    margin: Millis,
}

impl Lease {
    /// Records a lease that was requested at `asked_at` and granted with a fence.
    ///
    /// # Panics
    ///
    /// In debug builds, where the margin is not shorter than the lease.
    pub fn new(fence: u64, asked_at: Millis, length: Millis, margin: Millis) -> Self {
        debug_assert!(
            margin < length,
            "the margin must be shorter than the lease: lengthen the lease"
        );
        Self { fence, asked_at, length, margin }
    }

    /// Returns the fence to send with an order, or `None` once the lease may have lapsed.
    pub fn get_fence(&self, now: Millis) -> Option<u64> {
        let until = self.asked_at + self.length - self.margin;
        (now < until).then_some(self.fence)
    }

    /// Returns `true` if it is time to renew.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        now >= self.asked_at + self.length / 3
    }
}

/// Watches another node's lease, to take it over when it lapses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watcher {
    seen: Option<(u64, Millis)>,
}

impl Watcher {
    /// Notes the row's version; returns `true` if the lease has lapsed for certain.
    ///
    /// The lease counts from when this watcher first saw the version, so no clocks are compared.
    /// `longest_order` is waited out besides where servers do not check fences.
    pub fn is_lapsed(
        &mut self,
        now: Millis,
        version: u64,
        row: &Row,
        longest_order: Millis,
    ) -> bool {
        match self.seen {
            Some((seen, since)) if seen == version => now >= since + row.length_ms + longest_order,
            _ => {
                self.seen = Some((version, now));
                false
            }
        }
    }
}
