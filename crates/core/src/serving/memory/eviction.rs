//! Refuses growth if there is not enough memory, and picks uploads to evict.

use std::cmp::Reverse;

use super::budget::MemoryBudget;
use super::kind::Kind;
use super::release::MIN_RETRY_AFTER_MS;
use super::reservation::{Reservation, ReservationId};
use super::shortage::Shortage;
use crate::Millis;

impl MemoryBudget {
    /// Records that an account waits, and picks uploads to evict for it.
    pub(super) fn refuse(&mut self, now: Millis, id: ReservationId, bytes: u64) -> Shortage {
        let Some(current) = self.reservations.get(&id).cloned() else { return Shortage::default() };
        let shortfall = self.get_shortfall(now, &current, bytes);
        let is_above_share = self.is_above_share(now, &current, bytes);
        if current.kind == Kind::RequestBody && bytes <= self.get_max_body() {
            self.shares.entry(current.account.clone()).or_default().wait_for(now, bytes);
        }
        let evicted = match is_above_share {
            true => Vec::new(),
            false => self.evict(now, Some((id, &current)), shortfall),
        };
        let retry_after = match evicted.is_empty() {
            true => self.releases.estimate(now, bytes),
            false => MIN_RETRY_AFTER_MS,
        };
        Shortage { retry_after, evicted }
    }

    /// Evicts stalled uploads to free `bytes` bytes. For a request, evicts none if they hold too
    /// little.
    ///
    /// Uploads of accounts above their fair share come first, then the less urgent, then those that
    /// have been stalled for longest, then the largest. For a body, an upload is evicted only if
    /// the body is at least as urgent, or if the upload's account is above its fair share.
    pub(super) fn evict(
        &mut self,
        now: Millis,
        requested_by: Option<(ReservationId, &Reservation)>,
        bytes: u64,
    ) -> Vec<ReservationId> {
        let fair = self.get_fair_share(now);
        let is_over = |reservation: &Reservation| self.get_share_held(&reservation.account) > fair;
        let can_evict = |id: &ReservationId, reservation: &Reservation| {
            let Some((requester_id, requester)) = requested_by else { return true };
            let is_for_body = requester.kind == Kind::RequestBody;
            let is_as_urgent = !is_for_body || requester.urgency <= reservation.urgency;
            requester_id != *id && (is_as_urgent || is_over(reservation))
        };
        let stalled =
            self.reservations.iter().filter(|(_, reservation)| reservation.is_stalled(now));
        let mut stalled: Vec<_> = stalled
            .filter(|(id, reservation)| can_evict(id, reservation))
            .map(|(id, reservation)| {
                let urgency = Reverse(reservation.urgency);
                let size = Reverse(reservation.reserved);
                (!is_over(reservation), urgency, reservation.progressed_at, size, *id)
            })
            .collect();
        stalled.sort();
        let evicting = self.reservations.values().filter(|reservation| reservation.is_evicted);
        let mut freed: u64 = evicting.map(|reservation| reservation.reserved).sum();
        let mut picked = Vec::new();
        for (_, _, _, Reverse(reserved), id) in stalled {
            if freed >= bytes {
                break;
            }
            freed += reserved;
            picked.push(id);
        }
        if freed < bytes && requested_by.is_some() {
            return Vec::new();
        }
        for id in &picked {
            if let Some(reservation) = self.reservations.get_mut(id) {
                reservation.is_evicted = true;
            }
        }
        picked
    }
}
