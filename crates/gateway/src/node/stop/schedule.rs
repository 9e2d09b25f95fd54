//! When the steps of a shutdown happen.

use std::time::Duration;

/// The time for the load balancer to detect that the node is not ready: two probes, a second apart,
/// and a margin.
const BALANCER_DETECTION_PERIOD: Duration = Duration::from_millis(2_600);
/// The part of the grace period reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// The time before the end at which clients that do not read are disconnected. Their responses
/// cannot be delivered any more, and the node can shut down cleanly.
const DISCONNECT_MARGIN: Duration = Duration::from_millis(800);
/// The time before the end at which they are disconnected even if their servers have ended.
const LAST_DISCONNECT_MARGIN: Duration = Duration::from_millis(100);
/// The fraction of the grace period within which request heads may become complete. The rest is for
/// the requests that begin at its end.
const HEAD_FRACTION: f64 = 0.65;

/// The fraction of the grace period for which responses are not cut off. A signal that may have been
/// pending for long may also have been sent just before it was seen.
const RESPONSE_FRACTION: f64 = 5.0 / 6.0;

/// When the steps of a shutdown happen, as times since the stop signal was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time for which new connections are accepted.
    pub accepts_for: Duration,
    /// Time for which request heads may become complete.
    pub reads_heads_for: Duration,
    /// Time after which clients that do not read are disconnected if their servers are still at work.
    pub disconnects_after: Duration,
    /// Time after which all clients that do not read are disconnected.
    pub disconnects_all_after: Duration,
    /// Time after which the process exits.
    pub ends_after: Duration,
    /// The earliest time after which it exits because the signal may have been pending.
    ends_earliest_after: Duration,
}

impl Schedule {
    /// Creates the schedule for a grace period, after which the process is killed. A client may take
    /// `head_timeout` for a request head.
    pub fn new(grace: Duration, head_timeout: Duration) -> Self {
        let ends_after = grace.saturating_sub(EXIT_MARGIN);
        let accepts_for = BALANCER_DETECTION_PERIOD.min(ends_after / 2);
        let last_head_after = grace.mul_f64(HEAD_FRACTION).min(accepts_for + head_timeout);
        Self {
            accepts_for,
            reads_heads_for: last_head_after.max(accepts_for),
            disconnects_after: ends_after.saturating_sub(DISCONNECT_MARGIN).max(accepts_for),
            disconnects_all_after: ends_after.saturating_sub(LAST_DISCONNECT_MARGIN),
            ends_after,
            ends_earliest_after: ends_after.min(grace.mul_f64(RESPONSE_FRACTION)),
        }
    }

    /// Returns the schedule if the signal may have been pending for some time when it was seen: the
    /// process exits earlier. The other steps count from when others can see that it stops.
    pub fn after_delay(self, delay: Duration) -> Self {
        let advanced = self.ends_after.saturating_sub(delay);
        let ends_after = advanced.max(self.ends_earliest_after);
        let disconnects_all_after = ends_after.saturating_sub(LAST_DISCONNECT_MARGIN);
        Self { ends_after, disconnects_all_after, ..self }
    }
}
