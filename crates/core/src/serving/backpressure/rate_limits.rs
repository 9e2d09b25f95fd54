//! Which servers are limited, as a node knows it from its own answers and from other nodes.

use std::collections::BTreeMap;

use super::{InstanceKey, Observation};
use crate::Millis;

/// How long a limit is known after the last answer that named it, in milliseconds. An answer without it
/// ends it at once; a server that gets no requests gives none.
const LIMIT_KEPT: Millis = 600_000;
/// How long it is known that a limit has ended, in milliseconds: late sightings of the limit do not
/// bring it back.
const END_KEPT: Millis = 60_000;
/// A rate that differs from the one before by a larger part than this is news for other nodes. Owners hear
/// of smaller changes with the next request for a permit.
const CHANGED_PART: f64 = 0.25;
/// Reports between two that hold sightings, for nodes that start or missed the news: five reports a second
/// from each aggregator are more than that takes.
const LISTED_TURNS: usize = 5;
/// The most sightings in one report.
const MOST_LISTED: usize = 4;

/// Which servers are limited.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    /// By the servers' short names.
    servers: BTreeMap<u64, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    incarnation: u64,
    /// Requests a second; `None` where the limit has ended.
    rate: Option<f64>,
    /// When the answer came that said so.
    seen_at: Millis,
    /// Until when this node asks for no further permit.
    denied_until: Millis,
}

impl RateLimits {
    /// Notes what the answer to a request said that was sent at `sent_at`; returns a sighting where that
    /// is news for other nodes.
    ///
    /// An answer without a limit ends one only where its request was sent after the limit was seen.
    pub fn record(
        &mut self,
        now: Millis,
        sent_at: Millis,
        key: InstanceKey,
        rate: Option<f64>,
    ) -> Option<Observation> {
        let known = self.get_record(key).copied();
        let is_ended = rate.is_none();
        if is_ended && known.is_none_or(|known| known.rate.is_none() || sent_at < known.seen_at) {
            return None;
        }
        let sighting = Observation { key, rate, age: 0 };
        self.merge(now, &sighting).then_some(sighting)
    }

    /// Takes over a sighting, unless a later one is known; returns `true` if it is news for other nodes.
    pub fn merge(&mut self, now: Millis, sighting: &Observation) -> bool {
        let Observation { key, rate, age } = *sighting;
        let seen_at = now.saturating_sub(age);
        let known = self.servers.get(&key.server).copied();
        if known.is_some_and(|known| known.incarnation > key.incarnation) {
            return false;
        }
        let known = known.filter(|known| known.incarnation == key.incarnation);
        if known.is_some_and(|known| known.seen_at > seen_at) {
            return false;
        }
        let denied_until = known.map_or(0, |known| known.denied_until);
        let record = Record { incarnation: key.incarnation, rate, seen_at, denied_until };
        self.servers.insert(key.server, record);
        match (known.and_then(|known| known.rate), rate) {
            (None, None) => false,
            (Some(before), Some(rate)) => (rate - before).abs() > before * CHANGED_PART,
            _ => true,
        }
    }

    /// Returns what is known of a server that is limited.
    pub fn get(&self, now: Millis, key: InstanceKey) -> Option<Observation> {
        let record = self.get_record(key).filter(|record| record.rate.is_some())?;
        Some(record.describe(now, key.server))
    }

    /// Returns what is known of a server, also where its limit has ended.
    pub fn get_latest(&self, now: Millis, key: InstanceKey) -> Option<Observation> {
        self.get_record(key).map(|record| record.describe(now, key.server))
    }

    /// Returns `true` if nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Notes that a permit was denied for a time.
    pub fn record_denial(&mut self, now: Millis, key: InstanceKey, retry_after: Millis) {
        let record = self.servers.get_mut(&key.server);
        if let Some(record) = record.filter(|record| record.incarnation == key.incarnation) {
            record.denied_until = now.saturating_add(retry_after);
        }
    }

    /// Returns the time until this node may ask for a permit of a server; `None` where it may now.
    pub fn get_wait(&self, now: Millis, key: InstanceKey) -> Option<Millis> {
        let record = self.get_record(key).filter(|record| record.rate.is_some())?;
        record.denied_until.checked_sub(now).filter(|wait| *wait > 0)
    }

    /// Lists some of the limits for other nodes, once in some turns; each time the next ones.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Observation> {
        let limited = || self.servers.iter().filter(|(_, record)| record.rate.is_some());
        if !turn.is_multiple_of(LISTED_TURNS) {
            return Vec::new();
        }
        let count = limited().count();
        let first = (turn / LISTED_TURNS * MOST_LISTED).checked_rem(count).unwrap_or(0);
        let next = limited().cycle().skip(first).take(count.min(MOST_LISTED));
        next.map(|(server, record)| record.describe(now, *server)).collect()
    }

    /// Counts the servers that are limited.
    pub fn count(&self) -> usize {
        self.servers.values().filter(|record| record.rate.is_some()).count()
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Millis) {
        self.servers.retain(|_, record| {
            let kept = if record.rate.is_some() { LIMIT_KEPT } else { END_KEPT };
            now < record.seen_at.saturating_add(kept)
        });
    }

    /// Returns the record of a start of a server.
    fn get_record(&self, key: InstanceKey) -> Option<&Record> {
        let record = self.servers.get(&key.server)?;
        (record.incarnation == key.incarnation).then_some(record)
    }
}

impl Record {
    fn describe(&self, now: Millis, server: u64) -> Observation {
        let key = InstanceKey { server, incarnation: self.incarnation };
        Observation { key, rate: self.rate, age: now.saturating_sub(self.seen_at) }
    }
}
