//! How much of the memory is in use, and when callers should go to other nodes.

use super::budget::MemoryBudget;
use super::kind::Kind;
use super::reservation::{Reservation, ReservationId};
use super::room::{BODY_PART, CONTROL_PART};
use crate::Millis;

/// The part of the process's memory up to which its resident memory may grow: the rest is for what
/// comes between two samples, as buffers of new connections.
const RESIDENT_PART: f64 = 0.85;
/// The lowest level, as a part of the memory in use, at which a node calls itself not ready.
const LEAVES_FROM: f64 = 0.6;
/// The highest such level. A node that draws one above 1, as half of them do, is never not ready for
/// its memory: balancers fall back to all nodes once half of them are not ready.
const LEAVES_TO: f64 = 1.4;
/// The part of its level below which a node is ready again: one that comes and goes at each body
/// would move its callers each time.
const RELIEF_PART: f64 = 0.7;

/// How much of a node's memory is in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Bytes that are reserved.
    pub reserved: u64,
    /// Bytes that may be reserved now.
    pub capacity: u64,
    /// The resident memory of the process, where it is known.
    pub resident: Option<u64>,
    /// The part of the memory in use, from 0 to 1.
    pub part: f64,
}

/// Draws the level at which a node calls itself not ready; `draw` is from 0 to 1.
pub(super) fn draw_level(draw: f64) -> f64 {
    LEAVES_FROM + draw * (LEAVES_TO - LEAVES_FROM)
}

impl MemoryBudget {
    /// Returns the bytes that may be held now: fewer where the process takes memory besides.
    pub fn get_capacity(&self) -> u64 {
        let resident = (self.limit as f64 * RESIDENT_PART) as u64;
        self.capacity.min(resident.saturating_sub(self.unreserved))
    }

    /// Returns how much of the memory is in use.
    pub fn get_usage(&self) -> Usage {
        let (reserved, capacity) = (self.get_total(), self.get_capacity());
        let bodies = self.get_held(Kind::RequestBody) as f64;
        let of_bodies = bodies / (self.capacity as f64 * BODY_PART).max(1.0);
        let of_all = reserved as f64 / (self.capacity as f64 * (1.0 - CONTROL_PART)).max(1.0);
        let of_resident = self.resident.unwrap_or(0) as f64 / (self.limit as f64 * RESIDENT_PART);
        let part = of_bodies.max(of_all).max(of_resident).min(1.0);
        Usage { reserved, capacity, resident: self.resident, part }
    }

    /// Returns `true` if callers should go to other nodes, for want of memory.
    pub fn is_under_pressure(&self) -> bool {
        self.is_short
    }

    /// Takes a sample of the process's resident memory: it lowers the capacity and decides whether
    /// the node is short. Returns uploads to evict where more is held than the new capacity.
    pub fn observe(&mut self, now: Millis, resident: Option<u64>) -> Vec<ReservationId> {
        let untouched: u64 = self.holders.values().map(Reservation::get_untouched).sum();
        let touched = self.get_total().saturating_sub(untouched);
        self.resident = resident;
        self.unreserved = resident.unwrap_or(0).saturating_sub(touched);
        self.shares.retain(|_, share| share.held > 0 || share.is_waiting(now));
        let part = self.get_usage().part;
        let bound = if self.is_short { self.leaves_at * RELIEF_PART } else { self.leaves_at };
        self.is_short = part >= bound;
        let excess = self.get_total().saturating_sub(self.get_capacity());
        if excess == 0 { Vec::new() } else { self.evict(now, None, excess) }
    }
}
