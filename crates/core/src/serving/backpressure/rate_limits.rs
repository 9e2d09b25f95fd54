//! The rate limits of servers, from this node's responses and from other nodes.

use std::collections::BTreeMap;

use super::{InstanceKey, Observation};
use crate::Millis;

/// How long a limit is kept after the last response that reported it. A response without a limit
/// ends it at once, but a server that gets no requests sends no responses.
const LIMIT_TTL_MS: Millis = 600_000;
/// How long the end of a limit is remembered, in milliseconds, so that late observations do not
/// restore the limit.
const ENDED_TTL_MS: Millis = 60_000;
/// The relative change of a rate above which other nodes are notified. Owners learn of smaller
/// changes with the next request for a permit.
const MIN_CHANGE_RATIO: f64 = 0.25;
/// One report in this many carries observations, for nodes that just started or missed the notification.
/// Each aggregator sends five reports per second, which is more often than this needs.
const GOSSIP_TURNS: usize = 5;
/// The number of observations in one report.
const GOSSIP_BATCH_SIZE: usize = 4;

/// The known rate limits of servers.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    /// By the servers' short ids.
    servers: BTreeMap<u64, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    incarnation: u64,
    /// Requests per second, or `None` if the limit has ended.
    rate: Option<f64>,
    /// When the response with this limit arrived.
    seen_at: Millis,
    /// The time until which this node requests no further permit.
    denied_until: Millis,
}

impl RateLimits {
    /// Records the limit in a response to a request that was sent at `sent_at`. Returns an
    /// observation if it is new to other nodes.
    ///
    /// A response without a limit ends a limit only if its request was sent after the limit was
    /// seen.
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
        let observation = Observation { key, rate, age: 0 };
        self.merge(now, &observation).then_some(observation)
    }

    /// Merges an observation, unless a later one is known. Returns `true` if it is new to other
    /// nodes.
    pub fn merge(&mut self, now: Millis, observation: &Observation) -> bool {
        let Observation { key, rate, age } = *observation;
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
            (Some(before), Some(rate)) => (rate - before).abs() > before * MIN_CHANGE_RATIO,
            _ => true,
        }
    }

    /// Returns the rate limit of a server, or `None` if the server has none.
    pub fn get(&self, now: Millis, key: InstanceKey) -> Option<Observation> {
        let record = self.get_record(key).filter(|record| record.rate.is_some())?;
        Some(record.get_observation(now, key.server))
    }

    /// Returns the latest observation of a server, including the end of a limit.
    pub fn get_latest(&self, now: Millis, key: InstanceKey) -> Option<Observation> {
        self.get_record(key).map(|record| record.get_observation(now, key.server))
    }

    /// Returns `true` if nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records that a permit was denied, and when to retry.
    pub fn record_denial(&mut self, now: Millis, key: InstanceKey, retry_after: Millis) {
        let record = self.servers.get_mut(&key.server);
        if let Some(record) = record.filter(|record| record.incarnation == key.incarnation) {
            record.denied_until = now.saturating_add(retry_after);
        }
    }

    /// Returns the time until this node may request a permit of a server, or `None` if it may now.
    pub fn get_wait(&self, now: Millis, key: InstanceKey) -> Option<Millis> {
        let record = self.get_record(key).filter(|record| record.rate.is_some())?;
        record.denied_until.checked_sub(now).filter(|wait| *wait > 0)
    }

    /// Returns the next batch of limits to gossip, once in `GOSSIP_TURNS` turns.
    pub fn get_gossip_batch(&self, now: Millis, turn: usize) -> Vec<Observation> {
        let limited = || self.servers.iter().filter(|(_, record)| record.rate.is_some());
        if !turn.is_multiple_of(GOSSIP_TURNS) {
            return Vec::new();
        }
        let count = limited().count();
        let first = (turn / GOSSIP_TURNS * GOSSIP_BATCH_SIZE).checked_rem(count).unwrap_or(0);
        let next = limited().cycle().skip(first).take(count.min(GOSSIP_BATCH_SIZE));
        next.map(|(server, record)| record.get_observation(now, *server)).collect()
    }

    /// Returns the number of rate-limited servers.
    pub fn count(&self) -> usize {
        self.servers.values().filter(|record| record.rate.is_some()).count()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Millis) {
        self.servers.retain(|_, record| {
            let ttl = if record.rate.is_some() { LIMIT_TTL_MS } else { ENDED_TTL_MS };
            now < record.seen_at.saturating_add(ttl)
        });
    }

    /// Returns the record of an incarnation of a server.
    fn get_record(&self, key: InstanceKey) -> Option<&Record> {
        let record = self.servers.get(&key.server)?;
        (record.incarnation == key.incarnation).then_some(record)
    }
}

impl Record {
    fn get_observation(&self, now: Millis, server: u64) -> Observation {
        let key = InstanceKey { server, incarnation: self.incarnation };
        Observation { key, rate: self.rate, age: now.saturating_sub(self.seen_at) }
    }
}
