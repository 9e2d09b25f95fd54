//! Memory usage, and whether callers should be sent to other nodes.

use super::budget::MemoryBudget;
use super::kind::Kind;
use super::reservation::{Reservation, ReservationId};
use super::room::{CONTROL_FRACTION, MAX_BODY_FRACTION};
use crate::Millis;

/// The fraction of the process's memory limit that its resident memory may reach. The rest covers
/// growth between two samples, such as the buffers of new connections.
const MAX_RESIDENT_FRACTION: f64 = 0.85;
/// The fraction of its unready level below which a node is ready again. A node that toggled with
/// each body would move its callers each time.
const READY_RATIO: f64 = 0.7;

/// The memory usage of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Bytes that are reserved.
    pub reserved: u64,
    /// Bytes that may be reserved now.
    pub capacity: u64,
    /// The resident memory of the process, if known.
    pub resident: Option<u64>,
    /// The utilization, from 0 to 1.
    pub part: f64,
}

impl MemoryBudget {
    /// Returns the bytes that may be reserved now: fewer than the capacity if the process uses
    /// other memory.
    pub fn get_capacity(&self) -> u64 {
        let resident = (self.limit as f64 * MAX_RESIDENT_FRACTION) as u64;
        self.capacity.min(resident.saturating_sub(self.unreserved))
    }

    /// Returns the memory usage.
    pub fn get_usage(&self) -> Usage {
        let (reserved, capacity) = (self.get_total(), self.get_capacity());
        let bodies = self.get_held(Kind::RequestBody) as f64;
        let body_utilization = bodies / (self.capacity as f64 * MAX_BODY_FRACTION).max(1.0);
        let total_utilization =
            reserved as f64 / (self.capacity as f64 * (1.0 - CONTROL_FRACTION)).max(1.0);
        let resident_utilization =
            self.resident.unwrap_or(0) as f64 / (self.limit as f64 * MAX_RESIDENT_FRACTION);
        let part = body_utilization.max(total_utilization).max(resident_utilization).min(1.0);
        Usage { reserved, capacity, resident: self.resident, part }
    }

    /// Returns `true` if callers should be sent to other nodes because of memory pressure.
    pub fn is_under_pressure(&self) -> bool {
        self.is_under_pressure
    }

    /// Records a sample of the process's resident memory, which limits the capacity and decides
    /// whether the node is under memory pressure. Returns the uploads to evict if more is reserved
    /// than the new capacity.
    pub fn observe(&mut self, now: Millis, resident: Option<u64>) -> Vec<ReservationId> {
        let untouched: u64 = self.reservations.values().map(Reservation::get_untouched).sum();
        let touched = self.get_total().saturating_sub(untouched);
        self.resident = resident;
        self.unreserved = resident.unwrap_or(0).saturating_sub(touched);
        self.shares.retain(|_, share| share.held > 0 || share.is_waiting(now));
        let part = self.get_usage().part;
        let bound =
            if self.is_under_pressure { self.unready_at * READY_RATIO } else { self.unready_at };
        self.is_under_pressure = part >= bound;
        let excess = self.get_total().saturating_sub(self.get_capacity());
        if excess == 0 { Vec::new() } else { self.evict(now, None, excess) }
    }
}
