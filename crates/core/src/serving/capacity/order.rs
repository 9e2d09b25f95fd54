//! An order of servers, until they accept requests.

use crate::Millis;

/// How much longer than its boot time an ordered server may take before it is given up.
const BOOT_GRACE_PERIOD_MS: Millis = 3_000;

/// An order of servers of one kind in a data centre that the platform accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    count: u32,
    at: Millis,
    /// The largest number of servers that accepted requests at once since the order. A later drop
    /// is a reclaim.
    max_present: u32,
}

impl Order {
    /// Creates an order of `count` servers while `present` servers accept requests.
    ///
    /// Present servers do not count as starting, even if they are reclaimed right after.
    pub fn new(now: Millis, count: u32, present: u32) -> Self {
        Self { count, at: now, max_present: present }
    }

    /// Returns the number of servers that were ordered.
    pub fn get_count(&self) -> u32 {
        self.count
    }

    /// Records how many servers accept requests now; returns how many are still starting.
    pub fn update(&mut self, now: Millis, present: u32, boot: Millis) -> u32 {
        self.max_present = self.max_present.max(present);
        let is_booting = now < self.at + boot + BOOT_GRACE_PERIOD_MS;
        if is_booting { self.count.saturating_sub(self.max_present) } else { 0 }
    }
}
