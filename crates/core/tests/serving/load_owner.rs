//! Which aggregator owns the load of a server, and which aggregators of other regions get
//! summaries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use keeljunction_core::serving::members::{Entry, Members};
use keeljunction_core::serving::topology::Topology;

const NODES: u16 = 60;

/// Entries of nodes, evenly spread over the regions.
fn make_entries(regions: &[&str]) -> Vec<Entry> {
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

fn make_topology(own: &str) -> Arc<Topology> {
    let data_centres = ["a", "b"].into_iter().flat_map(|region| {
        (0..3).map(move |number| (format!("{region}-{number}"), region.to_owned()))
    });
    let regions: BTreeMap<String, String> = data_centres.collect();
    Arc::new(Topology::new(own, regions).expect("regions"))
}

/// Returns the members as seen by one of the nodes, which knows all of them and their regions.
fn make_members(all: &[Entry], number: usize) -> Members {
    let own = all[number].clone();
    let topology = make_topology(&own.data_centre);
    let mut members = Members::new(0, own, &[]).with_topology(topology);
    members.merge_list(0, all.to_vec(), true);
    members
}

/// Returns the name of the load owner from the view of a node.
fn find_owner_name(
    members: &Members,
    all: &[Entry],
    own: usize,
    server: u64,
    data_centre: &str,
) -> String {
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
    let all = make_entries(&["a", "b"]);
    let nodes: Vec<Members> = (0..all.len()).map(|number| make_members(&all, number)).collect();
    for server in 0..40_u64 {
        let key = server.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for region in ["a", "b"] {
            let data_centre = format!("{region}-{}", server % 3);
            let owners: BTreeSet<String> = nodes
                .iter()
                .enumerate()
                .map(|(number, members)| find_owner_name(members, &all, number, key, &data_centre))
                .collect();
            assert_eq!(owners.len(), 1, "{owners:?}");
            assert!(owners.iter().all(|owner| get_region(&all, owner) == region), "{owners:?}");
        }
    }
}

#[test]
fn an_owner_in_another_region_is_marked_with_its_region() {
    let all = make_entries(&["a", "b"]);
    let members = make_members(&all, 0);
    let remote: Vec<Option<&str>> = (0..40)
        .filter_map(|server| members.find_load_owner(server, "b-1"))
        .map(|owner| owner.remote_region)
        .collect();
    assert_eq!(remote, [Some("b"); 40]);
    let local = (0..40).filter_map(|server| members.find_load_owner(server, "a-1"));
    assert!(local.into_iter().all(|owner| owner.remote_region.is_none()));
}

#[test]
fn the_own_region_owns_the_load_of_a_region_without_aggregators() {
    let all = make_entries(&["a"]);
    let members = make_members(&all, 0);
    for server in 0..40 {
        let owner = find_owner_name(&members, &all, 0, server, "b-1");
        assert_eq!(get_region(&all, &owner), "a");
    }
}

#[test]
fn nodes_of_a_region_agree_on_the_owner_of_a_server_in_no_known_region() {
    let all = make_entries(&["a", "b"]);
    let nodes: Vec<Members> = (0..all.len()).map(|number| make_members(&all, number)).collect();
    for server in 0..40 {
        for (region, first) in [("a", 0), ("b", 1)] {
            let owners: BTreeSet<String> = (first..all.len())
                .step_by(2)
                .map(|number| find_owner_name(&nodes[number], &all, number, server, "elsewhere"))
                .collect();
            assert_eq!(owners.len(), 1, "{owners:?}");
            assert!(owners.iter().all(|owner| get_region(&all, owner) == region));
        }
    }
}

#[test]
fn in_one_region_the_owner_of_a_load_is_the_owner_of_the_key() {
    let all = make_entries(&["a", "b"]);
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
    let all = make_entries(&["a", "b"]);
    assert_eq!(make_members(&all, 0).count_own_region(), 30);
    let mut alone = Members::new(0, all[0].clone(), &[]);
    alone.merge_list(0, all, true);
    assert_eq!(alone.count_own_region(), 60);
}

#[test]
fn every_aggregator_of_an_unheard_region_gets_a_summary_in_turn() {
    // Two data centres in each region with two aggregators each.
    let all: Vec<Entry> = make_entries(&["a", "b"])
        .into_iter()
        .enumerate()
        .map(|(number, entry)| Entry {
            data_centre: format!("{}-{}", &entry.data_centre[..1], number / 2 % 2),
            ..entry
        })
        .collect();
    let members = make_members(&all, 0);
    let picked: BTreeSet<SocketAddr> =
        (1..=8).flat_map(|turn| members.pick_carriers(0, turn)).collect();
    assert_eq!(picked.len(), 4, "{picked:?}");
}
