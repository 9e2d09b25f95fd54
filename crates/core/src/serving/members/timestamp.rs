//! When a node sent a message.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// When a node sent a message, on the monotonic clock of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// The boot ID of the process, which identifies the clock.
    pub boot_id: u32,
    /// The time on that clock.
    pub sent_at: Millis,
}

impl Timestamp {
    /// Returns `true` if a message is newer than the newest known one of the same node. One of another
    /// process counts as newer, because its clock is another.
    pub fn is_after(self, known: Self) -> bool {
        self.boot_id != known.boot_id || self.sent_at > known.sent_at
    }
}
