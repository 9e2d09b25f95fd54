use keeljunction_core::serving::freshness::Freshness;
use proptest::prelude::*;

#[test]
fn a_node_that_knows_nothing_is_not_fresh() {
    assert!(!Freshness::default().is_within(1_000, u64::MAX));
}

#[test]
fn age_counts_from_before_the_question() {
    let mut freshness = Freshness::default();
    freshness.confirm(1_000);
    assert_eq!(freshness.get_age(5_000), Some(4_000));
    assert!(freshness.is_within(5_000, 4_000));
    assert!(!freshness.is_within(5_001, 4_000));
}

#[test]
fn an_older_answer_that_comes_late_changes_nothing() {
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
    /// Whatever the delays and pauses: where a node is fresh within a bound, no change was made
    /// longer ago than the bound that it does not know.
    #[test]
    fn no_change_older_than_the_bound_is_unknown(
        changed_at in 10_000u64..20_000,
        asked_at in 10_000u64..20_000,
        to_store in 0u64..5_000,
        peer_age in 0u64..5_000,
        by_peer in any::<bool>(),
        checked_after in 0u64..10_000,
        bound in 1u64..6_000,
    ) {
        // The store, or a peer, answered at `answered_at`; a peer's knowledge is older still.
        let answered_at = asked_at + to_store;
        let known_at = if by_peer { answered_at - peer_age } else { answered_at };
        let knows_change = known_at >= changed_at;
        let mut freshness = Freshness::default();
        if by_peer {
            freshness.confirm_by_peer(asked_at, peer_age);
        } else {
            freshness.confirm(asked_at);
        }
        let checked_at = answered_at + checked_after;
        if freshness.is_within(checked_at, bound) && !knows_change {
            prop_assert!(changed_at + bound > checked_at);
        }
    }
}
