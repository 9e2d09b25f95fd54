//! Simulations of a whole cluster in one process: which nodes know which others after a start, and
//! after the loss of a data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::members::sample::{estimate_count, make_key};
use keeljunction_core::serving::members::{Entry, Heartbeat, Members, Role};

const PERIOD: u64 = 200;
const DATA_CENTRES: usize = 6;
/// The fraction of messages that is lost.
const LOSS_RATE: f64 = 0.02;
/// Nodes with wide links per data centre.
const WIDE_LINKS_PER_DATA_CENTRE: usize = 10;

fn entry(number: usize) -> Entry {
    Entry {
        name: format!("node-{number}"),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        data_centre: format!("z{}", number % DATA_CENTRES),
        link_mbps: if number < WIDE_LINKS_PER_DATA_CENTRE * DATA_CENTRES { 1_000 } else { 20 },
    }
}

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

/// The traffic of one period.
#[derive(Default)]
struct Sent {
    datagrams: BTreeMap<usize, usize>,
    /// Entries of nodes in responses to calls.
    entries_in_calls: usize,
}

struct Fleet {
    nodes: Vec<Members>,
    random: fastrand::Rng,
    turn: usize,
    now: u64,
    /// Nodes that are not running.
    stopped: BTreeSet<usize>,
}

impl Fleet {
    /// Starts all nodes at once; each reads the part of the list that exists by then.
    fn start(size: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(11);
        let nodes = (0..size).map(|number| {
            let mut members = Members::new(0, entry(number), &[]);
            let listed = (0..64).map(|_| entry(random.usize(..size))).collect();
            members.merge_list(0, listed, true);
            members
        });
        let nodes = nodes.collect();
        Self { nodes, random, turn: 0, now: 0, stopped: BTreeSet::new() }
    }

    /// Simulates one period.
    fn step(&mut self) -> Sent {
        self.now += PERIOD;
        self.turn += 1;
        let mut sent = Sent::default();
        for number in 0..self.nodes.len() {
            if !self.stopped.contains(&number) {
                self.nodes[number].refresh(self.now);
                let count = self.send(number, &mut sent);
                sent.datagrams.insert(number, count);
            }
        }
        sent
    }

    fn is_lost(&mut self, to: usize) -> bool {
        self.random.f64() < LOSS_RATE || self.stopped.contains(&to)
    }

    fn hear(&mut self, to: usize, from: usize, role: Role) {
        let entry = entry(from);
        let heard =
            Heartbeat { entry: &entry, incarnation: 1, is_stopping: false, role, holder_age: None };
        self.nodes[to].record_heartbeat(self.now, &heard);
    }

    /// Lets a node request the entries that its list lacks from another node.
    fn fetch_roster_delta(&mut self, number: usize, sent: &mut Sent) {
        let now = self.now;
        let Some((from, after)) = self.nodes[number].pick_roster_source(now) else { return };
        let source = number_of(from);
        if !self.is_lost(source) {
            let additions = self.nodes[source].get_roster_delta(now, after);
            sent.entries_in_calls += additions.entries.len();
            self.nodes[number].apply_roster_delta(now, from, &additions);
        }
    }

    /// Sends the messages of a node in a period; returns the number of datagrams.
    fn send(&mut self, number: usize, sent: &mut Sent) -> usize {
        let now = self.now;
        let name = entry(number).name;
        self.fetch_roster_delta(number, sent);
        let aggregator = self.nodes[number].get_own_aggregator().map(|entry| entry.address);
        if let Some(aggregator) = aggregator {
            let to = number_of(aggregator);
            if !self.is_lost(to) {
                self.hear(to, number, Role::Member);
            }
            return 1;
        }
        let node = &self.nodes[number];
        let (group, group_age) = node.get_group(now);
        let joined = node.list_gossip_entries(now, self.turn);
        let (overview, silent) = (node.get_overview(), node.list_silent());
        let exchange = node.list_exchange_peers(now);
        let members = node.get_group_addresses(now);
        let (roster, ranked) = (node.get_roster_summary(), node.list_aggregator_ids());
        for to in exchange.iter().map(|address| number_of(*address)) {
            if !self.is_lost(to) {
                self.hear(to, number, Role::Aggregator);
                self.nodes[to].merge_entries(now, &joined);
                self.nodes[to].record_roster_summary(&name, roster);
                self.nodes[to].record_group(now, &name, group.clone(), group_age);
            }
        }
        for to in members.iter().map(|address| number_of(*address)) {
            if !self.is_lost(to) {
                self.hear(to, number, Role::Aggregator);
                self.nodes[to].record_roster_summary(&name, roster);
                self.nodes[to].apply_overview(now, &name, overview, &silent);
                self.nodes[to].follow_aggregators(&name, ranked.clone());
            }
        }
        exchange.len() + members.len()
    }

    /// Returns the smallest number of nodes that an aggregator knows, and that any node knows.
    fn count_known(&self) -> (usize, usize) {
        let there = || self.nodes.iter().enumerate().filter(|(n, _)| !self.stopped.contains(n));
        let known = |node: &Members| node.get_overview().known;
        let aggregators = there().filter(|(_, node)| node.is_aggregator());
        let least = aggregators.map(|(_, node)| known(node)).min().unwrap_or(0);
        (least, there().map(|(_, node)| known(node)).min().unwrap_or(0))
    }

    fn run_until(&mut self, end: u64) -> Vec<Sent> {
        let mut sent = Vec::new();
        while self.now < end {
            sent.push(self.step());
        }
        sent
    }

    /// Finds the owners of some keys according to all running nodes.
    fn find_owners(&self) -> Vec<BTreeSet<usize>> {
        let there = || self.nodes.iter().enumerate().filter(|(n, _)| !self.stopped.contains(n));
        let owners =
            |key: u64| there().map(|(n, node)| node.find_owner(key).map_or(n, number_of)).collect();
        (0..10).map(|key| owners(short_id(&format!("account-{key}")))).collect()
    }
}

/// Guards against incomplete lists in groups: a message lists only a few new nodes, and the nodes
/// of a group hear one aggregator only. Each of 986 nodes knew only 781 others or more after 20 s,
/// and a key had up to six owners.
#[test]
fn all_nodes_find_the_same_owners_soon_after_a_common_start() {
    for size in [300, 1_000] {
        let mut fleet = Fleet::start(size);
        fleet.run_until(5_000);
        let owners = fleet.find_owners();
        assert!(owners.iter().all(|owners| owners.len() == 1), "{owners:?} of {size}");
        fleet.run_until(10_000);
        assert_eq!(fleet.count_known(), (size, size));
        let sent = fleet.step();
        assert!(sent.entries_in_calls <= size / 10, "{} of {size}", sent.entries_in_calls);
    }
}

/// Guards against a slow replacement after the loss of a data centre: nodes of the lost data centre
/// replaced its silent aggregators, a few every two seconds, and the owners of a sixth of all keys
/// were missing for a minute.
#[test]
fn owners_are_running_soon_after_the_loss_of_a_data_centre() {
    let size = 600;
    let mut fleet = Fleet::start(size);
    let before = fleet.run_until(10_000).pop().expect("a period");
    fleet.stopped = (0..size).filter(|number| number % DATA_CENTRES == 0).collect();
    fleet.run_until(17_000);
    let owners: BTreeSet<usize> = fleet.find_owners().into_iter().flatten().collect();
    assert!(owners.is_disjoint(&fleet.stopped), "{owners:?}");
    let most = |sent: &Sent| sent.datagrams.values().copied().max();
    let after = fleet.step();
    assert!(most(&after) <= most(&before).map(|most| most * 5 / 4), "{:?}", most(&after));
}

#[test]
fn a_sample_of_the_list_shows_how_many_nodes_there_are() {
    for size in [600, 1_000, 2_000, 10_000] {
        let mut keys: Vec<String> = (0..size).map(|number| make_key(&entry(number).name)).collect();
        keys.sort_unstable();
        let estimated = estimate_count(&keys[499], 500);
        assert!((size * 4 / 5..size * 5 / 4).contains(&estimated), "{estimated} of {size}");
    }
}

/// Guards against a node that has just started, knows part of the list, and takes its share of a
/// limit as if there were only these nodes.
#[test]
fn a_node_with_a_sample_assumes_that_all_nodes_serve() {
    let mut members = Members::new(0, entry(0), &[]);
    members.merge_sample(100, (1..128).map(entry).collect(), 986, true);
    assert_eq!(
        (members.get_reachability(200).heard, members.get_reachability(200).known),
        (1, 986)
    );
    members.refresh(10_200);
    assert_eq!(members.get_reachability(10_200).known, 128);
    // Once most nodes are known, the known ones count, because the estimate is not exact.
    members.merge_sample(20_000, (1..128).map(entry).collect(), 150, true);
    assert_eq!(members.get_reachability(20_000).known, 128);
}
