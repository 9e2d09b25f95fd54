//! When the shutdown of a node began, and when its process must have exited.

use std::sync::OnceLock;

use keeljunction_core::Millis;
use keeljunction_core::serving::shutdown;

use super::Schedule;

/// The times of a node's shutdown; not set while it is not shutting down.
#[derive(Debug, Default)]
pub(in crate::node) struct Times(OnceLock<Span>);

/// The times of a shutdown, on the node's clock.
#[derive(Clone, Copy, Debug)]
struct Span {
    /// The earliest time at which the stop signal may have been sent.
    signalled_at: Millis,
    /// When the process exits, if the signal was sent then.
    exits_at: Millis,
}

impl Times {
    /// Begins the shutdown, given the earliest time at which the stop signal may have been sent;
    /// returns `false` if it had already begun.
    pub(in crate::node) fn begin(&self, signalled_at: Millis, schedule: &Schedule) -> bool {
        let exits_at = signalled_at + schedule.ends_after.as_millis() as Millis;
        self.0.set(Span { signalled_at, exits_at }).is_ok()
    }

    /// Returns `true` if the shutdown has begun.
    pub(in crate::node) fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// Returns the progress of the shutdown, or `None` if it has not begun.
    pub(in crate::node) fn get_progress(&self, now: Millis) -> Option<shutdown::Shutdown> {
        let Span { signalled_at, exits_at } = *self.0.get()?;
        let elapsed = now.saturating_sub(signalled_at);
        Some(shutdown::Shutdown { elapsed, remaining: exits_at.saturating_sub(now) })
    }
}
