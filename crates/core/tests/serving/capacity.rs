use std::collections::BTreeMap;

use keeljunction_core::serving::capacity::{
    Demand, Inventory, PeakWindow, Plan, Policy, Snapshot, need, plan,
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

/// Where nothing is held as on-demand servers, and spot servers can be had.
fn calm(inventory: &BTreeMap<String, Inventory>, need: u32) -> Snapshot<'_> {
    Snapshot { inventory, need, is_spot_exhausted: false, on_demand_held: 0, is_idle: false }
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
fn the_need_follows_tokens_and_places() {
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
fn bursts_take_a_larger_part_of_few_servers_than_of_many() {
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
fn a_calm_day_holds_a_part_lasting_and_the_rest_reclaimable() {
    let plan = plan(&POLICY, &scaling(Some(0.2)), &calm(&inventory(2), 4));
    assert_eq!(plan, Plan { on_demand: counts(1, 1), spot: counts(2, 2) });
}

#[test]
fn what_cannot_be_had_as_reclaimable_is_ordered_as_lasting() {
    let plan = plan(&POLICY, &scaling(Some(0.2)), &calm(&inventory(0), 4));
    assert_eq!(plan.on_demand, counts(2, 2));
}

#[test]
fn while_the_market_is_spot_exhausted_only_a_part_of_the_reclaimable_servers_is_counted_on() {
    let inventory = inventory(1);
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &calm(&inventory, 4)).on_demand, counts(1, 1));
    let dry = Snapshot { is_spot_exhausted: true, ..calm(&inventory, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &dry).on_demand, counts(2, 1));
}

#[test]
fn lasting_servers_stay_until_reclaimable_ones_take_work() {
    let data_centre = Inventory { spot_booting: 1, ..Inventory::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let held = Snapshot { on_demand_held: 4, ..calm(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).on_demand, counts(2, 2));
    let working = inventory(1);
    let held = Snapshot { on_demand_held: 4, ..calm(&working, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).on_demand, counts(1, 1));
}

#[test]
fn before_anything_is_asked_lasting_servers_go_while_reclaimable_ones_start() {
    let data_centre = Inventory { spot_booting: 1, ..Inventory::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let idle = Snapshot { on_demand_held: 4, is_idle: true, ..calm(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &idle).on_demand, counts(1, 1));
    // What was refused starts nowhere: the on-demand ones stay.
    let none = inventory(0);
    let idle = Snapshot { on_demand_held: 4, is_idle: true, ..calm(&none, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &idle).on_demand, counts(2, 2));
}

#[test]
fn no_lasting_servers_are_ordered_for_what_is_starting() {
    let data_centre = Inventory { spot_booting: 1, ..Inventory::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let held = Snapshot { on_demand_held: 2, ..calm(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).on_demand, counts(1, 1));
}

#[test]
fn lasting_servers_find_room_before_reclaimable_ones() {
    let full = plan(&POLICY, &scaling(Some(0.2)), &calm(&inventory(0), 8));
    assert_eq!(full, Plan { on_demand: counts(4, 4), spot: counts(0, 0) });
}

#[test]
fn without_reclaimable_servers_all_are_lasting() {
    let only = plan(&POLICY, &scaling(None), &calm(&inventory(0), 3));
    assert_eq!(only, Plan { on_demand: counts(2, 1), spot: BTreeMap::new() });
}

#[test]
fn lasting_servers_stand_in_the_cheaper_data_centres() {
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
        plan(&POLICY, &scaling, &calm(&inventory, need)).on_demand.into_values().collect()
    };
    assert_eq!(on_demand(0, 30), [10, 10, 0, 10]);
    assert_eq!(on_demand(0, 31), [9, 11, 0, 11]);
    // Where the cheaper ones have no room, all take some.
    assert_eq!(on_demand(34, 200), [6, 6, 6, 6]);
}

#[test]
fn a_need_rises_at_once_and_falls_slowly() {
    let mut slow = PeakWindow::default();
    assert_eq!(slow.follow(1_000, 3, 5_000), 3);
    assert_eq!(slow.follow(2_000, 7, 5_000), 7);
    assert_eq!(slow.follow(7_000, 2, 5_000), 7);
    assert_eq!(slow.follow(7_001, 2, 5_000), 2);
}

proptest! {
    /// Whatever is there and needed: no data centre gets more than its most, and what spot
    /// servers do not carry is ordered as on-demand servers as far as there is room.
    #[test]
    fn plans_keep_the_bounds(held in 0u32..5, demand in 0u32..30) {
        let scaling = scaling(Some(0.2));
        let plan = plan(&POLICY, &scaling, &calm(&inventory(held), demand));
        for data_centre in ["cheap", "dear"] {
            let on_demand = plan.on_demand.get(data_centre).copied().unwrap_or(0);
            let spot = plan.spot.get(data_centre).copied().unwrap_or(0);
            prop_assert!(on_demand + spot <= scaling.max);
        }
        let need = demand.clamp(2, 8);
        let on_demand: u32 = plan.on_demand.values().sum();
        prop_assert!(on_demand + 2 * held >= need.min(8));
    }
}
