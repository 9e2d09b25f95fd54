//! Signals that tell uploads that their memory is reclaimed.

use std::collections::HashMap;
use std::sync::Mutex;

use keeljunction_core::serving::memory::ReservationId;

use crate::http::StopSignal;
use crate::runtime::lock;

/// The eviction signals of uploads, by reservation.
#[derive(Default)]
pub(crate) struct EvictionSignals(pub(super) Mutex<HashMap<ReservationId, StopSignal>>);

impl EvictionSignals {
    pub(super) fn evict(&self, ids: &[ReservationId]) {
        let stops = lock(&self.0);
        for stop in ids.iter().filter_map(|id| stops.get(id)) {
            stop.send();
        }
    }
}
