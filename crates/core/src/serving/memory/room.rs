//! Decides whether there is enough memory for a reservation to grow: pools and fair shares.

use super::budget::MemoryBudget;
use super::kind::Kind;
use super::reservation::Reservation;
use crate::Millis;

/// The fraction of the capacity that is kept for control messages, so that request heads and
/// reports still get through, and a drain still completes, while bodies use up the rest.
pub(super) const CONTROL_FRACTION: f64 = 0.1;
/// The fraction of the capacity that bodies may hold. The rest is for responses: a request that was
/// sent to a server has cost more than one that was not.
pub(super) const MAX_BODY_FRACTION: f64 = 0.7;
/// The fraction of the capacity that responses may hold: slow readers must not keep out all
/// requests.
const MAX_RESPONSE_FRACTION: f64 = 0.5;
/// The fraction of the bodies' memory that is kept for small bodies: hundreds of them fit in it.
const SMALL_BODY_FRACTION: f64 = 0.15;
/// The fraction of the remaining bodies' memory that is kept for bodies of the highest priority.
const URGENT_FRACTION: f64 = 0.15;
/// The fraction of the bodies' memory that one account may hold while others hold some, so that a
/// second account finds memory at once.
const MAX_ACCOUNT_FRACTION: f64 = 0.75;

impl MemoryBudget {
    /// Returns the bytes that are missing for a reservation to grow, or 0 if it fits.
    pub(super) fn get_shortfall(&self, now: Millis, reservation: &Reservation, bytes: u64) -> u64 {
        let capacity = self.get_capacity() as f64;
        let fraction = if reservation.kind == Kind::Control { 1.0 } else { 1.0 - CONTROL_FRACTION };
        let total = self.get_total().saturating_add(bytes);
        let total_shortfall = total.saturating_sub((capacity * fraction) as u64);
        let kind_shortfall = match reservation.kind {
            Kind::Control => 0,
            Kind::ReadAhead => {
                let held = self.get_held(Kind::ReadAhead).saturating_add(bytes);
                held.saturating_sub((capacity * MAX_RESPONSE_FRACTION) as u64)
            }
            Kind::RequestBody => self.get_body_shortfall(now, reservation, bytes),
        };
        total_shortfall.max(kind_shortfall)
    }

    fn get_body_shortfall(&self, now: Millis, reservation: &Reservation, bytes: u64) -> u64 {
        let small_pool = self.get_small_pool();
        if reservation.is_small_with(bytes) && self.small_held + bytes <= small_pool {
            return 0;
        }
        let pool_fraction = if reservation.urgency == 0 { 1.0 } else { 1.0 - URGENT_FRACTION };
        let pool = self.get_body_capacity().saturating_sub(small_pool) as f64 * pool_fraction;
        let small_excess = self.small_held.saturating_sub(small_pool);
        let large = self.get_held(Kind::RequestBody) - self.small_held;
        let kept_for_waiting = self.get_kept_for_waiting(now, &reservation.account);
        let used = (large + small_excess).saturating_add(bytes).saturating_add(kept_for_waiting);
        used.saturating_sub(pool as u64)
    }

    fn get_body_capacity(&self) -> u64 {
        (self.get_capacity() as f64 * MAX_BODY_FRACTION) as u64
    }

    /// Returns the longest body of any priority that fits while nothing else is reserved.
    ///
    /// A longer one does not count as waiting: the memory kept for it would be wasted.
    pub(super) fn get_max_body(&self) -> u64 {
        let pool = self.get_body_capacity().saturating_sub(self.get_small_pool());
        (pool as f64 * (1.0 - URGENT_FRACTION)) as u64
    }

    fn get_small_pool(&self) -> u64 {
        (self.get_body_capacity() as f64 * SMALL_BODY_FRACTION) as u64
    }

    /// Returns the bytes that are kept for the account that has waited longest within its share, if
    /// it is not `account`.
    fn get_kept_for_waiting(&self, now: Millis, account: &str) -> u64 {
        let (fair, max_body) = (self.get_fair_share(now), self.get_max_body());
        let waiting = self.shares.iter().filter_map(|(name, share)| {
            let wait = share.wait.filter(|wait| now < wait.until && wait.bytes <= max_body)?;
            let is_within_share = share.held == 0 || share.held + wait.bytes <= fair;
            is_within_share.then_some((wait.since, name, wait.bytes))
        });
        let first = waiting.min();
        first.filter(|(_, name, _)| *name != account).map_or(0, |(_, _, bytes)| bytes)
    }

    /// Returns `true` if an account that holds bytes would exceed its share while another one holds
    /// bytes or waits.
    pub(super) fn is_above_share(
        &self,
        now: Millis,
        reservation: &Reservation,
        bytes: u64,
    ) -> bool {
        if reservation.kind != Kind::RequestBody || reservation.is_small_with(bytes) {
            return false;
        }
        let held = self.get_share_held(&reservation.account);
        if held == 0 {
            return false;
        }
        let others = || self.shares.iter().filter(|(name, _)| **name != reservation.account);
        let share = if others().any(|(_, share)| share.is_waiting(now)) {
            self.get_fair_share(now)
        } else if others().any(|(_, share)| share.held > 0) {
            (self.get_body_capacity() as f64 * MAX_ACCOUNT_FRACTION) as u64
        } else {
            return false;
        };
        held.saturating_add(bytes) > share
    }

    /// Returns the share of each account if all accounts that hold bytes or wait want the same.
    pub(super) fn get_fair_share(&self, now: Millis) -> u64 {
        let active = self.shares.values().filter(|share| share.held > 0 || share.is_waiting(now));
        self.get_body_capacity() / active.count().max(1) as u64
    }

    pub(super) fn get_share_held(&self, account: &str) -> u64 {
        self.shares.get(account).map_or(0, |share| share.held)
    }
}
