//! Counts the moments at which servers of a version crashed.
//!
//! A crash interrupts all requests that the server was processing. They are one event, whatever
//! their number, and so are crashes of several servers at the same time.

use crate::Millis;

/// The period within which interrupted responses count as one event. Nodes report a crash up to two
/// seconds after each other.
const EVENT_PERIOD_MS: Millis = 3_000;
/// The number of events by which a version exceeds the others when it is judged to crash its
/// servers. A single crash may hit a good version.
const MAX_MORE_EVENTS: u32 = 2;

/// The events among servers of some version.
#[derive(Clone, Copy, Debug, Default)]
struct Events {
    /// Interrupted responses so far.
    interrupted: u64,
    count: u32,
    /// The end of the latest event.
    until: Millis,
}

impl Events {
    fn record(&mut self, now: Millis, interrupted: u64) {
        if interrupted > self.interrupted && now >= self.until {
            self.count += 1;
            self.until = now + EVENT_PERIOD_MS;
        }
        self.interrupted = interrupted.max(self.interrupted);
    }
}

/// The events among servers of the target version and of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outages {
    target: Events,
    baseline: Events,
}

impl Outages {
    /// Records the numbers of interrupted responses so far. Returns `true` if servers of the target
    /// version crash again and again, and those of the others do not.
    pub fn record(&mut self, now: Millis, target: u64, baseline: u64) -> bool {
        self.target.record(now, target);
        self.baseline.record(now, baseline);
        self.target.count >= self.baseline.count + MAX_MORE_EVENTS
    }
}
