use std::collections::BTreeMap;

use keeljunction_core::serving::capacity::{
    Asked, Plan, Policy, Situation, SlowFall, Stock, need, plan,
};
use keeljunction_core::serving::configuration::Scaling;
use proptest::prelude::*;

const POLICY: Policy = Policy {
    lasting_part: 0.5,
    reclaimable_part: 1.0,
    target_use: 0.5,
    target_fill: 0.5,
    burst_servers: 0.0,
    dry_trust: 0.5,
};

/// Where nothing is held as lasting, and reclaimable servers can be had.
fn calm(stock: &BTreeMap<String, Stock>, need: u32) -> Situation<'_> {
    Situation { stock, need, is_dry: false, lasting_held: 0, is_idle: false }
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

fn stock(reclaimable: u32) -> BTreeMap<String, Stock> {
    let data_centre = Stock { reclaimable, ..Stock::default() };
    ["cheap", "dear"].map(|name| (name.to_owned(), data_centre)).into()
}

fn counts(cheap: u32, dear: u32) -> BTreeMap<String, u32> {
    BTreeMap::from([("cheap".to_owned(), cheap), ("dear".to_owned(), dear)])
}

#[test]
fn the_need_follows_tokens_and_places() {
    let asked = Asked {
        tokens_per_second: 100_000.0,
        server_tokens_per_second: 50_000.0,
        in_flight: 10.0,
        slots: 10.0,
    };
    assert_eq!(need(&POLICY, &asked), 4);
    assert_eq!(need(&POLICY, &Asked { in_flight: 30.0, ..asked }), 6);
}

#[test]
fn bursts_take_a_larger_part_of_few_servers_than_of_many() {
    let policy = Policy { burst_servers: 1.0, ..POLICY };
    let asked = |servers: f64| Asked {
        tokens_per_second: 50_000.0 * servers,
        server_tokens_per_second: 50_000.0,
        in_flight: 0.0,
        slots: 10.0,
    };
    assert_eq!([1.0, 4.0, 25.0].map(|servers| need(&policy, &asked(servers))), [3, 10, 55]);
    let filled = Asked { in_flight: 40.0, ..asked(1.0) };
    assert_eq!(need(&policy, &filled), 10);
}

#[test]
fn an_unknown_speed_does_not_overflow() {
    assert_eq!(need(&POLICY, &Asked::default()), 1);
}

#[test]
fn a_calm_day_holds_a_part_lasting_and_the_rest_reclaimable() {
    let plan = plan(&POLICY, &scaling(Some(0.2)), &calm(&stock(2), 4));
    assert_eq!(plan, Plan { lasting: counts(1, 1), reclaimable: counts(2, 2) });
}

#[test]
fn what_cannot_be_had_as_reclaimable_is_ordered_as_lasting() {
    let plan = plan(&POLICY, &scaling(Some(0.2)), &calm(&stock(0), 4));
    assert_eq!(plan.lasting, counts(2, 2));
}

#[test]
fn while_the_market_is_dry_only_a_part_of_the_reclaimable_servers_is_counted_on() {
    let stock = stock(1);
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &calm(&stock, 4)).lasting, counts(1, 1));
    let dry = Situation { is_dry: true, ..calm(&stock, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &dry).lasting, counts(2, 1));
}

#[test]
fn lasting_servers_stay_until_reclaimable_ones_take_work() {
    let data_centre = Stock { reclaimable_booting: 1, ..Stock::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let held = Situation { lasting_held: 4, ..calm(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).lasting, counts(2, 2));
    let working = stock(1);
    let held = Situation { lasting_held: 4, ..calm(&working, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).lasting, counts(1, 1));
}

#[test]
fn before_anything_is_asked_lasting_servers_go_while_reclaimable_ones_start() {
    let data_centre = Stock { reclaimable_booting: 1, ..Stock::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let idle = Situation { lasting_held: 4, is_idle: true, ..calm(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &idle).lasting, counts(1, 1));
    // What was refused starts nowhere: the lasting ones stay.
    let none = stock(0);
    let idle = Situation { lasting_held: 4, is_idle: true, ..calm(&none, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &idle).lasting, counts(2, 2));
}

#[test]
fn no_lasting_servers_are_ordered_for_what_is_starting() {
    let data_centre = Stock { reclaimable_booting: 1, ..Stock::default() };
    let booting = BTreeMap::from(["cheap", "dear"].map(|name| (name.to_owned(), data_centre)));
    let held = Situation { lasting_held: 2, ..calm(&booting, 4) };
    assert_eq!(plan(&POLICY, &scaling(Some(0.2)), &held).lasting, counts(1, 1));
}

#[test]
fn lasting_servers_find_room_before_reclaimable_ones() {
    let full = plan(&POLICY, &scaling(Some(0.2)), &calm(&stock(0), 8));
    assert_eq!(full, Plan { lasting: counts(4, 4), reclaimable: counts(0, 0) });
}

#[test]
fn without_reclaimable_servers_all_are_lasting() {
    let only = plan(&POLICY, &scaling(None), &calm(&stock(0), 3));
    assert_eq!(only, Plan { lasting: counts(2, 1), reclaimable: BTreeMap::new() });
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
    let lasting = |reclaimable: u32, need: u32| -> Vec<u32> {
        let held = Stock { reclaimable, ..Stock::default() };
        let stock = names.map(|name| (name.to_owned(), held)).into();
        plan(&POLICY, &scaling, &calm(&stock, need)).lasting.into_values().collect()
    };
    assert_eq!(lasting(0, 30), [10, 10, 0, 10]);
    assert_eq!(lasting(0, 31), [9, 11, 0, 11]);
    // Where the cheaper ones have no room, all take some.
    assert_eq!(lasting(34, 200), [6, 6, 6, 6]);
}

#[test]
fn a_need_rises_at_once_and_falls_slowly() {
    let mut slow = SlowFall::default();
    assert_eq!(slow.follow(1_000, 3, 5_000), 3);
    assert_eq!(slow.follow(2_000, 7, 5_000), 7);
    assert_eq!(slow.follow(7_000, 2, 5_000), 7);
    assert_eq!(slow.follow(7_001, 2, 5_000), 2);
}

proptest! {
    /// Whatever is there and asked: no data centre gets more than its most, and what reclaimable
    /// servers do not carry is ordered as lasting as far as there is room.
    #[test]
    fn plans_keep_the_bounds(held in 0u32..5, asked in 0u32..30) {
        let scaling = scaling(Some(0.2));
        let plan = plan(&POLICY, &scaling, &calm(&stock(held), asked));
        for data_centre in ["cheap", "dear"] {
            let lasting = plan.lasting.get(data_centre).copied().unwrap_or(0);
            let reclaimable = plan.reclaimable.get(data_centre).copied().unwrap_or(0);
            prop_assert!(lasting + reclaimable <= scaling.max);
        }
        let need = asked.clamp(2, 8);
        let lasting: u32 = plan.lasting.values().sum();
        prop_assert!(lasting + 2 * held >= need.min(8));
    }
}
