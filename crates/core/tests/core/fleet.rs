//! Fleet planning.

use keeljunction_core::fleet::{Demand, Offer, count_survivors, plan, price};
use proptest::prelude::*;

fn offer(data_centre: &str, reclaimable: bool, per_hour_milli: u64) -> Offer {
    Offer {
        data_centre: data_centre.to_owned(),
        vm_class: "a".to_owned(),
        reclaimable,
        per_hour_milli,
        refused_until: None,
        max_vms: 10,
    }
}

#[test]
fn the_cheapest_set_that_survives_the_loss_of_a_data_centre_is_planned() {
    let offers = [offer("x", true, 100), offer("y", true, 120), offer("z", false, 400)];
    let demand = Demand { target: 4, after_loss: 2, floor: 0 };
    let planned = plan(0, &offers, &demand);
    assert_eq!(count_survivors(&offers, &planned), 2, "{planned:?}");
    assert_eq!(price(&offers, &planned), 2 * 100 + 2 * 120, "{planned:?}");
}

#[test]
fn an_offer_that_refused_a_start_is_skipped_until_its_time() {
    let refused = Offer { refused_until: Some(500), ..offer("x", true, 100) };
    let offers = [refused, offer("y", true, 120)];
    let demand = Demand { target: 2, after_loss: 0, floor: 0 };
    assert_eq!(plan(499, &offers, &demand).into_iter().collect::<Vec<_>>(), [(1, 2)]);
    assert_eq!(plan(500, &offers, &demand).into_iter().collect::<Vec<_>>(), [(0, 2)]);
}

#[test]
fn on_demand_vms_fill_in_without_a_second_data_centre() {
    let offers = [offer("x", true, 100), offer("x", false, 400)];
    let demand = Demand { target: 3, after_loss: 1, floor: 0 };
    let planned = plan(0, &offers, &demand);
    assert!(count_survivors(&offers, &planned) >= 1, "{planned:?}");
    assert_eq!(price(&offers, &planned), 2 * 100 + 400, "{planned:?}");
}

proptest! {
    /// For any offers, the plan meets the demand if they suffice and never exceeds their limits.
    #[test]
    fn a_plan_meets_the_demand_or_uses_all_offers(
        shape in prop::collection::vec((0..4usize, any::<bool>(), 50..500u64, 1..6u32), 1..8),
        target in 0..12u32,
        after_loss in 0..8u32,
    ) {
        let offers: Vec<Offer> = shape
            .iter()
            .map(|(dc, reclaimable, milli, max_vms)| Offer { max_vms: *max_vms, ..offer(&dc.to_string(), *reclaimable, *milli) })
            .collect();
        let planned = plan(0, &offers, &Demand { target, after_loss, floor: 0 });
        let count: u32 = planned.values().sum();
        let all: u32 = offers.iter().map(|offer| offer.max_vms).sum();
        prop_assert!(planned.iter().all(|(index, count)| *count <= offers[*index].max_vms));
        prop_assert!(count >= target.min(all), "{planned:?}");
        let everything = offers.iter().enumerate().map(|(index, offer)| (index, offer.max_vms)).collect();
        let possible = count_survivors(&offers, &everything);
        prop_assert!(count_survivors(&offers, &planned) >= after_loss.min(possible), "{planned:?} of {possible}");
    }
}
