//! Round-trip times to other regions.
//!
//! Round trips are measured from queries between nodes, and smoothed. The timeout of a query
//! follows from them.

use std::collections::BTreeMap;

use crate::Millis;

/// The weight of the newest round trip in the smoothed one, as in TCP (RFC 6298).
const ROUND_TRIP_WEIGHT: f64 = 1.0 / 8.0;
/// The weight of the newest deviation in the smoothed one, as in TCP (RFC 6298).
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// The timeout, in deviations above the smoothed round trip, as in TCP (RFC 6298).
const DEVIATION_FACTOR: f64 = 4.0;
/// The round trip that is assumed until the first measurement: that of regions on one continent. A
/// timeout that is too long costs one request this time, and one that is too short ends before the
/// response arrives.
const INITIAL_ROUND_TRIP_MS: Millis = 100;
/// The longest timeout, in milliseconds, which limits the delay that a full link adds to a request.
const MAX_TIMEOUT_MS: Millis = 300;

/// Smoothed round trips from this node to the other regions.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    by_region: BTreeMap<String, Estimate>,
}

/// The smoothed round trip to a region and its deviation, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    round_trip: f64,
    deviation: f64,
}

impl RoundTrips {
    /// Records the time between a query to a node of a region and its response.
    pub fn record(&mut self, region: &str, round_trip: Millis) {
        let newest = round_trip as f64;
        let Some(known) = self.by_region.get_mut(region) else {
            let first = Estimate { round_trip: newest, deviation: newest / 2.0 };
            self.by_region.insert(region.to_owned(), first);
            return;
        };
        let deviation = (newest - known.round_trip).abs();
        known.deviation += (deviation - known.deviation) * DEVIATION_WEIGHT;
        known.round_trip += (newest - known.round_trip) * ROUND_TRIP_WEIGHT;
    }

    /// Returns the smoothed round trip to another region.
    pub fn get_round_trip(&self, region: &str) -> Millis {
        self.by_region
            .get(region)
            .map_or(INITIAL_ROUND_TRIP_MS, |known| known.round_trip.ceil() as Millis)
    }

    /// Returns the timeout of a query to a node of another region, but at least `min`.
    pub fn get_timeout(&self, region: &str, min: Millis) -> Millis {
        let known = self.by_region.get(region);
        let timeout = known.map_or(INITIAL_ROUND_TRIP_MS as f64 * 1.5, |known| {
            known.round_trip + DEVIATION_FACTOR * known.deviation
        });
        (timeout.ceil() as Millis).clamp(min, MAX_TIMEOUT_MS.max(min))
    }
}
