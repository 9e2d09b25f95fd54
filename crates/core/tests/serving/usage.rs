use keeljunction_core::serving::usage::{Counts, Incarnation, Ledger, is_settled, window_at};
use proptest::prelude::*;

fn incarnation(node: &str, number: u64) -> Incarnation {
    Incarnation { node: node.to_owned(), number }
}

#[test]
fn windows_are_numbered_from_the_epoch() {
    assert_eq!(window_at(0, 5_000), 0);
    assert_eq!(window_at(4_999, 5_000), 0);
    assert_eq!(window_at(5_000, 5_000), 1);
}

#[test]
fn the_total_sums_all_lives_of_all_nodes() {
    let mut ledger = Ledger::default();
    ledger.count(3, &incarnation("a", 1), "acme");
    ledger.count(3, &incarnation("a", 2), "acme");
    ledger.merge(3, &incarnation("b", 1), &Counts::from([("acme".to_owned(), 4)]));
    ledger.count(4, &incarnation("a", 2), "acme");
    assert_eq!(ledger.total(3), Counts::from([("acme".to_owned(), 6)]));
}

#[test]
fn old_windows_are_forgotten() {
    let mut ledger = Ledger::default();
    ledger.count(3, &incarnation("a", 1), "acme");
    ledger.count(4, &incarnation("a", 1), "acme");
    ledger.forget_before(4);
    assert_eq!(ledger.get_first_window(), Some(4));
    assert!(ledger.total(3).is_empty());
}

proptest! {
    /// Messages may come late, twice and out of order: the total is that of the latest counts.
    #[test]
    fn merging_does_not_depend_on_order(order in Just((1u64..=9).collect::<Vec<_>>()).prop_shuffle()) {
        let mut ledger = Ledger::default();
        for count in order {
            let counts = Counts::from([("acme".to_owned(), count)]);
            ledger.merge(1, &incarnation("a", 1), &counts);
            ledger.merge(1, &incarnation("a", 1), &counts);
        }
        prop_assert_eq!(ledger.total(1), Counts::from([("acme".to_owned(), 9)]));
    }
}

#[test]
fn counts_settle_for_a_fifth_of_the_time_until_they_are_due() {
    assert!(!is_settled(1_999, 10_000, false));
    assert!(is_settled(2_000, 10_000, false));
}

#[test]
fn counts_of_a_node_that_is_cut_off_are_waited_for_until_the_report_must_go() {
    assert!(!is_settled(6_499, 10_000, true));
    assert!(is_settled(6_500, 10_000, true));
}

#[test]
fn counts_that_were_kept_count_once_beside_those_that_nodes_still_tell() {
    let mut before = Ledger::default();
    before.count(6, &incarnation("a", 1), "acme");
    before.count(7, &incarnation("a", 1), "acme");
    before.count(7, &incarnation("b", 1), "acme");
    let kept = before.get_since(7);
    let mut after = Ledger::default();
    after.merge(7, &incarnation("b", 1), &Counts::from([("acme".to_owned(), 4)]));
    after.count(7, &incarnation("a", 2), "acme");
    after.merge_kept(&kept);
    assert_eq!(after.total(7), Counts::from([("acme".to_owned(), 6)]));
    assert_eq!(after.get_first_window(), Some(7));
}
