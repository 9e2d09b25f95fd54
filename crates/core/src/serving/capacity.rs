//! How many servers to order, where, and of which kind.
//!
//! Servers that may be taken away cost a small part of the others, but a whole data centre of them
//! can go within seconds, and for a while none may be had anywhere. The plan holds a part of what
//! is needed in lasting servers, and the rest in reclaimable ones, spread over the data centres so
//! that the loss of any data centre's leaves enough. Lasting servers cost most: they stand in the
//! cheaper data centres, and none of these holds more than its part of all data centres but one.
//! What cannot be had as reclaimable, or is being taken away, is ordered as lasting at once.
//! Lasting servers are given up again only when reclaimable ones take work in their place: one that
//! was ordered carries nothing until it has started.

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
    /// How busy servers may be on average, besides those for bursts.
    pub target_use: f64,
    /// How full the places of servers may be on average, besides those for bursts.
    pub target_fill: f64,
    /// Servers held for bursts, for each square root of the servers' worth of work: what is asked
    /// of many servers varies less, as a part of it, than what is asked of few.
    pub burst_servers: f64,
    /// The part of the reclaimable servers that is counted on while no more can be had.
    pub dry_trust: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lasting_part: 0.25,
            reclaimable_part: 2.0,
            target_use: 0.75,
            target_fill: 0.8,
            burst_servers: 1.0,
            dry_trust: 0.0,
        }
    }
}

/// What a data centre holds of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stock {
    /// Lasting servers that take work.
    pub lasting: u32,
    /// Reclaimable servers that take work.
    pub reclaimable: u32,
    /// Reclaimable servers that were ordered and have not come up yet.
    pub reclaimable_booting: u32,
}

/// What a plan starts from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// What each data centre holds; all data centres in which the service may run are there.
    pub stock: &'a BTreeMap<String, Stock>,
    /// How many servers carry what is asked.
    pub need: u32,
    /// Whether reclaimable servers were lately refused: what is taken away then cannot be had
    /// again, and waves that take one data centre often take the others too.
    pub is_dry: bool,
    /// Lasting servers that were ordered, or are there, in all data centres.
    pub lasting_held: u32,
    /// Whether nothing was asked of the service yet: nothing is lost while servers start.
    pub is_idle: bool,
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

/// Servers to hold in each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Lasting servers.
    pub lasting: BTreeMap<String, u32>,
    /// Reclaimable servers.
    pub reclaimable: BTreeMap<String, u32>,
}

/// Computes how many servers a service needs.
pub fn need(policy: &Policy, asked: &Asked) -> u32 {
    let with_bursts = |work: f64, part: f64| work / part + policy.burst_servers * work.sqrt();
    let reading = asked.tokens_per_second / asked.server_tokens_per_second;
    let filled = asked.in_flight / asked.slots.max(1.0);
    let by_tokens = with_bursts(reading, policy.target_use);
    let need = by_tokens.max(with_bursts(filled, policy.target_fill));
    if need.is_finite() { need.ceil().max(1.0) as u32 } else { 1 }
}

/// Plans the servers of a service.
pub fn plan(policy: &Policy, scaling: &Scaling, situation: &Situation<'_>) -> Plan {
    let stock = situation.stock;
    let data_centres = by_price(scaling, stock);
    let most = scaling.max * data_centres.len() as u32;
    let need = situation.need.max(scaling.min * data_centres.len() as u32).min(most);
    if scaling.spot_price.is_none() {
        let lasting = fill(&data_centres, need, scaling.max, &BTreeMap::new());
        return Plan { lasting, reclaimable: BTreeMap::new() };
    }
    let reclaimable = (f64::from(need) * policy.reclaimable_part).ceil() as u32;
    let wanted = spread(&data_centres, reclaimable, scaling.max, &BTreeMap::new());
    let held: BTreeMap<String, u32> = stock.iter().map(held_reclaimable).collect();
    let lasting = count_lasting(policy, situation, need);
    let lasting = fill(&data_centres, lasting, scaling.max, &held);
    let reclaimable = wanted.into_iter().map(|(data_centre, count)| {
        let room = scaling.max - lasting.get(&data_centre).copied().unwrap_or(0).min(scaling.max);
        (data_centre, count.min(room))
    });
    let reclaimable = reclaimable.collect();
    Plan { lasting, reclaimable }
}

/// Counts the lasting servers to hold in all data centres.
///
/// Reclaimable servers that were ordered stand against ordering more lasting ones, and only those
/// that take work against keeping the lasting ones that are there, unless nobody asks for anything.
fn count_lasting(policy: &Policy, situation: &Situation<'_>, need: u32) -> u32 {
    let base = ((f64::from(need) * policy.lasting_part).ceil() as u32).clamp(1, need);
    let working: u32 = situation.stock.values().map(|data_centre| data_centre.reclaimable).sum();
    let booting: u32 =
        situation.stock.values().map(|data_centre| data_centre.reclaimable_booting).sum();
    let trusted = if situation.is_dry { policy.dry_trust } else { 1.0 };
    let carried = |reclaimable: u32| (f64::from(reclaimable) * trusted) as u32;
    let least = base + (need - base).saturating_sub(carried(working + booting));
    let most = base + (need - base).saturating_sub(carried(working));
    situation.lasting_held.clamp(least, if situation.is_idle { least } else { most })
}

/// Counts a data centre's reclaimable servers, those that are coming up too.
fn held_reclaimable((data_centre, stock): (&String, &Stock)) -> (String, u32) {
    (data_centre.clone(), stock.reclaimable + stock.reclaimable_booting)
}

/// Lists the data centres by price, the cheapest first.
fn by_price<'a>(scaling: &Scaling, stock: &'a BTreeMap<String, Stock>) -> Vec<&'a str> {
    let price =
        |data_centre: &str| scaling.data_centre_prices.get(data_centre).copied().unwrap_or(1.0);
    let mut data_centres: Vec<&str> = stock.keys().map(String::as_str).collect();
    data_centres.sort_by(|a, b| price(a).total_cmp(&price(b)).then(a.cmp(b)));
    data_centres
}

/// Lasting servers stand in two data centres at least, where there are two.
const LEAST_PARTS: usize = 2;

/// Fills data centres from the cheapest on, none of them with more than its part of all but one, as
/// far as there is room; what finds none is spread over all.
fn fill(
    data_centres: &[&str],
    count: u32,
    most: u32,
    taken: &BTreeMap<String, u32>,
) -> BTreeMap<String, u32> {
    let parts = data_centres.len().saturating_sub(1).max(LEAST_PARTS) as u32;
    let part = count.div_ceil(parts);
    let mut filled = BTreeMap::new();
    let mut left = count;
    for data_centre in data_centres {
        let room = most.saturating_sub(taken.get(*data_centre).copied().unwrap_or(0));
        let held = part.min(room).min(left);
        filled.insert((*data_centre).to_owned(), held);
        left -= held;
    }
    if left > 0 { spread(data_centres, count, most, taken) } else { filled }
}

/// Spreads servers, one in each data centre in turn from the cheapest, up to `most` beside those
/// `taken`.
fn spread(
    data_centres: &[&str],
    count: u32,
    most: u32,
    taken: &BTreeMap<String, u32>,
) -> BTreeMap<String, u32> {
    let mut spread: BTreeMap<String, u32> =
        data_centres.iter().map(|data_centre| ((*data_centre).to_owned(), 0)).collect();
    let mut left = count;
    while left > 0 {
        let before = left;
        for data_centre in data_centres {
            let held = spread.entry((*data_centre).to_owned()).or_default();
            let room = most.saturating_sub(taken.get(*data_centre).copied().unwrap_or(0));
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
