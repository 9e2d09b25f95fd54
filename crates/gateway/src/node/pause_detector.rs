//! Detects that the process was paused: its machine was suspended, or it got no CPU time.
//!
//! The node judges the age of everything it knows on a clock that includes such pauses, so nothing
//! has to be undone: stale knowledge is confirmed before it is used. This module only logs the
//! pause, and wakes timers that did not count a suspension.

use std::time::Duration;

use keeljunction_core::Millis;

use super::Node;
use crate::event::{self, Event};
use crate::runtime::{self, SuspensionDetector};

/// The minimum delay of a check beyond its period that counts as a pause. Leases and freshness
/// bounds last a few seconds.
const MIN_PAUSE_MS: Millis = 1_000;

/// Detects pauses, with one check per report period.
#[derive(Debug)]
pub(super) struct PauseDetector {
    checked_at: Millis,
    suspension: SuspensionDetector,
}

impl PauseDetector {
    /// Starts at a time on the node's clock.
    pub(super) fn begin(now: Millis) -> Self {
        let suspension = SuspensionDetector::new(runtime::boottime_now(), runtime::monotonic_now());
        Self { checked_at: now, suspension }
    }

    /// Checks whether the process was paused since the last check.
    pub(super) fn check(&mut self, node: &Node, now: Millis) {
        let suspended = self.suspension.check(runtime::boottime_now(), runtime::monotonic_now());
        if suspended.is_some() {
            runtime::wake_sleepers();
        }
        let paused = now.saturating_sub(self.checked_at);
        self.checked_at = now;
        if paused >= MIN_PAUSE_MS || suspended.is_some() {
            let suspended_ms = suspended.unwrap_or(Duration::ZERO).as_millis() as u64;
            node.metrics.pauses.inc();
            event::emit(&Event::Paused { paused_ms: paused, suspended_ms });
        }
    }
}
