//! How many servers the demand for a service needs.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use crate::Millis;

/// The demand for a service in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens a second.
    pub tokens_per_second: f64,
    /// Prompt tokens that a server reads in a second.
    pub server_tokens_per_second: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests that a server works on at once.
    pub slots: f64,
}

/// Computes how many servers a service needs in each region.
///
/// The room for bursts follows the load of all regions together, split by their loads: what is too
/// much for one region may go to another.
pub fn compute_needs(policy: &Policy, demands: &BTreeMap<String, Demand>) -> BTreeMap<String, u32> {
    let reading = |demand: &Demand| demand.tokens_per_second / demand.server_tokens_per_second;
    let filled = |demand: &Demand| demand.in_flight / demand.slots.max(1.0);
    let all_reading: f64 = demands.values().map(reading).sum();
    let all_filled: f64 = demands.values().map(filled).sum();
    let with_bursts = |work: f64, all: f64, part: f64| {
        let share = if all > 0.0 { work / all } else { 0.0 };
        work / part + policy.burst_servers * all.sqrt() * share
    };
    let need = |demand: &Demand| {
        let by_tokens = with_bursts(reading(demand), all_reading, policy.target_utilization);
        let by_slots = with_bursts(filled(demand), all_filled, policy.target_occupancy);
        let need = by_tokens.max(by_slots);
        if need.is_finite() { need.ceil().max(1.0) as u32 } else { 1 }
    };
    demands.iter().map(|(region, demand)| (region.clone(), need(demand))).collect()
}

/// Bits of a prompt's token as text on a link: about four letters.
const BITS_PER_TOKEN: f64 = 32.0;
/// Bits in a megabit.
const BITS_PER_MEGABIT: f64 = 1e6;

/// Counts the servers of a region's need whose work may go to other regions at `spill_mbps`.
pub fn count_spillable(need: u32, tokens_per_second: f64, spill_mbps: f64) -> u32 {
    let mbps = tokens_per_second * BITS_PER_TOKEN / BITS_PER_MEGABIT;
    let part = if mbps > spill_mbps { spill_mbps / mbps } else { 1.0 };
    (f64::from(need) * part) as u32
}

/// The largest of the latest values, so that a plan follows a rise at once and a fall slowly.
#[derive(Clone, Debug, Default)]
pub struct PeakWindow {
    values: Vec<(Millis, u32)>,
}

impl PeakWindow {
    /// Notes a value and returns the largest within `span`.
    pub fn record(&mut self, now: Millis, value: u32, span: Millis) -> u32 {
        self.values.push((now, value));
        self.values.retain(|(at, _)| at + span >= now);
        self.get_largest().unwrap_or(value)
    }

    /// Keeps the largest value as if it had been noted now.
    fn hold(&mut self, now: Millis) {
        if let Some(largest) = self.get_largest() {
            self.values = vec![(now, largest)];
        }
    }

    fn get_largest(&self) -> Option<u32> {
        self.values.iter().map(|(_, value)| *value).max()
    }
}

/// The needs of a service by region, which rise at once and fall slowly.
#[derive(Clone, Debug, Default)]
pub struct PeakNeeds {
    by_region: BTreeMap<String, PeakWindow>,
}

impl PeakNeeds {
    /// Notes what the demand needs now and returns the largest need within `span`, of all regions
    /// whose need is known.
    ///
    /// The need of regions that are not heard stays as it was: requests go on there, and nobody
    /// reports them. Without this, the servers of a region that serves on its own would be given up.
    pub fn record(
        &mut self,
        now: Millis,
        needs: &BTreeMap<String, u32>,
        unheard: &BTreeSet<&str>,
        span: Millis,
    ) -> BTreeMap<String, u32> {
        let heard = needs.iter().filter(|(region, _)| !unheard.contains(region.as_str()));
        for (region, need) in heard {
            self.by_region.entry(region.clone()).or_default().record(now, *need, span);
        }
        for region in unheard {
            if let Some(window) = self.by_region.get_mut(*region) {
                window.hold(now);
            }
        }
        let known = self.by_region.iter();
        known.filter_map(|(region, window)| Some((region.clone(), window.get_largest()?))).collect()
    }
}
