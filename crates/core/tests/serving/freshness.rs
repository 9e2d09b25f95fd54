use keeljunction_core::serving::freshness::Freshness;
use proptest::prelude::*;

#[test]
fn a_node_without_a_confirmation_is_not_fresh() {
    assert!(!Freshness::default().is_within(1_000, u64::MAX));
}

#[test]
fn the_age_counts_from_before_the_query() {
    let mut freshness = Freshness::default();
    freshness.confirm(1_000);
    assert_eq!(freshness.get_age(5_000), Some(4_000));
    assert!(freshness.is_within(5_000, 4_000));
    assert!(!freshness.is_within(5_001, 4_000));
}

#[test]
fn a_late_response_to_an_older_query_changes_nothing() {
    let mut freshness = Freshness::default();
    freshness.confirm(2_000);
    freshness.confirm(1_000);
    assert_eq!(freshness.get_age(2_500), Some(500));
}

#[test]
fn a_peer_that_knew_before_this_node_started_confirms_nothing() {
    let mut freshness = Freshness::default();
    freshness.confirm_by_peer(100, 200);
    assert_eq!(freshness.get_age(300), None);
}

proptest! {
    /// With any delays and pauses: if a node is fresh within a bound, it knows all changes that are
    /// older than the bound.
    #[test]
    fn no_change_older_than_the_bound_is_unknown(
        changed_at in 10_000u64..20_000,
        queried_at in 10_000u64..20_000,
        query_time in 0u64..5_000,
        peer_age in 0u64..5_000,
        by_peer in any::<bool>(),
        checked_after in 0u64..10_000,
        bound in 1u64..6_000,
    ) {
        // The store, or a peer, responded at `answered_at`; a peer's knowledge is older still.
        let answered_at = queried_at + query_time;
        let known_at = if by_peer { answered_at - peer_age } else { answered_at };
        let knows_change = known_at >= changed_at;
        let mut freshness = Freshness::default();
        if by_peer {
            freshness.confirm_by_peer(queried_at, peer_age);
        } else {
            freshness.confirm(queried_at);
        }
        let checked_at = answered_at + checked_after;
        if freshness.is_within(checked_at, bound) && !knows_change {
            prop_assert!(changed_at + bound > checked_at);
        }
    }
}
