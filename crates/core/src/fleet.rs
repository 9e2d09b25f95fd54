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
    pub most: u32,
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

/// Plans the VMs to hold: cheapest first, spread until the loss of any data centre is borne.
///
/// Where the offers do not suffice the plan holds all there is.
pub fn plan(now: Millis, offers: &[Offer], demand: &Demand) -> Plan {
    let mut plan = Plan::new();
    let need = demand.target.max(demand.floor);
    while count(&plan) < need || survivors(offers, &plan) < demand.after_loss {
        let is_short = count(&plan) < need;
        let Some(place) = next_offer(now, offers, &plan, demand, is_short) else { break };
        *plan.entry(place).or_default() += 1;
    }
    plan
}

/// Computes the price of a plan for an hour, in thousandths.
pub fn price(offers: &[Offer], plan: &Plan) -> u64 {
    plan.iter().map(|(place, count)| offers[*place].per_hour_milli * u64::from(*count)).sum()
}

/// Counts the VMs left after the worst loss of one data centre's reclaimable VMs.
pub fn survivors(offers: &[Offer], plan: &Plan) -> u32 {
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

/// The cheapest offer that helps: any while VMs are short, else one that adds a survivor.
fn next_offer(
    now: Millis,
    offers: &[Offer],
    plan: &Plan,
    demand: &Demand,
    is_short: bool,
) -> Option<usize> {
    let is_open = |place: &usize| {
        let offer = &offers[*place];
        let held = plan.get(place).copied().unwrap_or(0);
        held < offer.most && offer.refused_until.is_none_or(|until| now >= until)
    };
    let before = survivors(offers, plan);
    let adds_survivor = |place: &usize| {
        let mut with = plan.clone();
        *with.entry(*place).or_default() += 1;
        survivors(offers, &with) > before
    };
    let open = (0..offers.len()).filter(is_open);
    let needs_survivor = before < demand.after_loss;
    let rank = |place: &usize| {
        let wasted = needs_survivor && !adds_survivor(place);
        (wasted, offers[*place].per_hour_milli, *place)
    };
    let best = open.min_by_key(rank)?;
    (is_short || adds_survivor(&best)).then_some(best)
}
