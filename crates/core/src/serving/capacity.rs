//! How many servers to order, where, and of which kind.
//!
//! Servers that may be taken away cost a small part of the others, but a whole zone of them can go
//! within seconds, and for a while none may be had anywhere. The plan holds a part of what is
//! needed in lasting servers, and the rest in reclaimable ones, spread over the zones so that the
//! loss of any zone's leaves enough. What cannot be had as reclaimable, or is being taken away, is
//! ordered as lasting at once, and given up again when reclaimable servers have taken over.

use std::collections::BTreeMap;

use super::configuration::Scaling;
use crate::Millis;

/// How much to hold, in parts of what is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The part of the need that is held in lasting servers also on a calm day.
    pub lasting_part: f64,
    /// Reclaimable servers for each server that is needed.
    pub reclaimable_part: f64,
    /// How busy servers may be on average, so that bursts and long prompts find room.
    pub target_use: f64,
    /// How full the places of servers may be on average.
    pub target_fill: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self { lasting_part: 0.25, reclaimable_part: 2.0, target_use: 0.33, target_fill: 0.6 }
    }
}

/// What a zone holds of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneStock {
    /// Lasting servers that take work.
    pub lasting: u32,
    /// Reclaimable servers that take work.
    pub reclaimable: u32,
    /// Reclaimable servers that were ordered and have not come up yet.
    pub reclaimable_booting: u32,
}

/// What is asked of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Asked {
    /// Prompt tokens a second.
    pub tokens_per_second: f64,
    /// Prompt tokens that a server reads in a second.
    pub server_tokens_per_second: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests that a server works on at once.
    pub slots: f64,
}

/// Servers to hold in each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Lasting servers.
    pub lasting: BTreeMap<String, u32>,
    /// Reclaimable servers.
    pub reclaimable: BTreeMap<String, u32>,
}

/// Computes how many servers a service needs.
pub fn need(policy: &Policy, asked: &Asked) -> u32 {
    let by_tokens = asked.tokens_per_second / (asked.server_tokens_per_second * policy.target_use);
    let by_places = asked.in_flight / (asked.slots.max(1.0) * policy.target_fill);
    let need = by_tokens.max(by_places);
    if need.is_finite() { need.ceil().max(1.0) as u32 } else { 1 }
}

/// Plans the servers of a service.
///
/// `stock` names all zones in which the service may run. While the market `is_dry`, what is taken
/// away cannot be had again, so that lasting servers stand in also for the zone that would be the
/// greatest loss.
pub fn plan(
    policy: &Policy,
    scaling: &Scaling,
    stock: &BTreeMap<String, ZoneStock>,
    need: u32,
    is_dry: bool,
) -> Plan {
    let zones = by_price(scaling, stock);
    let most = scaling.max * zones.len() as u32;
    let need = need.max(scaling.min * zones.len() as u32).min(most);
    if scaling.spot_price.is_none() {
        let lasting = spread(&zones, need, scaling.max, &BTreeMap::new());
        return Plan { lasting, reclaimable: BTreeMap::new() };
    }
    let base = ((f64::from(need) * policy.lasting_part).ceil() as u32).clamp(1, need);
    let reclaimable = (f64::from(need) * policy.reclaimable_part).ceil() as u32;
    let wanted = spread(&zones, reclaimable, scaling.max, &BTreeMap::new());
    let held: BTreeMap<String, u32> = stock.iter().map(held_reclaimable).collect();
    let at_risk = if is_dry { held.values().copied().max().unwrap_or(0) } else { 0 };
    let lacking = (need - base).saturating_sub(held.values().sum::<u32>() - at_risk);
    let lasting = spread(&zones, base + lacking, scaling.max, &held);
    let reclaimable = wanted.into_iter().map(|(zone, count)| {
        let room = scaling.max - lasting.get(&zone).copied().unwrap_or(0).min(scaling.max);
        (zone, count.min(room))
    });
    let reclaimable = reclaimable.collect();
    Plan { lasting, reclaimable }
}

/// Counts a zone's reclaimable servers, those that are coming up too.
fn held_reclaimable((zone, stock): (&String, &ZoneStock)) -> (String, u32) {
    (zone.clone(), stock.reclaimable + stock.reclaimable_booting)
}

/// Lists the zones by price, the cheapest first.
fn by_price<'a>(scaling: &Scaling, stock: &'a BTreeMap<String, ZoneStock>) -> Vec<&'a str> {
    let price = |zone: &str| scaling.zone_prices.get(zone).copied().unwrap_or(1.0);
    let mut zones: Vec<&str> = stock.keys().map(String::as_str).collect();
    zones.sort_by(|a, b| price(a).total_cmp(&price(b)).then(a.cmp(b)));
    zones
}

/// Spreads servers, one in each zone in turn from the cheapest, up to `most` beside those `taken`.
fn spread(
    zones: &[&str],
    count: u32,
    most: u32,
    taken: &BTreeMap<String, u32>,
) -> BTreeMap<String, u32> {
    let mut spread: BTreeMap<String, u32> =
        zones.iter().map(|zone| ((*zone).to_owned(), 0)).collect();
    let mut left = count;
    while left > 0 {
        let before = left;
        for zone in zones {
            let held = spread.entry((*zone).to_owned()).or_default();
            let room = most.saturating_sub(taken.get(*zone).copied().unwrap_or(0));
            if left > 0 && *held < room {
                *held += 1;
                left -= 1;
            }
        }
        if left == before {
            break;
        }
    }
    spread
}

/// The largest of the latest values, so that a plan follows a rise at once and a fall slowly.
#[derive(Clone, Debug, Default)]
pub struct SlowFall {
    values: Vec<(Millis, u32)>,
}

impl SlowFall {
    /// Notes a value and returns the largest within `span`.
    pub fn follow(&mut self, now: Millis, value: u32, span: Millis) -> u32 {
        self.values.push((now, value));
        self.values.retain(|(at, _)| at + span >= now);
        self.values.iter().map(|(_, value)| *value).max().unwrap_or(value)
    }
}
