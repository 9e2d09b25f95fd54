use std::collections::BTreeMap;

use keeljunction_core::serving::capacity::{Asked, Plan, Policy, SlowFall, ZoneStock, need, plan};
use keeljunction_core::serving::configuration::Scaling;
use proptest::prelude::*;

const POLICY: Policy =
    Policy { lasting_part: 0.5, reclaimable_part: 1.0, target_use: 0.5, target_fill: 0.5 };

fn scaling(spot_price: Option<f64>) -> Scaling {
    let prices = [("dear", 1.2), ("cheap", 0.8)];
    Scaling {
        min: 1,
        max: 4,
        boot: 4_000,
        spot_price,
        zone_prices: prices.map(|(zone, price)| (zone.to_owned(), price)).into(),
    }
}

fn stock(reclaimable: u32) -> BTreeMap<String, ZoneStock> {
    let zone = ZoneStock { reclaimable, ..ZoneStock::default() };
    ["cheap", "dear"].map(|name| (name.to_owned(), zone)).into()
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
fn an_unknown_speed_does_not_overflow() {
    assert_eq!(need(&POLICY, &Asked::default()), 1);
}

#[test]
fn a_calm_day_holds_a_part_lasting_and_the_rest_reclaimable() {
    let calm = plan(&POLICY, &scaling(Some(0.2)), &stock(2), 4, false);
    assert_eq!(calm, Plan { lasting: counts(1, 1), reclaimable: counts(2, 2) });
}

#[test]
fn what_cannot_be_had_as_reclaimable_is_ordered_as_lasting() {
    let dry = plan(&POLICY, &scaling(Some(0.2)), &stock(0), 4, false);
    assert_eq!(dry.lasting, counts(2, 2));
}

#[test]
fn while_the_market_is_dry_the_next_loss_is_covered_before_it_comes() {
    let calm = plan(&POLICY, &scaling(Some(0.2)), &stock(1), 4, false);
    assert_eq!(calm.lasting, counts(1, 1));
    let dry = plan(&POLICY, &scaling(Some(0.2)), &stock(1), 4, true);
    assert_eq!(dry.lasting, counts(2, 1));
}

#[test]
fn lasting_servers_find_room_before_reclaimable_ones() {
    let full = plan(&POLICY, &scaling(Some(0.2)), &stock(0), 8, false);
    assert_eq!(full, Plan { lasting: counts(4, 4), reclaimable: counts(0, 0) });
}

#[test]
fn without_reclaimable_servers_all_are_lasting() {
    let only = plan(&POLICY, &scaling(None), &stock(0), 3, false);
    assert_eq!(only, Plan { lasting: counts(2, 1), reclaimable: BTreeMap::new() });
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
    /// Whatever is there and asked: no zone gets more than its most, and what reclaimable servers
    /// do not carry is ordered as lasting as far as there is room.
    #[test]
    fn plans_keep_the_bounds(held in 0u32..5, asked in 0u32..30) {
        let scaling = scaling(Some(0.2));
        let plan = plan(&POLICY, &scaling, &stock(held), asked, false);
        for zone in ["cheap", "dear"] {
            let lasting = plan.lasting.get(zone).copied().unwrap_or(0);
            let reclaimable = plan.reclaimable.get(zone).copied().unwrap_or(0);
            prop_assert!(lasting + reclaimable <= scaling.max);
        }
        let need = asked.clamp(2, 8);
        let lasting: u32 = plan.lasting.values().sum();
        prop_assert!(lasting + 2 * held >= need.min(8));
    }
}
