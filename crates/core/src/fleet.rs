//! Which VMs to hold.
//!
//! The cheapest set that still carries the demand after the largest data centre's reclaimable
//! VMs are taken at once. A place that refused a start is passed over for a while.

use std::collections::BTreeMap;

use crate::Millis;

/// A kind of VM that can be had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The data centre.
    pub data_centre: String,
    /// The VM class.
    pub vm_class: String,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
    /// The price of an hour, in thousandths.
    pub per_hour_milli: u64,
    /// Until when starts here are not tried, because one was refused.
    pub refused_until: Option<Millis>,
    /// The most VMs to hold here.
    pub max_vms: u32,
}

/// What the VMs must carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// VMs needed to meet the latency target for all classes.
    pub target: u32,
    /// VMs needed for the priority classes alone, after the largest data centre is lost.
    pub after_loss: u32,
    /// VMs below which the service must not fall.
    pub floor: u32,
}

/// How many VMs to hold of each offer, by its place in the slice that was given.
pub type Plan = BTreeMap<usize, u32>;

/// Plans the VMs to hold: the cheapest set that meets the demand and bears the loss of any data
/// centre's reclaimable VMs.
///
/// For each bound on the reclaimable VMs of one data centre, the cheapest VMs within it are the
/// best choice; the best of these over all bounds is the best of all. Where the offers do not
/// suffice the plan comes as near as they allow.
pub fn plan(now: Millis, offers: &[Offer], demand: &Demand) -> Plan {
    let bounds = 0..=demand.target.max(demand.floor).max(demand.after_loss) + demand.after_loss;
    let plans = bounds.map(|bound| cheapest_within(now, offers, demand, bound));
    plans.min_by_key(|plan| rank(offers, demand, plan)).unwrap_or_default()
}

/// Computes the price of a plan for an hour, in thousandths.
pub fn price(offers: &[Offer], plan: &Plan) -> u64 {
    plan.iter().map(|(place, count)| offers[*place].per_hour_milli * u64::from(*count)).sum()
}

/// Counts the VMs left after the worst loss of one data centre's reclaimable VMs.
pub fn count_survivors(offers: &[Offer], plan: &Plan) -> u32 {
    let mut exposed: BTreeMap<&str, u32> = BTreeMap::new();
    for (place, held) in plan {
        if offers[*place].reclaimable {
            *exposed.entry(&offers[*place].data_centre).or_default() += held;
        }
    }
    count(plan) - exposed.values().max().copied().unwrap_or(0)
}

fn count(plan: &Plan) -> u32 {
    plan.values().sum()
}

/// Picks the offer of which a VM must be started next, given what is held of each.
///
/// Returns `None` where the plan is met. The offer that lacks most goes first, the cheapest of
/// equals.
pub fn next_start(offers: &[Offer], plan: &Plan, held: &Plan) -> Option<usize> {
    let lack = |place: usize| {
        let planned = plan.get(&place).copied().unwrap_or(0);
        planned.saturating_sub(held.get(&place).copied().unwrap_or(0))
    };
    let short = (0..offers.len()).filter(|place| lack(*place) > 0);
    short.min_by_key(|place| (u32::MAX - lack(*place), offers[*place].per_hour_milli))
}

/// Takes the cheapest VMs, with at most `bound` reclaimable ones in any data centre.
fn cheapest_within(now: Millis, offers: &[Offer], demand: &Demand, bound: u32) -> Plan {
    let need = demand.target.max(demand.floor).max(demand.after_loss + bound);
    let mut exposed: BTreeMap<&str, u32> = BTreeMap::new();
    let mut plan = Plan::new();
    for place in by_price(now, offers) {
        let offer = &offers[place];
        let mut room = offer.max_vms.min(need - count(&plan));
        if offer.reclaimable {
            let exposed = exposed.entry(&offer.data_centre).or_default();
            room = room.min(bound - *exposed);
            *exposed += room;
        }
        if room > 0 {
            plan.insert(place, room);
        }
    }
    plan
}

/// Lists the offers that can be tried now, the cheapest first.
fn by_price(now: Millis, offers: &[Offer]) -> Vec<usize> {
    let is_open = |place: &usize| offers[*place].refused_until.is_none_or(|until| now >= until);
    let mut places: Vec<usize> = (0..offers.len()).filter(is_open).collect();
    places.sort_by_key(|place| (offers[*place].per_hour_milli, *place));
    places
}

/// What a plan leaves unmet, then its price: the least is best.
fn rank(offers: &[Offer], demand: &Demand, plan: &Plan) -> (u32, u32, u64) {
    let need = demand.target.max(demand.floor);
    let short = need.saturating_sub(count(plan));
    let exposed = demand.after_loss.saturating_sub(count_survivors(offers, plan));
    (short, exposed, price(offers, plan))
}
