//! Whether there is room for a holder's growth: pools and fair shares.

use super::budget::MemoryBudget;
use super::kind::Kind;
use super::reservation::Reservation;
use crate::Millis;

/// The part of the capacity that bodies and answers leave to control, so that heads and reports
/// are still heard, and a drain still ends, while bodies fill the rest.
pub(super) const CONTROL_PART: f64 = 0.1;
/// The part of the capacity that bodies may hold. What they leave is for answers: a request that
/// was sent to a server has cost more than one that has not.
pub(super) const BODY_PART: f64 = 0.7;
/// The part of the capacity that answers may hold: slow readers must not keep out all requests.
const ANSWER_PART: f64 = 0.5;
/// The part of the bodies' memory that is kept for small ones: hundreds of them fit in it.
const SMALL_PART: f64 = 0.15;
/// The part of the other bodies' memory that is kept for those of the highest priority.
const URGENT_PART: f64 = 0.15;
/// The part of the bodies' memory that one account may hold while another one holds some: a second
/// account finds room at once.
const MOST_SHARE: f64 = 0.75;

impl MemoryBudget {
    /// Returns the bytes by which a holder's growth exceeds what there is; 0 where it fits.
    pub(super) fn get_shortfall(&self, now: Millis, holder: &Reservation, bytes: u64) -> u64 {
        let capacity = self.get_capacity() as f64;
        let part = if holder.kind == Kind::Control { 1.0 } else { 1.0 - CONTROL_PART };
        let total = self.get_total().saturating_add(bytes);
        let of_all = total.saturating_sub((capacity * part) as u64);
        let of_kind = match holder.kind {
            Kind::Control => 0,
            Kind::ReadAhead => {
                let held = self.get_held(Kind::ReadAhead).saturating_add(bytes);
                held.saturating_sub((capacity * ANSWER_PART) as u64)
            }
            Kind::RequestBody => self.get_body_shortfall(now, holder, bytes),
        };
        of_all.max(of_kind)
    }

    fn get_body_shortfall(&self, now: Millis, holder: &Reservation, bytes: u64) -> u64 {
        let small_pool = self.get_small_pool();
        if holder.is_small_with(bytes) && self.small_held + bytes <= small_pool {
            return 0;
        }
        let of_urgency = if holder.urgency == 0 { 1.0 } else { 1.0 - URGENT_PART };
        let pool = self.get_body_capacity().saturating_sub(small_pool) as f64 * of_urgency;
        let small_beyond = self.small_held.saturating_sub(small_pool);
        let large = self.get_held(Kind::RequestBody) - self.small_held;
        let wanted = self.get_wanted_before(now, &holder.account);
        let used = (large + small_beyond).saturating_add(bytes).saturating_add(wanted);
        used.saturating_sub(pool as u64)
    }

    fn get_body_capacity(&self) -> u64 {
        (self.get_capacity() as f64 * BODY_PART) as u64
    }

    /// Returns the length up to which a body of any priority fits while nothing else is held. A longer
    /// one does not count as waiting: what is kept free for it would serve nobody.
    pub(super) fn get_most_for_body(&self) -> u64 {
        let pool = self.get_body_capacity().saturating_sub(self.get_small_pool());
        (pool as f64 * (1.0 - URGENT_PART)) as u64
    }

    fn get_small_pool(&self) -> u64 {
        (self.get_body_capacity() as f64 * SMALL_PART) as u64
    }

    /// Returns the bytes that are kept free for the account that has waited for longest within its
    /// share, where it is another one.
    fn get_wanted_before(&self, now: Millis, account: &str) -> u64 {
        let (fair, most) = (self.get_fair_share(now), self.get_most_for_body());
        let waiting = self.shares.iter().filter_map(|(name, share)| {
            let wait = share.wait.filter(|wait| now < wait.until && wait.bytes <= most)?;
            let is_within = share.held == 0 || share.held + wait.bytes <= fair;
            is_within.then_some((wait.since, name, wait.bytes))
        });
        let first = waiting.min();
        first.filter(|(_, name, _)| *name != account).map_or(0, |(_, _, bytes)| bytes)
    }

    /// Returns `true` if an account that holds bytes would get more than its share, while another
    /// one waits or holds some.
    pub(super) fn is_beyond_share(&self, now: Millis, holder: &Reservation, bytes: u64) -> bool {
        if holder.kind != Kind::RequestBody || holder.is_small_with(bytes) {
            return false;
        }
        let held = self.get_share_held(&holder.account);
        if held == 0 {
            return false;
        }
        let others = || self.shares.iter().filter(|(name, _)| **name != holder.account);
        let share = if others().any(|(_, share)| share.is_waiting(now)) {
            self.get_fair_share(now)
        } else if others().any(|(_, share)| share.held > 0) {
            (self.get_body_capacity() as f64 * MOST_SHARE) as u64
        } else {
            return false;
        };
        held.saturating_add(bytes) > share
    }

    /// Returns what each account may hold where all that hold bytes or wait want the same.
    pub(super) fn get_fair_share(&self, now: Millis) -> u64 {
        let active = self.shares.values().filter(|share| share.held > 0 || share.is_waiting(now));
        self.get_body_capacity() / active.count().max(1) as u64
    }

    pub(super) fn get_share_held(&self, account: &str) -> u64 {
        self.shares.get(account).map_or(0, |share| share.held)
    }
}
