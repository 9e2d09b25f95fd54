//! Servers that said that they leave, in their answers or before a return of the table service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How long a server's word is remembered, in milliseconds. A server that leaves ends within seconds; its
/// entry may lapse and come back meanwhile.
const KEPT: Millis = 600_000;
/// The most servers that are remembered, the latest ones: some 60 bytes each.
const MOST: usize = 1_024;

/// How long departures are repeated to other nodes, in milliseconds: some may have missed the news, or
/// started since.
const REPEATED_FOR: Millis = 30_000;
/// The most departures in one report.
const MOST_LISTED: usize = 4;

/// The word of a server that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Its id.
    pub server: String,
    /// Which of its starts it is.
    pub incarnation: u64,
}

/// Servers that said that they leave, whatever their entries say.
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
    /// Notes that an incarnation of a server leaves; returns `true` if that was not known.
    pub fn note(&mut self, now: Millis, id: &str, incarnation: u64) -> bool {
        if self.by_id.get(id).is_some_and(|known| known.incarnation >= incarnation) {
            return false;
        }
        self.by_id.insert(id.to_owned(), Record { incarnation, noted_at: now });
        if self.by_id.len() > MOST {
            let oldest = self.by_id.iter().min_by_key(|(_, departure)| departure.noted_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| self.by_id.remove(&id));
        }
        true
    }

    /// Notes that an incarnation of a server leaves, and lists it for other nodes again.
    pub fn repeat(&mut self, now: Millis, id: &str, incarnation: u64) {
        self.note(now, id, incarnation);
        if let Some(record) = self.by_id.get_mut(id) {
            record.noted_at = now;
        }
    }

    /// Returns `true` if an incarnation of a server leaves.
    pub fn holds(&self, id: &str, incarnation: u64) -> bool {
        self.by_id.get(id).is_some_and(|known| known.incarnation >= incarnation)
    }

    /// Lists some of the latest departures for other nodes; each turn gives the next ones.
    pub fn list_some(&self, now: Millis, turn: usize) -> Vec<Departure> {
        let is_recent = |record: &Record| now < record.noted_at + REPEATED_FOR;
        let recent = || self.by_id.iter().filter(|(_, record)| is_recent(record));
        let count = recent().count();
        let first = (turn * MOST_LISTED).checked_rem(count).unwrap_or(0);
        let next = recent().cycle().skip(first).take(count.min(MOST_LISTED));
        let describe = |(id, record): (&String, &Record)| Departure {
            server: id.clone(),
            incarnation: record.incarnation,
        };
        next.map(describe).collect()
    }

    /// Forgets what was noted long ago.
    pub fn expire(&mut self, now: Millis) {
        self.by_id.retain(|_, departure| now < departure.noted_at + KEPT);
    }
}
