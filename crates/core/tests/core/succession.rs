//! Which node owns a key, and who comes after it.

use keeljunction_core::rendezvous::{owner, rank, replica};
use proptest::prelude::*;

fn nodes(count: usize) -> Vec<(String, String)> {
    (0..count).map(|n| (format!("n{n}"), format!("dc{}", n % 4))).collect()
}

fn names(nodes: &[(String, String)]) -> impl Iterator<Item = &str> {
    nodes.iter().map(|(name, _)| name.as_str())
}

#[test]
fn keys_are_spread_evenly() {
    let nodes = nodes(9);
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..9_000 {
        *counts
            .entry(owner(&key.to_string(), names(&nodes)).expect("there is one"))
            .or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| (800..1_200).contains(count)), "{counts:?}");
}

#[test]
fn alone_there_is_no_holder_and_with_one_other_it_is_that() {
    assert_eq!(replica("k", "n0", "dc0", &nodes(1)), None);
    assert_eq!(replica("k", "n0", "dc0", &nodes(2)), Some("n1"));
}

proptest! {
    /// When a node goes only its own keys move, and to the next in their lists.
    #[test]
    fn only_the_keys_of_a_node_that_goes_move(key in any::<u64>(), count in 2..20usize, gone in 0..20usize) {
        let all = nodes(count);
        let gone = format!("n{}", gone % count);
        let before = rank(&key.to_string(), names(&all));
        let left: Vec<_> = all.iter().filter(|(name, _)| *name != gone).cloned().collect();
        let after = rank(&key.to_string(), names(&left));
        let expected: Vec<&str> = before.into_iter().filter(|name| *name != gone).collect();
        prop_assert_eq!(owner(&key.to_string(), names(&left)), expected.first().copied());
        prop_assert_eq!(after, expected);
    }

    /// The holder is never the node itself, and stands in another data centre where there is one.
    #[test]
    fn the_holder_stands_elsewhere(key in any::<u64>(), count in 2..20usize) {
        let nodes = nodes(count);
        let held = replica(&key.to_string(), "n0", "dc0", &nodes).expect("there is one");
        prop_assert_ne!(held, "n0");
        let data_centre = nodes.iter().find(|(name, _)| name == held).map(|(_, dc)| dc.as_str());
        prop_assert_ne!(data_centre, Some("dc0"));
    }
}
