//! How many servers the demand for a service needs.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use crate::Millis;

/// The demand for a service in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens per second.
    pub tokens_per_second: f64,
    /// Prompt tokens that a server processes per second.
    pub server_tokens_per_second: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests that a server processes concurrently.
    pub slots: f64,
}

/// Computes how many servers a service needs in each region.
///
/// The reserve for bursts depends on the total load of all regions and is split by their loads,
/// because a region can pass its excess load to another one.
pub fn compute_needs(policy: &Policy, demands: &BTreeMap<String, Demand>) -> BTreeMap<String, u32> {
    let busy_servers = |demand: &Demand| demand.tokens_per_second / demand.server_tokens_per_second;
    let occupied_servers = |demand: &Demand| demand.in_flight / demand.slots.max(1.0);
    let all_busy_servers: f64 = demands.values().map(busy_servers).sum();
    let all_occupied_servers: f64 = demands.values().map(occupied_servers).sum();
    let with_burst_reserve = |work: f64, all: f64, part: f64| {
        let share = if all > 0.0 { work / all } else { 0.0 };
        work / part + policy.burst_servers * all.sqrt() * share
    };
    let need = |demand: &Demand| {
        let by_tokens =
            with_burst_reserve(busy_servers(demand), all_busy_servers, policy.target_utilization);
        let by_slots = with_burst_reserve(
            occupied_servers(demand),
            all_occupied_servers,
            policy.target_occupancy,
        );
        let need = by_tokens.max(by_slots);
        if need.is_finite() { need.ceil().max(1.0) as u32 } else { 1 }
    };
    demands.iter().map(|(region, demand)| (region.clone(), need(demand))).collect()
}

/// Bits that a prompt token takes as text on a link: about four letters.
const BITS_PER_TOKEN: f64 = 32.0;
/// Bits in a megabit.
const BITS_PER_MEGABIT: f64 = 1e6;

/// Returns the number of servers of a region's need whose requests can be sent to other regions at
/// `spill_mbps`.
pub fn count_spillable(need: u32, tokens_per_second: f64, spill_mbps: f64) -> u32 {
    let mbps = tokens_per_second * BITS_PER_TOKEN / BITS_PER_MEGABIT;
    let part = if mbps > spill_mbps { spill_mbps / mbps } else { 1.0 };
    (f64::from(need) * part) as u32
}

/// The peak of recent values, so that a plan follows a rise at once and a fall slowly.
#[derive(Clone, Debug, Default)]
pub struct PeakWindow {
    values: Vec<(Millis, u32)>,
}

impl PeakWindow {
    /// Records a value and returns the largest one within `span`.
    pub fn record(&mut self, now: Millis, value: u32, span: Millis) -> u32 {
        self.values.push((now, value));
        self.values.retain(|(at, _)| at + span >= now);
        self.get_largest().unwrap_or(value)
    }

    /// Keeps the largest value as if it was recorded now.
    fn refresh(&mut self, now: Millis) {
        if let Some(largest) = self.get_largest() {
            self.values = vec![(now, largest)];
        }
    }

    fn get_largest(&self) -> Option<u32> {
        self.values.iter().map(|(_, value)| *value).max()
    }
}

/// The peak needs of a service by region, which rise at once and fall slowly.
#[derive(Clone, Debug, Default)]
pub struct PeakNeeds {
    by_region: BTreeMap<String, PeakWindow>,
}

impl PeakNeeds {
    /// Records the current needs and returns the peak needs within `span` of all regions with a
    /// known need.
    ///
    /// The need of an unreachable region is kept, because its requests continue although no node
    /// reports them. Otherwise the servers of a partitioned region would be released.
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
                window.refresh(now);
            }
        }
        let known = self.by_region.iter();
        known.filter_map(|(region, window)| Some((region.clone(), window.get_largest()?))).collect()
    }
}
