//! Whether a client account is within its limit over all nodes.
//!
//! Each node keeps the bucket of the whole client account. It subtracts what it admits at once, and
//! what its peers admit when they report it, some times a second; between two reports a peer is
//! assumed to go on at its last rate. While the bucket is well filled, every node admits by itself.
//! Once it is low, reports are too old to decide by: one node, the account's owner, then decides for
//! all others (see [`Decision`]). A node that gets no decision from it admits its local share of
//! the rate, in proportion to what the client account requests of it; the shares sum up to the
//! whole.
//!
//! A fraction of the rate is reserved for each node that was not heard lately, which may be cut off
//! and serving: the nodes together never exceed the whole.
//!
//! In groups (see [`super::members`]) an aggregator adds up the units of its group, exchanges the
//! sums with other aggregators, and reports to each node of its group what all others use.
//!
//! A node that starts does not know what was admitted before. It takes the level from a peer that
//! has run for longer. Where no peer has, all nodes may have started again, and the burst may be
//! spent: they then begin with a part of what the operator tolerates beyond the limit, once over all
//! nodes.

mod decision;
mod limit;
mod local_share;
mod report;

use std::collections::BTreeMap;

pub use self::decision::Decision;
pub use self::limit::{Limit, Reachability, Tolerance};
pub use self::report::{AccountUsage, Report, Source};

use self::report::{RATE_VALID_FOR, Rates};
use crate::Millis;
use crate::bucket::TokenBucket;

/// What must be left for a request to be admitted, in units.
const LEAST_LEFT: f64 = 1.0;
/// Periods between reports in which use is unreported: a report may be lost, and takes its time.
const UNREPORTED_PERIODS: f64 = 1.5;
/// The largest fraction of the burst that counts as low: below, each node admits its local share of
/// the rate only.
const LOW_FRACTION: f64 = 0.4;
/// A node that started less than this ago did not see what others admitted before: the burst may be
/// spent, also where all nodes started again.
const NEW_FOR: Millis = 3_000;
/// The part of the tolerance by which the limit is raised: nodes that share a limit do not admit
/// just the requests that one bucket would, and none of those that are within it should be refused.
const RAISED_PART: f64 = 0.5;
/// The same where nodes report in groups: all of the tolerance is for what nodes admit before reports
/// arrive, and while aggregators are away (property test `groups`: 0.25 exceeded it by 1.3 in 100
/// where two of three aggregators ended within a second).
const RAISED_PART_GROUPED: f64 = 0.0;
/// The age of the last report of a group at which it is overdue: after some periods, until it has
/// been charged for and is counted as out of reach for long.
const OVERDUE: std::ops::Range<Millis> = 700..5_000;
/// The age at which it is overdue where reports take longer, in sixths of the time that they take to
/// reach all nodes. Groups of one region take 600 ms: that is the same 700 ms.
const OVERDUE_SIXTHS: u64 = 7;
/// How long a node admits only its share after a report that a region is overdue, in milliseconds.
/// Each report repeats that, and some reports get lost.
const REGION_OVERDUE_FOR: Millis = 700;
/// The parts of the tolerated overshoot and slack with which nodes begin that all started again. The
/// rest covers what they admit before their reports arrive, and further starts of all within a
/// window: the slack of a small client account is several seconds of its rate.
const FRESH_OVERSHOOT_PART: f64 = 0.7;
const FRESH_SLACK_PART: f64 = 0.35;

/// The use of all client accounts, as one node knows it.
#[derive(Clone, Debug)]
pub struct Quotas {
    started_at: Millis,
    tolerance: Tolerance,
    whole: BTreeMap<String, TokenBucket>,
    local_share: BTreeMap<String, TokenBucket>,
    /// Until when units are booked for refused callers, by client account.
    booked_until: BTreeMap<String, f64>,
    own: Report,
    /// When this node began to count its own units from none.
    counted_since: Millis,
    own_rates: Rates,
    /// Units that this node was requested for a millisecond as of its aggregator's last report, by client
    /// account.
    own_at_aggregator: BTreeMap<String, f64>,
    peers: BTreeMap<(Source, String, u64), Rates>,
    /// Units that the nodes of this node's group were heard to admit, by client account.
    group: BTreeMap<String, i64>,
    /// Units that other nodes were heard to admit, for themselves and their groups.
    others: BTreeMap<String, i64>,
    /// Until when nothing is known of what a whole region uses.
    region_overdue_until: Millis,
}

impl Quotas {
    /// Makes the quotas of a node that starts now, and does not know what others admitted before.
    pub fn new(now: Millis, tolerance: Tolerance) -> Self {
        Self {
            started_at: now,
            tolerance,
            whole: BTreeMap::new(),
            local_share: BTreeMap::new(),
            booked_until: BTreeMap::new(),
            own: Report::default(),
            counted_since: now,
            own_rates: Rates::new(now),
            own_at_aggregator: BTreeMap::new(),
            peers: BTreeMap::new(),
            group: BTreeMap::new(),
            others: BTreeMap::new(),
            region_overdue_until: 0,
        }
    }

    /// Notes that nothing came from a whole region for some periods, as this node or its aggregator
    /// finds.
    ///
    /// The nodes there then use units that no report names. Until all nodes count them as out of
    /// reach, a node admits only its share of the rate, and takes over the level that its aggregator
    /// estimates.
    pub fn note_overdue_region(&mut self, now: Millis) {
        self.region_overdue_until = now + REGION_OVERDUE_FOR;
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole.get_mut(account) {
            bucket.available += units as f64;
        }
        if let Some(own) = self.own.accounts.get_mut(account) {
            own.admitted -= units as i64;
        }
    }

    /// Keeps the bucket of a client account also where none of its requests came to this node, so
    /// that its level can be reported to others.
    pub fn track(&mut self, now: Millis, account: &str, limit: Limit, reach: Reachability) {
        if limit.rate_per_second > 0.0 && !self.whole.contains_key(account) {
            let limit = self.tolerance.raise(limit, get_raised_part(reach));
            self.refill_whole(now, account, limit, reach);
        }
    }

    /// Returns this node's own report, and notes how fast its figures grew.
    pub fn report(&mut self, now: Millis) -> Report {
        self.own.age = now.saturating_sub(self.started_at);
        self.own.counted_for = now.saturating_sub(self.counted_since);
        for (account, units) in &mut self.own.accounts {
            units.requested_per_second = self.own_rates.measure_requested(now, account, units);
            if let Some(bucket) = self.whole.get_mut(account) {
                bucket.refill(now);
                units.level = Some((bucket.available + bucket.reserved) as i64);
            }
        }
        self.own_rates.update(now, &self.own);
        self.own.clone()
    }

    /// Adds what this node's group uses to its own report.
    pub fn add_group_usage(&mut self, now: Millis, own: &Report) -> Report {
        let group = std::mem::take(&mut self.group);
        let report = self.add_sums(now, own, Source::Member, &group);
        self.group = group;
        report
    }

    /// Adds what all others use to the report of this node's group.
    pub fn add_other_usage(&mut self, now: Millis, group: &Report) -> Report {
        let others = std::mem::take(&mut self.others);
        let report = self.add_sums(now, group, Source::Peer, &others);
        self.others = others;
        report
    }

    fn add_sums(
        &mut self,
        now: Millis,
        report: &Report,
        source: Source,
        admitted: &BTreeMap<String, i64>,
    ) -> Report {
        let mut sum = report.clone();
        for (account, admitted) in admitted {
            sum.accounts.entry(account.clone()).or_default().add(*admitted, 0);
        }
        let reporting = self.peers.iter().filter(|((from, _, _), _)| *from == source);
        for (_, rates) in reporting {
            for account in rates.iter_accounts() {
                let requested = rates.get_requested(now, account, source) * 1_000.0;
                sum.accounts.entry(account.clone()).or_default().add(0, requested as u64);
            }
        }
        for (account, units) in &mut sum.accounts {
            if let Some(bucket) = self.whole.get_mut(account) {
                bucket.refill(now);
                units.level = Some((bucket.available + bucket.reserved) as i64);
            }
        }
        sum
    }

    /// Stops to report units that have arrived where this node reported until now.
    pub fn hand_over(&mut self, now: Millis, arrived: &BTreeMap<String, AccountUsage>) {
        self.counted_since = now;
        // What the group used has been reported too; its nodes count anew.
        self.group.clear();
        self.own_rates.take_off(arrived);
        for (account, arrived) in arrived {
            if let Some(own) = self.own.accounts.get_mut(account) {
                own.requested = own.requested.saturating_sub(arrived.requested);
                own.admitted -= arrived.admitted;
            }
        }
    }

    /// Merges what this node's aggregator reports of all nodes, this one included, as of the time
    /// at which `arrived` were this node's own units there.
    pub fn merge_total(
        &mut self,
        now: Millis,
        from: (&str, u64),
        total: &Report,
        arrived: &BTreeMap<String, AccountUsage>,
    ) {
        let mut others = total.clone();
        for (account, units) in &mut others.accounts {
            let at_aggregator = arrived.get(account).copied().unwrap_or_default();
            let own = self.own.accounts.get(account).copied().unwrap_or_default();
            units.admitted -= at_aggregator.admitted;
            units.requested_per_second =
                units.requested_per_second.saturating_sub(at_aggregator.requested_per_second);
            let uncounted = own.admitted - at_aggregator.admitted;
            units.level = units.level.map(|level| level - uncounted);
        }
        self.merge(now, Source::Aggregator, from, &others);
        self.own_at_aggregator = arrived
            .iter()
            .map(|(account, units)| (account.clone(), units.requested_per_second as f64 / 1_000.0))
            .collect();
        if now < self.region_overdue_until {
            self.lower_levels(now, &others);
        }
    }

    /// Takes over what this node's aggregator knows to be left, where that is less.
    fn lower_levels(&mut self, now: Millis, total: &Report) {
        for (account, units) in &total.accounts {
            let (Some(bucket), Some(level)) = (self.whole.get_mut(account), units.level) else {
                continue;
            };
            bucket.refill(now);
            bucket.available = bucket.available.min(level as f64 - bucket.reserved);
        }
    }

    /// Merges the report of an incarnation of a peer, given by its name and number.
    pub fn merge(&mut self, now: Millis, source: Source, from: (&str, u64), report: &Report) {
        let (peer, incarnation) = from;
        let key = (source, peer.to_owned(), incarnation);
        let is_first = !self.peers.contains_key(&key);
        let own_age = now.saturating_sub(self.started_at);
        if is_first && source == Source::Aggregator {
            self.forget_aggregators(now);
        }
        let rates = self.peers.entry(key).or_default();
        let charged = rates.take_charged();
        if is_first {
            rates.reported_at = now.saturating_sub(RATE_VALID_FOR);
            rates.is_older = report.age > own_age;
            rates.started_at = now.saturating_sub(report.age);
        }
        // What was admitted long ago must not look like use of now.
        let is_counted_elsewhere = match source {
            Source::Aggregator => true,
            _ if own_age < NEW_FOR => rates.is_older,
            _ => report.counted_for > NEW_FOR,
        };
        let takes_level = is_first && is_counted_elsewhere;
        let newly_admitted = rates.update(now, report);
        refund_all(&mut self.whole, charged);
        for (account, admitted) in newly_admitted {
            if takes_level {
                self.take_level(now, source, &account, report);
                continue;
            }
            let sums = match source {
                Source::Member => Some(&mut self.group),
                Source::Peer => Some(&mut self.others),
                Source::Aggregator => None,
            };
            if let Some(sums) = sums {
                *sums.entry(account.clone()).or_default() += admitted;
            }
            if let Some(bucket) = self.whole.get_mut(&account) {
                bucket.refill(now);
                charge(self.tolerance, bucket, admitted);
            }
        }
    }

    /// Forgets the aggregators that this node reported to before. What others used since their last
    /// reports is charged by estimate: the next aggregator may know less, where it has just started.
    fn forget_aggregators(&mut self, now: Millis) {
        let whole = &mut self.whole;
        self.peers.retain(|(source, _, _), rates| {
            if *source != Source::Aggregator {
                return true;
            }
            for (account, bucket) in whole.iter_mut() {
                bucket.available -= rates.estimate_unreported_of_group(now, account);
            }
            false
        });
    }

    /// Takes over what a peer knows to be left of a client account's bucket, where that is less
    /// than this node knows.
    fn take_level(&mut self, now: Millis, source: Source, account: &str, report: &Report) {
        let level = report.accounts.get(account).and_then(|units| units.level);
        let (Some(bucket), Some(level)) = (self.whole.get_mut(account), level) else { return };
        bucket.refill(now);
        // A peer that this node has just met has not counted yet what this node admitted.
        let is_new = now.saturating_sub(self.started_at) < NEW_FOR;
        let own = self.own.accounts.get(account).map_or(0, |own| own.admitted);
        let uncounted = if is_new && source != Source::Aggregator { own } else { 0 };
        let level = level as f64 - uncounted as f64 - bucket.reserved;
        bucket.available = bucket.available.min(level);
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
        for source in [Source::Peer, Source::Member, Source::Aggregator] {
            self.peers.remove(&(source, peer.to_owned(), incarnation));
        }
    }

    fn admit(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole.get_mut(account) {
            bucket.available -= units as f64;
        }
        self.own.accounts.entry(account.to_owned()).or_default().admitted += units as i64;
    }

    /// Refills the whole client account's bucket and returns what is left of it by now.
    fn refill_whole(
        &mut self,
        now: Millis,
        account: &str,
        limit: Limit,
        reach: Reachability,
    ) -> f64 {
        let fraction = reach.get_fraction();
        let rate = limit.rate_per_second * fraction;
        let capacity = limit.get_capacity();
        let mut unreported = 0.0;
        let mut charged = 0.0;
        for ((source, _, _), peer) in &mut self.peers {
            if !reach.is_grouped || *source == Source::Member {
                unreported += peer.estimate_unreported(now, account);
                continue;
            }
            // An aggregator that falls silent reported for many nodes. What they go on to use must
            // not look like units that are left.
            unreported += peer.estimate_unreported_of_group(now, account);
            charged += peer.charge_unreported(now, account);
        }
        let reserved = self.get_fresh(limit) * (1.0 - fraction);
        if !self.whole.contains_key(account) {
            let bucket = self.make_bucket(now, account, limit, reserved);
            self.whole.insert(account.to_owned(), bucket);
        }
        let Some(bucket) = self.whole.get_mut(account) else { return 0.0 };
        bucket.release(reserved);
        bucket.set_limits(now, rate, capacity);
        if charged > 0.0 {
            bucket.available -= charged;
            unreported -= charged;
        }
        bucket.available - unreported
    }

    /// Returns the units with which all nodes together begin where all of them started again.
    fn get_fresh(&self, limit: Limit) -> f64 {
        let overshoot = self.tolerance.get_excess(limit) - self.tolerance.slack;
        let fresh = overshoot * FRESH_OVERSHOOT_PART + self.tolerance.slack * FRESH_SLACK_PART;
        fresh.min(limit.get_capacity())
    }

    /// Makes the bucket of a client account that was not requested of this node before.
    fn make_bucket(&self, now: Millis, account: &str, limit: Limit, reserved: f64) -> TokenBucket {
        if now >= self.started_at + NEW_FOR {
            return TokenBucket::new(now, limit.get_capacity());
        }
        let fresh = self.get_fresh(limit);
        let reports = |is_older: bool| {
            let peers = self.peers.values().filter(move |peer| peer.is_older == is_older);
            peers.filter_map(|peer| peer.get_last(account))
        };
        let level = match reports(true).filter_map(|last| last.level).min() {
            Some(level) => fresh.min(level as f64),
            None => fresh - reports(false).map(|last| last.admitted as f64).sum::<f64>(),
        };
        TokenBucket::new(now, level - reserved).reserve(reserved)
    }

    /// Returns `true` if a report for many nodes did not come in time: what is left is then known too
    /// badly to admit more than a share of the rate.
    ///
    /// Reports that cross between regions may come less often.
    fn is_any_overdue(&self, now: Millis, reach: Reachability) -> bool {
        let overdue = OVERDUE.start.max(reach.report_delay * OVERDUE_SIXTHS / 6)..OVERDUE.end;
        let groups = self.peers.iter().filter(|((source, _, _), _)| *source != Source::Member);
        let mut ages = groups.map(|(_, rates)| now.saturating_sub(rates.reported_at));
        now < self.region_overdue_until || ages.any(|age| overdue.contains(&age))
    }

    /// Returns the level that counts as low: what the client account may use before peers report
    /// it.
    fn get_low(&self, now: Millis, account: &str, capacity: f64, reach: Reachability) -> f64 {
        if reach.known == 1 {
            return LEAST_LEFT;
        }
        let unreported =
            self.get_all_requested(now, account) * reach.report_delay as f64 * UNREPORTED_PERIODS;
        unreported.clamp(LEAST_LEFT, (capacity * LOW_FRACTION).max(LEAST_LEFT))
    }

    /// Returns what the client account requests of all nodes that are heard, in units a
    /// millisecond.
    fn get_all_requested(&self, now: Millis, account: &str) -> f64 {
        let own = self.own_rates.get_requested(now, account, Source::Peer);
        own + self.get_others_requested(now, account)
    }

    /// Returns what the client account requests of all other nodes that are heard, in units a millisecond.
    fn get_others_requested(&self, now: Millis, account: &str) -> f64 {
        let peers = self.peers.iter();
        peers.map(|((source, _, _), rates)| rates.get_requested(now, account, *source)).sum()
    }

    /// Returns `true` if this node, or one that it hears, has run for a whole window: some node then
    /// knows what all of them used in it.
    fn is_window_known(&self, now: Millis) -> bool {
        let length = self.tolerance.get_window();
        let started = self.peers.values().map(|peer| peer.started_at).min();
        now >= started.unwrap_or(Millis::MAX).min(self.started_at).saturating_add(length)
    }
}

fn get_raised_part(reach: Reachability) -> f64 {
    if reach.is_grouped { RAISED_PART_GROUPED } else { RAISED_PART }
}

/// Charges what others admitted.
///
/// Nodes that were out of reach used a part of the rate that did not refill this bucket meanwhile.
/// What they report of a long time may be many times the burst. The debt is therefore bounded by the
/// burst and the tolerated excess.
fn charge(tolerance: Tolerance, bucket: &mut TokenBucket, admitted: i64) {
    let admitted = admitted as f64;
    let Some((rate, capacity)) = bucket.get_limits() else {
        bucket.available -= admitted;
        return;
    };
    let excess = tolerance.get_excess(Limit { rate_per_second: rate, burst: capacity });
    let least = bucket.available.min(-(capacity + excess));
    bucket.available = (bucket.available - admitted).max(least);
}

fn refund_all(buckets: &mut BTreeMap<String, TokenBucket>, units: BTreeMap<String, f64>) {
    for (account, units) in units {
        if let Some(bucket) = buckets.get_mut(&account) {
            bucket.available += units;
        }
    }
}
