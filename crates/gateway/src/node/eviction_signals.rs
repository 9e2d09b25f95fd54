//! The signals by which uploads learn that their memory is needed.

use std::collections::HashMap;
use std::sync::Mutex;

use keeljunction_core::serving::memory::HolderId;

use crate::http::Stop;
use crate::runtime::lock;

/// Signals to uploads that they are evicted.
#[derive(Default)]
pub(crate) struct EvictionSignals(pub(super) Mutex<HashMap<HolderId, Stop>>);

impl EvictionSignals {
    pub(super) fn evict(&self, ids: &[HolderId]) {
        let stops = lock(&self.0);
        for stop in ids.iter().filter_map(|id| stops.get(id)) {
            stop.give();
        }
    }
}
