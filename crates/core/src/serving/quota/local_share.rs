//! What a node admits by itself where no owner of the client account decides.
//!
//! Each node gets a share of the account's rate, in proportion to what the account requests of it; the shares
//! sum up to the whole.

use super::decision::get_wait;
use super::limit::{Limit, Reachability};
use super::report::Source;
use super::{LEAST_LEFT, NEW_FOR, Quotas, get_raised_part};
use crate::Millis;
use crate::bucket::TokenBucket;

/// The part of the local share that is admitted, less what pays back what was admitted beyond the
/// limit.
const SHARE_ADMITTED: f64 = 1.0;
/// How much less of the share is admitted for each burst that was admitted beyond the limit.
const PAY_BACK_PART: f64 = 0.15;
/// The least part of the local share that is admitted while paying back.
const LEAST_SHARE_ADMITTED: f64 = 0.5;
/// The part of the tolerated slack that nodes may admit in advance at the start of their local
/// shares, over all nodes.
const ADVANCE_PART: f64 = 0.3;
/// What a node may admit of a client account by itself, at one moment.
struct Share {
    /// Units a second.
    rate: f64,
    /// Units that the node may admit in advance.
    advance: f64,
    /// The largest request that the whole account bears: the units that are left of its bucket, and those by
    /// which it may fall below zero.
    room: f64,
    /// Units a second of the whole account that stand for the nodes that are heard.
    whole_rate: f64,
}

impl Quotas {
    /// Takes note that the owner of a client account decides about its requests: nothing of the
    /// local share is saved up meanwhile.
    pub fn discard_local_share_savings(&mut self, now: Millis, account: &str) {
        if let Some(bucket) = self.local_share.get_mut(account) {
            // What was admitted in advance is paid back as before.
            bucket.stop_accumulating(now);
        }
    }

    /// Consumes units of this node's local share, where no owner decided.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds after which there is something left of the share.
    pub fn consume_local_share(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reachability,
    ) -> Result<(), Millis> {
        let limit = self.tolerance.raise(limit, get_raised_part(reach));
        let rate = limit.rate_per_second * reach.get_fraction();
        let left = self.refill_whole(now, account, limit, reach);
        if reach.known == 1 {
            return Err(get_wait(LEAST_LEFT - left, rate));
        }
        let is_overdue = reach.is_grouped && self.is_any_overdue(now, reach);
        let low = self.get_low(now, account, limit.get_capacity(), reach);
        if !is_overdue && left >= units as f64 + low {
            // A large request that the bucket holds, and whose owner was not reached.
            self.admit(account, units);
            return Ok(());
        }
        let share = self.compute_share(now, account, left, limit, reach);
        self.take_from_share(now, account, units, &share)?;
        self.admit(account, units);
        Ok(())
    }

    /// Computes the share of a client account of whose bucket `left` units are left.
    fn compute_share(
        &self,
        now: Millis,
        account: &str,
        left: f64,
        limit: Limit,
        reach: Reachability,
    ) -> Share {
        let whole_rate = limit.rate_per_second * reach.get_fraction();
        let beyond = (-left / limit.get_capacity()).max(0.0);
        let admitted = (SHARE_ADMITTED - PAY_BACK_PART * beyond).max(LEAST_SHARE_ADMITTED);
        Share {
            rate: admitted * whole_rate * self.get_share(now, account, reach),
            advance: self.tolerance.slack * ADVANCE_PART / reach.known as f64,
            room: left + self.get_headroom(now, limit, reach),
            whole_rate,
        }
    }

    /// Takes units from the bucket of the share.
    fn take_from_share(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        share: &Share,
    ) -> Result<(), Millis> {
        let units = units as f64;
        // The first request pays in advance: of many nodes, each would admit one too many
        // otherwise.
        let debt = (units - share.advance).max(0.0);
        let bucket = self.local_share.entry(account.to_owned());
        let bucket = bucket.or_insert(TokenBucket::new(now, -debt));
        bucket.set_limits(now, share.rate, share.rate.max(LEAST_LEFT));
        if bucket.available < LEAST_LEFT {
            return Err(get_wait(LEAST_LEFT - bucket.available, share.rate));
        }
        // Each of many nodes would admit one large request in advance otherwise, and pay it back long
        // after the window: 42 nodes of an account of 36,000 units a second admitted 530,800 units in
        // eight seconds, of 496,400 tolerated.
        let is_saved_up = units <= bucket.available + share.advance;
        if !is_saved_up && units > share.room {
            return Err(get_wait(units - share.room, share.whole_rate));
        }
        bucket.available -= units;
        Ok(())
    }

    /// Returns this node's share of what the client account requests of all nodes that are heard.
    ///
    /// While this node is new its peers may be too, and may not have reported yet what is requested
    /// of them: an even share is no node's loss then.
    fn get_share(&self, now: Millis, account: &str, reach: Reachability) -> f64 {
        let own = self.get_own_requested(now, account);
        let is_new = now < self.started_at + NEW_FOR;
        if own <= 0.0 || is_new {
            return 1.0 / reach.heard.max(1) as f64;
        }
        own / (own + self.get_others_requested(now, account))
    }

    /// Returns what the client account requests of this node, in units a millisecond, as of the time of
    /// what is known of the others.
    ///
    /// An aggregator's report is some hundred milliseconds old, and older once the aggregator falls silent.
    /// Where an account begins to send much, the newest figure of this node beside an old one of the
    /// others is a share many times too large: 7 nodes of 42 took 0.13 to 0.57 of the rate each.
    fn get_own_requested(&self, now: Millis, account: &str) -> f64 {
        let has_aggregator = self.peers.keys().any(|(source, _, _)| *source == Source::Aggregator);
        match has_aggregator {
            true => self.own_at_aggregator.get(account).copied().unwrap_or(0.0),
            false => self.own_rates.get_requested(now, account, Source::Peer),
        }
    }
}
