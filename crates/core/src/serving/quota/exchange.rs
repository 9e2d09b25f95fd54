//! Exchanges the usage of client accounts with the other nodes.
//!
//! A node reports its own usage, and as an aggregator also that of its group and of all others. The
//! units that others report are charged to the buckets of whole client accounts.

use std::collections::BTreeMap;

use super::limit::{Limit, Tolerance};
use super::report::{AccountUsage, RATE_TTL_MS, Report, Source};
use super::{NEW_NODE_PERIOD_MS, Quotas};
use crate::Millis;
use crate::bucket::TokenBucket;

impl Quotas {
    /// Returns this node's own report and updates its rates.
    pub fn report(&mut self, now: Millis) -> Report {
        self.own.age = now.saturating_sub(self.started_at);
        self.own.counted_for = now.saturating_sub(self.counted_since);
        for (account, units) in &mut self.own.accounts {
            units.requested_per_second = self.own_rates.measure_requested(now, account, units);
            if let Some(bucket) = self.whole_buckets.get_mut(account) {
                bucket.refill(now);
                units.level = Some((bucket.available + bucket.reserved) as i64);
            }
        }
        self.own_rates.update(now, &self.own);
        self.own.clone()
    }

    /// Adds the usage of this node's group to its own report.
    pub fn add_group_usage(&mut self, now: Millis, own: &Report) -> Report {
        let group = std::mem::take(&mut self.group);
        let report = self.add_sums(now, own, Source::Member, &group);
        self.group = group;
        report
    }

    /// Adds the usage of all other nodes to the report of this node's group.
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
            if let Some(bucket) = self.whole_buckets.get_mut(account) {
                bucket.refill(now);
                units.level = Some((bucket.available + bucket.reserved) as i64);
            }
        }
        sum
    }

    /// Stops reporting units that have arrived at the former recipient of this node's reports.
    pub fn hand_over(&mut self, now: Millis, arrived: &BTreeMap<String, AccountUsage>) {
        self.counted_since = now;
        // The usage of the group has been reported too; its nodes count from zero.
        self.group.clear();
        self.own_rates.subtract(arrived);
        for (account, arrived) in arrived {
            if let Some(own) = self.own.accounts.get_mut(account) {
                own.requested = own.requested.saturating_sub(arrived.requested);
                own.admitted -= arrived.admitted;
            }
        }
    }

    /// Merges the report of this node's aggregator on all nodes, this one included.
    ///
    /// `arrived` holds this node's own units at the aggregator at the time of the report.
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

    /// Lowers the levels of the buckets to those that this node's aggregator reports.
    fn lower_levels(&mut self, now: Millis, total: &Report) {
        for (account, units) in &total.accounts {
            let (Some(bucket), Some(level)) = (self.whole_buckets.get_mut(account), units.level)
            else {
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
            rates.reported_at = now.saturating_sub(RATE_TTL_MS);
            rates.is_older = report.age > own_age;
            rates.started_at = now.saturating_sub(report.age);
        }
        // Units admitted long ago must not look like current usage.
        let is_counted_elsewhere = match source {
            Source::Aggregator => true,
            _ if own_age < NEW_NODE_PERIOD_MS => rates.is_older,
            _ => report.counted_for > NEW_NODE_PERIOD_MS,
        };
        let adopts_level = is_first && is_counted_elsewhere;
        let newly_admitted = rates.update(now, report);
        refund_all(&mut self.whole_buckets, charged);
        for (account, admitted) in newly_admitted {
            if adopts_level {
                self.lower_level(now, source, &account, report);
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
            if let Some(bucket) = self.whole_buckets.get_mut(&account) {
                bucket.refill(now);
                charge(self.tolerance, bucket, admitted);
            }
        }
    }

    /// Forgets the aggregators that this node reported to before.
    ///
    /// The usage of others since their last reports is charged by estimate, because the next
    /// aggregator may know less if it has just started.
    fn forget_aggregators(&mut self, now: Millis) {
        let whole_buckets = &mut self.whole_buckets;
        self.peers.retain(|(source, _, _), rates| {
            if *source != Source::Aggregator {
                return true;
            }
            for (account, bucket) in whole_buckets.iter_mut() {
                bucket.available -= rates.estimate_unreported_of_group(now, account);
            }
            false
        });
    }

    /// Lowers the level of a client account's bucket to the one that a peer reports.
    fn lower_level(&mut self, now: Millis, source: Source, account: &str, report: &Report) {
        let level = report.accounts.get(account).and_then(|units| units.level);
        let (Some(bucket), Some(level)) = (self.whole_buckets.get_mut(account), level) else {
            return;
        };
        bucket.refill(now);
        // A peer that this node has just met has not counted this node's admitted units yet.
        let is_new = now.saturating_sub(self.started_at) < NEW_NODE_PERIOD_MS;
        let own = self.own.accounts.get(account).map_or(0, |own| own.admitted);
        let uncounted = if is_new && source != Source::Aggregator { own } else { 0 };
        let level = level as f64 - uncounted as f64 - bucket.reserved;
        bucket.available = bucket.available.min(level);
    }

    /// Forgets an incarnation of a peer that has left.
    pub fn forget(&mut self, peer: &str, incarnation: u64) {
        for source in [Source::Peer, Source::Member, Source::Aggregator] {
            self.peers.remove(&(source, peer.to_owned(), incarnation));
        }
    }
}

/// Charges units that others admitted.
///
/// Unreachable nodes used a fraction of the rate with which this bucket was not refilled. Their
/// report for a long time may be many times the burst, so the debt is limited to the burst and the
/// tolerated excess.
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
