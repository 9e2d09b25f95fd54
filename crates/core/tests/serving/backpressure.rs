//! Rate limits of servers, with nodes that start, stop and are partitioned.

use fastrand::Rng;
use keeljunction_core::serving::backpressure::{
    Decision, InstanceKey, Observation, Signal, Tracker,
};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::quota::Reachability;

use crate::support::server as make_server_in;

/// The window in which the requests to a rate-limited server are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// How long a node sends nothing to a server without a decision of its owner, in milliseconds.
const UNDECIDED_PERIOD_MS: u64 = 200;
/// The longest round trip of a permit request, in milliseconds.
const MAX_ROUND_TRIP_MS: u64 = 4;

/// Returns how many requests a server may get within [`WINDOW_MS`]: one and a half times its limit,
/// and five more.
fn get_max_requests(limit: f64) -> usize {
    (limit * WINDOW_MS as f64 / 1_000.0 * 1.5) as usize + 5
}

fn make_server(id: &str) -> Server {
    make_server_in(id, "z1")
}

fn signal(rate_limit: Option<f64>) -> Signal {
    Signal { rate_limit, ..Signal::default() }
}

/// Nodes that all know a rate-limited server and send it as many requests as they may.
struct Cluster {
    nodes: Vec<Tracker>,
    server: Server,
    limit: f64,
    random: Rng,
    /// Requests per second at each node that would go to the server.
    demand: f64,
    /// When requests arrived at the server.
    arrivals: Vec<u64>,
}

/// Nodes that hear each other, and the owner of the server among them.
#[derive(Clone, Copy)]
struct Partition {
    /// The range of the nodes; `to` is exclusive.
    from: usize,
    to: usize,
    owner: usize,
    /// All nodes that may be serving, as known in this partition.
    known: usize,
}

impl Cluster {
    fn new(nodes: usize, limit: f64, demand: f64, seed: u64) -> Self {
        let server = make_server("s-1");
        let mut random = Rng::with_seed(seed);
        let known = (0..nodes).map(|_| {
            let mut known = Tracker::new(random.f64(), random.u64(..));
            known.record(0, 0, &server, &signal(Some(limit)));
            known
        });
        let nodes = known.collect();
        Self { nodes, server, limit, random, demand, arrivals: Vec::new() }
    }

    fn known(&self, owner: usize) -> Partition {
        Partition { from: 0, to: self.nodes.len(), owner, known: self.nodes.len() }
    }

    /// Runs the cluster in steps of one millisecond.
    fn run(&mut self, from: u64, to: u64, partitions: &[Partition]) {
        for now in from..to {
            for partition in partitions {
                self.step(now, *partition);
            }
        }
    }

    fn step(&mut self, now: u64, partition: Partition) {
        let count = partition.to - partition.from;
        let expected = self.demand * count as f64 / 1_000.0;
        let mut requests = expected.floor() as usize;
        requests += usize::from(self.random.f64() < expected.fract());
        for _ in 0..requests {
            let node = self.random.usize(partition.from..partition.to);
            self.send(now, node, partition);
        }
    }

    fn send(&mut self, now: u64, node: usize, partition: Partition) {
        if self.nodes[node].get_wait(now, &self.server).is_some() {
            return;
        }
        let is_sent = match self.nodes[node].get_limit(now, &self.server) {
            None => true,
            Some(observation) => {
                let heard = partition.to - partition.from;
                let reach = Reachability {
                    heard,
                    known: partition.known,
                    report_delay: 200,
                    is_grouped: heard > 40,
                };
                let decision = self.nodes[partition.owner].decide(now, &observation, reach);
                let requester = &mut self.nodes[node];
                requester.apply_decision(now, observation.key, decision, UNDECIDED_PERIOD_MS)
            }
        };
        if is_sent {
            let at = now + self.random.u64(..MAX_ROUND_TRIP_MS);
            self.arrivals.push(at);
            self.nodes[node].record(at, now, &self.server, &signal(Some(self.limit)));
        }
    }

    fn count_max(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let count = |from: &u64| {
            let within = self.arrivals.iter().filter(|at| **at >= *from && **at < from + WINDOW_MS);
            within.count()
        };
        self.arrivals.iter().map(count).max().unwrap_or(0)
    }
}

#[test]
fn a_limit_holds_and_is_used_with_any_number_of_nodes() {
    for nodes in [1, 8, 83, 300, 986] {
        for limit in [0.3, 2.0, 9.0, 40.0] {
            let demand = (3.0 * limit / nodes as f64).max(0.7);
            let mut cluster = Cluster::new(nodes, limit, demand, nodes as u64);
            let known = cluster.known(0);
            cluster.run(0, 12_000, &[known]);
            let (most, served) = (cluster.count_max(), cluster.arrivals.len() as f64 / 12.0);
            assert!(most <= get_max_requests(limit), "{nodes} nodes, limit {limit}: {most}");
            assert!(served >= 0.8 * limit - 0.2, "{nodes} nodes, limit {limit}: {served} a second");
        }
    }
}

#[test]
fn a_limit_holds_while_owners_stop_one_after_the_other() {
    for nodes in [8, 986] {
        for limit in [0.3, 2.0, 9.0, 40.0] {
            let demand = (3.0 * limit / nodes as f64).max(0.7);
            let mut cluster = Cluster::new(nodes, limit, demand, 7);
            for owner in 0..6 {
                let partition = cluster.known(owner);
                let from = owner as u64 * 1_500;
                cluster.run(from, from + 1_500, &[partition]);
            }
            let most = cluster.count_max();
            assert!(most <= get_max_requests(limit), "{nodes} nodes, limit {limit}: {most}");
        }
    }
}

#[test]
fn two_owners_for_a_second_stay_within_the_limit() {
    for nodes in [8, 300] {
        for limit in [0.3, 2.0, 9.0] {
            let demand = (3.0 * limit / nodes as f64).max(0.7);
            let mut cluster = Cluster::new(nodes, limit, demand, 11);
            let known = cluster.known(0);
            cluster.run(0, 6_000, &[known]);
            // Each half has its own owner before it counts the other half as unreachable.
            let halves = |known| {
                let middle = nodes / 2;
                [
                    Partition { from: 0, to: middle, owner: 0, known },
                    Partition { from: middle, to: nodes, owner: nodes - 1, known },
                ]
            };
            cluster.run(6_000, 7_000, &halves(nodes / 2));
            cluster.run(7_000, 14_000, &halves(nodes));
            let most = cluster.count_max();
            assert!(most <= get_max_requests(limit), "{nodes} nodes, limit {limit}: {most}");
        }
    }
}

#[test]
fn isolated_nodes_stay_within_the_limit_together() {
    for limit in [0.3, 2.0, 40.0] {
        let nodes = 300;
        let mut cluster = Cluster::new(nodes, limit, 1.0, 13);
        let alone = |node| Partition { from: node, to: node + 1, owner: node, known: nodes };
        let partitions: Vec<Partition> = (0..nodes).map(alone).collect();
        cluster.run(0, 12_000, &partitions);
        let most = cluster.count_max();
        assert!(most <= get_max_requests(limit), "limit {limit}: {most}");
    }
}

#[test]
fn restarted_nodes_stay_within_the_limit() {
    let mut cluster = Cluster::new(8, 2.0, 10.0, 3);
    for round in 0..4 {
        let node = round as usize + 1;
        cluster.nodes[node] = Tracker::default();
        let known = cluster.known(0);
        cluster.run(round * 2_000, (round + 1) * 2_000, &[known]);
    }
    let most = cluster.count_max();
    assert!(most <= get_max_requests(2.0), "{most}");
}

#[test]
fn a_returned_permit_is_granted_to_another_request() {
    let mut owner = Tracker::default();
    let server = make_server("s-1");
    let key = InstanceKey::of(&server);
    owner.record(0, 0, &server, &signal(Some(1.0)));
    let seen = Observation { key, rate: Some(1.0), age: 0 };
    let reach = Reachability { heard: 1, known: 1, report_delay: 200, is_grouped: false };
    assert_eq!(owner.decide(0, &seen, reach), Decision::Denied { retry_after: 1_005 });
    assert_eq!(owner.decide(1_000, &seen, reach), Decision::Granted);
    owner.return_permit(key);
    assert_eq!(owner.decide(1_001, &seen, reach), Decision::Granted);
    assert_ne!(owner.decide(1_002, &seen, reach), Decision::Granted);
    // The bucket holds at most two permits, however many are returned.
    (0..5).for_each(|_| owner.return_permit(key));
    assert_eq!(owner.decide(1_003, &seen, reach), Decision::Granted);
    assert_eq!(owner.decide(1_003, &seen, reach), Decision::Granted);
    assert_ne!(owner.decide(1_004, &seen, reach), Decision::Granted);
}

#[test]
fn a_response_without_a_limit_ends_it_unless_its_request_is_older_than_the_limit() {
    let mut tracker = Tracker::default();
    let server = make_server("s-1");
    assert!(tracker.record(1_000, 900, &server, &signal(Some(2.0))).limit.is_some());
    assert_eq!(tracker.record(1_050, 950, &server, &signal(None)).limit, None);
    assert!(tracker.get_limit(1_050, &server).is_some());
    let ended = tracker.record(1_300, 1_100, &server, &signal(None)).limit.expect("news");
    assert_eq!(ended.rate, None);
    assert_eq!(tracker.get_limit(1_300, &server), None);
    // A late observation of another node does not restore the limit.
    let late = Observation { key: InstanceKey::of(&server), rate: Some(2.0), age: 500 };
    assert!(!tracker.merge(1_400, &late));
    assert_eq!(tracker.get_limit(1_400, &server), None);
    // The owner tells a node that has not learned of it.
    let reach = Reachability { heard: 8, known: 8, report_delay: 200, is_grouped: false };
    assert_eq!(tracker.decide(1_500, &late, reach), Decision::Unlimited { age: 200 });
}

#[test]
fn a_limit_does_not_apply_to_the_next_incarnation() {
    let mut tracker = Tracker::default();
    let first = make_server("s-1");
    let next = Server { incarnation: first.incarnation + 1, ..first.clone() };
    tracker.record(0, 0, &first, &signal(Some(2.0)));
    assert!(tracker.get_limit(1, &first).is_some());
    assert_eq!(tracker.get_limit(1, &next), None);
    tracker.record(10, 5, &next, &signal(Some(3.0)));
    // A late response of the first incarnation changes nothing.
    assert_eq!(tracker.record(20, 15, &first, &signal(Some(1.0))).limit, None);
    assert_eq!(tracker.get_limit(20, &next).and_then(|known| known.rate), Some(3.0));
}

#[test]
fn a_limit_of_zero_lets_occasional_requests_through_to_detect_its_end() {
    let mut cluster = Cluster::new(8, 0.0, 5.0, 5);
    let known = cluster.known(0);
    cluster.run(0, 60_000, &[known]);
    let count = cluster.arrivals.len();
    assert!((4..=6).contains(&count), "{count} requests in a minute");
    assert!(cluster.count_max() <= 2);
}

#[test]
fn limits_are_gossiped_in_turn_and_expire() {
    let mut tracker = Tracker::default();
    let servers: Vec<Server> = (0..9).map(|number| make_server(&format!("s-{number}"))).collect();
    for server in &servers {
        tracker.record(0, 0, server, &signal(Some(2.0)));
    }
    let listed = |turn| -> Vec<u64> {
        tracker
            .get_gossip_batch(10, turn)
            .iter()
            .map(|observation| observation.key.server)
            .collect()
    };
    let mut seen: Vec<u64> = (0..15).flat_map(listed).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 9);
    tracker.expire(599_999);
    assert_eq!(tracker.count_limited(), 9);
    tracker.expire(600_000);
    assert_eq!(tracker.count_limited(), 0);
}

fn back_off(time: u64) -> Signal {
    Signal { back_off: Some(time), ..Signal::default() }
}

#[test]
fn nothing_ends_a_back_off_early() {
    let mut tracker = Tracker::default();
    let server = make_server("s-1");
    assert_eq!(tracker.record(1_000, 990, &server, &back_off(3_000)).back_off_until, Some(4_000));
    assert_eq!(tracker.record(1_500, 1_400, &server, &back_off(1_000)).back_off_until, None);
    assert_eq!(tracker.record(1_600, 900, &server, &signal(None)).back_off_until, None);
    assert_eq!(tracker.get_wait(1_600, &server), Some(2_400));
    assert_eq!(tracker.count_in_back_off(3_999), 1);
    assert_eq!(tracker.get_wait(4_000, &server), None);
    // A later back-off may be longer.
    assert_eq!(
        tracker.record(3_900, 3_800, &server, &back_off(600_000)).back_off_until,
        Some(603_900)
    );
    assert_eq!(
        tracker.record(3_950, 3_800, &server, &back_off(u64::MAX)).back_off_until,
        Some(u64::MAX)
    );
    tracker.expire(700_000);
    assert_eq!(tracker.count_in_back_off(700_000), 1);
}

#[test]
fn a_back_off_ends_with_the_incarnation_that_requested_it() {
    let mut tracker = Tracker::default();
    let first = make_server("s-1");
    let next = Server { incarnation: first.incarnation + 1, ..first.clone() };
    tracker.record(0, 0, &first, &back_off(3_000));
    assert_eq!(tracker.get_wait(1, &next), None);
    assert_eq!(tracker.record(10, 5, &next, &back_off(100)).back_off_until, Some(110));
    assert_eq!(tracker.record(20, 15, &first, &back_off(5_000)).back_off_until, None);
    assert_eq!(tracker.get_wait(20, &next), Some(90));
}

#[test]
fn the_longer_of_a_back_off_and_a_denial_applies() {
    let mut tracker = Tracker::default();
    let server = make_server("s-1");
    let both = Signal { rate_limit: Some(1.0), back_off: Some(3_000), ..Signal::default() };
    tracker.record(0, 0, &server, &both);
    let denied = Decision::Denied { retry_after: 500 };
    assert!(!tracker.apply_decision(0, InstanceKey::of(&server), denied, UNDECIDED_PERIOD_MS));
    assert_eq!(tracker.get_wait(0, &server), Some(3_000));
    assert!(!tracker.apply_decision(2_800, InstanceKey::of(&server), denied, UNDECIDED_PERIOD_MS));
    assert_eq!(tracker.get_wait(2_900, &server), Some(400));
}
