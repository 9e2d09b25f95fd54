//! How long messages take to another region and back.
//!
//! Round trips are measured from questions between nodes, and smoothed. The time for which
//! an answer is waited for follows from them.

use std::collections::BTreeMap;

use crate::Millis;

/// The weight of the newest round trip in the smoothed one, as TCP has it (RFC 6298).
const NEWEST_PART: f64 = 1.0 / 8.0;
/// The weight of the newest deviation in the smoothed one, as TCP has it (RFC 6298).
const NEWEST_DEVIATION_PART: f64 = 1.0 / 4.0;
/// How many deviations above the smoothed round trip an answer is waited for, as TCP has it
/// (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// The round trip that is assumed until the first measurement, in milliseconds: that of regions on
/// one continent. A wait that is too long costs one request this time. One that is too short ends
/// before the answer comes.
const UNMEASURED: Millis = 100;
/// The longest wait for an answer, in milliseconds: it bounds what a full link adds to a request.
const LONGEST_WAIT: Millis = 300;

/// Round trips from this node to the other regions.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    by_region: BTreeMap<String, Estimate>,
}

/// The smoothed round trip to a region, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    round_trip: f64,
    deviation: f64,
}

impl RoundTrips {
    /// Notes the time between a question to a node of a region and its answer.
    pub fn record(&mut self, region: &str, round_trip: Millis) {
        let newest = round_trip as f64;
        let Some(known) = self.by_region.get_mut(region) else {
            let first = Estimate { round_trip: newest, deviation: newest / 2.0 };
            self.by_region.insert(region.to_owned(), first);
            return;
        };
        let deviation = (newest - known.round_trip).abs();
        known.deviation += (deviation - known.deviation) * NEWEST_DEVIATION_PART;
        known.round_trip += (newest - known.round_trip) * NEWEST_PART;
    }

    /// Returns the smoothed round trip to another region.
    pub fn get_round_trip(&self, region: &str) -> Millis {
        self.by_region.get(region).map_or(UNMEASURED, |known| known.round_trip.ceil() as Millis)
    }

    /// Returns how long to wait for an answer from a node of another region; `least` where that is
    /// longer.
    pub fn get_timeout(&self, region: &str, least: Millis) -> Millis {
        let known = self.by_region.get(region);
        let wait = known.map_or(UNMEASURED as f64 * 1.5, |known| {
            known.round_trip + DEVIATIONS * known.deviation
        });
        (wait.ceil() as Millis).clamp(least, LONGEST_WAIT.max(least))
    }
}
