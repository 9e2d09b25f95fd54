//! Outlier ejection: which servers get no requests because of their latest answers.
//!
//! A server may fail or hang while its health check is good. Each failure in a row doubles the
//! time for which it is ejected; one good answer ends that. An ejected server is still used when
//! no other is left. One that was out of reach may have started anew: it gets its work back
//! gradually, because it fills its caches first and all nodes return to it at the same time.

use std::collections::HashMap;

use crate::Millis;

/// The length of a first ejection, in milliseconds: a few times what an answer takes.
const FIRST_EJECTION: Millis = 250;
/// The longest ejection, in milliseconds: about as long as a new server takes to start.
const LONGEST_EJECTION: Millis = 4_000;
/// Failures in a row before a server is ejected.
const TOLERATED: u32 = 1;

/// The time in which a server that was out of reach gets its share of the work back, in
/// milliseconds: a few times as long as the longest answers of plain services take.
const RAMP: Millis = 2_000;

/// What the latest answers of each server showed.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: HashMap<String, Record>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejected_until: Millis,
    /// When the server gets all of its work back; 0 if it was not out of reach.
    ramped_at: Millis,
}

impl Health {
    /// Notes a good answer.
    pub fn record_success(&mut self, id: &str) {
        let Some(record) = self.servers.get_mut(id) else { return };
        match record.ramped_at {
            0 => drop(self.servers.remove(id)),
            ramped_at => *record = Record { ramped_at, ..Record::default() },
        }
    }

    /// Notes a failure; returns the time for which the server is ejected, if it now is.
    pub fn record_failure(&mut self, now: Millis, id: &str) -> Option<Millis> {
        let record = self.servers.entry(id.to_owned()).or_default();
        record.failures += 1;
        let beyond = record.failures.checked_sub(TOLERATED + 1)?;
        let ejected_for = (FIRST_EJECTION << beyond.min(8)).min(LONGEST_EJECTION);
        record.ejected_until = now + ejected_for;
        Some(ejected_for)
    }

    /// Notes that no connection to the server came up, which ejects it at once.
    pub fn record_connect_failure(&mut self, now: Millis, id: &str) {
        self.servers.entry(id.to_owned()).or_default().failures += TOLERATED;
        if let Some(ejected_for) = self.record_failure(now, id) {
            let record = self.servers.entry(id.to_owned()).or_default();
            record.ramped_at = now + ejected_for + RAMP;
        }
    }

    /// Notes that the server takes no requests until a time. All nodes may return to it then, so that it
    /// gets its work back gradually.
    pub fn record_back_off(&mut self, id: &str, until: Millis) {
        let record = self.servers.entry(id.to_owned()).or_default();
        record.ramped_at = record.ramped_at.max(until.saturating_add(RAMP));
    }

    /// Returns `true` if a request should go elsewhere while the server gets its work back gradually.
    ///
    /// `draw` is random, from 0 to 1. After the ejection all requests go elsewhere; the part that does
    /// falls to none evenly within two seconds.
    pub fn is_ramping(&self, now: Millis, id: &str, draw: f64) -> bool {
        let Some(record) = self.servers.get(id) else { return false };
        let left = record.ramped_at.saturating_sub(now).min(RAMP);
        draw * (RAMP as f64) < left as f64
    }

    /// Returns `true` if the server is ejected now.
    pub fn is_ejected(&self, now: Millis, id: &str) -> bool {
        self.servers.get(id).is_some_and(|record| now < record.ejected_until)
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, id: &str) {
        self.servers.remove(id);
    }
}
