//! What a node admits by itself if no owner of the client account decides.
//!
//! Each node gets a share of the account's rate in proportion to the units that the account
//! requests from it. The shares add up to the whole rate.

use super::decision::get_wait;
use super::limit::{Limit, Reachability};
use super::report::Source;
use super::{MIN_AVAILABLE, NEW_NODE_PERIOD_MS, Quotas, get_raised_fraction};
use crate::Millis;
use crate::bucket::TokenBucket;

/// The fraction of the local share that is admitted, before the reduction that pays back units
/// admitted over the limit.
const ADMITTED_FRACTION: f64 = 1.0;
/// The reduction of that fraction for each burst that was admitted over the limit.
const PAY_BACK_FRACTION: f64 = 0.15;
/// The smallest fraction of the local share that is admitted during pay-back.
const MIN_ADMITTED_FRACTION: f64 = 0.5;
/// The fraction of the tolerated slack that all nodes together may admit in advance when their
/// local shares start.
const ADVANCE_FRACTION: f64 = 0.3;
/// What a node may admit for a client account by itself at a moment.
struct LocalShare {
    /// Units per second.
    rate: f64,
    /// Units that the node may admit in advance.
    advance: f64,
    /// The largest request that the bucket of the whole account can absorb: its available units
    /// plus the units by which it may fall below zero.
    max_request: f64,
    /// Units per second of the whole account that belong to the nodes that are heard.
    whole_rate: f64,
}

impl Quotas {
    /// Discards the units saved up in the local share, because the owner of the client account
    /// decides about its requests.
    pub fn discard_local_share_savings(&mut self, now: Millis, account: &str) {
        if let Some(bucket) = self.local_share_buckets.get_mut(account) {
            // Units admitted in advance are still paid back.
            bucket.stop_accumulating(now);
        }
    }

    /// Consumes units of this node's local share if no owner decided.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which units of the share are available.
    pub fn consume_local_share(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reachability,
    ) -> Result<(), Millis> {
        let limit = self.tolerance.raise(limit, get_raised_fraction(reach));
        let rate = limit.rate_per_second * reach.get_fraction();
        let available = self.refill_whole(now, account, limit, reach);
        if reach.known == 1 {
            return Err(get_wait(MIN_AVAILABLE - available, rate));
        }
        let is_overdue = reach.is_grouped && self.is_any_overdue(now, reach);
        let low_water = self.get_low_water(now, account, limit.get_capacity(), reach);
        if !is_overdue && available >= units as f64 + low_water {
            // The bucket holds this large request, but the owner could not be reached.
            self.admit(account, units);
            return Ok(());
        }
        let share = self.compute_share(now, account, available, limit, reach);
        self.consume_share(now, account, units, &share)?;
        self.admit(account, units);
        Ok(())
    }

    /// Computes this node's share of a client account whose bucket holds `available` units.
    fn compute_share(
        &self,
        now: Millis,
        account: &str,
        available: f64,
        limit: Limit,
        reach: Reachability,
    ) -> LocalShare {
        let whole_rate = limit.rate_per_second * reach.get_fraction();
        let excess_bursts = (-available / limit.get_capacity()).max(0.0);
        let admitted =
            (ADMITTED_FRACTION - PAY_BACK_FRACTION * excess_bursts).max(MIN_ADMITTED_FRACTION);
        LocalShare {
            rate: admitted * whole_rate * self.get_share(now, account, reach),
            advance: self.tolerance.slack * ADVANCE_FRACTION / reach.known as f64,
            max_request: available + self.get_headroom(now, limit, reach),
            whole_rate,
        }
    }

    /// Takes units from the bucket of the share.
    fn consume_share(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        share: &LocalShare,
    ) -> Result<(), Millis> {
        let units = units as f64;
        // The first request is paid for in advance; otherwise each of many nodes would admit one
        // request too many.
        let debt = (units - share.advance).max(0.0);
        let bucket = self.local_share_buckets.entry(account.to_owned());
        let bucket = bucket.or_insert(TokenBucket::new(now, -debt));
        bucket.set_limits(now, share.rate, share.rate.max(MIN_AVAILABLE));
        if bucket.available < MIN_AVAILABLE {
            return Err(get_wait(MIN_AVAILABLE - bucket.available, share.rate));
        }
        // Otherwise each of many nodes would admit one large request in advance and pay it back
        // long after the window: 42 nodes with an account of 36,000 units per second admitted
        // 530,800 units in eight seconds, of 496,400 tolerated.
        let is_saved_up = units <= bucket.available + share.advance;
        if !is_saved_up && units > share.max_request {
            return Err(get_wait(units - share.max_request, share.whole_rate));
        }
        bucket.available -= units;
        Ok(())
    }

    /// Returns this node's share of the units that the client account requests from all heard
    /// nodes.
    ///
    /// While this node is new, its peers may be new too and may not have reported requests yet.
    /// Equal shares put no node at a disadvantage then.
    fn get_share(&self, now: Millis, account: &str, reach: Reachability) -> f64 {
        let own = self.get_own_requested(now, account);
        let is_new = now < self.started_at + NEW_NODE_PERIOD_MS;
        if own <= 0.0 || is_new {
            return 1.0 / reach.heard.max(1) as f64;
        }
        own / (own + self.get_other_requested(now, account))
    }

    /// Returns the units per millisecond that the client account requests from this node, as of the
    /// time of the data about the other nodes.
    ///
    /// A report from an aggregator is some hundred milliseconds old, and older once the aggregator
    /// falls silent. When an account starts to send a lot, a current figure for this node next to
    /// an old one for the others gives a share that is many times too large: 7 nodes of 42 took
    /// 0.13 to 0.57 of the rate each.
    fn get_own_requested(&self, now: Millis, account: &str) -> f64 {
        let is_reporting_to_aggregator =
            self.peers.keys().any(|(source, _, _)| *source == Source::Aggregator);
        match is_reporting_to_aggregator {
            true => self.own_at_aggregator.get(account).copied().unwrap_or(0.0),
            false => self.own_rates.get_requested(now, account, Source::Peer),
        }
    }
}
