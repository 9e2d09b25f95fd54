//! Servers that announced that they are leaving, in their responses or before a restore of the
//! table service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How long an announcement is remembered.
///
/// A leaving server ends within seconds; its entry may lapse and reappear meanwhile.
const DEPARTURE_TTL_MS: Millis = 600_000;
/// The largest number of servers that are remembered, newest first, at some 60 bytes each.
const MAX_DEPARTURES: usize = 1_024;

/// How long departures are repeated to other nodes, which may have missed the announcement or
/// started since.
const REPEAT_PERIOD_MS: Millis = 30_000;
/// The largest number of departures in a report.
const MAX_REPORTED_DEPARTURES: usize = 4;

/// The announcement of a server that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The ID of the server.
    pub server: String,
    /// The incarnation of the server.
    pub incarnation: u64,
}

/// Servers that announced that they are leaving, whatever their entries say.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    by_id: BTreeMap<String, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    incarnation: u64,
    noted_at: Millis,
}

impl Departures {
    /// Records that an incarnation of a server is leaving; returns `true` if that was not known.
    pub fn record(&mut self, now: Millis, id: &str, incarnation: u64) -> bool {
        if self.by_id.get(id).is_some_and(|known| known.incarnation >= incarnation) {
            return false;
        }
        self.by_id.insert(id.to_owned(), Record { incarnation, noted_at: now });
        if self.by_id.len() > MAX_DEPARTURES {
            let oldest = self.by_id.iter().min_by_key(|(_, departure)| departure.noted_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| self.by_id.remove(&id));
        }
        true
    }

    /// Records that an incarnation of a server is leaving, and lists it for other nodes again.
    pub fn record_again(&mut self, now: Millis, id: &str, incarnation: u64) {
        self.record(now, id, incarnation);
        if let Some(record) = self.by_id.get_mut(id) {
            record.noted_at = now;
        }
    }

    /// Returns `true` if an incarnation of a server is leaving.
    pub fn contains(&self, id: &str, incarnation: u64) -> bool {
        self.by_id.get(id).is_some_and(|known| known.incarnation >= incarnation)
    }

    /// Lists some of the recent departures for other nodes; each turn returns the next ones.
    pub fn list_recent(&self, now: Millis, turn: usize) -> Vec<Departure> {
        let is_recent = |record: &Record| now < record.noted_at + REPEAT_PERIOD_MS;
        let recent = || self.by_id.iter().filter(|(_, record)| is_recent(record));
        let count = recent().count();
        let first = (turn * MAX_REPORTED_DEPARTURES).checked_rem(count).unwrap_or(0);
        let next = recent().cycle().skip(first).take(count.min(MAX_REPORTED_DEPARTURES));
        let describe = |(id, record): (&String, &Record)| Departure {
            server: id.clone(),
            incarnation: record.incarnation,
        };
        next.map(describe).collect()
    }

    /// Forgets old departures.
    pub fn expire(&mut self, now: Millis) {
        self.by_id.retain(|_, departure| now < departure.noted_at + DEPARTURE_TTL_MS);
    }
}
