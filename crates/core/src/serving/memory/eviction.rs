//! Refuses growth where there is no room, and picks uploads whose memory makes room.

use std::cmp::Reverse;

use super::budget::MemoryBudget;
use super::kind::Kind;
use super::release::LEAST_RETRY_AFTER;
use super::reservation::{Reservation, ReservationId};
use crate::Millis;

/// Why bytes were not reserved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shortage {
    /// When to retry, in milliseconds from now.
    pub retry_after: Millis,
    /// Uploads to evict: their bytes are free once they are dropped.
    pub evicted: Vec<ReservationId>,
}

impl MemoryBudget {
    /// Notes that an account waits, and picks uploads whose bytes make the room.
    pub(super) fn refuse(&mut self, now: Millis, id: ReservationId, bytes: u64) -> Shortage {
        let Some(holder) = self.holders.get(&id).cloned() else { return Shortage::default() };
        let shortfall = self.get_shortfall(now, &holder, bytes);
        let is_beyond_share = self.is_beyond_share(now, &holder, bytes);
        if holder.kind == Kind::RequestBody && bytes <= self.get_most_for_body() {
            self.shares.entry(holder.account.clone()).or_default().wait_for(now, bytes);
        }
        let evicted = match is_beyond_share {
            true => Vec::new(),
            false => self.evict(now, Some((id, &holder)), shortfall),
        };
        let retry_after = match evicted.is_empty() {
            true => self.releases.estimate(now, bytes),
            false => LEAST_RETRY_AFTER,
        };
        Shortage { retry_after, evicted }
    }

    /// Evicts resting uploads that make room for so many bytes; none where they are not enough.
    ///
    /// Those of accounts beyond their share go first, then the less urgent, then those that have
    /// rested for longest, then the largest. A body is evicted only for one at least as urgent, or
    /// for an account that holds less.
    pub(super) fn evict(
        &mut self,
        now: Millis,
        wanted_by: Option<(ReservationId, &Reservation)>,
        bytes: u64,
    ) -> Vec<ReservationId> {
        let fair = self.get_fair_share(now);
        let is_over = |holder: &Reservation| self.get_share_held(&holder.account) > fair;
        let may_go = |id: &ReservationId, holder: &Reservation| {
            let Some((wanter_id, wanter)) = wanted_by else { return true };
            let is_for_body = wanter.kind == Kind::RequestBody;
            let is_before = !is_for_body || wanter.urgency <= holder.urgency;
            wanter_id != *id && (is_before || is_over(holder))
        };
        let resting = self.holders.iter().filter(|(_, holder)| holder.is_resting(now));
        let mut resting: Vec<_> = resting
            .filter(|(id, holder)| may_go(id, holder))
            .map(|(id, holder)| {
                let urgency = Reverse(holder.urgency);
                let size = Reverse(holder.reserved);
                (!is_over(holder), urgency, holder.progressed_at, size, *id)
            })
            .collect();
        resting.sort();
        let leaving = self.holders.values().filter(|holder| holder.is_evicted);
        let mut made: u64 = leaving.map(|holder| holder.reserved).sum();
        let mut picked = Vec::new();
        for (_, _, _, Reverse(reserved), id) in resting {
            if made >= bytes {
                break;
            }
            made += reserved;
            picked.push(id);
        }
        if made < bytes && wanted_by.is_some() {
            return Vec::new();
        }
        for id in &picked {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.is_evicted = true;
            }
        }
        picked
    }
}
