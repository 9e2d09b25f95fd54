//! Fleet planning: which VMs to run.
//!
//! The plan is the cheapest set of VMs that still meets the demand after all reclaimable VMs of
//! the largest data centre are reclaimed at once. An offer that refused a start is skipped for a
//! while.

use std::collections::BTreeMap;

use crate::Millis;

/// A kind of VM offered by the cloud.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The data centre.
    pub data_centre: String,
    /// The VM class.
    pub vm_class: String,
    /// Whether the cloud may reclaim it.
    pub reclaimable: bool,
    /// The hourly price, in thousandths of the account's currency.
    pub per_hour_milli: u64,
    /// If a start was refused, the time until which no start is tried.
    pub refused_until: Option<Millis>,
    /// Maximum number of VMs to run of this offer.
    pub max_vms: u32,
}

/// The demand that the fleet must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// VMs needed to meet the latency targets of all request classes.
    pub target: u32,
    /// VMs needed for the priority classes alone, after the loss of the largest data centre.
    pub after_loss: u32,
    /// Minimum number of VMs of the service.
    pub floor: u32,
}

/// The number of VMs to run of each offer, by the offer's index in the given slice.
pub type Plan = BTreeMap<usize, u32>;

/// Returns the cheapest plan that meets the demand and tolerates the loss of the reclaimable VMs
/// of any one data centre.
///
/// For each bound on the reclaimable VMs per data centre, taking the cheapest VMs within the
/// bound is optimal; the best plan over all bounds is therefore optimal overall. If the offers do
/// not suffice, the plan comes as close to the demand as they allow.
pub fn plan(now: Millis, offers: &[Offer], demand: &Demand) -> Plan {
    let bounds = 0..=demand.target.max(demand.floor).max(demand.after_loss) + demand.after_loss;
    let plans = bounds.map(|bound| cheapest_within(now, offers, demand, bound));
    plans.min_by_key(|plan| rank(offers, demand, plan)).unwrap_or_default()
}

/// Returns the hourly price of a plan, in thousandths of the account's currency.
pub fn price(offers: &[Offer], plan: &Plan) -> u64 {
    plan.iter().map(|(index, count)| offers[*index].per_hour_milli * u64::from(*count)).sum()
}

/// Returns the number of VMs left after the worst-case loss of one data centre's reclaimable VMs.
pub fn count_survivors(offers: &[Offer], plan: &Plan) -> u32 {
    let mut exposed: BTreeMap<&str, u32> = BTreeMap::new();
    for (index, running) in plan {
        if offers[*index].reclaimable {
            *exposed.entry(&offers[*index].data_centre).or_default() += running;
        }
    }
    count(plan) - exposed.values().max().copied().unwrap_or(0)
}

fn count(plan: &Plan) -> u32 {
    plan.values().sum()
}

/// Returns the offer of which to start a VM next, given the number of running VMs of each offer.
///
/// Returns `None` if the plan is met. The offer with the largest deficit is preferred, then the
/// cheapest.
pub fn next_start(offers: &[Offer], plan: &Plan, running: &Plan) -> Option<usize> {
    let deficit = |index: usize| {
        let planned = plan.get(&index).copied().unwrap_or(0);
        planned.saturating_sub(running.get(&index).copied().unwrap_or(0))
    };
    let short = (0..offers.len()).filter(|index| deficit(*index) > 0);
    short.min_by_key(|index| (u32::MAX - deficit(*index), offers[*index].per_hour_milli))
}

/// Returns a plan of the cheapest VMs, with at most `bound` reclaimable ones in any data centre.
fn cheapest_within(now: Millis, offers: &[Offer], demand: &Demand, bound: u32) -> Plan {
    let need = demand.target.max(demand.floor).max(demand.after_loss + bound);
    let mut exposed: BTreeMap<&str, u32> = BTreeMap::new();
    let mut plan = Plan::new();
    for index in sort_by_price(now, offers) {
        let offer = &offers[index];
        let mut room = offer.max_vms.min(need - count(&plan));
        if offer.reclaimable {
            let exposed = exposed.entry(&offer.data_centre).or_default();
            room = room.min(bound - *exposed);
            *exposed += room;
        }
        if room > 0 {
            plan.insert(index, room);
        }
    }
    plan
}

/// Returns the offers that may be tried now, cheapest first.
fn sort_by_price(now: Millis, offers: &[Offer]) -> Vec<usize> {
    let is_available =
        |index: &usize| offers[*index].refused_until.is_none_or(|until| now >= until);
    let mut indices: Vec<usize> = (0..offers.len()).filter(is_available).collect();
    indices.sort_by_key(|index| (offers[*index].per_hour_milli, *index));
    indices
}

/// Returns the sort key of a plan: its unmet demand, then its price. The lowest is best.
fn rank(offers: &[Offer], demand: &Demand, plan: &Plan) -> (u32, u32, u64) {
    let need = demand.target.max(demand.floor);
    let short = need.saturating_sub(count(plan));
    let exposed = demand.after_loss.saturating_sub(count_survivors(offers, plan));
    (short, exposed, price(offers, plan))
}
