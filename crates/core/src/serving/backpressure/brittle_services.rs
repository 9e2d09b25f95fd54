//! The services whose servers are brittle, from this node's responses and from other nodes.

use std::collections::BTreeMap;

use super::Brittleness;
use crate::Millis;

/// How long a service counts as brittle after the last response that reported it: servers that get
/// no requests send no responses.
const BRITTLE_TTL_MS: Millis = 600_000;
/// How long responses without the signal are ignored after one with it. Servers of a service may
/// differ, and responses may overtake each other.
const LINGER_MS: Millis = 2_000;

/// The known services, by short id.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    services: BTreeMap<u64, Record>,
}

/// What a node knows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Robustness {
    /// No response and no other node has shown it.
    Unknown,
    /// The servers tolerate only a few rejections per second.
    Brittle(Brittleness),
    /// The servers report nothing.
    Robust(Brittleness),
}

impl Robustness {
    /// Returns the observation to send to other nodes, if there is one.
    pub fn get_observation(self) -> Option<Brittleness> {
        match self {
            Self::Unknown => None,
            Self::Brittle(observation) | Self::Robust(observation) => Some(observation),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Rejections per second that each server tolerates, or `None` if the servers are not brittle.
    max_rejections: Option<u32>,
    /// When the servers became brittle, or robust.
    since: Millis,
    /// When the latest response that showed this arrived.
    seen_at: Millis,
}

impl Record {
    fn get_observation(&self, now: Millis, service: u64) -> Brittleness {
        Brittleness {
            service,
            max_rejections: self.max_rejections,
            brittle_for: now.saturating_sub(self.since),
            age: now.saturating_sub(self.seen_at),
        }
    }
}

impl BrittleServices {
    /// Records the signal in a response to a request that was sent at `sent_at`. Returns an
    /// observation if it is new to other nodes.
    pub fn record(
        &mut self,
        now: Millis,
        sent_at: Millis,
        service: u64,
        max_rejections: Option<u32>,
    ) -> Option<Brittleness> {
        let known = self.services.get(&service);
        let is_brittle = known.is_some_and(|known| known.max_rejections.is_some());
        let is_lingering =
            is_brittle && known.is_some_and(|known| sent_at < known.seen_at + LINGER_MS);
        if max_rejections.is_none() && is_lingering {
            return None;
        }
        let observation = Brittleness { service, max_rejections, brittle_for: 0, age: 0 };
        self.merge(now, &observation).then_some(observation)
    }

    /// Merges an observation, unless a later one is known. Returns `true` if it is new to other
    /// nodes.
    pub fn merge(&mut self, now: Millis, observation: &Brittleness) -> bool {
        let Brittleness { service, max_rejections, brittle_for, age } = *observation;
        let (since, seen_at) = (now.saturating_sub(brittle_for), now.saturating_sub(age));
        let new = Record { max_rejections, since, seen_at };
        let Some(known) = self.services.get_mut(&service) else {
            self.services.insert(service, new);
            return max_rejections.is_some();
        };
        if seen_at < known.seen_at {
            return false;
        }
        let has_changed = known.max_rejections.is_some() != max_rejections.is_some();
        let since = if has_changed { since } else { since.min(known.since) };
        *known = Record { since, ..new };
        has_changed
    }

    /// Returns the state of a service, if it is known.
    pub fn get(&self, now: Millis, service: u64) -> Robustness {
        let Some(record) = self.services.get(&service) else { return Robustness::Unknown };
        let observation = record.get_observation(now, service);
        match record.max_rejections {
            Some(_) => Robustness::Brittle(observation),
            None => Robustness::Robust(observation),
        }
    }

    /// Iterates over the brittle services.
    pub fn iter_brittle(&self, now: Millis) -> impl Iterator<Item = Brittleness> {
        let brittle = self.services.iter().filter(|(_, record)| record.max_rejections.is_some());
        brittle.map(move |(service, record)| record.get_observation(now, *service))
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Millis) {
        self.services.retain(|_, record| {
            record.max_rejections.is_none() || now < record.seen_at + BRITTLE_TTL_MS
        });
    }
}
