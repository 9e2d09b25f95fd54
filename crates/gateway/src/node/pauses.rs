//! Notices that the process stood still: its machine was suspended, or it got no processor.
//!
//! All that the node believes is judged by its age on a clock that counts such a pause, so that nothing has
//! to be undone: what has grown too old is confirmed before it is acted on. Here the pause is logged, and
//! timers that left a suspension out are woken.

use std::time::Duration;

use keeljunction_core::Millis;

use super::Node;
use crate::event::{self, Event};
use crate::runtime::{self, SuspensionDetector};

/// How much later than its period a look may be before that counts as a pause, in milliseconds: leases
/// and freshness bounds are a few seconds.
const LEAST_PAUSE: Millis = 1_000;

/// Looks for pauses, in each period of reports.
#[derive(Debug)]
pub(super) struct Pauses {
    looked_at: Millis,
    suspension: SuspensionDetector,
}

impl Pauses {
    /// Begins at a time on the node's clock.
    pub(super) fn begin(now: Millis) -> Self {
        let suspension = SuspensionDetector::new(runtime::boottime_now(), runtime::monotonic_now());
        Self { looked_at: now, suspension }
    }

    /// Looks whether the process stood still since the last look.
    pub(super) fn look(&mut self, node: &Node, now: Millis) {
        let suspended = self.suspension.check(runtime::boottime_now(), runtime::monotonic_now());
        if suspended.is_some() {
            runtime::wake_sleepers();
        }
        let paused = now.saturating_sub(self.looked_at);
        self.looked_at = now;
        if paused >= LEAST_PAUSE || suspended.is_some() {
            let suspended_ms = suspended.unwrap_or(Duration::ZERO).as_millis() as u64;
            node.metrics.pauses.inc();
            event::emit(&Event::Paused { paused_ms: paused, suspended_ms });
        }
    }
}
