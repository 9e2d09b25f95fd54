//! An order of servers, until they accept requests.

use crate::Millis;

/// How much longer than its boot an ordered server may take before it is given up, in milliseconds.
const BOOT_SLACK: Millis = 3_000;

/// An order of servers of one kind in a data centre that the platform took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    count: u32,
    at: Millis,
    /// The most servers that accepted requests at once since then: what is fewer later was taken
    /// away.
    most_seen: u32,
}

impl Order {
    /// Makes an order of `count` servers while `present` accept requests.
    ///
    /// Those that are present do not count as starting, also if they are taken away right after.
    pub fn new(now: Millis, count: u32, present: u32) -> Self {
        Self { count, at: now, most_seen: present }
    }

    /// Returns the servers that were ordered.
    pub fn get_count(&self) -> u32 {
        self.count
    }

    /// Notes how many accept requests now; returns how many are still starting.
    pub fn update(&mut self, now: Millis, present: u32, boot: Millis) -> u32 {
        self.most_seen = self.most_seen.max(present);
        let is_booting = now < self.at + boot + BOOT_SLACK;
        if is_booting { self.count.saturating_sub(self.most_seen) } else { 0 }
    }
}
