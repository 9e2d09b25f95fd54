//! The signals by which uploads learn that their memory is needed.

use std::collections::HashMap;
use std::sync::Mutex;

use keeljunction_core::serving::memory::ReservationId;

use crate::http::StopSignal;
use crate::runtime::lock;

/// Signals to uploads that they are evicted.
#[derive(Default)]
pub(crate) struct Uploads(pub(super) Mutex<HashMap<ReservationId, StopSignal>>);

impl Uploads {
    pub(super) fn evict(&self, ids: &[ReservationId]) {
        let stops = lock(&self.0);
        for stop in ids.iter().filter_map(|id| stops.get(id)) {
            stop.send();
        }
    }
}
