//! Whether a tenant is within its limit over all nodes.
//!
//! Each node keeps the bucket of the whole tenant. It takes its own use from it at once, and that
//! of its peers as they tell of it, some times a second; until a peer tells again, it is taken to
//! go on at the rate that it last told. A part of the rate is set aside for each
//! node that is not heard, which may be cut off and serving: the parts of all nodes together never
//! exceed the whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// What must be left for a request to be taken, in units.
const LEAST_LEFT: f64 = 1.0;

/// A tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second; 0 sets no limit.
    pub rate_per_second: f64,
    /// Units that may be used at once besides.
    pub burst: f64,
}

/// How many nodes there are, and how many of them are heard (this one included).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that are heard.
    pub heard: usize,
    /// Nodes that may be serving.
    pub all: usize,
}

impl Reach {
    fn get_part(self) -> f64 {
        self.heard.max(1) as f64 / self.all.max(self.heard).max(1) as f64
    }
}

/// Units that one life of a node has used since its start, by tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsedUnits(pub BTreeMap<String, u64>);

/// The use of all tenants, as one node knows it.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<String, Bucket>,
    own: UsedUnits,
    peers: BTreeMap<(String, u64), Told>,
}

#[derive(Clone, Debug)]
struct Bucket {
    available: f64,
    filled_at: Millis,
}

/// What a life of a peer told last.
#[derive(Clone, Debug, Default)]
struct Told {
    at: Millis,
    used: UsedUnits,
    /// Units a millisecond since it told before.
    rates: BTreeMap<String, f64>,
}

/// How long a peer's rate is taken to go on after it was told.
const RATE_LASTS: Millis = 2_000;

impl Quotas {
    /// Takes units for a request of a tenant.
    ///
    /// A request is taken while a unit is left, also where it is larger than what is left: the
    /// bucket then pays it back before the next.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which there is something left.
    pub fn take(
        &mut self,
        now: Millis,
        tenant: &str,
        units: u64,
        limit: Limit,
        reach: Reach,
    ) -> Result<(), Millis> {
        if limit.rate_per_second <= 0.0 {
            return Ok(());
        }
        let rate = limit.rate_per_second * reach.get_part();
        let untold = self.estimate_untold(now, tenant);
        let bucket = self.fill(now, tenant, limit, rate);
        if bucket.available - untold < LEAST_LEFT {
            let lacking = LEAST_LEFT + untold - bucket.available;
            return Err((lacking / rate * 1_000.0).ceil() as Millis);
        }
        bucket.available -= units as f64;
        *self.own.0.entry(tenant.to_owned()).or_default() += units;
        Ok(())
    }

    /// Gives back units of a request that did not run.
    pub fn give_back(&mut self, tenant: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.available += units as f64;
        }
        if let Some(used) = self.own.0.get_mut(tenant) {
            *used = used.saturating_sub(units);
        }
    }

    /// Returns what this life has used.
    pub fn get_own(&self) -> &UsedUnits {
        &self.own
    }

    /// Takes over what a life of a peer has used since its start.
    pub fn hear(&mut self, now: Millis, peer: &str, life: u64, used: &UsedUnits) {
        let known = self.peers.entry((peer.to_owned(), life)).or_default();
        let since = now.saturating_sub(known.at).max(1) as f64;
        for (tenant, units) in &used.0 {
            let before = known.used.0.insert(tenant.clone(), *units).unwrap_or(0);
            let newly = *units as f64 - before as f64;
            known.rates.insert(tenant.clone(), newly.max(0.0) / since);
            if let Some(bucket) = self.buckets.get_mut(tenant) {
                bucket.available -= newly;
            }
        }
        known.at = now;
    }

    /// Estimates what peers have used since they told last.
    fn estimate_untold(&self, now: Millis, tenant: &str) -> f64 {
        let untold = |told: &Told| {
            let since = now.saturating_sub(told.at).min(RATE_LASTS) as f64;
            told.rates.get(tenant).map_or(0.0, |rate| rate * since)
        };
        self.peers.values().map(untold).sum()
    }

    /// Forgets a life of a peer that is gone.
    pub fn forget(&mut self, peer: &str, life: u64) {
        self.peers.remove(&(peer.to_owned(), life));
    }

    fn fill(&mut self, now: Millis, tenant: &str, limit: Limit, rate: f64) -> &mut Bucket {
        let capacity = limit.burst.max(limit.rate_per_second / 10.0);
        let bucket = self.buckets.entry(tenant.to_owned());
        let bucket = bucket.or_insert(Bucket { available: capacity, filled_at: now });
        let gained = now.saturating_sub(bucket.filled_at) as f64 / 1_000.0 * rate;
        bucket.available = (bucket.available + gained).min(capacity);
        bucket.filled_at = now;
        bucket
    }
}
