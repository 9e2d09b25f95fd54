//! Which servers are passed over for what their answers show.
//!
//! A server may fail or hang while its health check is good. Each failure in a row doubles the
//! time in which it is passed over; one good answer ends that. A server that is passed over is
//! still used when nothing else is left.

use std::collections::HashMap;

use crate::Millis;

const FIRST_PAUSE: Millis = 250;
const LONGEST_PAUSE: Millis = 4_000;
/// Failures in a row before a server is passed over at all.
const TOLERATED: u32 = 1;

/// What the latest answers of each server showed.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: HashMap<String, Record>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    paused_until: Millis,
}

impl Health {
    /// Notes a good answer.
    pub fn succeed(&mut self, id: &str) {
        self.servers.remove(id);
    }

    /// Notes a failure; returns the time in which the server is passed over, if it now is.
    pub fn fail(&mut self, now: Millis, id: &str) -> Option<Millis> {
        let record = self.servers.entry(id.to_owned()).or_default();
        record.failures += 1;
        let beyond = record.failures.checked_sub(TOLERATED + 1)?;
        let pause = (FIRST_PAUSE << beyond.min(8)).min(LONGEST_PAUSE);
        record.paused_until = now + pause;
        Some(pause)
    }

    /// Notes that no connection to the server came up; it is passed over at once.
    pub fn fail_to_connect(&mut self, now: Millis, id: &str) {
        self.servers.entry(id.to_owned()).or_default().failures += TOLERATED;
        self.fail(now, id);
    }

    /// Says whether the server is passed over now.
    pub fn is_paused(&self, now: Millis, id: &str) -> bool {
        self.servers.get(id).is_some_and(|record| now < record.paused_until)
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, id: &str) {
        self.servers.remove(id);
    }
}
