//! Decides whether a request of a client account is admitted, and which node decides.
//!
//! A node admits requests by itself while the bucket is above its low-water mark. Below the mark
//! the owner of the account decides; all nodes find the owner by rendezvous hashing. The owner
//! counts what it admits as its own usage, whichever node received the request. The usage is
//! reported once. If a query or its response is lost, the querying node uses less than was counted.
//! Two nodes that both consider themselves the owner see each other's usage in their reports. An
//! owner decides only while it reaches a majority of the nodes, and only for the fraction of the rate
//! that belongs to the nodes it reaches. If it reaches fewer, or does not respond, nodes admit their
//! local shares.
//!
//! The owner pays off: on a quiet day of 78 nodes and 16 client accounts with prompts of about a
//! thousand to 60,000 tokens (one simulated run without processor time), refusals fall from 0.041
//! to 0.025 of the units that the accounts are entitled to. It costs a query of some 60 bytes
//! (estimated) near the limit.

use serde::{Deserialize, Serialize};

use super::limit::{Limit, Reachability};
use super::{MIN_AVAILABLE, Quotas, get_raised_fraction};
use crate::Millis;

/// The fraction of the tolerated excess by which an owner lets the bucket fall below zero, less the
/// fraction by which the limit is already raised.
///
/// The rest covers what nodes admit before others know of it. A larger fraction refuses fewer
/// requests within the limit, but leaves too little for that, so that the limit may be exceeded.
const HEADROOM_FRACTION: f64 = 0.5;
/// The fraction of the burst above which a request is large.
///
/// Each of many nodes may admit a large request before it knows of the others, and the prompts of a
/// small client account exceed its burst.
const LARGE_REQUEST_FRACTION: f64 = 0.1;
/// The longest time for which units are booked for refused callers, in milliseconds: about the
/// longest deadline of a caller. Beyond it, all callers get the same `Retry-After`.
const MAX_BOOKING_MS: f64 = 10_000.0;

/// The decision of an owner about a request of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The units were consumed.
    Admitted,
    /// The client account is over its limit.
    Refused {
        /// The time in milliseconds after which the request fits, queued behind earlier refused
        /// requests.
        retry_after: Millis,
    },
    /// The node cannot decide for others: it reaches too few of them, or is not the owner.
    Undecided,
}

impl Quotas {
    /// Consumes units for a request of a client account, without asking an owner.
    ///
    /// A request is admitted while at least one unit is available, even if the request is larger.
    /// The bucket then pays back the debt before it admits the next request.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which units are available.
    pub fn consume(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reachability,
    ) -> Result<(), Millis> {
        if self.consume_above_low_water(now, account, units, limit, reach) {
            return Ok(());
        }
        self.consume_local_share(now, account, units, limit, reach)
    }

    /// Consumes units for a request if the bucket of the client account is above its low-water
    /// mark.
    ///
    /// Returns `false` if the bucket is low, the request is large, or the usage of other nodes is
    /// not known well enough.
    pub fn consume_above_low_water(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reachability,
    ) -> bool {
        if limit.rate_per_second <= 0.0 {
            return true;
        }
        let limit = self.tolerance.raise(limit, get_raised_fraction(reach));
        self.own.accounts.entry(account.to_owned()).or_default().requested += units;
        let available = self.refill_whole(now, account, limit, reach);
        let is_overdue = reach.is_grouped && self.is_any_overdue(now, reach);
        let capacity = limit.get_capacity();
        let is_low = available < self.get_low_water(now, account, capacity, reach);
        let is_large = reach.known > 1 && units as f64 > capacity * LARGE_REQUEST_FRACTION;
        if is_overdue || is_low || is_large {
            return false;
        }
        self.discard_local_share_savings(now, account);
        self.admit(account, units);
        true
    }

    /// Decides, as the owner of a client account, about a request that any node received.
    pub fn decide(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reachability,
    ) -> Decision {
        match reach.is_majority_heard() {
            true => self.decide_for_isolated_region(now, account, units, limit, reach),
            false => Decision::Undecided,
        }
    }

    /// Decides, as the owner, for a region that is isolated from all other regions; skips the check
    /// that a majority of the nodes of all regions is heard.
    ///
    /// Each isolated region has its own owner and its own fraction of the rate, because no node
    /// belongs to two regions.
    pub fn decide_for_isolated_region(
        &mut self,
        now: Millis,
        account: &str,
        units: u64,
        limit: Limit,
        reach: Reachability,
    ) -> Decision {
        if reach.is_grouped && self.is_any_overdue(now, reach) {
            return Decision::Undecided;
        }
        let limit = self.tolerance.raise(limit, get_raised_fraction(reach));
        self.refill_whole(now, account, limit, reach);
        // Estimates of unreported usage are left out: near the limit, other nodes use what this
        // node admits, and a single large prompt would look like a rate.
        let level = self.whole_buckets.get(account).map_or(0.0, |bucket| bucket.available);
        let available = level + self.get_headroom(now, limit, reach);
        let required = self.get_required_units(now, units, limit);
        if available >= required {
            self.admit(account, units);
            return Decision::Admitted;
        }
        let rate = limit.rate_per_second * reach.get_fraction();
        let retry_after = self.book(now, account, required - available, units, rate);
        Decision::Refused { retry_after }
    }

    /// Returns the units that must be available for an owner to admit a request.
    ///
    /// While all nodes have just started, this is the size of the request, up to the units that
    /// they started with: another restart of all nodes would forget a debt. Two nodes with an
    /// account of 36,000 units per second that restarted three times within a window admitted
    /// 514,400 units in it, of 496,400 tolerated.
    fn get_required_units(&self, now: Millis, units: u64, limit: Limit) -> f64 {
        match self.is_window_known(now) {
            true => MIN_AVAILABLE,
            false => (units as f64).min(self.get_restart_units(limit)).max(MIN_AVAILABLE),
        }
    }

    /// Returns the units by which an owner lets the bucket fall below zero.
    ///
    /// Returns 0 while all nodes have just started: their earlier usage is unknown, and they
    /// already start with a part of the tolerated excess.
    pub(super) fn get_headroom(&self, now: Millis, limit: Limit, reach: Reachability) -> f64 {
        if !self.is_window_known(now) {
            return 0.0;
        }
        let fraction = HEADROOM_FRACTION - get_raised_fraction(reach);
        self.tolerance.get_excess(limit) * fraction * reach.get_fraction()
    }

    /// Books units for a refused caller, behind callers that were refused earlier, and returns the
    /// time until they are available.
    fn book(&mut self, now: Millis, account: &str, missing: f64, units: u64, rate: f64) -> Millis {
        let now = now as f64;
        let fits_at = now + missing / rate * 1_000.0;
        let booked_until = self.booked_until.entry(account.to_owned()).or_default();
        let starts_at = booked_until.max(fits_at).min(now + MAX_BOOKING_MS);
        *booked_until = starts_at + units as f64 / rate * 1_000.0;
        (starts_at - now).ceil() as Millis
    }
}

/// Returns the time in milliseconds until the missing units are refilled.
pub(super) fn get_wait(missing: f64, rate: f64) -> Millis {
    (missing / rate * 1_000.0).ceil() as Millis
}
