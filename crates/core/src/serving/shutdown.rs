//! Which requests a node that shuts down still begins.
//!
//! A request that cannot end before the process exits is refused at once, so that its caller can send it
//! to another node. Nobody knows how long a request takes, but the recent responses on its route show it.
//!
//! Early in the shutdown, callers cannot know that the node is stopping, and a request that usually ends in
//! time is begun. Later ones are begun only if they almost certainly end before the exit: their callers
//! had time to learn of the shutdown, and lose more by a truncated response than by another attempt.

use super::response_times::ResponseTimes;
use crate::Millis;

/// The time after the stop signal in which callers may not know of the shutdown.
const EARLY_PERIOD_MS: Millis = 3_000;

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Time since the stop signal may have been sent.
    pub elapsed: Millis,
    /// Time until the process exits, if the signal was sent then.
    pub remaining: Millis,
}

impl Shutdown {
    /// Returns the time that a request on a route is expected to take, or `None` if too few recent
    /// responses are known.
    pub fn estimate(&self, now: Millis, times: &ResponseTimes, route: &str) -> Option<Millis> {
        match self.is_early() {
            true => times.estimate(route),
            false => times.get_upper_bound(now, route, self.remaining),
        }
    }

    /// Returns `true` if a request that is expected to take a time is begun. It is abandoned after
    /// `timeout` in any case.
    pub fn admits(&self, expected: Option<Millis>, timeout: Millis) -> bool {
        let unknown = if self.is_early() { 0 } else { Millis::MAX };
        expected.unwrap_or(unknown).min(timeout) <= self.remaining
    }

    fn is_early(&self) -> bool {
        self.elapsed < EARLY_PERIOD_MS
    }
}
