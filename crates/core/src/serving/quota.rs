//! Whether a client account is within its limit over all nodes.
//!
//! Each node keeps the bucket of the whole client account. It takes its own use from it at once,
//! and that of its peers as they tell of it, some times a second; until a peer tells again, it is
//! taken to go on at the rate that it last told. While much is left, every request is taken. Once
//! little is left, what peers tell is too old to decide by: a node then gives its own part of the
//! rate, which is its part of what the client account asks of all nodes, and the parts sum up to
//! the whole.
//!
//! A part of the rate is set aside for each node that is not heard, which may be cut off and
//! serving: the parts of all nodes together never exceed the whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;

/// What must be left for a request to be taken, in units.
const LEAST_LEFT: f64 = 1.0;

/// A client account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second; 0 sets no limit.
    pub rate_per_second: f64,
    /// Units that may be used at once besides.
    pub burst: f64,
}

impl Limit {
    /// Returns the most units that are saved up; a limit without a burst saves up a little.
    fn get_capacity(self) -> f64 {
        self.burst.max(self.rate_per_second / 10.0)
    }
}

/// How many nodes there are, how many of them are heard (this one included), and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that are heard.
    pub heard: usize,
    /// Nodes that may be serving.
    pub all: usize,
    /// The time between two messages of a peer.
    pub period: Millis,
}

impl Reach {
    fn get_part(self) -> f64 {
        self.heard.max(1) as f64 / self.all.max(self.heard).max(1) as f64
    }
}

/// What one life of a node was asked for by a client account, and gave, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Units {
    /// Units of all requests, those that were refused too.
    pub asked: u64,
    /// Units of the requests that were taken.
    pub used: u64,
    /// Units asked for a second, lately: all nodes work out their parts from the same figures.
    pub asked_per_second: u64,
}

/// The units of one life of a node, by client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountUnits(pub BTreeMap<String, Units>);

/// The use of all client accounts, as one node knows it.
#[derive(Clone, Debug)]
pub struct Quotas {
    started_at: Millis,
    whole: BTreeMap<String, Bucket>,
    own_part: BTreeMap<String, Bucket>,
    own: AccountUnits,
    own_rates: Rates,
    peers: BTreeMap<(String, u64), Rates>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    available: f64,
    filled_at: Millis,
    rate: f64,
    capacity: f64,
}

impl Bucket {
    fn new(now: Millis, available: f64) -> Self {
        Self { available, filled_at: now, rate: 0.0, capacity: f64::INFINITY }
    }

    /// Fills the bucket at the rate that held until now, and sets the one that holds from now on.
    fn set(&mut self, now: Millis, rate: f64, capacity: f64) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.available = self.available.min(capacity);
    }

    fn fill(&mut self, now: Millis) {
        let gained = now.saturating_sub(self.filled_at) as f64 / 1_000.0 * self.rate;
        self.available = (self.available + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }
}

/// What a life of a node told last, and how fast that grew. Rates are units a millisecond.
#[derive(Clone, Debug, Default)]
struct Rates {
    told_at: Millis,
    told: AccountUnits,
    used: BTreeMap<String, f64>,
    asked: BTreeMap<String, f64>,
}

impl Rates {
    /// Takes over new totals; returns the units used since the last ones, by client account.
    fn update(&mut self, now: Millis, totals: &AccountUnits) -> Vec<(String, f64)> {
        let since = now.saturating_sub(self.told_at).max(1) as f64;
        let mut newly_used = Vec::new();
        for (account, units) in &totals.0 {
            let before = self.told.0.insert(account.clone(), *units).unwrap_or_default();
            let used = units.used as f64 - before.used as f64;
            self.used.insert(account.clone(), used.max(0.0) / since);
            self.asked.insert(account.clone(), units.asked_per_second as f64 / 1_000.0);
            newly_used.push((account.clone(), used));
        }
        self.told_at = now;
        newly_used
    }

    /// Computes how fast units were asked for, from new totals.
    fn measure_asked(&self, now: Millis, account: &str, units: &Units) -> u64 {
        let since = now.saturating_sub(self.told_at).max(1) as f64;
        let before = self.told.0.get(account).copied().unwrap_or_default();
        let newest = units.asked.saturating_sub(before.asked) as f64 / since * 1_000.0;
        let known = before.asked_per_second as f64;
        (known + SMOOTHING * (newest - known)) as u64
    }

    /// Estimates the units used since the last totals.
    fn estimate_untold(&self, now: Millis, account: &str) -> f64 {
        let since = now.saturating_sub(self.told_at).min(RATE_LASTS) as f64;
        self.used.get(account).map_or(0.0, |rate| rate * since)
    }

    fn get_asked(&self, now: Millis, account: &str) -> f64 {
        let is_recent = now < self.told_at + RATE_LASTS;
        self.asked.get(account).copied().filter(|_| is_recent).unwrap_or(0.0)
    }
}

/// How long a rate is taken to go on after it was told.
const RATE_LASTS: Millis = 2_000;
/// The weight of the newest sample of a rate.
const SMOOTHING: f64 = 0.5;
/// Periods between messages in which use is untold: a message may be lost, and takes its time.
const PERIODS_UNTOLD: f64 = 1.5;
/// The largest part of the burst that counts as little left: below, each node gives its own part of
/// the rate only.
const LITTLE_LEFT_PART: f64 = 0.4;
/// The part of the rate that is given then, less what pays back what was given beyond the limit.
const PART_GIVEN: f64 = 1.0;
/// How much less of the rate is given for each burst that was given beyond the limit.
const PAID_BACK_PART: f64 = 0.15;
const LEAST_GIVEN: f64 = 0.5;
/// A node that started less than this ago did not see what others gave before: the burst may be
/// spent, also where all nodes started anew.
const NEW_FOR: Millis = 3_000;
/// The part of the burst with which such a node begins, of what it has for the nodes that it hears:
/// nodes that do not hear each other yet give it once together, not once each.
const NEW_PART: f64 = 0.4;

impl Quotas {
    /// Makes the quotas of a node that starts now, and does not know what others gave before.
    pub fn new(now: Millis) -> Self {
        Self {
            started_at: now,
            whole: BTreeMap::new(),
            own_part: BTreeMap::new(),
            own: AccountUnits::default(),
            own_rates: Rates { told_at: now, ..Rates::default() },
            peers: BTreeMap::new(),
        }
    }

    /// Takes units for a request of a client account.
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
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reach,
    ) -> Result<(), Millis> {
        if limit.rate_per_second <= 0.0 {
            return Ok(());
        }
        self.own.0.entry(account.to_owned()).or_default().asked += units;
        let rate = limit.rate_per_second * reach.get_part();
        let capacity = limit.get_capacity();
        let left = self.fill_whole(now, account, limit, reach);
        let share = self.get_share(now, account, reach);
        if left >= self.get_little(now, account, capacity, reach) {
            // Nothing of the own part is saved up meanwhile, but what it gave in advance is paid
            // back.
            if let Some(bucket) = self.own_part.get_mut(account) {
                bucket.set(now, rate * share, 0.0);
            }
            self.give(account, units);
            return Ok(());
        }
        if reach.all == 1 {
            return Err(wait(LEAST_LEFT - left, rate));
        }
        let beyond = (-left / capacity).max(0.0);
        let given = (PART_GIVEN - PAID_BACK_PART * beyond).max(LEAST_GIVEN);
        let part = given * rate * share;
        let bucket = self.own_part.entry(account.to_owned());
        // The first request pays in advance: of many nodes, each would give one too many otherwise.
        let bucket = bucket.or_insert(Bucket::new(now, -(units as f64)));
        bucket.set(now, part, part.max(LEAST_LEFT));
        if bucket.available < LEAST_LEFT {
            return Err(wait(LEAST_LEFT - bucket.available, part));
        }
        bucket.available -= units as f64;
        self.give(account, units);
        Ok(())
    }

    /// Gives back units of a request that did not run.
    pub fn give_back(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole.get_mut(account) {
            bucket.available += units as f64;
        }
        if let Some(own) = self.own.0.get_mut(account) {
            own.used = own.used.saturating_sub(units);
        }
    }

    /// Returns what this life was asked for and gave, and notes how fast that grew.
    pub fn tell(&mut self, now: Millis) -> AccountUnits {
        for (account, units) in &mut self.own.0 {
            units.asked_per_second = self.own_rates.measure_asked(now, account, units);
        }
        self.own_rates.update(now, &self.own);
        self.own.clone()
    }

    /// Takes over what a life of a peer was asked for and gave since its start.
    pub fn hear(&mut self, now: Millis, peer: &str, life: u64, totals: &AccountUnits) {
        let is_new = now < self.started_at + NEW_FOR;
        let is_first = !self.peers.contains_key(&(peer.to_owned(), life));
        let rates = self.peers.entry((peer.to_owned(), life)).or_default();
        if is_first {
            rates.told_at = now.saturating_sub(RATE_LASTS);
        }
        let newly_used = rates.update(now, totals);
        // What a peer gave before this node began to count is no use of this node's bucket.
        if is_first && is_new {
            return;
        }
        for (account, used) in newly_used {
            if let Some(bucket) = self.whole.get_mut(&account) {
                bucket.fill(now);
                bucket.available -= used;
            }
        }
    }

    /// Returns what is left of a client account's bucket, as this node knows it: below 0 where more
    /// was given than the limit allows; `None` where nothing was asked of it yet.
    pub fn get_left(&self, now: Millis, account: &str) -> Option<f64> {
        let mut bucket = *self.whole.get(account)?;
        bucket.fill(now);
        Some(bucket.available)
    }

    /// Forgets a life of a peer that is gone.
    pub fn forget(&mut self, peer: &str, life: u64) {
        self.peers.remove(&(peer.to_owned(), life));
    }

    fn give(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole.get_mut(account) {
            bucket.available -= units as f64;
        }
        self.own.0.entry(account.to_owned()).or_default().used += units;
    }

    /// Fills the whole client account's bucket and returns what is left of it by now.
    fn fill_whole(&mut self, now: Millis, account: &str, limit: Limit, reach: Reach) -> f64 {
        let part = reach.get_part();
        let rate = limit.rate_per_second * part;
        let capacity = limit.get_capacity();
        let untold: f64 = self.peers.values().map(|p| p.estimate_untold(now, account)).sum();
        let is_new = now < self.started_at + NEW_FOR;
        let first = if is_new { capacity * NEW_PART * part } else { capacity };
        let bucket = self.whole.entry(account.to_owned());
        let bucket = bucket.or_insert(Bucket::new(now, first));
        bucket.set(now, rate, capacity);
        bucket.available - untold
    }

    /// Returns what counts as little left: what the client account may use before peers tell of it.
    fn get_little(&self, now: Millis, account: &str, capacity: f64, reach: Reach) -> f64 {
        if reach.all == 1 {
            return LEAST_LEFT;
        }
        let untold = self.get_all_asked(now, account) * reach.period as f64 * PERIODS_UNTOLD;
        untold.clamp(LEAST_LEFT, (capacity * LITTLE_LEFT_PART).max(LEAST_LEFT))
    }

    /// Returns what the client account asks of all nodes that are heard, in units a millisecond.
    fn get_all_asked(&self, now: Millis, account: &str) -> f64 {
        let peers: f64 = self.peers.values().map(|peer| peer.get_asked(now, account)).sum();
        self.own_rates.get_asked(now, account) + peers
    }

    /// Returns this node's part of what the client account asks of all nodes that are heard.
    ///
    /// While this node is new its peers may be too, and may not have told yet what they are asked
    /// for: an even part is no node's loss then.
    fn get_share(&self, now: Millis, account: &str, reach: Reach) -> f64 {
        let own = self.own_rates.get_asked(now, account);
        let is_new = now < self.started_at + NEW_FOR;
        if own <= 0.0 || is_new {
            return 1.0 / reach.heard.max(1) as f64;
        }
        own / self.get_all_asked(now, account)
    }
}

fn wait(lacking: f64, rate: f64) -> Millis {
    (lacking / rate * 1_000.0).ceil() as Millis
}
