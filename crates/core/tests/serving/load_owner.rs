//! Which aggregator keeps the load of a server, and whom an aggregator sends what crosses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use keeljunction_core::serving::members::{Entry, Members};
use keeljunction_core::serving::topology::Topology;

const NODES: u16 = 60;

/// Node names with their data centres: half of them in each of two regions.
fn entries(regions: &[&str]) -> Vec<Entry> {
    let entry = |number: u16| {
        let region = regions[usize::from(number) % regions.len()];
        Entry {
            name: format!("n-{number}"),
            address: SocketAddr::from(([10, 0, 0, 1], 7_000 + number)),
            data_centre: format!("{region}-{}", number / 2 % 3),
            link_mbps: 10,
        }
    };
    (0..NODES).map(entry).collect()
}

fn get_topology(own: &str) -> Arc<Topology> {
    let data_centres = ["a", "b"].into_iter().flat_map(|region| {
        (0..3).map(move |number| (format!("{region}-{number}"), region.to_owned()))
    });
    let regions: BTreeMap<String, String> = data_centres.collect();
    Arc::new(Topology::new(own, regions).expect("regions"))
}

/// A node of the given ones, that knows all of them and their regions.
fn node(all: &[Entry], number: usize) -> Members {
    let own = all[number].clone();
    let topology = get_topology(&own.data_centre);
    let mut members = Members::new(0, own, &[]).with_topology(topology);
    members.merge_list(0, all.to_vec(), true);
    members
}

/// Finds the owner from the view of a node, as the name of the node that it listens at.
fn find(members: &Members, all: &[Entry], own: usize, server: u64, data_centre: &str) -> String {
    let owner = members.find_load_owner(server, data_centre);
    let address = owner.map_or(all[own].address, |owner| owner.address);
    let entry = all.iter().find(|entry| entry.address == address).expect("a known node");
    entry.name.clone()
}

fn get_region(all: &[Entry], name: &str) -> String {
    let entry = all.iter().find(|entry| entry.name == name).expect("a known node");
    entry.data_centre[..1].to_owned()
}

#[test]
fn all_nodes_of_both_regions_agree_on_an_aggregator_of_the_server_s_region() {
    let all = entries(&["a", "b"]);
    let nodes: Vec<Members> = (0..all.len()).map(|number| node(&all, number)).collect();
    for server in 0..40_u64 {
        let key = server.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for region in ["a", "b"] {
            let data_centre = format!("{region}-{}", server % 3);
            let owners: BTreeSet<String> = nodes
                .iter()
                .enumerate()
                .map(|(number, members)| find(members, &all, number, key, &data_centre))
                .collect();
            assert_eq!(owners.len(), 1, "{owners:?}");
            assert!(owners.iter().all(|owner| get_region(&all, owner) == region), "{owners:?}");
        }
    }
}

#[test]
fn an_owner_of_another_region_says_so() {
    let all = entries(&["a", "b"]);
    let members = node(&all, 0);
    let far: Vec<Option<&str>> = (0..40)
        .filter_map(|server| members.find_load_owner(server, "b-1"))
        .map(|owner| owner.remote_region)
        .collect();
    assert_eq!(far, [Some("b"); 40]);
    let near = (0..40).filter_map(|server| members.find_load_owner(server, "a-1"));
    assert!(near.into_iter().all(|owner| owner.remote_region.is_none()));
}

#[test]
fn where_a_region_has_no_aggregator_the_own_region_s_keep_the_load() {
    let all = entries(&["a"]);
    let members = node(&all, 0);
    for server in 0..40 {
        let owner = find(&members, &all, 0, server, "b-1");
        assert_eq!(get_region(&all, &owner), "a");
    }
}

#[test]
fn nodes_of_a_region_agree_on_the_owner_of_a_server_in_no_known_region() {
    let all = entries(&["a", "b"]);
    let nodes: Vec<Members> = (0..all.len()).map(|number| node(&all, number)).collect();
    for server in 0..40 {
        for (region, first) in [("a", 0), ("b", 1)] {
            let owners: BTreeSet<String> = (first..all.len())
                .step_by(2)
                .map(|number| find(&nodes[number], &all, number, server, "elsewhere"))
                .collect();
            assert_eq!(owners.len(), 1, "{owners:?}");
            assert!(owners.iter().all(|owner| get_region(&all, owner) == region));
        }
    }
}

#[test]
fn in_one_region_the_owner_of_a_load_is_that_of_any_key() {
    let all = entries(&["a", "b"]);
    let own = all[0].clone();
    let mut members = Members::new(0, own, &[]);
    members.merge_list(0, all.clone(), true);
    for server in 0..40 {
        let owner = members.find_load_owner(server, "b-1").map(|owner| owner.address);
        assert_eq!(owner, members.find_owner(server));
    }
}

#[test]
fn the_nodes_of_a_region_are_counted_without_the_others() {
    let all = entries(&["a", "b"]);
    assert_eq!(node(&all, 0).count_own_region(), 30);
    let mut alone = Members::new(0, all[0].clone(), &[]);
    alone.merge_list(0, all, true);
    assert_eq!(alone.count_own_region(), 60);
}

#[test]
fn every_aggregator_of_a_region_of_which_nobody_is_heard_gets_a_summary_in_turn() {
    // Two data centres in each region with two aggregators each.
    let all: Vec<Entry> = entries(&["a", "b"])
        .into_iter()
        .enumerate()
        .map(|(number, entry)| Entry {
            data_centre: format!("{}-{}", &entry.data_centre[..1], number / 2 % 2),
            ..entry
        })
        .collect();
    let members = node(&all, 0);
    let picked: BTreeSet<SocketAddr> =
        (1..=8).flat_map(|turn| members.pick_carriers(0, turn)).collect();
    assert_eq!(picked.len(), 4, "{picked:?}");
}
