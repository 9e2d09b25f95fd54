//! Servers that said in their answers that they leave.

use std::collections::BTreeMap;

use crate::Millis;

/// How long a server's word is remembered, in milliseconds. A server that leaves ends within seconds; its
/// entry may lapse and come back meanwhile.
const KEPT: Millis = 600_000;
/// The most servers that are remembered, the latest ones: some 60 bytes each.
const MOST: usize = 1_024;

/// Servers that said in their answers that they leave, whatever their entries say.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    by_id: BTreeMap<String, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: u64,
    noted_at: Millis,
}

impl Departures {
    /// Notes that an incarnation of a server leaves; returns `true` if that was not known.
    pub fn note(&mut self, now: Millis, id: &str, incarnation: u64) -> bool {
        if self.by_id.get(id).is_some_and(|known| known.incarnation >= incarnation) {
            return false;
        }
        self.by_id.insert(id.to_owned(), Departure { incarnation, noted_at: now });
        if self.by_id.len() > MOST {
            let oldest = self.by_id.iter().min_by_key(|(_, departure)| departure.noted_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| self.by_id.remove(&id));
        }
        true
    }

    /// Returns `true` if an incarnation of a server leaves.
    pub fn holds(&self, id: &str, incarnation: u64) -> bool {
        self.by_id.get(id).is_some_and(|known| known.incarnation >= incarnation)
    }

    /// Forgets what was noted long ago.
    pub fn expire(&mut self, now: Millis) {
        self.by_id.retain(|_, departure| now < departure.noted_at + KEPT);
    }
}
