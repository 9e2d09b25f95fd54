//! Which nodes aggregate the reports of others.
//!
//! Every node computes the same order from the same list: within each data centre the nodes with
//! the widest links come first, and those with equal links in rendezvous order. The first few of
//! each data centre are aggregators; every other node reports to one of those of its data centre.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::entry::Entry;
use crate::rendezvous;
use crate::serving::topology::Topology;

/// Up to this many nodes, all report to each other and there are no groups: 40 digests in 200 ms
/// were what a link of 10 Mbit/s bore in the measurements (docs/MEASUREMENTS.md).
const MOST_UNGROUPED: usize = 40;
const AGGREGATORS_KEY: &str = "aggregators";
const CARRIERS_KEY: &str = "carriers";

/// Returns `true` if so many nodes report in groups.
pub(super) fn is_grouped(nodes: usize) -> bool {
    nodes > MOST_UNGROUPED
}

/// Returns how many nodes report to one aggregator: with about as many aggregators as nodes in a
/// group, an aggregator exchanges the fewest messages.
fn get_group_size(nodes: usize) -> usize {
    (nodes as f64).sqrt().ceil() as usize
}

/// Lists the aggregators of all data centres, each data centre's first ones first.
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
        first_by_link(AGGREGATORS_KEY, members, count)
    };
    data_centres.into_values().flat_map(first).collect()
}

/// Orders nodes by their links, the widest first, and in rendezvous order of a key beyond that.
pub(super) fn order_by_link<'a>(key: &str, nodes: Vec<&'a Entry>) -> Vec<&'a Entry> {
    let count = nodes.len();
    first_by_link(key, nodes, count)
}

/// Returns the first nodes of that order.
///
/// The order is computed again whenever a node joins, so that only the first are sorted, by keys that
/// are computed once.
fn first_by_link<'a>(key: &str, nodes: Vec<&'a Entry>, count: usize) -> Vec<&'a Entry> {
    let weigh = rendezvous::make_weight_fn(key);
    let place = |node: &'a Entry| (Reverse((node.link_mbps, weigh(&node.name), &node.name)), node);
    let mut placed: Vec<_> = nodes.into_iter().map(place).collect();
    if count < placed.len() {
        placed.select_nth_unstable_by(count, |one, other| one.0.cmp(&other.0));
        placed.truncate(count);
    }
    placed.sort_unstable_by(|one, other| one.0.cmp(&other.0));
    placed.into_iter().map(|(_, node)| node).collect()
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

/// Lists the aggregators of each other region, by name, in the order in which they carry.
pub(super) fn list_far<'a>(
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

/// Picks the aggregator that a node reports to: one of its own data centre, where there is one, or
/// of its own region.
pub(super) fn pick_aggregator<'a>(
    own: &Entry,
    topology: &Topology,
    aggregators: &[&'a Entry],
) -> Option<&'a Entry> {
    let only = |is_near: &dyn Fn(&Entry) -> bool| -> Vec<&'a Entry> {
        aggregators.iter().filter(|entry| is_near(entry)).copied().collect()
    };
    let beside = only(&|entry| entry.data_centre == own.data_centre);
    let near = only(&|entry| topology.is_local(&entry.data_centre));
    let all = aggregators.to_vec();
    let among = [beside, near, all].into_iter().find(|entries| !entries.is_empty())?;
    let owner = rendezvous::owner(&own.name, among.iter().map(|entry| entry.name.as_str()))?;
    among.into_iter().find(|entry| entry.name == owner)
}
