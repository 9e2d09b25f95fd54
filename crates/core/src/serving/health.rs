//! Outlier ejection: which servers get no requests because of their latest responses.
//!
//! A server may fail or hang while its health check succeeds. Each consecutive failure doubles the
//! time for which the server is ejected, and a good response ends the ejection. An ejected server
//! is still used if no other is left.
//!
//! A server that was unreachable may have restarted. It gets its share of the requests back
//! gradually, because it fills its caches first and all nodes return to it at the same time.

use std::collections::HashMap;

use crate::Millis;

/// The duration of a first ejection: a few times the duration of a response.
const MIN_EJECTION_MS: Millis = 250;
/// The longest ejection: about the time that a new server takes to start.
const MAX_EJECTION_MS: Millis = 4_000;
/// Consecutive failures that are tolerated before a server is ejected.
const MAX_TOLERATED_FAILURES: u32 = 1;

/// How long a server that was unreachable takes to get its share of the requests back: a few times
/// the longest responses of plain services.
const RAMP_PERIOD_MS: Millis = 2_000;

/// The health of each server, from its latest responses.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: HashMap<String, Record>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejected_until: Millis,
    /// When the server has its full share of the requests back, or 0 if it was not unreachable.
    ramped_at: Millis,
}

impl Health {
    /// Records a good response.
    pub fn record_success(&mut self, id: &str) {
        let Some(record) = self.servers.get_mut(id) else { return };
        match record.ramped_at {
            0 => drop(self.servers.remove(id)),
            ramped_at => *record = Record { ramped_at, ..Record::default() },
        }
    }

    /// Records a failure. Returns the time for which the server is ejected, if it now is.
    pub fn record_failure(&mut self, now: Millis, id: &str) -> Option<Millis> {
        let record = self.servers.entry(id.to_owned()).or_default();
        record.failures += 1;
        let excess = record.failures.checked_sub(MAX_TOLERATED_FAILURES + 1)?;
        let ejected_for = (MIN_EJECTION_MS << excess.min(8)).min(MAX_EJECTION_MS);
        record.ejected_until = now + ejected_for;
        Some(ejected_for)
    }

    /// Records that a connection to the server failed, which ejects it at once.
    pub fn record_connect_failure(&mut self, now: Millis, id: &str) {
        self.servers.entry(id.to_owned()).or_default().failures += MAX_TOLERATED_FAILURES;
        if let Some(ejected_for) = self.record_failure(now, id) {
            let record = self.servers.entry(id.to_owned()).or_default();
            record.ramped_at = now + ejected_for + RAMP_PERIOD_MS;
        }
    }

    /// Records that the server accepts no requests until a time. All nodes may return to it then,
    /// so it gets its share of the requests back gradually.
    pub fn record_back_off(&mut self, id: &str, until: Millis) {
        let record = self.servers.entry(id.to_owned()).or_default();
        record.ramped_at = record.ramped_at.max(until.saturating_add(RAMP_PERIOD_MS));
    }

    /// Returns `true` if a request should go elsewhere while the server gets its share back
    /// gradually.
    ///
    /// `draw` is random, from 0 to 1. At the end of the ejection all requests go elsewhere, and
    /// this fraction falls linearly to zero within `RAMP_PERIOD_MS`.
    pub fn is_ramping(&self, now: Millis, id: &str, draw: f64) -> bool {
        let Some(record) = self.servers.get(id) else { return false };
        let remaining = record.ramped_at.saturating_sub(now).min(RAMP_PERIOD_MS);
        draw * (RAMP_PERIOD_MS as f64) < remaining as f64
    }

    /// Returns `true` if the server is ejected.
    pub fn is_ejected(&self, now: Millis, id: &str) -> bool {
        self.servers.get(id).is_some_and(|record| now < record.ejected_until)
    }

    /// Removes a server.
    pub fn forget(&mut self, id: &str) {
        self.servers.remove(id);
    }
}
