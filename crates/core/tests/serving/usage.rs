use keeljunction_core::serving::usage::{
    Counts, FrozenWindows, Incarnation, Ledger, ReportFilter, WindowSet, count_retained_windows,
    is_settled, window_at,
};
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
fn the_total_sums_all_incarnations_of_all_nodes() {
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
    /// Messages may arrive late, twice and out of order: the total is that of the latest counts.
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
fn counts_settle_for_a_fifth_of_the_time_to_the_due_time() {
    assert!(!is_settled(1_999, 10_000, false));
    assert!(is_settled(2_000, 10_000, false));
}

#[test]
fn a_report_waits_for_the_counts_of_a_partitioned_node_as_long_as_possible() {
    assert!(!is_settled(6_499, 10_000, true));
    assert!(is_settled(6_500, 10_000, true));
}

#[test]
fn counts_of_a_snapshot_are_not_added_to_those_that_nodes_report() {
    let mut before = Ledger::default();
    before.count(6, &incarnation("a", 1), "acme");
    before.count(7, &incarnation("a", 1), "acme");
    before.count(7, &incarnation("b", 1), "acme");
    let kept = before.get_snapshot(7);
    let mut after = Ledger::default();
    after.merge(7, &incarnation("b", 1), &Counts::from([("acme".to_owned(), 4)]));
    after.count(7, &incarnation("a", 2), "acme");
    after.merge_snapshot(&kept);
    assert_eq!(after.total(7), Counts::from([("acme".to_owned(), 6)]));
    assert_eq!(after.get_first_window(), Some(7));
}

/// Returns the counts of `count` client accounts.
fn counts_of_accounts(count: usize, each: u64) -> Counts {
    (0..count).map(|number| (format!("account-{number}"), each)).collect()
}

/// Guards against the traffic of many client accounts: an aggregator sends its counts to all others
/// five times per second.
#[test]
fn ended_windows_are_repeated_for_two_seconds_and_then_rarely() {
    let mut filter = ReportFilter::default();
    let windows = |now: u64| {
        let ended = (1..4).map(|window| (window, counts_of_accounts(333, window)));
        ended.chain([(4, counts_of_accounts(333, now))]).collect::<Vec<_>>()
    };
    for turn in 1..10 {
        assert_eq!(filter.select(turn, windows(turn)), windows(turn));
    }
    let counts = (11..111).map(|turn| filter.select(turn, windows(turn)).len());
    assert_eq!(counts.sum::<usize>(), 90 + 10 * 4);
}

#[test]
fn a_window_that_changes_late_is_reported_again() {
    let mut filter = ReportFilter::default();
    for turn in 1..40 {
        filter.select(turn, vec![(1, counts_of_accounts(3, 1)), (2, counts_of_accounts(3, 2))]);
    }
    let late = vec![(1, counts_of_accounts(3, 7)), (2, counts_of_accounts(3, 2))];
    for turn in 41..50 {
        assert_eq!(filter.select(turn, late.clone()), late[..1]);
    }
    assert_eq!(filter.select(50, late.clone()), late);
}

#[test]
fn a_frozen_window_keeps_its_first_counts() {
    let counts = |count| Counts::from([("acme".to_owned(), count)]);
    let mut frozen = FrozenWindows::new(8);
    frozen.record_remote(7, &counts(3));
    assert!(!frozen.record_own(7, &counts(4)));
    assert_eq!(frozen.get(7), Some(&counts(3)));
}

#[test]
fn the_latest_frozen_windows_are_remembered() {
    let mut frozen = FrozenWindows::new(8);
    (0..100).for_each(|window| frozen.record_remote(window, &Counts::new()));
    assert_eq!((frozen.get(91), frozen.get(92)), (None, Some(&Counts::new())));
}

#[test]
fn the_node_that_froze_a_window_reports_it_a_few_times_and_all_do_once_after_a_restore() {
    let mut own = FrozenWindows::new(8);
    own.record_own(7, &Counts::new());
    assert_eq!((0..5).map(|_| own.list_due().len()).collect::<Vec<_>>(), [1, 1, 1, 0, 0]);
    let mut other = FrozenWindows::new(8);
    other.record_remote(7, &Counts::new());
    assert!(other.list_due().is_empty());
    other.report_again();
    assert_eq!(other.list_due(), [(7, Counts::new())]);
    assert!(other.list_due().is_empty());
}

#[test]
fn a_report_contains_a_few_frozen_windows_latest_first() {
    let mut frozen = FrozenWindows::new(8);
    (1..=5).for_each(|window| frozen.record_remote(window, &Counts::new()));
    frozen.report_again();
    let mut list = || frozen.list_due().into_iter().map(|(window, _)| window).collect::<Vec<_>>();
    assert_eq!([list(), list(), list(), list()], [vec![5, 4], vec![3, 2], vec![1], vec![]]);
}

#[test]
fn all_windows_that_are_due_are_retained() {
    assert_eq!(count_retained_windows(10_000, 5_000), 8);
    assert_eq!(count_retained_windows(10_000, 500), 26);
    assert_eq!(count_retained_windows(500, 5_000), 7);
}

// Guards against a window that is counted again because the counts that it was frozen with were
// lost in transit.
#[test]
fn a_window_that_another_node_froze_is_announced_without_its_counts() {
    let mut own = FrozenWindows::new(8);
    [3, 7, 9].into_iter().for_each(|window| assert!(own.record_own(window, &Counts::new())));
    let mut other = FrozenWindows::new(8);
    other.record_announced(own.get_windows());
    assert!([3, 7, 9].into_iter().all(|window| other.is_announced(window)));
    assert!([2, 4, 8, 10].into_iter().all(|window| !other.is_announced(window)));
    assert_eq!(other.get(7), None);
    assert_eq!(other.get_windows(), WindowSet::default());
}

#[test]
fn a_window_set_contains_the_windows_shortly_before_the_last_one() {
    let windows: WindowSet = [100, 37, 36, 0].into_iter().collect();
    assert_eq!(windows.iter().collect::<Vec<_>>(), [100, 37]);
    assert_eq!(WindowSet::default().iter().count(), 0);
    let first: WindowSet = [0].into_iter().collect();
    assert_eq!(first.iter().collect::<Vec<_>>(), [0]);
    assert!(!first.contains(1));
}
