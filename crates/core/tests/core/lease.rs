//! Leases with fencing tokens.

use keeljunction_core::lease::{Lease, Row, Watcher};
use proptest::prelude::*;

fn row(renewal: u64) -> Row {
    Row { holder: "a".to_owned(), length_ms: 1_000, renewal }
}

#[test]
fn the_fencing_token_is_returned_only_while_the_lease_is_certainly_valid() {
    let lease = Lease::new(7, 100, 1_000, 200);
    assert_eq!(lease.get_fence(100), Some(7));
    assert_eq!(lease.get_fence(899), Some(7));
    assert_eq!(lease.get_fence(900), None);
    assert!(!lease.is_renewal_due(432) && lease.is_renewal_due(433));
}

#[test]
fn a_watcher_waits_for_the_lease_and_the_longest_order_from_its_first_observation() {
    let mut watcher = Watcher::default();
    assert!(!watcher.is_lapsed(5_000, 1, &row(1), 300));
    assert!(!watcher.is_lapsed(6_299, 1, &row(1), 300));
    assert!(watcher.is_lapsed(6_300, 1, &row(1), 300));
    assert!(!watcher.is_lapsed(6_400, 2, &row(2), 300), "a renewal restarts the wait");
}

proptest! {
    /// A suspended holder and a watcher whose clock has a different origin never act at the same time.
    #[test]
    fn a_suspended_holder_and_its_successor_never_overlap(
        requested_at in 0..1_000u64,
        seen_after in 0..500u64,
        length in 300..5_000u64,
        shift in 0..100_000u64,
        now in 0..20_000u64,
    ) {
        let lease = Lease::new(1, requested_at, length, 100);
        let mut watcher = Watcher::default();
        let row = Row { holder: "a".to_owned(), length_ms: length, renewal: 1 };
        let seen = requested_at + seen_after;
        watcher.is_lapsed(seen + shift, 1, &row, 0);
        let taken_over = now >= seen && watcher.is_lapsed(now + shift, 1, &row, 0);
        prop_assert!(!(taken_over && lease.get_fence(now).is_some()));
    }
}
