//! Orders servers: how many, where, and of which kind.

use std::collections::BTreeMap;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::capacity::{
    Demand, Found, Inventory, PeakWindow, Plan, Policy, Snapshot, need, plan,
};
use keeljunction_core::serving::configuration::{Scaling, Service};

use super::Node;
use crate::event::{self, Event};
use crate::port::{CapacityOrder, DutyHolder};
use crate::runtime;

const CALL_WITHIN: Duration = Duration::from_millis(500);
/// The span over which the demand is taken.
const DEMAND_SPAN: Millis = 4_000;
/// The span in which the largest need counts, so that servers go slowly.
const FALL_SPAN: Millis = 8_000;
/// The pause after an order was refused or not answered.
const REFUSED_PAUSE: Millis = 2_000;
/// The pause between orders of spot servers while the list of servers grows: a tenth of a usual boot,
/// so that few calls are made and few on-demand servers wait for their replacement.
const LIST_PAUSE: Millis = 500;
/// How much longer than its boot an ordered server may take before it is given up.
const BOOT_SLACK: Millis = 3_000;
const STATUS_OK: u16 = 200;

/// Servers of one kind in a data centre.
type Place = (String, String, bool);

/// What a holder knows of the orders.
#[derive(Debug, Default)]
pub struct CapacityDuty {
    fence: Option<u64>,
    ordered: BTreeMap<Place, Ordered>,
    paused_until: BTreeMap<Place, Millis>,
    needs: BTreeMap<String, PeakWindow>,
    found: BTreeMap<String, Found>,
    /// When spot servers may be ordered next while the list of servers grows.
    next_list_order: BTreeMap<String, Millis>,
}

/// An order that the platform took.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at: Millis,
    /// The most servers that took work at once since then: what is fewer later was taken away.
    most_seen: u32,
}

impl CapacityDuty {
    /// Orders what the plan lacks.
    pub async fn step(&mut self, node: &Node) {
        let fence = node.with(|state| state.lease.get_fence(node.now()));
        if fence != self.fence {
            // What an earlier holder ordered is not known: start from what there is.
            *self = Self { fence, ..Self::default() };
        }
        let Some(configuration) = node.with(|state| state.configuration.clone()) else { return };
        for (name, service) in &configuration.services {
            if let Some(scaling) = &service.scaling {
                self.step_service(node, name, service, scaling).await;
            }
        }
    }

    async fn step_service(
        &mut self,
        node: &Node,
        name: &str,
        service: &Service,
        scaling: &Scaling,
    ) {
        let now = node.now();
        let inventory = self.take_inventory(node, name, scaling);
        let held: u32 = inventory.values().map(|data_centre| data_centre.on_demand).sum();
        let (found, is_complete) = self.follow_found(node, name, held, now);
        let is_mixed = inventory.values().any(|data_centre| data_centre.spot > 0);
        let policy = node.settings.capacity.get_policy();
        let (need, policy) = match self.get_need(node, name, service, now) {
            Some(need) => (need, policy),
            // A holder that does not know the demand yet leaves an earlier holder's mix as it is.
            None if is_mixed && !self.has_ordered(name) => return,
            // Servers list themselves one by one. Before the first request, spot servers are ordered
            // for those that have; what is needed later must not be taken from a part of the list.
            None if !is_complete && !self.is_list_due(node, name, now) => return,
            // Servers that nobody has mixed yet: as many as were found, in the usual mix.
            None => (found, Policy { spot_part: policy.spot_part.min(1.0), ..policy }),
        };
        let snapshot = Snapshot {
            inventory: &inventory,
            need,
            is_spot_exhausted: self.is_spot_exhausted(name, now),
            on_demand_held: self.count_on_demand(name, &inventory),
        };
        let plan = plan(&policy, scaling, &snapshot);
        for order in self.list_changes(name, &plan, &inventory, now) {
            // On-demand servers that have not listed themselves yet must not be given up.
            if !is_complete && !order.is_spot {
                continue;
            }
            self.send(node, order).await;
        }
    }

    /// Returns `true` if spot servers may be ordered from a list that still grows.
    fn is_list_due(&mut self, node: &Node, name: &str, now: Millis) -> bool {
        let is_untouched = node.with(|state| state.demand.is_untouched(name));
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
            self.ordered.get(&place).map_or(held.on_demand, |ordered| ordered.count)
        });
        held.sum()
    }

    /// Returns the number of on-demand servers as it was found, and whether all have listed
    /// themselves.
    fn follow_found(&mut self, node: &Node, name: &str, held: u32, now: Millis) -> (u32, bool) {
        let (is_idle, age) = node
            .with(|state| (state.demand.is_untouched(name), state.servers_freshness.get_age(now)));
        let known_at = age.map(|age| now.saturating_sub(age));
        let found = self.found.entry(name.to_owned()).or_default();
        let count = found.follow(now, held, is_idle, known_at);
        (count, found.is_complete(known_at))
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
            ordered.most_seen = ordered.most_seen.max(held.spot);
            if now < ordered.at + scaling.boot + BOOT_SLACK {
                held.spot_booting = ordered.count.saturating_sub(ordered.most_seen);
            }
        }
        inventory
    }

    /// Returns `true` if spot servers were lately refused.
    fn is_spot_exhausted(&self, name: &str, now: Millis) -> bool {
        let mut refused =
            self.paused_until.iter().filter(|((service, _, kind), _)| service == name && *kind);
        refused.any(|(_, until)| now < until + REFUSED_PAUSE)
    }

    fn get_need(&mut self, node: &Node, name: &str, service: &Service, now: Millis) -> Option<u32> {
        let slots = service.engine.as_ref().map_or(1, |engine| engine.slots);
        let (demand, in_flight) = node.with(|state| {
            let (totals, covered) = state.demand.within(now, name, DEMAND_SPAN)?;
            let throughput = state.throughputs.get(name)?.get_prefill_rate()?;
            let in_flight = state.demand.get_in_flight(now, name);
            Some(((totals.prompt_tokens as f64 / covered as f64 * 1_000.0, throughput), in_flight))
        })?;
        let demand = Demand {
            tokens_per_second: demand.0,
            server_tokens_per_second: demand.1 * 1_000.0,
            in_flight: f64::from(in_flight),
            slots: f64::from(slots),
        };
        let policy = node.settings.capacity.get_policy();
        let needs = self.needs.entry(name.to_owned()).or_default();
        Some(needs.follow(now, need(&policy, &demand), FALL_SPAN))
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
            Some(ordered) if ordered.count != count => true,
            // Taken away since: order again.
            Some(_) => place.2 && present + booting < count,
        }
    }

    async fn send(&mut self, node: &Node, order: CapacityOrder) {
        let now = node.now();
        let Some(fence) = node.with(|state| state.lease.get_fence(now)) else { return };
        let place = (order.service.clone(), order.data_centre.clone(), order.is_spot);
        let holder = DutyHolder { name: node.incarnation.node.clone(), fence };
        let calling = (node.platform.control.set_capacity)(holder, order.clone());
        let status = runtime::within(CALL_WITHIN, calling).await.flatten();
        event::emit(&Event::CapacityOrdered {
            service: &order.service,
            data_centre: &order.data_centre,
            is_spot: order.is_spot,
            count: order.count,
            fence,
            status,
        });
        if status == Some(STATUS_OK) {
            let ordered = Ordered { count: order.count, at: node.now(), most_seen: 0 };
            self.ordered.insert(place, ordered);
        } else {
            self.ordered.remove(&place);
            self.paused_until.insert(place, node.now() + REFUSED_PAUSE);
        }
    }
}
