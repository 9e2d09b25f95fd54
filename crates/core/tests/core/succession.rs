//! Rendezvous hashing: owners, ranks and replicas.

use keeljunction_core::rendezvous::{owner, rank, replica};
use proptest::prelude::*;

fn nodes(count: usize) -> Vec<(String, String)> {
    (0..count).map(|n| (format!("n{n}"), format!("dc{}", n % 4))).collect()
}

fn names(nodes: &[(String, String)]) -> impl Iterator<Item = &str> {
    nodes.iter().map(|(name, _)| name.as_str())
}

#[test]
fn keys_are_distributed_evenly() {
    let nodes = nodes(9);
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..9_000 {
        *counts.entry(owner(&key.to_string(), names(&nodes)).expect("a node")).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| (800..1_200).contains(count)), "{counts:?}");
}

#[test]
fn a_single_node_has_no_replica_and_one_of_two_replicates_to_the_other() {
    assert_eq!(replica("k", "n0", "dc0", &nodes(1)), None);
    assert_eq!(replica("k", "n0", "dc0", &nodes(2)), Some("n1"));
}

proptest! {
    /// When a node fails, only its own keys move, each to the next node of its ranking.
    #[test]
    fn only_the_keys_of_a_failed_node_move(key in any::<u64>(), count in 2..20usize, failed in 0..20usize) {
        let all = nodes(count);
        let failed = format!("n{}", failed % count);
        let before = rank(&key.to_string(), names(&all));
        let remaining: Vec<_> = all.iter().filter(|(name, _)| *name != failed).cloned().collect();
        let after = rank(&key.to_string(), names(&remaining));
        let expected: Vec<&str> = before.into_iter().filter(|name| *name != failed).collect();
        prop_assert_eq!(owner(&key.to_string(), names(&remaining)), expected.first().copied());
        prop_assert_eq!(after, expected);
    }

    /// The replica is never on the node itself, and is in another data centre if there is one.
    #[test]
    fn the_replica_is_in_another_data_centre(key in any::<u64>(), count in 2..20usize) {
        let nodes = nodes(count);
        let replica_node = replica(&key.to_string(), "n0", "dc0", &nodes).expect("a node");
        prop_assert_ne!(replica_node, "n0");
        let data_centre = nodes.iter().find(|(name, _)| name == replica_node).map(|(_, dc)| dc.as_str());
        prop_assert_ne!(data_centre, Some("dc0"));
    }
}
