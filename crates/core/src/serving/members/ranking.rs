//! Which nodes aggregate the reports of others.
//!
//! Every node computes the same order from the same list: within each data centre, nodes are
//! ordered by link bandwidth, widest first, and nodes with equal bandwidth by rendezvous hashing.
//! The first few nodes of each data centre are aggregators. Every other node reports to an
//! aggregator of its data centre.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::entry::Entry;
use crate::rendezvous;
use crate::serving::topology::Topology;

/// The largest number of nodes that report to each other directly, without groups.
///
/// A link of 10 Mbit/s carried 40 digests per 200 ms in the measurements (docs/MEASUREMENTS.md).
const MAX_UNGROUPED_NODES: usize = 40;
const AGGREGATORS_KEY: &str = "aggregators";
const CARRIERS_KEY: &str = "carriers";

/// Returns `true` if this number of nodes reports in groups.
pub(super) fn is_grouped(nodes: usize) -> bool {
    nodes > MAX_UNGROUPED_NODES
}

/// Returns how many nodes report to one aggregator.
///
/// An aggregator exchanges the fewest messages if there are about as many aggregators as nodes in a
/// group.
fn get_group_size(nodes: usize) -> usize {
    (nodes as f64).sqrt().ceil() as usize
}

/// Lists the aggregators of all data centres, in rank order within each data centre.
pub(super) fn list_aggregators<'a>(nodes: &[&'a Entry]) -> Vec<&'a Entry> {
    if !is_grouped(nodes.len()) {
        return nodes.to_vec();
    }
    let size = get_group_size(nodes.len());
    let mut data_centres: BTreeMap<&str, Vec<&'a Entry>> = BTreeMap::new();
    for node in nodes {
        data_centres.entry(&node.data_centre).or_default().push(node);
    }
    let first = |members: Vec<&'a Entry>| {
        let count = members.len().div_ceil(size);
        take_first_by_link(AGGREGATORS_KEY, members, count)
    };
    data_centres.into_values().flat_map(first).collect()
}

/// Orders nodes by link bandwidth, widest first, and nodes with equal bandwidth by rendezvous
/// hashing of a key.
pub(super) fn order_by_link<'a>(key: &str, nodes: Vec<&'a Entry>) -> Vec<&'a Entry> {
    let count = nodes.len();
    take_first_by_link(key, nodes, count)
}

/// Returns the first nodes of that order.
///
/// The order is recomputed whenever a node joins, so only the first nodes are sorted, by sort keys
/// that are computed once.
fn take_first_by_link<'a>(key: &str, nodes: Vec<&'a Entry>, count: usize) -> Vec<&'a Entry> {
    let get_weight = rendezvous::make_weight_fn(key);
    let sort_key =
        |node: &'a Entry| (Reverse((node.link_mbps, get_weight(&node.name), &node.name)), node);
    let mut keyed: Vec<_> = nodes.into_iter().map(sort_key).collect();
    if count < keyed.len() {
        keyed.select_nth_unstable_by(count, |one, other| one.0.cmp(&other.0));
        keyed.truncate(count);
    }
    keyed.sort_unstable_by(|one, other| one.0.cmp(&other.0));
    keyed.into_iter().map(|(_, node)| node).collect()
}

/// Lists the names of the aggregators of each region.
pub(super) fn group_by_region(
    topology: &Topology,
    aggregators: &[&Entry],
) -> BTreeMap<String, Vec<String>> {
    let mut regions: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for entry in aggregators {
        if let Some(region) = topology.get_region(&entry.data_centre) {
            regions.entry(region.to_owned()).or_default().push(entry.name.clone());
        }
    }
    regions
}

/// Lists the aggregators of each other region, by name, in the order in which they serve as
/// carriers.
pub(super) fn list_remote_aggregators<'a>(
    topology: &'a Topology,
    aggregators: &[&'a Entry],
) -> BTreeMap<String, Vec<String>> {
    let mut regions: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in aggregators.iter().filter(|entry| !topology.is_local(&entry.data_centre)) {
        let region = topology.get_region(&entry.data_centre).unwrap_or_default();
        regions.entry(region).or_default().push(entry);
    }
    let order = |entries| {
        let ordered = order_by_link(CARRIERS_KEY, entries);
        ordered.into_iter().map(|entry| entry.name.clone()).collect()
    };
    regions.into_iter().map(|(region, entries)| (region.to_owned(), order(entries))).collect()
}

/// Picks the aggregator that a node reports to: one of its own data centre if possible, else one of
/// its own region.
pub(super) fn pick_aggregator<'a>(
    own: &Entry,
    topology: &Topology,
    aggregators: &[&'a Entry],
) -> Option<&'a Entry> {
    let only = |is_local: &dyn Fn(&Entry) -> bool| -> Vec<&'a Entry> {
        aggregators.iter().filter(|entry| is_local(entry)).copied().collect()
    };
    let same_data_centre = only(&|entry| entry.data_centre == own.data_centre);
    let local = only(&|entry| topology.is_local(&entry.data_centre));
    let all = aggregators.to_vec();
    let candidates =
        [same_data_centre, local, all].into_iter().find(|entries| !entries.is_empty())?;
    let owner = rendezvous::owner(&own.name, candidates.iter().map(|entry| entry.name.as_str()))?;
    candidates.into_iter().find(|entry| entry.name == owner)
}
