//! How many servers to order, where, and of which kind.
//!
//! Each region gets the servers that the requests which arrive there need; what crosses to another
//! region takes its time, and its share of a narrow link. A deployment without regions is one region.
//!
//! Spot servers (the users' reclaimable machines) cost a fraction of on-demand servers, but all of a
//! data centre's can be reclaimed within seconds, and for a while no more are to be had anywhere.
//! The plan holds a fraction of the need in on-demand servers and the rest in spot servers, which are
//! spread over the data centres so that enough are left after the loss of one. On-demand servers
//! stand in the cheaper data centres, none of which holds more than its share of all but one. Spot
//! capacity that cannot be had, or is being reclaimed, is replaced by on-demand servers at once.
//! These are released when spot servers accept requests in their place, not when they are ordered:
//! no plan releases servers while those that would be left, and accept requests now, are fewer than
//! the need.
//!
//! | module | does |
//! |---|---|
//! | this one | plans |
//! | `need` | computes how many servers the demand needs, and follows its peaks |
//! | `placement` | spreads servers over data centres |
//! | `initial_count` | counts the servers that a new holder of the duties finds |
//! | `order` | follows an order until its servers accept requests |

mod initial_count;
mod need;
mod order;
mod placement;

use std::collections::BTreeMap;

use super::configuration::Scaling;

pub use self::initial_count::InitialCount;
pub use self::need::{Demand, PeakNeeds, PeakWindow, compute_needs, count_spillable};
pub use self::order::Order;

use self::placement::{by_price, fill, spread};

/// How much to hold, as fractions of the need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The fraction of the need that is held in on-demand servers while spot servers can be had.
    pub on_demand_part: f64,
    /// Spot servers for each server that is needed.
    pub spot_part: f64,
    /// The mean fraction of time for which servers may read prompts, besides those for bursts.
    pub target_utilization: f64,
    /// The mean fraction of the slots that may be taken, besides those for bursts.
    pub target_occupancy: f64,
    /// Servers held for bursts, for each square root of the load in servers: the load of many
    /// servers varies less, relative to its size, than that of few.
    pub burst_servers: f64,
    /// The fraction of the spot servers that is counted on while no more can be had.
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

/// The state of a region that a plan starts from.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// The servers of each of its data centres in which the service may run.
    pub inventory: &'a BTreeMap<String, Inventory>,
    /// The servers that the demand in the region needs.
    pub need: u32,
    /// Whether spot servers were lately refused: what is taken away then cannot be had
    /// again, and waves that take one data centre often take the others too.
    pub is_spot_exhausted: bool,
    /// On-demand servers that were ordered, or are there, in all its data centres.
    pub on_demand_held: u32,
    /// How many servers of its need may stand in other regions: the work of more cannot cross.
    pub spillable: u32,
}

impl Snapshot<'_> {
    /// Returns `true` if the spot servers that accept requests carry the need of all data centres alone.
    ///
    /// On-demand servers may then be given up while the list of servers still grows. Of an order for
    /// fewer, nobody knows whether those stay that have listed themselves.
    pub fn is_spot_sufficient(&self, scaling: &Scaling) -> bool {
        let least = scaling.min * self.inventory.len() as u32;
        self.inventory.values().map(|held| held.spot).sum::<u32>() >= self.need.max(least)
    }

    /// Counts the servers that accept requests.
    fn count_accepting(&self) -> u32 {
        self.inventory.values().map(|held| held.on_demand + held.spot).sum()
    }
}

/// Servers to hold in each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// On-demand servers.
    pub on_demand: BTreeMap<String, u32>,
    /// Spot servers.
    pub spot: BTreeMap<String, u32>,
}

/// Plans the servers of a service in all regions.
///
/// Servers stand where requests arrive. A region cannot hold its need if its data centres are full or
/// none of its servers accepts requests. The rest is planned for regions that have room, as far as
/// requests can cross. A region that has lost all servers keeps its own plan besides, so that it gets
/// servers again.
pub fn plan_regions(
    policy: &Policy,
    scaling: &Scaling,
    snapshots: &BTreeMap<String, Snapshot<'_>>,
) -> Plan {
    let mut all = Plan::default();
    for (region, moved) in move_needs(scaling, snapshots) {
        let Some(snapshot) = snapshots.get(region) else { continue };
        let need = snapshot.need + moved;
        let plan = plan(policy, scaling, &Snapshot { need, ..*snapshot });
        all.on_demand.extend(plan.on_demand);
        all.spot.extend(plan.spot);
    }
    all
}

/// Computes the need that each region takes over from others.
fn move_needs<'a>(
    scaling: &Scaling,
    snapshots: &'a BTreeMap<String, Snapshot<'_>>,
) -> BTreeMap<&'a str, u32> {
    let mut moved: BTreeMap<&str, u32> =
        snapshots.keys().map(|region| (region.as_str(), 0)).collect();
    let count_places = |snapshot: &Snapshot<'_>| match snapshot.count_accepting() {
        0 => 0,
        _ => scaling.max * snapshot.inventory.len() as u32,
    };
    for (from, lacking) in snapshots {
        let mut left = lacking.need.saturating_sub(count_places(lacking)).min(lacking.spillable);
        for (to, snapshot) in snapshots.iter().filter(|(to, _)| *to != from) {
            let taken = moved.entry(to).or_default();
            let room = count_places(snapshot).saturating_sub(snapshot.need + *taken);
            let moves = left.min(room);
            *taken += moves;
            left -= moves;
        }
    }
    moved
}

/// The most servers that a plan releases beyond those that the list shows as leaving: all nodes must hear of
/// each before it ends, and a longer wave of changes takes longer to reach them.
const MOST_RELEASED: u32 = 1_000;

/// Plans the servers of a service in the data centres of one region.
pub fn plan(policy: &Policy, scaling: &Scaling, snapshot: &Snapshot<'_>) -> Plan {
    let inventory = snapshot.inventory;
    let data_centres = by_price(scaling, inventory);
    let most = scaling.max * data_centres.len() as u32;
    if most == 0 {
        return Plan::default();
    }
    let need = snapshot.need.max(scaling.min * data_centres.len() as u32).min(most);
    let spare = snapshot.count_accepting().saturating_sub(need).min(MOST_RELEASED);
    if scaling.spot_price.is_none() {
        let on_demand = fill(&data_centres, need, scaling.max, &BTreeMap::new());
        let mut plan = Plan { on_demand, spot: BTreeMap::new() };
        limit_releases(&mut plan, &data_centres, inventory, spare);
        return plan;
    }
    let spot = (f64::from(need) * policy.spot_part).ceil() as u32;
    let wanted = spread(&data_centres, spot, scaling.max, &BTreeMap::new());
    let held: BTreeMap<String, u32> = inventory.iter().map(held_spot).collect();
    let on_demand = count_on_demand(policy, snapshot, need);
    let on_demand = fill(&data_centres, on_demand, scaling.max, &held);
    let spot = wanted.into_iter().map(|(data_centre, count)| {
        let planned = on_demand.get(&data_centre).copied().unwrap_or(0);
        // On-demand servers that are still there take up room: the platform cuts an order that
        // exceeds the maximum and does not say so.
        let present = inventory.get(&data_centre).map_or(0, |held| held.on_demand);
        let room = scaling.max.saturating_sub(planned.max(present));
        (data_centre, count.min(room))
    });
    let spot = spot.collect();
    let mut plan = Plan { on_demand, spot };
    limit_releases(&mut plan, &data_centres, inventory, spare);
    plan
}

/// Limits what a plan releases to `spare` servers: those beyond the need that accept requests now.
///
/// On-demand servers go before spot servers, in dearer data centres before cheaper ones. An
/// on-demand server that has to stay takes the place of one that would be ordered elsewhere.
/// `docs/design/starts.md` says what that costs.
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

/// Takes up to `kept` on-demand servers that are not there yet out of a plan, in dearer data centres
/// first: as many that are there stay in their place.
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

/// Counts the on-demand servers to hold in all data centres.
///
/// Spot servers that were ordered count against ordering on-demand servers. Only those that accept
/// requests count against keeping on-demand servers.
fn count_on_demand(policy: &Policy, snapshot: &Snapshot<'_>, need: u32) -> u32 {
    let base = ((f64::from(need) * policy.on_demand_part).ceil() as u32).max(1).min(need);
    let working: u32 = snapshot.inventory.values().map(|data_centre| data_centre.spot).sum();
    let booting: u32 =
        snapshot.inventory.values().map(|data_centre| data_centre.spot_booting).sum();
    let trusted = if snapshot.is_spot_exhausted { policy.exhausted_spot_part } else { 1.0 };
    let carried = |spot: u32| (f64::from(spot) * trusted) as u32;
    let least = base + (need - base).saturating_sub(carried(working + booting));
    let most = base + (need - base).saturating_sub(carried(working));
    snapshot.on_demand_held.clamp(least, most)
}

/// Counts a data centre's spot servers, including those that are starting.
fn held_spot((data_centre, inventory): (&String, &Inventory)) -> (String, u32) {
    (data_centre.clone(), inventory.spot + inventory.spot_booting)
}
