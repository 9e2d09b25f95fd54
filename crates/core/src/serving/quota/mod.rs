//! Distributed rate limiting: whether a client account is within its limit over all nodes.
//!
//! Each node keeps a bucket for the whole client account. It subtracts the units that it admits at
//! once, and the units that its peers admit when they report them, several times per second.
//! Between two reports, a peer is assumed to continue at its last rate. While the bucket is above
//! its low-water mark, every node admits requests by itself. Below the mark, reports are too old
//! for that, and one node, the owner of the account, decides for all others (see [`Decision`]). A
//! node that gets no decision from the owner admits its local share of the rate, in proportion to
//! the units that the client account requests from it. The shares add up to the whole rate.
//!
//! A fraction of the rate is reserved for each node that was not heard recently, because it may be
//! partitioned and still serve. All nodes together never exceed the whole rate.
//!
//! In groups (see [`super::members`]), an aggregator sums the usage of its group, exchanges the
//! sums with other aggregators, and reports the usage of all other nodes to each node of its group.
//!
//! A node that starts does not know what was admitted before. It adopts the level of a peer that
//! has run for longer. If no such peer exists, all nodes may have restarted and the burst may be
//! spent. They then start with a part of the tolerated excess, shared by all nodes.

mod decision;
mod exchange;
mod limit;
mod local_share;
mod report;

use std::collections::BTreeMap;

pub use self::decision::Decision;
pub use self::limit::{Limit, Reachability, Tolerance};
pub use self::report::{AccountUsage, Report, Source};

use self::report::Rates;
use crate::Millis;
use crate::bucket::TokenBucket;

/// The units that must be available for a request to be admitted.
const MIN_AVAILABLE: f64 = 1.0;
/// Report periods for which usage is assumed to be unreported: a report takes time and may be lost.
const UNREPORTED_PERIODS: f64 = 1.5;
/// The highest low-water mark, as a fraction of the burst. Below the mark, a node admits only its
/// local share of the rate.
const MAX_LOW_WATER_FRACTION: f64 = 0.4;
/// How long a node counts as new.
///
/// A new node has not seen what others admitted before, so the burst may be spent, even if all
/// nodes restarted.
const NEW_NODE_PERIOD_MS: Millis = 3_000;
/// The fraction of the tolerated excess by which the limit is raised.
///
/// Nodes that share a limit do not admit exactly the requests that a single bucket would, and no
/// request within the limit should be refused.
const RAISED_FRACTION: f64 = 0.5;
/// The same fraction if nodes report in groups.
///
/// The whole tolerated excess is needed for what nodes admit before reports arrive and while
/// aggregators are missing, above all when several aggregators stop within a second.
const RAISED_FRACTION_GROUPED: f64 = 0.0;
/// The age range in which the last report of a group is overdue.
///
/// It starts after some report periods, and ends when the group has been charged for and has long
/// counted as unreachable.
const OVERDUE_AGES: std::ops::Range<Millis> = 700..5_000;
/// The age from which a report is overdue, in sixths of the report delay, if that is longer.
///
/// Groups of one region have a report delay of 600 ms, which gives the same 700 ms.
const OVERDUE_DELAY_SIXTHS: u64 = 7;
/// How long a node admits only its share after a report that a region is overdue.
///
/// Each report repeats the notice, and some reports get lost.
const REGION_OVERDUE_PERIOD_MS: Millis = 700;
/// The fractions of the tolerated overshoot and slack that nodes start with if all of them
/// restarted.
///
/// The rest covers what they admit before their reports arrive, and further restarts of all nodes
/// within a window: the slack of a small client account is several seconds of its rate.
const RESTART_OVERSHOOT_FRACTION: f64 = 0.7;
const RESTART_SLACK_FRACTION: f64 = 0.35;

/// The usage of all client accounts, as one node knows it.
#[derive(Clone, Debug)]
pub struct Quotas {
    started_at: Millis,
    tolerance: Tolerance,
    /// Buckets of whole client accounts, by client account.
    whole_buckets: BTreeMap<String, TokenBucket>,
    /// Buckets of this node's local shares, by client account.
    local_share_buckets: BTreeMap<String, TokenBucket>,
    /// The time up to which units are booked for refused callers, by client account.
    booked_until: BTreeMap<String, f64>,
    own: Report,
    /// When this node last reset its own counters.
    counted_since: Millis,
    own_rates: Rates,
    /// Units per millisecond requested from this node, as of the last report of its aggregator, by
    /// client account.
    own_at_aggregator: BTreeMap<String, f64>,
    peers: BTreeMap<(Source, String, u64), Rates>,
    /// Units that the nodes of this node's group reported as admitted, by client account.
    group: BTreeMap<String, i64>,
    /// Units that other nodes reported as admitted, for themselves and their groups, by client
    /// account.
    others: BTreeMap<String, i64>,
    /// The time up to which the usage of a whole region is unknown.
    region_overdue_until: Millis,
}

impl Quotas {
    /// Creates the quotas of a node that starts now and does not know what others admitted before.
    pub fn new(now: Millis, tolerance: Tolerance) -> Self {
        Self {
            started_at: now,
            tolerance,
            whole_buckets: BTreeMap::new(),
            local_share_buckets: BTreeMap::new(),
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

    /// Records that this node or its aggregator has received nothing from a whole region for several
    /// report periods.
    ///
    /// The nodes of that region then use units that no report contains. Until all nodes count them
    /// as unreachable, this node admits only its share of the rate, and adopts the level that
    /// its aggregator estimates.
    pub fn record_overdue_region(&mut self, now: Millis) {
        self.region_overdue_until = now + REGION_OVERDUE_PERIOD_MS;
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole_buckets.get_mut(account) {
            bucket.available += units as f64;
        }
        if let Some(own) = self.own.accounts.get_mut(account) {
            own.admitted -= units as i64;
        }
    }

    /// Creates the bucket of a client account even if this node received none of its requests, so
    /// that the node can report the level to others.
    pub fn track(&mut self, now: Millis, account: &str, limit: Limit, reach: Reachability) {
        if limit.rate_per_second > 0.0 && !self.whole_buckets.contains_key(account) {
            let limit = self.tolerance.raise(limit, get_raised_fraction(reach));
            self.refill_whole(now, account, limit, reach);
        }
    }

    /// Returns the units available in a client account's bucket, as this node knows it.
    ///
    /// The value is negative if more was admitted than the limit allows. Returns `None` before the
    /// first request of the account.
    pub fn get_available(&self, now: Millis, account: &str) -> Option<f64> {
        let mut bucket = *self.whole_buckets.get(account)?;
        bucket.refill(now);
        Some(bucket.available)
    }

    fn admit(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.whole_buckets.get_mut(account) {
            bucket.available -= units as f64;
        }
        self.own.accounts.entry(account.to_owned()).or_default().admitted += units as i64;
    }

    /// Refills the bucket of the whole client account and returns the units available now.
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
            // A silent aggregator reported for many nodes. Their continuing usage must not look
            // like available units.
            unreported += peer.estimate_unreported_of_group(now, account);
            charged += peer.charge_unreported(now, account);
        }
        let reserved = self.get_restart_units(limit) * (1.0 - fraction);
        if !self.whole_buckets.contains_key(account) {
            let bucket = self.make_bucket(now, account, limit, reserved);
            self.whole_buckets.insert(account.to_owned(), bucket);
        }
        let Some(bucket) = self.whole_buckets.get_mut(account) else { return 0.0 };
        bucket.release(reserved);
        bucket.set_limits(now, rate, capacity);
        if charged > 0.0 {
            bucket.available -= charged;
            unreported -= charged;
        }
        bucket.available - unreported
    }

    /// Returns the units that all nodes together start with if all of them restarted.
    fn get_restart_units(&self, limit: Limit) -> f64 {
        let overshoot = self.tolerance.get_excess(limit) - self.tolerance.slack;
        let restart_units =
            overshoot * RESTART_OVERSHOOT_FRACTION + self.tolerance.slack * RESTART_SLACK_FRACTION;
        restart_units.min(limit.get_capacity())
    }

    /// Creates the bucket of a client account that has not sent a request to this node before.
    fn make_bucket(&self, now: Millis, account: &str, limit: Limit, reserved: f64) -> TokenBucket {
        if now >= self.started_at + NEW_NODE_PERIOD_MS {
            return TokenBucket::new(now, limit.get_capacity());
        }
        let restart_units = self.get_restart_units(limit);
        let reports = |is_older: bool| {
            let peers = self.peers.values().filter(move |peer| peer.is_older == is_older);
            peers.filter_map(|peer| peer.get_last(account))
        };
        let level = match reports(true).filter_map(|last| last.level).min() {
            Some(level) => restart_units.min(level as f64),
            None => restart_units - reports(false).map(|last| last.admitted as f64).sum::<f64>(),
        };
        TokenBucket::new(now, level - reserved).reserve(reserved)
    }

    /// Returns `true` if a report for many nodes is overdue: the available units are then too
    /// uncertain to admit more than a share of the rate.
    ///
    /// Reports between regions may be less frequent.
    fn is_any_overdue(&self, now: Millis, reach: Reachability) -> bool {
        let overdue =
            OVERDUE_AGES.start.max(reach.report_delay * OVERDUE_DELAY_SIXTHS / 6)..OVERDUE_AGES.end;
        let groups = self.peers.iter().filter(|((source, _, _), _)| *source != Source::Member);
        let mut ages = groups.map(|(_, rates)| now.saturating_sub(rates.reported_at));
        now < self.region_overdue_until || ages.any(|age| overdue.contains(&age))
    }

    /// Returns the low-water mark: the units that the client account may use before peers report
    /// them.
    fn get_low_water(&self, now: Millis, account: &str, capacity: f64, reach: Reachability) -> f64 {
        if reach.known == 1 {
            return MIN_AVAILABLE;
        }
        let unreported =
            self.get_all_requested(now, account) * reach.report_delay as f64 * UNREPORTED_PERIODS;
        unreported.clamp(MIN_AVAILABLE, (capacity * MAX_LOW_WATER_FRACTION).max(MIN_AVAILABLE))
    }

    /// Returns the units per millisecond that the client account requests from all heard nodes.
    fn get_all_requested(&self, now: Millis, account: &str) -> f64 {
        let own = self.own_rates.get_requested(now, account, Source::Peer);
        own + self.get_other_requested(now, account)
    }

    /// Returns the units per millisecond that the client account requests from all other heard
    /// nodes.
    fn get_other_requested(&self, now: Millis, account: &str) -> f64 {
        let peers = self.peers.iter();
        peers.map(|((source, _, _), rates)| rates.get_requested(now, account, *source)).sum()
    }

    /// Returns `true` if this node or one that it hears has run for a whole window: that node knows
    /// the usage of all nodes in the window.
    fn is_window_known(&self, now: Millis) -> bool {
        let length = self.tolerance.get_window();
        let started = self.peers.values().map(|peer| peer.started_at).min();
        now >= started.unwrap_or(Millis::MAX).min(self.started_at).saturating_add(length)
    }
}

fn get_raised_fraction(reach: Reachability) -> f64 {
    if reach.is_grouped { RAISED_FRACTION_GROUPED } else { RAISED_FRACTION }
}
