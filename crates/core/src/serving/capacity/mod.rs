//! Capacity planning: how many servers to order, where, and of which kind.
//!
//! Each region gets the servers that its own requests need, because a request to another region
//! takes longer and uses part of a narrow link. A deployment without regions is a single region.
//!
//! Spot servers run on VMs that the platform may reclaim. They cost a fraction of on-demand servers, but all of them
//! in a data centre can be reclaimed within seconds, and for a while no replacement may be
//! available anywhere. The plan holds a fraction of the need in on-demand servers and the rest in
//! spot servers. The spot servers are spread over the data centres so that enough are left after
//! the loss of one data centre. On-demand servers are placed in the cheaper data centres, and none
//! of these holds more than its share of all data centres but one. Spot capacity that is
//! unavailable or being reclaimed is replaced by on-demand servers at once. These are released when
//! spot servers accept requests in their place, not when the spot servers are ordered: a plan
//! releases no servers if the remaining ones that accept requests now would be fewer than the need.
//!
//! | module | responsibility |
//! |---|---|
//! | this one | plans |
//! | `need` | computes how many servers the demand needs, and its peaks |
//! | `placement` | distributes servers over data centres |
//! | `initial_count` | counts the servers that a new duty holder finds |
//! | `order` | tracks an order until its servers accept requests |

mod initial_count;
mod need;
mod order;
mod placement;

use std::collections::BTreeMap;

use serde::Deserialize;

use super::configuration::Scaling;

pub use self::initial_count::InitialCount;
pub use self::need::{Demand, PeakNeeds, PeakWindow, compute_needs, count_spillable};
pub use self::order::Order;

use self::placement::{by_price, fill, spread};

/// How much capacity to hold, relative to the need.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The fraction of the need that is held in on-demand servers while spot servers are available.
    pub on_demand_part: f64,
    /// The number of spot servers per needed server.
    pub spot_part: f64,
    /// The mean fraction of time that servers may spend on prompts, without the reserve for bursts.
    pub target_utilization: f64,
    /// The mean fraction of the slots that may be occupied, without the reserve for bursts.
    pub target_occupancy: f64,
    /// The reserve for bursts: servers per square root of the load in servers.
    ///
    /// The load of many servers varies less, relative to its size, than that of few.
    pub burst_servers: f64,
    /// The fraction of the spot servers that is relied on while no more are available.
    pub exhausted_spot_part: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            on_demand_part: 0.1,
            spot_part: 2.0,
            target_utilization: 0.75,
            target_occupancy: 0.8,
            burst_servers: 1.0,
            exhausted_spot_part: 0.0,
        }
    }
}

/// The servers of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// On-demand servers that accept requests.
    pub on_demand: u32,
    /// Spot servers that accept requests.
    pub spot: u32,
    /// Spot servers that were ordered and have not started yet.
    pub spot_booting: u32,
}

/// The state of a region for which a plan is made.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// The servers in each data centre of the region in which the service may run.
    pub inventory: &'a BTreeMap<String, Inventory>,
    /// The number of servers that the demand in the region needs.
    pub need: u32,
    /// Whether spot servers were refused recently.
    ///
    /// Reclaimed servers cannot be replaced then, and a wave of reclaims in one data centre often
    /// hits the others too.
    pub is_spot_exhausted: bool,
    /// On-demand servers that were ordered or are running, in all data centres of the region.
    pub on_demand_held: u32,
    /// How many servers of the need may be placed in other regions; the requests of more servers
    /// cannot be sent there.
    pub spillable: u32,
}

impl Snapshot<'_> {
    /// Returns `true` if the spot servers that accept requests cover the need of all data centres.
    ///
    /// On-demand servers may then be released while the list of servers still grows. If there are
    /// fewer spot servers, it is not known whether those that are listed will stay.
    pub fn is_spot_sufficient(&self, scaling: &Scaling) -> bool {
        let least = scaling.min * self.inventory.len() as u32;
        self.inventory.values().map(|held| held.spot).sum::<u32>() >= self.need.max(least)
    }

    /// Returns the number of servers that accept requests.
    fn count_accepting(&self) -> u32 {
        self.inventory.values().map(|held| held.on_demand + held.spot).sum()
    }
}

/// The number of servers to hold in each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// On-demand servers.
    pub on_demand: BTreeMap<String, u32>,
    /// Spot servers.
    pub spot: BTreeMap<String, u32>,
}

/// Plans the servers of a service in all regions.
///
/// Servers are placed where requests arrive. A region cannot hold its need if its data centres are
/// full or none of its servers accepts requests. The rest of its need is then planned for regions
/// with room, as far as requests can be sent there. A region that has lost all its servers also
/// keeps its own plan, so that it gets servers again.
pub fn plan_regions(
    policy: &Policy,
    scaling: &Scaling,
    snapshots: &BTreeMap<String, Snapshot<'_>>,
) -> Plan {
    let mut all = Plan::default();
    for (region, moved) in compute_moved_needs(scaling, snapshots) {
        let Some(snapshot) = snapshots.get(region) else { continue };
        let need = snapshot.need + moved;
        let plan = plan(policy, scaling, &Snapshot { need, ..*snapshot });
        all.on_demand.extend(plan.on_demand);
        all.spot.extend(plan.spot);
    }
    all
}

/// Computes the need that each region takes over from others.
fn compute_moved_needs<'a>(
    scaling: &Scaling,
    snapshots: &'a BTreeMap<String, Snapshot<'_>>,
) -> BTreeMap<&'a str, u32> {
    let mut moved: BTreeMap<&str, u32> =
        snapshots.keys().map(|region| (region.as_str(), 0)).collect();
    let count_room = |snapshot: &Snapshot<'_>| match snapshot.count_accepting() {
        0 => 0,
        _ => scaling.max * snapshot.inventory.len() as u32,
    };
    for (from, lacking) in snapshots {
        let mut remaining = lacking.need.saturating_sub(count_room(lacking)).min(lacking.spillable);
        for (to, snapshot) in snapshots.iter().filter(|(to, _)| *to != from) {
            let taken = moved.entry(to).or_default();
            let room = count_room(snapshot).saturating_sub(snapshot.need + *taken);
            let moves = remaining.min(room);
            *taken += moves;
            remaining -= moves;
        }
    }
    moved
}

/// The largest number of servers that a plan releases beyond those that the list shows as leaving.
///
/// All nodes must learn of each release before the server ends, and a larger wave of changes takes
/// longer to reach them.
const MAX_RELEASED_SERVERS: u32 = 1_000;

/// Plans the servers of a service in the data centres of one region.
pub fn plan(policy: &Policy, scaling: &Scaling, snapshot: &Snapshot<'_>) -> Plan {
    let inventory = snapshot.inventory;
    let data_centres = by_price(scaling, inventory);
    let most = scaling.max * data_centres.len() as u32;
    if most == 0 {
        return Plan::default();
    }
    let need = snapshot.need.max(scaling.min * data_centres.len() as u32).min(most);
    let spare = snapshot.count_accepting().saturating_sub(need).min(MAX_RELEASED_SERVERS);
    if scaling.spot_price.is_none() {
        let on_demand = fill(&data_centres, need, scaling.max, &BTreeMap::new());
        let mut plan = Plan { on_demand, spot: BTreeMap::new() };
        limit_releases(&mut plan, &data_centres, inventory, spare);
        return plan;
    }
    let spot = (f64::from(need) * policy.spot_part).ceil() as u32;
    let wanted = spread(&data_centres, spot, scaling.max, &BTreeMap::new());
    let held: BTreeMap<String, u32> = inventory.iter().map(count_held_spot).collect();
    let on_demand = count_on_demand(policy, snapshot, need);
    let on_demand = fill(&data_centres, on_demand, scaling.max, &held);
    let spot = wanted.into_iter().map(|(data_centre, count)| {
        let planned = on_demand.get(&data_centre).copied().unwrap_or(0);
        // On-demand servers that are still running take up room: the platform silently truncates an
        // order that exceeds the maximum.
        let present = inventory.get(&data_centre).map_or(0, |held| held.on_demand);
        let room = scaling.max.saturating_sub(planned.max(present));
        (data_centre, count.min(room))
    });
    let spot = spot.collect();
    let mut plan = Plan { on_demand, spot };
    limit_releases(&mut plan, &data_centres, inventory, spare);
    plan
}

/// Limits the releases of a plan to `spare` servers, the servers beyond the need that accept
/// requests now.
///
/// On-demand servers are released before spot servers, and servers in expensive data centres before
/// those in cheap ones. An on-demand server that must stay replaces one that would be ordered
/// elsewhere. See `docs/design/starts.md` for the costs.
fn limit_releases(
    plan: &mut Plan,
    data_centres: &[&str],
    inventory: &BTreeMap<String, Inventory>,
    mut spare: u32,
) {
    let mut limit = |planned: &mut BTreeMap<String, u32>, get: fn(&Inventory) -> u32| {
        let mut kept = 0;
        for data_centre in data_centres.iter().rev() {
            let Some(count) = planned.get_mut(*data_centre) else { continue };
            let present = inventory.get(*data_centre).map_or(0, get);
            let surplus = present.saturating_sub(*count);
            let released = surplus.min(spare);
            spare -= released;
            kept += surplus - released;
            *count += surplus - released;
        }
        kept
    };
    let kept = limit(&mut plan.on_demand, |held| held.on_demand);
    limit(&mut plan.spot, |held| held.spot);
    cancel_orders(&mut plan.on_demand, data_centres, inventory, kept);
}

/// Removes up to `kept` on-demand servers that are not running yet from a plan, in expensive data
/// centres first, because as many running ones are kept instead.
fn cancel_orders(
    on_demand: &mut BTreeMap<String, u32>,
    data_centres: &[&str],
    inventory: &BTreeMap<String, Inventory>,
    mut kept: u32,
) {
    for data_centre in data_centres.iter().rev() {
        let Some(count) = on_demand.get_mut(*data_centre) else { continue };
        let present = inventory.get(*data_centre).map_or(0, |held| held.on_demand);
        let not_ordered = count.saturating_sub(present).min(kept);
        *count -= not_ordered;
        kept -= not_ordered;
    }
}

/// Returns the number of on-demand servers to hold in all data centres.
///
/// Ordered spot servers reduce the number of on-demand servers to order. Only spot servers that
/// accept requests reduce the number to keep.
fn count_on_demand(policy: &Policy, snapshot: &Snapshot<'_>, need: u32) -> u32 {
    let base = ((f64::from(need) * policy.on_demand_part).ceil() as u32).max(1).min(need);
    let accepting: u32 = snapshot.inventory.values().map(|data_centre| data_centre.spot).sum();
    let booting: u32 =
        snapshot.inventory.values().map(|data_centre| data_centre.spot_booting).sum();
    let usable_fraction = if snapshot.is_spot_exhausted { policy.exhausted_spot_part } else { 1.0 };
    let covered = |spot: u32| (f64::from(spot) * usable_fraction) as u32;
    let least = base + (need - base).saturating_sub(covered(accepting + booting));
    let most = base + (need - base).saturating_sub(covered(accepting));
    snapshot.on_demand_held.clamp(least, most)
}

/// Returns the number of spot servers in a data centre, including those that are starting.
fn count_held_spot((data_centre, inventory): (&String, &Inventory)) -> (String, u32) {
    (data_centre.clone(), inventory.spot + inventory.spot_booting)
}
