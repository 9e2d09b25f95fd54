//! Traffic to other regions: detection, round-trip times and byte counts.

use keeljunction_core::Millis;
use keeljunction_core::serving::spill::get_region;

use super::Node;
use crate::metrics::RegionLabels;

impl Node {
    /// Returns `true` if a data centre is in another region than the node.
    pub(crate) fn is_cross_region(&self, data_centre: &str) -> bool {
        !self.topology.is_local(data_centre) && self.topology.is_multi_region()
    }

    /// Returns the round-trip time to the region of a data centre; 0 within the node's own region.
    pub(crate) fn get_round_trip(&self, data_centre: &str) -> Millis {
        if !self.is_cross_region(data_centre) {
            return 0;
        }
        let region = get_region(&self.topology, data_centre);
        self.with(|state| state.round_trips.get_round_trip(region))
    }

    /// Counts the bytes of a request to a data centre and of its response, if the data centre is in
    /// another region.
    pub(crate) fn count_cross_region_bytes(&self, data_centre: &str, sent: usize, received: usize) {
        if !self.is_cross_region(data_centre) {
            return;
        }
        let region = get_region(&self.topology, data_centre);
        self.with(|state| state.link_budgets.count(self.now(), region, sent + received));
        let labels = RegionLabels::new(region);
        self.metrics.region_bytes_sent.get_or_create(&labels).inc_by(sent as u64);
        self.metrics.region_bytes_received.get_or_create(&labels).inc_by(received as u64);
    }
}
