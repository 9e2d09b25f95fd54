//! Orders servers: how many, where, and of which kind.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::capacity::{
    Demand, InitialCount, Inventory, Order, PeakNeeds, Plan, Policy, Snapshot, compute_needs,
    count_spillable, plan_regions,
};
use keeljunction_core::serving::configuration::{Scaling, Service};
use keeljunction_core::serving::demand::DemandTotals;

use super::Node;
use crate::event::{self, Event};
use crate::metrics::CapacityLabels;
use crate::port::{CapacityOrder, LeaseHolder};
use crate::runtime;

/// How long the answer of the platform's control service is waited for.
const CALL_WITHIN: Duration = Duration::from_millis(500);
/// The span over which the demand is measured, in milliseconds.
const DEMAND_SPAN: Millis = 4_000;
/// The span in which the largest need counts, in milliseconds: servers are given up slowly.
const FALL_SPAN: Millis = 8_000;
/// The pause after an order was refused or not answered, in milliseconds.
const REFUSED_PAUSE: Millis = 2_000;
/// The pause between orders of spot servers while the list of servers grows: a tenth of a usual boot,
/// so that few calls are made and few on-demand servers wait for their replacement.
const LIST_PAUSE: Millis = 500;
/// The HTTP status of an accepted order.
const STATUS_OK: u16 = 200;

/// A service, a data centre, and whether its spot servers are meant.
type Place = (String, String, bool);

/// The servers of each data centre, by region.
type Inventories = BTreeMap<String, BTreeMap<String, Inventory>>;

/// The orders of the holder of the duties, and what they go by.
#[derive(Debug, Default)]
pub struct CapacityDuty {
    fence: Option<u64>,
    ordered: BTreeMap<Place, Order>,
    paused_until: BTreeMap<Place, Millis>,
    /// The largest needs of late, by service.
    needs: BTreeMap<String, PeakNeeds>,
    /// Since when this holder has known the demand, by service.
    demand_known_since: BTreeMap<String, Millis>,
    /// On-demand servers as they were found, by service and region.
    found: BTreeMap<(String, String), InitialCount>,
    /// When spot servers may be ordered next while the list of servers grows.
    next_list_order: BTreeMap<String, Millis>,
}

impl CapacityDuty {
    /// Orders what the plan lacks.
    pub async fn step(&mut self, node: &Node) {
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence != self.fence {
            // What an earlier holder ordered is not known: start from what there is.
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

    /// Orders what the plan of one service lacks.
    async fn step_service(
        &mut self,
        node: &Node,
        name: &str,
        service: &Service,
        scaling: &Scaling,
    ) {
        let now = node.now();
        let mut inventories = self.take_inventories(node, name, scaling);
        let (found, is_complete) = self.follow_found(node, name, &inventories, now);
        let is_mixed = inventories.values().flat_map(BTreeMap::values).any(|held| held.spot > 0);
        let policy = node.settings.capacity.get_policy();
        let demands = get_demands(node, name, service, now);
        let is_demand_followed = self.follow_demand(name, demands.is_some(), now);
        let unheard = list_unheard(node, &inventories);
        let (needs, policy) = match &demands {
            Some(demands) => {
                let latest = compute_needs(&policy, demands);
                let unheard = unheard.iter().map(String::as_str).collect();
                let followed = self.needs.entry(name.to_owned()).or_default();
                (followed.record(now, &latest, &unheard, FALL_SPAN), policy)
            }
            // A holder that does not know the demand yet leaves an earlier holder's mix as it is.
            None if is_mixed && !self.has_ordered(name) => return,
            // Servers list themselves one by one. Before the first request, spot servers are ordered
            // for those that have; what is needed later must not be taken from a part of the list.
            None if !is_complete && !self.is_list_due(node, name, now) => return,
            // Servers that nobody has mixed yet: as many as were found, in the usual mix.
            None => (found, Policy { spot_part: policy.spot_part.min(1.0), ..policy }),
        };
        // Requests may arrive where the service has no data centre, or at nodes that know other regions.
        for region in needs.keys() {
            inventories.entry(region.clone()).or_default();
        }
        // A region that serves on its own keeps what it has, where its need was never known.
        inventories.retain(|region, _| needs.contains_key(region) || !unheard.contains(region));
        let snapshots =
            self.make_snapshots(node, name, &inventories, &needs, demands.as_ref(), now);
        let plan = plan_regions(&policy, scaling, &snapshots);
        set_metrics(node, name, &needs, &plan);
        let inventory = inventories.values().flat_map(BTreeMap::clone).collect();
        for order in self.list_changes(name, &plan, &inventory, now) {
            // On-demand servers that have not listed themselves yet must not be given up, unless they
            // are known to be too many.
            let snapshot = snapshots.get(get_region(node, &order.data_centre));
            let is_carried = snapshot.is_some_and(|snapshot| snapshot.is_spot_sufficient(scaling));
            let is_surplus = is_demand_followed && is_carried;
            if !is_complete && !order.is_spot && !is_surplus {
                continue;
            }
            let held = inventory.get(&order.data_centre).copied().unwrap_or_default();
            self.send(node, order, &held).await;
        }
    }

    /// Returns `true` if this holder has known the demand for a whole span of its measurement: that of a
    /// shorter time after all nodes started again is too low.
    fn follow_demand(&mut self, name: &str, is_known: bool, now: Millis) -> bool {
        if !is_known {
            self.demand_known_since.remove(name);
            return false;
        }
        let since = self.demand_known_since.entry(name.to_owned()).or_insert(now);
        now >= *since + DEMAND_SPAN
    }

    /// Returns what the plan of each region goes by.
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

    /// Returns `true` if spot servers may be ordered from a list that still grows.
    fn is_list_due(&mut self, node: &Node, name: &str, now: Millis) -> bool {
        let is_untouched = node.with(|state| state.demand.is_never_requested(name));
        let next = self.next_list_order.entry(name.to_owned()).or_insert(now + LIST_PAUSE);
        let is_due = is_untouched && now >= *next;
        if is_due {
            *next = now + LIST_PAUSE;
        }
        is_due
    }

    /// Returns `true` if this holder has ordered servers of a service.
    fn has_ordered(&self, name: &str) -> bool {
        self.ordered.keys().any(|(service, _, _)| service == name)
    }

    /// Counts the on-demand servers that were ordered, or are there where none were ordered.
    fn count_on_demand(&self, name: &str, inventory: &BTreeMap<String, Inventory>) -> u32 {
        let held = inventory.iter().map(|(data_centre, held)| {
            let place = (name.to_owned(), data_centre.clone(), false);
            self.ordered.get(&place).map_or(held.on_demand, Order::get_count)
        });
        held.sum()
    }

    /// Returns the number of on-demand servers as it was found in each region, and whether all have
    /// listed themselves.
    fn follow_found(
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
        let follow = |(region, inventory): (&String, &BTreeMap<String, Inventory>)| {
            let listed = inventory.values().map(|held| held.on_demand).sum();
            let found = self.found.entry((name.to_owned(), region.clone())).or_default();
            let count = found.record(now, listed, is_idle, known_at);
            is_complete &= found.is_complete(known_at);
            (region.clone(), count)
        };
        (inventories.iter().map(follow).collect(), is_complete)
    }

    /// Counts what each data centre holds, by region.
    fn take_inventories(&mut self, node: &Node, name: &str, scaling: &Scaling) -> Inventories {
        let mut inventories = Inventories::new();
        for (data_centre, held) in self.take_inventory(node, name, scaling) {
            let region = get_region(node, &data_centre).to_owned();
            inventories.entry(region).or_default().insert(data_centre, held);
        }
        inventories
    }

    /// Counts what each data centre holds; a data centre that the configuration prices is listed
    /// also if empty.
    fn take_inventory(
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
            let place = (name.to_owned(), data_centre.clone(), true);
            let Some(ordered) = self.ordered.get_mut(&place) else { continue };
            held.spot_booting = ordered.update(now, held.spot, scaling.boot);
        }
        inventory
    }

    /// Returns `true` if spot servers were lately refused in one of the data centres.
    fn is_spot_exhausted(
        &self,
        name: &str,
        inventory: &BTreeMap<String, Inventory>,
        now: Millis,
    ) -> bool {
        let mut refused = self.paused_until.iter().filter(|((service, data_centre, kind), _)| {
            service == name && *kind && inventory.contains_key(data_centre)
        });
        refused.any(|(_, until)| now < until + REFUSED_PAUSE)
    }

    /// Lists the orders by which the plan differs from what was ordered, or is there.
    fn list_changes(
        &self,
        name: &str,
        plan: &Plan,
        inventory: &BTreeMap<String, Inventory>,
        now: Millis,
    ) -> Vec<CapacityOrder> {
        let mut orders = Vec::new();
        // More comes before less, so that nothing is given up for what may not be had.
        for is_spot in [true, false] {
            let wanted = if is_spot { &plan.spot } else { &plan.on_demand };
            for (data_centre, count) in wanted {
                let place = (name.to_owned(), data_centre.clone(), is_spot);
                let held = inventory.get(data_centre).copied().unwrap_or_default();
                if self.is_due(&place, *count, &held, now) {
                    let (service, data_centre) = (name.to_owned(), data_centre.clone());
                    orders.push(CapacityOrder { service, data_centre, is_spot, count: *count });
                }
            }
        }
        orders
    }

    /// Returns `true` if an order for `count` servers is to be sent now.
    fn is_due(&self, place: &Place, count: u32, held: &Inventory, now: Millis) -> bool {
        if self.paused_until.get(place).is_some_and(|until| now < *until) {
            return false;
        }
        let (present, booting) = match place.2 {
            true => (held.spot, held.spot_booting),
            false => (held.on_demand, 0),
        };
        match self.ordered.get(place) {
            None => present != count,
            Some(ordered) if ordered.get_count() != count => true,
            // Taken away since: order again.
            Some(_) => place.2 && present + booting < count,
        }
    }

    /// Sends an order and notes whether it was accepted.
    async fn send(&mut self, node: &Node, order: CapacityOrder, held: &Inventory) {
        let now = node.now();
        let Some(fence) = node.with(|state| state.lease.get_fence(now)) else { return };
        let place = (order.service.clone(), order.data_centre.clone(), order.is_spot);
        let holder = LeaseHolder { name: node.incarnation.node.clone(), fence };
        let calling = (node.platform.control.set_capacity)(holder, order.clone());
        let status = runtime::timeout(CALL_WITHIN, calling).await.flatten();
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
            self.ordered.insert(place, Order::new(node.now(), order.count, present));
        } else {
            self.ordered.remove(&place);
            self.paused_until.insert(place, node.now() + REFUSED_PAUSE);
        }
    }
}

/// Returns the demand of each region; `None` where it is not known yet.
fn get_demands(
    node: &Node,
    name: &str,
    service: &Service,
    now: Millis,
) -> Option<BTreeMap<String, Demand>> {
    let slots = service.engine.as_ref().map_or(1, |engine| engine.slots);
    let (totals, covered, throughput, in_flight) = node.with(|state| {
        let (totals, covered) = state.demand.get_recent(now, name, DEMAND_SPAN)?;
        let throughput = state.throughputs.get(name)?.get_prefill_rate()?;
        Some((totals, covered, throughput, state.demand.get_in_flight(now, name)))
    })?;
    let demand = |(region, totals): (&String, &DemandTotals)| {
        let demand = Demand {
            tokens_per_second: totals.prompt_tokens as f64 / covered as f64 * 1_000.0,
            server_tokens_per_second: throughput * 1_000.0,
            in_flight: f64::from(in_flight.get(region).copied().unwrap_or(0)),
            slots: f64::from(slots),
        };
        (region.clone(), demand)
    };
    Some(totals.iter().map(demand).collect())
}

/// Returns the prompt tokens that arrive in a region in a second; 0 where that is not known.
fn get_tokens_per_second(demands: Option<&BTreeMap<String, Demand>>, region: &str) -> f64 {
    demands.and_then(|demands| demands.get(region)).map_or(0.0, |demand| demand.tokens_per_second)
}

/// Lists the regions of which no node is heard and whose servers accept requests: their callers are
/// still served there. Where no server is left, the demand moves to other regions.
fn list_unheard(node: &Node, inventories: &Inventories) -> BTreeSet<String> {
    let lost = node.with(|state| state.members.list_unreachable_regions()).into_iter();
    let is_serving = |region: &String| {
        let held = inventories.get(region).into_iter().flat_map(BTreeMap::values);
        held.map(|held| held.on_demand + held.spot).sum::<u32>() > 0
    };
    lost.filter(is_serving).collect()
}

/// Returns the region of a data centre; empty where no regions are known.
fn get_region<'a>(node: &'a Node, data_centre: &str) -> &'a str {
    node.topology.get_region(data_centre).unwrap_or_default()
}

/// Sets the metrics of what each region needs and what the plan holds there.
fn set_metrics(node: &Node, name: &str, needs: &BTreeMap<String, u32>, plan: &Plan) {
    let labels =
        |region: &str| CapacityLabels { service: name.to_owned(), region: region.to_owned() };
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
