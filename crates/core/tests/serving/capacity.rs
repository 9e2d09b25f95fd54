use std::collections::{BTreeMap, BTreeSet};

use keeljunction_core::serving::capacity::{
    Demand, InitialCount, Inventory, Order, PeakNeeds, PeakWindow, Plan, Policy, Snapshot,
    compute_needs, count_spillable, plan, plan_regions,
};
use keeljunction_core::serving::configuration::Scaling;
use proptest::prelude::*;

const POLICY: Policy = Policy {
    on_demand_part: 0.5,
    spot_part: 1.0,
    target_utilization: 0.5,
    target_occupancy: 0.5,
    burst_servers: 0.0,
    exhausted_spot_part: 0.5,
};

/// Returns a snapshot without on-demand servers, in which spot servers are available.
fn without_on_demand(inventory: &BTreeMap<String, Inventory>, need: u32) -> Snapshot<'_> {
    Snapshot { inventory, need, is_spot_exhausted: false, on_demand_held: 0, spillable: 0 }
}

/// Returns the need if all requests arrive in one region.
fn need(policy: &Policy, demand: &Demand) -> u32 {
    compute_needs(policy, &BTreeMap::from([(String::new(), *demand)]))[""]
}

fn scaling(spot_price: Option<f64>) -> Scaling {
    let prices = [("dear", 1.2), ("cheap", 0.8)];
    Scaling {
        min: 1,
        max: 4,
        boot: 4_000,
        spot_price,
        data_centre_prices: prices
            .map(|(data_centre, price)| (data_centre.to_owned(), price))
            .into(),
    }
}

fn inventory(spot: u32) -> BTreeMap<String, Inventory> {
    let data_centre = Inventory { spot, ..Inventory::default() };
    ["cheap", "dear"].map(|name| (name.to_owned(), data_centre)).into()
}

fn counts(cheap: u32, dear: u32) -> BTreeMap<String, u32> {
    BTreeMap::from([("cheap".to_owned(), cheap), ("dear".to_owned(), dear)])
}

#[test]
fn the_need_follows_tokens_and_slots() {
    let demand = Demand {
        tokens_per_second: 100_000.0,
        server_tokens_per_second: 50_000.0,
        in_flight: 10.0,
        slots: 10.0,
    };
    assert_eq!(need(&POLICY, &demand), 4);
    assert_eq!(need(&POLICY, &Demand { in_flight: 30.0, ..demand }), 6);
}

#[test]
fn the_burst_reserve_is_a_larger_fraction_of_few_servers() {
    let policy = Policy { burst_servers: 1.0, ..POLICY };
    let demand = |servers: f64| Demand {
        tokens_per_second: 50_000.0 * servers,
        server_tokens_per_second: 50_000.0,
        in_flight: 0.0,
        slots: 10.0,
    };
    assert_eq!([1.0, 4.0, 25.0].map(|servers| need(&policy, &demand(servers))), [3, 10, 55]);
    let filled = Demand { in_flight: 40.0, ..demand(1.0) };
    assert_eq!(need(&policy, &filled), 10);
}

#[test]
fn an_unknown_speed_does_not_overflow() {
    assert_eq!(need(&POLICY, &Demand::default()), 1);
}

#[test]
fn regions_need_servers_by_their_own_demand_and_share_the_burst_reserve() {
    let policy = Policy { burst_servers: 1.0, ..POLICY };
    let demand = |servers: f64| Demand {
        tokens_per_second: 50_000.0 * servers,
        server_tokens_per_second: 50_000.0,
        in_flight: 0.0,
        slots: 10.0,
    };
    let by_region = |demands: &[(&str, f64)]| -> Vec<u32> {
        let demands =
            demands.iter().map(|(region, servers)| (region.to_string(), demand(*servers)));
        compute_needs(&policy, &demands.collect()).into_values().collect()
    };
    assert_eq!(by_region(&[("", 25.0)]), [55]);
    // 50 servers, and 5 for bursts together; separately, the regions would reserve 4.48 and 2.24.
    assert_eq!(by_region(&[("east", 20.0), ("west", 5.0)]), [44, 11]);
    assert_eq!(by_region(&[("east", 25.0), ("west", 0.0)]), [55, 1]);
}

/// Two regions with two data centres each; the eastern ones are more expensive.
fn two_regions(east: [Inventory; 2], west: [Inventory; 2]) -> [BTreeMap<String, Inventory>; 2] {
    let named = |names: [&str; 2], held: [Inventory; 2]| {
        names.map(str::to_owned).into_iter().zip(held).collect()
    };
    [named(["east-a", "east-b"], east), named(["west-a", "west-b"], west)]
}

fn plan_two(inventory: &[BTreeMap<String, Inventory>; 2], needs: [u32; 2], spillable: u32) -> Plan {
    let names = ["east-a", "east-b", "west-a", "west-b"].map(str::to_owned);
    let prices = names.into_iter().zip([1.25, 1.0, 0.8, 0.9]).collect();
    let scaling = Scaling { max: 10, data_centre_prices: prices, ..scaling(Some(0.2)) };
    let [east, west] = inventory;
    let snapshots = [("east", east, needs[0]), ("west", west, needs[1])];
    let snapshots = snapshots.map(|(region, inventory, need)| {
        (region.to_owned(), Snapshot { spillable, ..without_on_demand(inventory, need) })
    });
    plan_regions(&POLICY, &scaling, &snapshots.into())
}

fn list(counts: &BTreeMap<String, u32>) -> Vec<u32> {
    counts.values().copied().collect()
}

#[test]
fn servers_are_ordered_in_the_region_where_requests_arrive() {
    let held = Inventory { spot: 4, ..Inventory::default() };
    let inventory = two_regions([held; 2], [held; 2]);
    let plan = plan_two(&inventory, [8, 2], 10);
    assert_eq!(list(&plan.on_demand), [2, 2, 1, 0]);
    assert_eq!(list(&plan.spot), [4, 4, 1, 1]);
}

#[test]
fn the_other_region_covers_a_region_without_servers_until_some_are_back() {
    let held = Inventory { spot: 4, ..Inventory::default() };
    let none = Inventory::default();
    let lost = plan_two(&two_regions([none; 2], [held; 2]), [8, 4], 10);
    assert_eq!(list(&lost.spot), [4, 4, 6, 6]);
    assert_eq!(list(&lost.on_demand), [4, 4, 3, 3]);
    let limited = plan_two(&two_regions([none; 2], [held; 2]), [8, 4], 3);
    assert_eq!(list(&limited.spot), [4, 4, 4, 3]);
    let back = Inventory { spot: 1, ..none };
    let returned = plan_two(&two_regions([back, none], [held; 2]), [8, 4], 10);
    assert_eq!(list(&returned.spot), [4, 4, 2, 2]);
}

#[test]
fn servers_beyond_the_room_of_a_region_are_ordered_in_the_other() {
    let held = Inventory { on_demand: 10, ..Inventory::default() };
    let inventory = two_regions([held; 2], [Inventory { on_demand: 2, ..held }; 2]);
    assert_eq!(list(&plan_two(&inventory, [26, 4], 10).on_demand), [10, 10, 5, 5]);
    assert_eq!(list(&plan_two(&inventory, [26, 4], 0).on_demand), [10, 10, 2, 2]);
}

#[test]
fn requests_to_a_region_in_which_the_service_may_not_run_are_planned_for_the_other() {
    let held = Inventory { spot: 4, ..Inventory::default() };
    let [west, _] = two_regions([held; 2], [held; 2]);
    let scaling = Scaling { max: 10, ..scaling(Some(0.2)) };
    let nowhere = BTreeMap::new();
    let east = Snapshot { spillable: 10, ..without_on_demand(&nowhere, 4) };
    let snapshots =
        [("east".to_owned(), east), ("west".to_owned(), without_on_demand(&west, 4))].into();
    let plan = plan_regions(&POLICY, &scaling, &snapshots);
    assert_eq!(list(&plan.spot), [4, 4]);
}

#[test]
fn a_region_without_need_or_minimum_gets_no_servers() {
    let inventory = inventory(0);
    let scaling = Scaling { min: 0, ..scaling(Some(0.2)) };
    let nothing = Plan { on_demand: counts(0, 0), spot: counts(0, 0) };
    assert_eq!(plan(&POLICY, &scaling, &without_on_demand(&inventory, 0)), nothing);
}

#[test]
fn without_any_servers_no_region_covers_another() {
    let none = Inventory::default();
    let plan = plan_two(&two_regions([none; 2], [none; 2]), [8, 4], 10);
    assert_eq!(list(&plan.spot), [4, 4, 2, 2]);
}

#[test]
fn spillable_servers_are_limited_by_the_bandwidth() {
    // 1,000,000 tokens per second are 32 Mbit/s.
    assert_eq!(count_spillable(20, 1e6, 64.0), 20);
    assert_eq!(count_spillable(20, 1e6, 8.0), 5);
    assert_eq!(count_spillable(20, 1e6, 0.0), 0);
    assert_eq!(count_spillable(20, 0.0, 0.0), 20);
}

#[test]
fn a_plan_holds_a_fraction_on_demand_and_the_rest_spot() {
    let plan = plan(&POLICY, &scaling(Some(0.2)), &without_on_demand(&inventory(2), 4));
    assert_eq!(plan, Plan { on_demand: counts(1, 1), spot: counts(2, 2) });
}

#[test]
fn unavailable_spot_capacity_is_ordered_on_demand() {
    let plan = plan(&POLICY, &scaling(Some(0.2)), &without_on_demand(&inventory(0), 4));
    assert_eq!(plan.on_demand, counts(2, 2));
}

#[test]
fn while_spot_is_exhausted_only_a_fraction_of_the_spot_servers_counts() {
    let inventory = inventory(1);
    assert_eq!(
        plan(&POLICY, &scaling(Some(0.2)), &without_on_demand(&inventory, 4)).on_demand,
        counts(1, 1)
    );
    let dry = Snapshot { is_spot_exhausted: true, ..without_on_demand(&inventory, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &dry).on_demand, counts(2, 1));
}

#[test]
fn on_demand_servers_stay_until_spot_servers_accept_requests() {
    let data_centre = Inventory { spot_booting: 1, ..Inventory::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let held = Snapshot { on_demand_held: 4, ..without_on_demand(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).on_demand, counts(2, 2));
    let working = inventory(1);
    let held = Snapshot { on_demand_held: 4, ..without_on_demand(&working, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).on_demand, counts(1, 1));
}

#[test]
fn no_accepting_server_is_released_for_an_ordered_one() {
    // Before the first request, the number of servers found is the need.
    let held = |spot, spot_booting| Inventory { on_demand: 2, spot, spot_booting };
    let inventory = |spot, spot_booting| {
        BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), held(spot, spot_booting))))
    };
    let on_demand = |inventory: &BTreeMap<String, Inventory>| {
        let snapshot = Snapshot { on_demand_held: 4, ..without_on_demand(inventory, 4) };
        plan(&POLICY, &scaling(Some(0.2)), &snapshot).on_demand
    };
    assert_eq!(on_demand(&inventory(0, 2)), counts(2, 2));
    assert_eq!(on_demand(&inventory(0, 0)), counts(2, 2));
    assert_eq!(on_demand(&inventory(2, 0)), counts(1, 1));
}

#[test]
fn expensive_on_demand_servers_stay_while_none_accepts_requests_elsewhere() {
    let names = ["a", "b", "c"];
    let scaling = Scaling {
        max: 60,
        data_centre_prices: names.map(str::to_owned).into_iter().zip([0.8, 1.2, 1.0]).collect(),
        ..scaling(Some(0.2))
    };
    let held = |on_demand, spot| Inventory { on_demand, spot, ..Inventory::default() };
    let on_demand = |held: [Inventory; 3]| -> Vec<u32> {
        let inventory = names.map(str::to_owned).into_iter().zip(held).collect();
        let snapshot = Snapshot { on_demand_held: 30, ..without_on_demand(&inventory, 30) };
        plan(&POLICY, &scaling, &snapshot).on_demand.into_values().collect()
    };
    assert_eq!(on_demand([held(10, 0); 3]), [10, 10, 10]);
    assert_eq!(on_demand([held(10, 10); 3]), [8, 0, 7]);
}

#[test]
fn spot_servers_are_not_ordered_into_room_that_on_demand_servers_use() {
    let held = Inventory { on_demand: 3, spot: 0, spot_booting: 0 };
    let inventory = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), held)));
    let snapshot = Snapshot { on_demand_held: 2, ..without_on_demand(&inventory, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &snapshot).spot, counts(1, 1));
}

#[test]
fn no_on_demand_servers_are_ordered_for_starting_spot_servers() {
    let data_centre = Inventory { spot_booting: 1, ..Inventory::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let held = Snapshot { on_demand_held: 2, ..without_on_demand(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).on_demand, counts(1, 1));
}

#[test]
fn on_demand_servers_are_placed_before_spot_servers() {
    let full = plan(&POLICY, &scaling(Some(0.2)), &without_on_demand(&inventory(0), 8));
    assert_eq!(full, Plan { on_demand: counts(4, 4), spot: counts(0, 0) });
}

#[test]
fn without_spot_servers_all_are_on_demand() {
    let only = plan(&POLICY, &scaling(None), &without_on_demand(&inventory(0), 3));
    assert_eq!(only, Plan { on_demand: counts(2, 1), spot: BTreeMap::new() });
}

#[test]
fn on_demand_servers_are_placed_in_the_cheaper_data_centres() {
    let names = ["a", "b", "c", "d"];
    let prices = [1.0, 0.8, 1.25, 0.9];
    let scaling = Scaling {
        max: 40,
        data_centre_prices: names.map(str::to_owned).into_iter().zip(prices).collect(),
        ..scaling(Some(0.2))
    };
    let on_demand = |spot: u32, need: u32| -> Vec<u32> {
        let held = Inventory { spot, ..Inventory::default() };
        let inventory = names.map(|name| (name.to_owned(), held)).into();
        plan(&POLICY, &scaling, &without_on_demand(&inventory, need))
            .on_demand
            .into_values()
            .collect()
    };
    assert_eq!(on_demand(0, 30), [10, 10, 0, 10]);
    assert_eq!(on_demand(0, 31), [9, 11, 0, 11]);
    // If the cheaper data centres have no room, all take some servers.
    assert_eq!(on_demand(34, 200), [6, 6, 6, 6]);
}

#[test]
fn a_need_rises_at_once_and_falls_slowly() {
    let mut slow = PeakWindow::default();
    assert_eq!(slow.record(1_000, 3, 5_000), 3);
    assert_eq!(slow.record(2_000, 7, 5_000), 7);
    assert_eq!(slow.record(7_000, 2, 5_000), 7);
    assert_eq!(slow.record(7_001, 2, 5_000), 2);
}

fn by_region<const N: usize>(needs: [(&str, u32); N]) -> BTreeMap<String, u32> {
    needs.map(|(region, need)| (region.to_owned(), need)).into()
}

#[test]
fn the_need_of_an_unheard_region_is_kept() {
    let mut needs = PeakNeeds::default();
    let all = BTreeSet::new();
    let reported = by_region([("a", 10), ("b", 12)]);
    assert_eq!(needs.record(1_000, &reported, &all, 8_000), reported);
    // Requests continue there, but are not reported.
    let silent = by_region([("a", 10), ("b", 1)]);
    let unheard = BTreeSet::from(["b"]);
    for second in 2..60 {
        assert_eq!(needs.record(second * 1_000, &silent, &unheard, 8_000), reported);
    }
    // Once the region is heard again, its need falls as slowly as any other.
    assert_eq!(needs.record(60_000, &silent, &all, 8_000), reported);
    assert_eq!(needs.record(68_000, &silent, &all, 8_000), silent);
}

#[test]
fn a_region_that_was_never_heard_has_no_known_need() {
    let mut needs = PeakNeeds::default();
    let reported = by_region([("a", 10), ("b", 1)]);
    let followed = needs.record(1_000, &reported, &BTreeSet::from(["b", "c"]), 8_000);
    assert_eq!(followed, by_region([("a", 10)]));
}

#[test]
fn ordered_servers_boot_until_they_are_present_or_late() {
    let mut order = Order::new(1_000, 34, 0);
    assert_eq!(order.update(2_000, 0, 4_000), 34);
    assert_eq!(order.update(5_000, 30, 4_000), 4);
    // These servers were reclaimed since; they are not booting.
    assert_eq!(order.update(6_000, 0, 4_000), 4);
    assert_eq!(order.update(8_000, 0, 4_000), 0);
}

#[test]
fn a_reclaim_wave_right_after_an_order_shows_at_once() {
    let mut order = Order::new(1_000, 34, 33);
    assert_eq!(order.update(1_200, 0, 4_000), 1);
}

#[test]
fn a_list_is_complete_once_confirmed_a_while_after_its_last_server() {
    let mut found = InitialCount::default();
    assert_eq!(found.record(1_000, 10, true, Some(900)), 10);
    // The list has not grown for long, but nobody confirmed that it is current.
    assert!(!found.is_complete(Some(1_200)));
    assert!(!found.is_complete(None));
    assert!(!found.is_complete(Some(2_499)));
    assert!(found.is_complete(Some(2_500)));
    assert_eq!(found.record(4_000, 60, true, Some(1_200)), 60);
    assert!(!found.is_complete(Some(2_500)));
}

#[test]
fn servers_that_list_themselves_late_count_until_the_first_request() {
    let mut found = InitialCount::default();
    found.record(1_000, 10, true, Some(1_000));
    assert_eq!(found.record(3_000, 12, true, Some(2_900)), 12);
    assert!(!found.is_complete(Some(2_900)));
    assert_eq!(found.record(6_000, 40, false, Some(5_900)), 12);
    assert_eq!(found.record(6_200, 5, true, Some(5_900)), 12);
}

proptest! {
    /// A single region is planned as all data centres together.
    #[test]
    fn a_single_region_takes_over_no_need(held in 0u32..5, demand in 0u32..30, spillable in 0u32..30) {
        let inventory = inventory(held);
        let snapshot = Snapshot { spillable, ..without_on_demand(&inventory, demand) };
        let snapshots = BTreeMap::from([(String::new(), snapshot)]);
        let scaling = scaling(Some(0.2));
        prop_assert_eq!(
            plan_regions(&POLICY, &scaling, &snapshots),
            plan(&POLICY, &scaling, &snapshot)
        );
    }

    /// In any state, no data centre gets more than its maximum, and the need that spot servers do
    /// not cover is ordered as on-demand servers as far as there is room.
    #[test]
    fn plans_stay_within_the_bounds(held in 0u32..5, demand in 0u32..30) {
        let scaling = scaling(Some(0.2));
        let plan = plan(&POLICY, &scaling, &without_on_demand(&inventory(held), demand));
        for data_centre in ["cheap", "dear"] {
            let on_demand = plan.on_demand.get(data_centre).copied().unwrap_or(0);
            let spot = plan.spot.get(data_centre).copied().unwrap_or(0);
            prop_assert!(on_demand + spot <= scaling.max);
        }
        let need = demand.clamp(2, 8);
        let on_demand: u32 = plan.on_demand.values().sum();
        prop_assert!(on_demand + 2 * held >= need.min(8));
    }

    /// In any state, the releases of a plan leave at least the needed number of servers that accept
    /// requests, or none are released if there are fewer.
    #[test]
    fn no_plan_releases_servers_below_the_need(
        held in prop::collection::vec((0u32..5, 0u32..5, 0u32..5), 3),
        on_demand_held in 0u32..16,
        demand in 0u32..16,
        is_spot_exhausted in any::<bool>(),
        has_spot in any::<bool>(),
    ) {
        let held = held.into_iter().map(|(on_demand, spot, spot_booting)| Inventory {
            on_demand,
            spot,
            spot_booting,
        });
        let names = ["cheap", "dear", "other"].map(str::to_owned);
        let inventory: BTreeMap<String, Inventory> = names.into_iter().zip(held).collect();
        let without_on_demand = without_on_demand(&inventory, demand);
        let snapshot = Snapshot { is_spot_exhausted, on_demand_held, ..without_on_demand };
        let plan = plan(&POLICY, &scaling(has_spot.then_some(0.2)), &snapshot);
        let left = |planned: &BTreeMap<String, u32>, present: fn(&Inventory) -> u32| -> u32 {
            let left = inventory.iter().map(|(name, held)| {
                planned.get(name).map_or(present(held), |count| present(held).min(*count))
            });
            left.sum()
        };
        let before: u32 = inventory.values().map(|held| held.on_demand + held.spot).sum();
        let after =
            left(&plan.on_demand, |held| held.on_demand) + left(&plan.spot, |held| held.spot);
        prop_assert!(after >= before.min(demand.clamp(3, 12)));
    }
}

/// Guards against slow releases at the start of a large service: thousands of servers list
/// themselves at the speed of the table service, and are not all listed when the first requests
/// arrive, which need a few of them.
#[test]
fn a_growing_list_delays_no_release_if_spot_servers_cover_the_need() {
    let scaling = Scaling { min: 38, max: 3_282, ..scaling(Some(0.2)) };
    let held = |spot| {
        let data_centre = Inventory { on_demand: 1_280, spot, spot_booting: 0 };
        ["cheap", "dear"].map(|name| (name.to_owned(), data_centre)).into()
    };
    for (need, spot, is_carried) in
        [(60, 900, true), (60, 38, true), (60, 37, false), (2_600, 900, false)]
    {
        let inventory = held(spot);
        let snapshot = without_on_demand(&inventory, need);
        assert_eq!(snapshot.is_spot_sufficient(&scaling), is_carried, "{need} {spot}");
    }
    // The next plan releases as many servers as may leave at once, and keeps more spot servers than
    // needed.
    let inventory = held(900);
    let plan = plan(&POLICY, &scaling, &without_on_demand(&inventory, 60));
    assert_eq!(plan.on_demand.values().sum::<u32>(), 2 * 1_280 - 1_000);
    assert!(plan.spot.values().sum::<u32>() >= 76);
}

/// Guards against the release of very many surplus servers at once: they end before all nodes know.
#[test]
fn many_surplus_servers_are_released_in_batches() {
    let scaling = Scaling { min: 38, max: 20_000, ..scaling(Some(0.2)) };
    for count in [2_000, 10_000, 20_000] {
        let mut left = count;
        let mut steps = 0;
        while left > 200 {
            let data_centre = Inventory { on_demand: left / 2, spot: 100, spot_booting: 0 };
            let inventory = ["cheap", "dear"].map(|name| (name.to_owned(), data_centre)).into();
            let plan = plan(&POLICY, &scaling, &without_on_demand(&inventory, 76));
            let planned: u32 = plan.on_demand.values().sum();
            assert!((1..=1_000).contains(&(left - planned)), "{left} to {planned}");
            (left, steps) = (planned / 2 * 2, steps + 1);
        }
        assert!(steps <= count / 1_000 + 1, "{steps} steps for {count}");
    }
}
