//! The refusal of a reservation.

use super::reservation::ReservationId;
use crate::Millis;

/// The reason why bytes were not reserved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shortage {
    /// The time after which to retry, in milliseconds.
    pub retry_after: Millis,
    /// The uploads to evict. Their bytes are free once they are dropped.
    pub evicted: Vec<ReservationId>,
}
