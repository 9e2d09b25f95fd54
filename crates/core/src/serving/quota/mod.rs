//! Whether a client account is within its limit over all nodes.
//!
//! Each node keeps the bucket of the whole client account. It subtracts what it admits at once, and
//! what its peers admit when they report it, some times a second; between two reports a peer is
//! assumed to go on at its last rate. While the bucket is well filled, every request is admitted.
//! Once it is low, reports are too old to decide by: each node then admits its local share of the
//! rate, in proportion to what the client account requests of it, and the shares sum up to the
//! whole.
//!
//! A fraction of the rate is reserved for each node that was not heard lately, which may be cut off
//! and serving: the nodes together never exceed the whole.
//!
//! A node that starts does not know what was admitted before. It takes the level from a peer that
//! has run for longer. Where no peer has, all nodes may have started again, and the burst may be
//! spent: they then begin with a part of what the operator tolerates beyond the limit, once over all
//! nodes.

mod bucket;
mod limit;
mod report;

use std::collections::BTreeMap;

pub use self::limit::{Limit, Reach, Tolerance};
pub use self::report::{Report, Units};

use self::bucket::Bucket;
use self::report::{RATE_VALID_FOR, Rates};
use crate::Millis;

/// What must be left for a request to be admitted, in units.
const LEAST_LEFT: f64 = 1.0;
/// Periods between reports in which use is unreported: a report may be lost, and takes its time.
const UNREPORTED_PERIODS: f64 = 1.5;
/// The largest fraction of the burst that counts as low: below, each node admits its local share of
/// the rate only.
const LOW_FRACTION: f64 = 0.4;
/// The part of the local share that is admitted, less what pays back what was admitted beyond the
/// limit.
const SHARE_ADMITTED: f64 = 1.0;
/// How much less of the share is admitted for each burst that was admitted beyond the limit.
const PAY_BACK_PART: f64 = 0.15;
/// The least part of the local share that is admitted while paying back.
const LEAST_SHARE_ADMITTED: f64 = 0.5;
/// A node that started less than this ago did not see what others admitted before: the burst may be
/// spent, also where all nodes started again.
const NEW_FOR: Millis = 3_000;
/// The part of the tolerance by which the limit is raised: nodes that share a limit do not admit
/// just the requests that one bucket would, and none of those that are within it should be refused.
const RAISED_PART: f64 = 0.5;
/// The part of the tolerated excess with which nodes begin that all started again. The rest covers
/// what they admit before their reports arrive.
const FRESH_PART: f64 = 0.7;
/// The part of the tolerated slack that nodes may admit in advance at the start of their local
/// shares, over all nodes.
const ADVANCE_PART: f64 = 0.3;

/// The use of all client accounts, as one node knows it.
#[derive(Clone, Debug)]
pub struct Quotas {
    started_at: Millis,
    tolerance: Tolerance,
    whole: BTreeMap<String, Bucket>,
    local_share: BTreeMap<String, Bucket>,
    own: Report,
    own_rates: Rates,
    peers: BTreeMap<(String, u64), Rates>,
}

impl Quotas {
    /// Makes the quotas of a node that starts now, and does not know what others admitted before.
    pub fn new(now: Millis, tolerance: Tolerance) -> Self {
        Self {
            started_at: now,
            tolerance,
            whole: BTreeMap::new(),
            local_share: BTreeMap::new(),
            own: Report::default(),
            own_rates: Rates::new(now),
            peers: BTreeMap::new(),
        }
    }

    /// Consumes units for a request of a client account.
    ///
    /// A request is admitted while a unit is left, also where it is larger than what is left: the
    /// bucket then pays it back before the next.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which there is something left.
    pub fn consume(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reach,
    ) -> Result<(), Millis> {
        if limit.rate_per_second <= 0.0 {
            return Ok(());
        }
        let limit = self.tolerance.raise(limit, RAISED_PART);
        self.own.accounts.entry(account.to_owned()).or_default().requested += units;
        let rate = limit.rate_per_second * reach.get_fraction();
        let capacity = limit.get_capacity();
        let left = self.refill_whole(now, account, limit, reach);
        let share = self.get_share(now, account, reach);
        if left >= self.get_low(now, account, capacity, reach) {
            // Nothing of the local share is saved up meanwhile, but what it admitted in advance is
            // paid back.
            if let Some(bucket) = self.local_share.get_mut(account) {
                bucket.set(now, rate * share, 0.0);
            }
            self.admit(account, units);
            return Ok(());
        }
        if reach.all == 1 {
            return Err(wait(LEAST_LEFT - left, rate));
        }
        let beyond = (-left / capacity).max(0.0);
        let admitted = (SHARE_ADMITTED - PAY_BACK_PART * beyond).max(LEAST_SHARE_ADMITTED);
        let share_rate = admitted * rate * share;
        let bucket = self.local_share.entry(account.to_owned());
        // The first request pays in advance: of many nodes, each would admit one too many
        // otherwise.
        let advance = self.tolerance.slack * ADVANCE_PART / reach.all as f64;
        let debt = (units as f64 - advance).max(0.0);
        let bucket = bucket.or_insert(Bucket::new(now, -debt));
        bucket.set(now, share_rate, share_rate.max(LEAST_LEFT));
        if bucket.available < LEAST_LEFT {
            return Err(wait(LEAST_LEFT - bucket.available, share_rate));
        }
        bucket.available -= units as f64;
        self.admit(account, units);
        Ok(())
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole.get_mut(account) {
            bucket.available += units as f64;
        }
        if let Some(own) = self.own.accounts.get_mut(account) {
            own.admitted = own.admitted.saturating_sub(units);
        }
    }

    /// Returns this incarnation's report, and notes how fast its figures grew.
    pub fn report(&mut self, now: Millis) -> Report {
        self.own.age = now.saturating_sub(self.started_at);
        for (account, units) in &mut self.own.accounts {
            units.requested_per_second = self.own_rates.measure_requested(now, account, units);
            if let Some(bucket) = self.whole.get_mut(account) {
                bucket.refill(now);
                units.level = (bucket.available + bucket.reserved) as i64;
            }
        }
        self.own_rates.update(now, &self.own);
        self.own.clone()
    }

    /// Merges the report of an incarnation of a peer.
    pub fn merge(&mut self, now: Millis, peer: &str, incarnation: u64, report: &Report) {
        let is_first = !self.peers.contains_key(&(peer.to_owned(), incarnation));
        let rates = self.peers.entry((peer.to_owned(), incarnation)).or_default();
        if is_first {
            rates.reported_at = now.saturating_sub(RATE_VALID_FOR);
            rates.is_older = report.age > now.saturating_sub(self.started_at);
        }
        let takes_level = is_first && rates.is_older;
        let newly_admitted = rates.update(now, report);
        for (account, admitted) in newly_admitted {
            let Some(bucket) = self.whole.get_mut(&account) else { continue };
            bucket.refill(now);
            if !takes_level {
                bucket.available -= admitted;
                continue;
            }
            // The peer has counted what the others admitted, but not yet what this node did.
            let known = report.accounts.get(&account).copied().unwrap_or_default();
            let own = self.own.accounts.get(&account).copied().unwrap_or_default();
            let level = known.level as f64 - own.admitted as f64 - bucket.reserved;
            bucket.available = bucket.available.min(level);
        }
    }

    /// Returns what is left of a client account's bucket, as this node knows it: below 0 where more
    /// was admitted than the limit allows; `None` before its first request.
    pub fn get_left(&self, now: Millis, account: &str) -> Option<f64> {
        let mut bucket = *self.whole.get(account)?;
        bucket.refill(now);
        Some(bucket.available)
    }

    /// Forgets an incarnation of a peer that is gone.
    pub fn forget(&mut self, peer: &str, incarnation: u64) {
        self.peers.remove(&(peer.to_owned(), incarnation));
    }

    fn admit(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole.get_mut(account) {
            bucket.available -= units as f64;
        }
        self.own.accounts.entry(account.to_owned()).or_default().admitted += units;
    }

    /// Refills the whole client account's bucket and returns what is left of it by now.
    fn refill_whole(&mut self, now: Millis, account: &str, limit: Limit, reach: Reach) -> f64 {
        let fraction = reach.get_fraction();
        let rate = limit.rate_per_second * fraction;
        let capacity = limit.get_capacity();
        let unreported: f64 =
            self.peers.values().map(|peer| peer.estimate_unreported(now, account)).sum();
        let reserved = self.get_fresh(limit) * (1.0 - fraction);
        if !self.whole.contains_key(account) {
            let bucket = self.make_bucket(now, account, limit, reserved);
            self.whole.insert(account.to_owned(), bucket);
        }
        let Some(bucket) = self.whole.get_mut(account) else { return 0.0 };
        bucket.release(reserved);
        bucket.set(now, rate, capacity);
        bucket.available - unreported
    }

    /// Returns the units with which all nodes together begin where all of them started again.
    fn get_fresh(&self, limit: Limit) -> f64 {
        (self.tolerance.get_excess(limit) * FRESH_PART).min(limit.get_capacity())
    }

    /// Makes the bucket of a client account that was not requested of this node before.
    fn make_bucket(&self, now: Millis, account: &str, limit: Limit, reserved: f64) -> Bucket {
        if now >= self.started_at + NEW_FOR {
            return Bucket::new(now, limit.get_capacity());
        }
        let fresh = self.get_fresh(limit);
        let reports = |is_older: bool| {
            let peers = self.peers.values().filter(move |peer| peer.is_older == is_older);
            peers.filter_map(|peer| peer.get_last(account))
        };
        let level = match reports(true).map(|last| last.level).min() {
            Some(level) => fresh.min(level as f64),
            None => fresh - reports(false).map(|last| last.admitted as f64).sum::<f64>(),
        };
        Bucket::new(now, level - reserved).reserve(reserved)
    }

    /// Returns the level that counts as low: what the client account may use before peers report
    /// it.
    fn get_low(&self, now: Millis, account: &str, capacity: f64, reach: Reach) -> f64 {
        if reach.all == 1 {
            return LEAST_LEFT;
        }
        let unreported =
            self.get_all_requested(now, account) * reach.period as f64 * UNREPORTED_PERIODS;
        unreported.clamp(LEAST_LEFT, (capacity * LOW_FRACTION).max(LEAST_LEFT))
    }

    /// Returns what the client account requests of all nodes that are heard, in units a
    /// millisecond.
    fn get_all_requested(&self, now: Millis, account: &str) -> f64 {
        let peers: f64 = self.peers.values().map(|peer| peer.get_requested(now, account)).sum();
        self.own_rates.get_requested(now, account) + peers
    }

    /// Returns this node's share of what the client account requests of all nodes that are heard.
    ///
    /// While this node is new its peers may be too, and may not have reported yet what is requested
    /// of them: an even share is no node's loss then.
    fn get_share(&self, now: Millis, account: &str, reach: Reach) -> f64 {
        let own = self.own_rates.get_requested(now, account);
        let is_new = now < self.started_at + NEW_FOR;
        if own <= 0.0 || is_new {
            return 1.0 / reach.heard.max(1) as f64;
        }
        own / self.get_all_requested(now, account)
    }
}

fn wait(lacking: f64, rate: f64) -> Millis {
    (lacking / rate * 1_000.0).ceil() as Millis
}
