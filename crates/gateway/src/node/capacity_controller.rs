//! Orders capacity from the platform: how many servers, where, and spot or on-demand.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::capacity::{
    Demand, InitialCount, Inventory, Order, PeakNeeds, Plan, Policy, Snapshot, compute_needs,
    count_spillable, plan_regions,
};
use keeljunction_core::serving::configuration::{Scaling, Service};

use super::Node;
use super::regional_demand::{WINDOW_MS, get_demands, get_tokens_per_second};
use crate::event::{self, Event};
use crate::metrics::CapacityLabels;
use crate::port::{CapacityOrder, DutyHolder};
use crate::runtime;

/// The timeout for calls to the platform's control service.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The window whose largest need counts, so that capacity is scaled down slowly.
const SCALE_DOWN_WINDOW_MS: Millis = 8_000;
/// The backoff after an order was refused or not answered.
const ORDER_BACK_OFF_MS: Millis = 2_000;
/// The interval between orders of spot servers while the server list is still growing. A tenth of a
/// usual boot time keeps the number of calls low and lets few on-demand servers wait for their
/// replacement.
const GROWING_LIST_ORDER_INTERVAL_MS: Millis = 500;
/// The HTTP status of an accepted order.
const STATUS_OK: u16 = 200;

/// A service, a data centre, and `true` for spot servers.
type OrderKey = (String, String, bool);

/// The servers of each data centre, by region.
type Inventories = BTreeMap<String, BTreeMap<String, Inventory>>;

/// The capacity orders of the duty holder and the state they depend on.
#[derive(Debug, Default)]
pub struct CapacityController {
    fence: Option<u64>,
    ordered: BTreeMap<OrderKey, Order>,
    back_off_until: BTreeMap<OrderKey, Millis>,
    /// The recent maximum of the needs, by service.
    peak_needs: BTreeMap<String, PeakNeeds>,
    /// When this holder first knew the demand, by service.
    demand_known_since: BTreeMap<String, Millis>,
    /// On-demand servers found in the server list, by service and region.
    initial_counts: BTreeMap<(String, String), InitialCount>,
    /// When spot servers may be ordered next while the server list is still growing.
    next_growing_list_order_at: BTreeMap<String, Millis>,
}

impl CapacityController {
    /// Orders the capacity that is missing from the plan.
    pub async fn step(&mut self, node: &Node) {
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence != self.fence {
            // The orders of an earlier holder are unknown: start from the server list.
            *self = Self { fence, ..Self::default() };
            node.metrics.capacity_need.clear();
            node.metrics.capacity_planned.clear();
        }
        let Some(configuration) = node.with(|state| state.configuration.clone()) else { return };
        for (name, service) in &configuration.services {
            if let Some(scaling) = &service.scaling {
                self.step_service(node, name, service, scaling).await;
            }
        }
    }

    /// Orders the capacity that is missing from the plan of one service.
    async fn step_service(
        &mut self,
        node: &Node,
        name: &str,
        service: &Service,
        scaling: &Scaling,
    ) {
        let now = node.now();
        let mut inventories = self.count_inventories(node, name, scaling);
        let (initial_counts, is_complete) =
            self.track_initial_counts(node, name, &inventories, now);
        let is_mixed = inventories.values().flat_map(BTreeMap::values).any(|held| held.spot > 0);
        let policy = node.settings.capacity;
        let demands = get_demands(node, name, service, now);
        let is_demand_settled = self.track_demand(name, demands.is_some(), now);
        let unreachable = list_unreachable_regions(node, &inventories);
        let (needs, policy) = match &demands {
            Some(demands) => {
                let latest = compute_needs(&policy, demands);
                let unreachable = unreachable.iter().map(String::as_str).collect();
                let peak_needs = self.peak_needs.entry(name.to_owned()).or_default();
                (peak_needs.record(now, &latest, &unreachable, SCALE_DOWN_WINDOW_MS), policy)
            }
            // A holder that does not know the demand yet keeps the mix of an earlier holder.
            None if is_mixed && !self.has_orders(name) => return,
            // Servers register one by one. Before the first request, spot servers are ordered to
            // replace those that have registered; later needs must not be derived from a partial
            // list.
            None if !is_complete && !self.is_growing_list_order_due(node, name, now) => return,
            // No holder has ordered a mix yet: keep the number of servers found, in the usual mix.
            None => (initial_counts, Policy { spot_part: policy.spot_part.min(1.0), ..policy }),
        };
        // Requests may arrive in a region without a data centre of the service, or at nodes that
        // know other regions.
        for region in needs.keys() {
            inventories.entry(region.clone()).or_default();
        }
        // An unreachable region that serves on its own keeps its servers if its need was never
        // known.
        inventories.retain(|region, _| needs.contains_key(region) || !unreachable.contains(region));
        let snapshots =
            self.make_snapshots(node, name, &inventories, &needs, demands.as_ref(), now);
        let plan = plan_regions(&policy, scaling, &snapshots);
        set_metrics(node, name, &needs, &plan);
        let inventory = inventories.values().flat_map(BTreeMap::clone).collect();
        for order in self.list_orders(name, &plan, &inventory, now) {
            // On-demand servers that have not registered yet must not be released, unless they are
            // known to be surplus.
            let snapshot = snapshots.get(get_region(node, &order.data_centre));
            let is_spot_sufficient =
                snapshot.is_some_and(|snapshot| snapshot.is_spot_sufficient(scaling));
            let is_surplus = is_demand_settled && is_spot_sufficient;
            if !is_complete && !order.is_spot && !is_surplus {
                continue;
            }
            let held = inventory.get(&order.data_centre).copied().unwrap_or_default();
            self.send(node, order, &held).await;
        }
    }

    /// Returns `true` if this holder has known the demand for a whole measurement window. After all
    /// nodes have restarted, a shorter measurement is too low.
    fn track_demand(&mut self, name: &str, is_known: bool, now: Millis) -> bool {
        if !is_known {
            self.demand_known_since.remove(name);
            return false;
        }
        let since = self.demand_known_since.entry(name.to_owned()).or_insert(now);
        now >= *since + WINDOW_MS
    }

    /// Returns the planning inputs of each region.
    fn make_snapshots<'a>(
        &self,
        node: &Node,
        name: &str,
        inventories: &'a Inventories,
        needs: &BTreeMap<String, u32>,
        demands: Option<&BTreeMap<String, Demand>>,
        now: Millis,
    ) -> BTreeMap<String, Snapshot<'a>> {
        let snapshot = |(region, inventory): (&String, &'a BTreeMap<String, Inventory>)| {
            let need = needs.get(region).copied().unwrap_or(0);
            let snapshot = Snapshot {
                inventory,
                need,
                is_spot_exhausted: self.is_spot_exhausted(name, inventory, now),
                on_demand_held: self.count_on_demand(name, inventory),
                spillable: count_spillable(
                    need,
                    get_tokens_per_second(demands, region),
                    node.settings.regions.spill_mbps,
                ),
            };
            (region.clone(), snapshot)
        };
        inventories.iter().map(snapshot).collect()
    }

    /// Returns `true` if spot servers may be ordered while the server list is still growing.
    fn is_growing_list_order_due(&mut self, node: &Node, name: &str, now: Millis) -> bool {
        let is_never_requested = node.with(|state| state.demand.is_never_requested(name));
        let next = self
            .next_growing_list_order_at
            .entry(name.to_owned())
            .or_insert(now + GROWING_LIST_ORDER_INTERVAL_MS);
        let is_due = is_never_requested && now >= *next;
        if is_due {
            *next = now + GROWING_LIST_ORDER_INTERVAL_MS;
        }
        is_due
    }

    /// Returns `true` if this holder has ordered servers of a service.
    fn has_orders(&self, name: &str) -> bool {
        self.ordered.keys().any(|(service, _, _)| service == name)
    }

    /// Counts the on-demand servers ordered, or those present where none were ordered.
    fn count_on_demand(&self, name: &str, inventory: &BTreeMap<String, Inventory>) -> u32 {
        let held = inventory.iter().map(|(data_centre, held)| {
            let key = (name.to_owned(), data_centre.clone(), false);
            self.ordered.get(&key).map_or(held.on_demand, Order::get_count)
        });
        held.sum()
    }

    /// Returns the number of on-demand servers found in each region, and `true` if all of them have
    /// registered.
    fn track_initial_counts(
        &mut self,
        node: &Node,
        name: &str,
        inventories: &Inventories,
        now: Millis,
    ) -> (BTreeMap<String, u32>, bool) {
        let (is_idle, age) = node.with(|state| {
            (state.demand.is_never_requested(name), state.servers_freshness.get_age(now))
        });
        let known_at = age.map(|age| now.saturating_sub(age));
        let mut is_complete = true;
        let record = |(region, inventory): (&String, &BTreeMap<String, Inventory>)| {
            let listed = inventory.values().map(|held| held.on_demand).sum();
            let initial = self.initial_counts.entry((name.to_owned(), region.clone())).or_default();
            let count = initial.record(now, listed, is_idle, known_at);
            is_complete &= initial.is_complete(known_at);
            (region.clone(), count)
        };
        (inventories.iter().map(record).collect(), is_complete)
    }

    /// Counts the servers of each data centre, by region.
    fn count_inventories(&mut self, node: &Node, name: &str, scaling: &Scaling) -> Inventories {
        let mut inventories = Inventories::new();
        for (data_centre, held) in self.count_inventory(node, name, scaling) {
            let region = get_region(node, &data_centre).to_owned();
            inventories.entry(region).or_default().insert(data_centre, held);
        }
        inventories
    }

    /// Counts the servers of each data centre. Data centres with a price in the configuration are
    /// included even if they are empty.
    fn count_inventory(
        &mut self,
        node: &Node,
        name: &str,
        scaling: &Scaling,
    ) -> BTreeMap<String, Inventory> {
        let now = node.now();
        let mut inventory: BTreeMap<String, Inventory> = scaling
            .data_centre_prices
            .keys()
            .map(|data_centre| (data_centre.clone(), Inventory::default()))
            .collect();
        node.with(|state| {
            let ready = state.directory.iter_ready(name);
            for server in ready.filter(|server| !state.rollouts.is_on_trial(server)) {
                let data_centre = inventory.entry(server.data_centre.clone()).or_default();
                match server.is_spot {
                    true => data_centre.spot += 1,
                    false => data_centre.on_demand += 1,
                }
            }
        });
        for (data_centre, held) in &mut inventory {
            let key = (name.to_owned(), data_centre.clone(), true);
            let Some(ordered) = self.ordered.get_mut(&key) else { continue };
            held.spot_booting = ordered.update(now, held.spot, scaling.boot);
        }
        inventory
    }

    /// Returns `true` if spot servers were recently refused in one of the data centres.
    fn is_spot_exhausted(
        &self,
        name: &str,
        inventory: &BTreeMap<String, Inventory>,
        now: Millis,
    ) -> bool {
        let mut refused = self.back_off_until.iter().filter(|((service, data_centre, kind), _)| {
            service == name && *kind && inventory.contains_key(data_centre)
        });
        refused.any(|(_, until)| now < until + ORDER_BACK_OFF_MS)
    }

    /// Lists the orders that turn the current orders, or the servers present, into the plan.
    fn list_orders(
        &self,
        name: &str,
        plan: &Plan,
        inventory: &BTreeMap<String, Inventory>,
        now: Millis,
    ) -> Vec<CapacityOrder> {
        let mut orders = Vec::new();
        // Orders increases first, so that nothing is released for capacity that may be unavailable.
        for is_spot in [true, false] {
            let wanted = if is_spot { &plan.spot } else { &plan.on_demand };
            for (data_centre, count) in wanted {
                let key = (name.to_owned(), data_centre.clone(), is_spot);
                let held = inventory.get(data_centre).copied().unwrap_or_default();
                if self.is_due(&key, *count, &held, now) {
                    let (service, data_centre) = (name.to_owned(), data_centre.clone());
                    orders.push(CapacityOrder { service, data_centre, is_spot, count: *count });
                }
            }
        }
        orders
    }

    /// Returns `true` if an order for `count` servers must be sent now.
    fn is_due(&self, key: &OrderKey, count: u32, held: &Inventory, now: Millis) -> bool {
        if self.back_off_until.get(key).is_some_and(|until| now < *until) {
            return false;
        }
        let (present, booting) = match key.2 {
            true => (held.spot, held.spot_booting),
            false => (held.on_demand, 0),
        };
        match self.ordered.get(key) {
            None => present != count,
            Some(ordered) if ordered.get_count() != count => true,
            // Spot servers were reclaimed since: order again.
            Some(_) => key.2 && present + booting < count,
        }
    }

    /// Sends an order and records whether it was accepted.
    async fn send(&mut self, node: &Node, order: CapacityOrder, held: &Inventory) {
        let now = node.now();
        let Some(fence) = node.with(|state| state.lease.get_fence(now)) else { return };
        let key = (order.service.clone(), order.data_centre.clone(), order.is_spot);
        let holder = DutyHolder { name: node.incarnation.node.clone(), fence };
        let calling = (node.platform.control.set_capacity)(holder, order.clone());
        let status = runtime::timeout(CALL_TIMEOUT, calling).await.flatten();
        event::emit(&Event::CapacityOrdered {
            service: &order.service,
            region: get_region(node, &order.data_centre),
            data_centre: &order.data_centre,
            is_spot: order.is_spot,
            count: order.count,
            fence,
            status,
        });
        if status == Some(STATUS_OK) {
            let present = if order.is_spot { held.spot } else { held.on_demand };
            self.ordered.insert(key, Order::new(node.now(), order.count, present));
        } else {
            self.ordered.remove(&key);
            self.back_off_until.insert(key, node.now() + ORDER_BACK_OFF_MS);
        }
    }
}

/// Lists the unreachable regions that still have servers accepting requests: their clients are
/// served there. The demand of a region without servers moves to other regions.
fn list_unreachable_regions(node: &Node, inventories: &Inventories) -> BTreeSet<String> {
    let lost = node.with(|state| state.members.list_unreachable_regions()).into_iter();
    let is_serving = |region: &String| {
        let held = inventories.get(region).into_iter().flat_map(BTreeMap::values);
        held.map(|held| held.on_demand + held.spot).sum::<u32>() > 0
    };
    lost.filter(is_serving).collect()
}

/// Returns the region of a data centre; empty if no regions are configured.
fn get_region<'a>(node: &'a Node, data_centre: &str) -> &'a str {
    node.topology.get_region(data_centre).unwrap_or_default()
}

/// Sets the metrics of the needed and the planned capacity of each region.
fn set_metrics(node: &Node, name: &str, needs: &BTreeMap<String, u32>, plan: &Plan) {
    let labels = |region: &str| CapacityLabels { service: name.into(), region: region.into() };
    for (region, need) in needs {
        node.metrics.capacity_need.get_or_create(&labels(region)).set(i64::from(*need));
    }
    let mut planned: BTreeMap<&str, u32> = BTreeMap::new();
    for (data_centre, count) in plan.on_demand.iter().chain(&plan.spot) {
        *planned.entry(get_region(node, data_centre)).or_default() += count;
    }
    for (region, count) in planned {
        node.metrics.capacity_planned.get_or_create(&labels(region)).set(i64::from(count));
    }
}
