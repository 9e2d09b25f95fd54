//! Which nodes hold the record of a stream's origin.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use keeljunction_core::serving::members::{Entry, Heartbeat, Members, Role};
use proptest::prelude::*;

fn entry(number: u16, data_centre: u8) -> Entry {
    Entry {
        name: format!("node-{number}"),
        address: SocketAddr::from(([10, 0, 0, 1], 100 + number)),
        data_centre: format!("z{data_centre}"),
        link_mbps: 10,
    }
}

/// Returns a node's view of nodes in the given data centres; the first one is the node itself.
fn members(data_centres: &[u8]) -> Members {
    let entries = data_centres.iter().enumerate();
    let entries: Vec<Entry> = entries.map(|(at, centre)| entry(at as u16, *centre)).collect();
    let mut members = Members::new(0, entries[0].clone(), &[]);
    members.merge_list(0, entries, true);
    members
}

fn count_by_data_centre(holders: &[&Entry]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for holder in holders {
        *counts.entry(holder.data_centre.clone()).or_default() += 1;
    }
    counts
}

#[test]
fn records_lie_in_three_data_centres_and_are_spread_over_the_nodes() {
    let data_centres: Vec<u8> = (0..60).map(|number| number % 4).collect();
    let members = members(&data_centres);
    let mut held: BTreeMap<String, usize> = BTreeMap::new();
    for key in 0..2_000u64 {
        let key = key.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let ranking = members.get_holder_ranking(0);
        let holders = ranking.list_copy_holders(key);
        assert_eq!(count_by_data_centre(&holders).len(), 3);
        assert_eq!(ranking.list_asked_holders(key).len(), 6);
        holders.iter().for_each(|holder| *held.entry(holder.name.clone()).or_default() += 1);
    }
    assert_eq!(held.len(), 59);
    assert!(held.values().all(|count| *count < 200), "{held:?}");
}

#[test]
fn this_node_is_ranked_like_the_others() {
    let members = members(&[0; 10]);
    let ranking = members.get_holder_ranking(0);
    let own = (0..100u64)
        .filter(|key| ranking.list_asked_holders(*key).iter().any(|holder| members.is_own(holder)));
    assert!((40..80).contains(&own.count()));
}

#[test]
fn a_stopping_node_holds_nothing() {
    let mut members = members(&[0; 4]);
    let stopping = entry(1, 0);
    let heartbeat = Heartbeat {
        entry: &stopping,
        incarnation: 1,
        is_stopping: true,
        role: Role::Aggregator,
        holder_age: None,
    };
    members.record_heartbeat(0, &heartbeat);
    let ranking = members.get_holder_ranking(0);
    for key in 0..100 {
        assert!(!ranking.list_asked_holders(key).contains(&&stopping));
        assert_eq!(ranking.list_asked_holders(key).len(), 3);
        assert_eq!(ranking.list_copy_holders(key).len(), 2);
    }
}

#[test]
fn a_single_node_holds_its_records_alone() {
    let members = members(&[0]);
    let ranking = members.get_holder_ranking(0);
    assert_eq!(ranking.list_asked_holders(7), [&entry(0, 0)]);
    assert!(ranking.list_candidates(7).is_empty());
}

/// Guards against a node that is asked for a record that it did not request at its start.
#[test]
fn a_node_requests_all_records_that_it_is_asked_for() {
    let data_centres: Vec<u8> = (0..60).map(|number| number % 4).collect();
    let members = members(&data_centres);
    let ranking = members.get_holder_ranking(0);
    for key in 0..200u64 {
        let key = key.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let asked = ranking.list_asked_holders(key);
        for (number, data_centre) in data_centres.iter().enumerate() {
            let node = entry(number as u16, *data_centre);
            assert_eq!(ranking.is_asked(key, &node), asked.contains(&&node));
        }
    }
}

/// Guards against records that are sent to, and asked of, nodes that were killed a moment ago.
#[test]
fn nodes_that_are_not_heard_rank_last() {
    let mut members = members(&[0; 12]);
    let timeout = 1_000;
    for number in 1..6 {
        let heard = entry(number, 0);
        let heartbeat = Heartbeat {
            entry: &heard,
            incarnation: 1,
            is_stopping: false,
            role: Role::Aggregator,
            holder_age: None,
        };
        members.record_heartbeat(timeout, &heartbeat);
    }
    let ranking = members.get_holder_ranking(timeout);
    for key in 0..100 {
        let asked: BTreeSet<&str> =
            ranking.list_asked_holders(key).iter().map(|entry| entry.name.as_str()).collect();
        let live = BTreeSet::from(["node-0", "node-1", "node-2", "node-3", "node-4", "node-5"]);
        assert_eq!(asked, live);
        assert!(ranking.is_asked(key, &entry(1, 0)));
    }
    // A node that has just restarted was not heard for a while.
    let silent = entry(7, 0);
    assert!((0..100).filter(|key| ranking.is_asked(*key, &silent)).count() > 50);
    // All nodes rank by their hashes if this node has missed all reports.
    let ranking = members.get_holder_ranking(10_000);
    assert!((0..100).all(|key| ranking.list_asked_holders(key).len() == 6));
}

/// Guards against a record of a small cluster that is not found because its holders rank low.
#[test]
fn all_nodes_of_a_small_cluster_are_asked_in_the_end() {
    let data_centres: Vec<u8> = (0..20).map(|number| number % 3).collect();
    let members = members(&data_centres);
    let ranking = members.get_holder_ranking(0);
    for key in 0..100 {
        let asked = ranking.list_asked_holders(key).into_iter();
        let asked = asked.chain(ranking.list_widely_asked_holders(key));
        let others: BTreeSet<&str> = asked.map(|entry| entry.name.as_str()).collect();
        assert!(others.len() >= 19);
    }
}

proptest! {
    /// Guards against copies at nodes that are not asked for the record.
    #[test]
    fn every_holder_of_a_record_is_asked(
        data_centres in prop::collection::vec(0u8..5, 1..40),
        key in any::<u64>(),
    ) {
        let members = members(&data_centres);
        let ranking = members.get_holder_ranking(0);
        let holders = ranking.list_copy_holders(key);
        let asked = ranking.list_asked_holders(key);
        prop_assert!(holders.iter().all(|holder| asked.contains(holder)));
        prop_assert!(!holders.iter().any(|holder| members.is_own(holder)));
        prop_assert!(asked.len() <= 6);
        prop_assert_eq!(holders.len(), (data_centres.len() - 1).min(3));
        let present: BTreeSet<u8> = data_centres.iter().copied().collect();
        let others: BTreeSet<u8> = data_centres[1..].iter().copied().collect();
        prop_assert_eq!(count_by_data_centre(&holders).len(), others.len().min(3).min(holders.len()));
        if present.len() >= 3 {
            prop_assert!(count_by_data_centre(&asked).values().all(|count| *count <= 2));
        }
        if present.len() == 1 {
            prop_assert_eq!(asked.len(), data_centres.len().min(6));
        }
    }

    #[test]
    fn nodes_agree_on_the_nodes_that_are_asked(
        data_centres in prop::collection::vec(0u8..4, 2..20),
        key in any::<u64>(),
    ) {
        let first = members(&data_centres);
        let entries = data_centres.iter().enumerate();
        let entries: Vec<Entry> = entries.map(|(at, centre)| entry(at as u16, *centre)).collect();
        let mut last = Members::new(0, entries[entries.len() - 1].clone(), &[]);
        last.merge_list(0, entries, true);
        let (first, last) = (first.get_holder_ranking(0), last.get_holder_ranking(0));
        prop_assert_eq!(first.list_asked_holders(key), last.list_asked_holders(key));
    }
}
