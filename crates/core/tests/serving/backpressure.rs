//! Limits that servers name, over nodes that start, part and end.

use fastrand::Rng;
use keeljunction_core::serving::backpressure::{
    Decision, InstanceKey, Observation, Signal, Tracker,
};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::quota::Reachability;

use crate::support::server as make_server_in;

/// The span in which the requests of a server with a limit are counted, in milliseconds.
const SPAN: u64 = 4_000;
/// How long a node sends nothing to a server that it got no decision about, in milliseconds.
const UNDECIDED_FOR: u64 = 200;
/// The most time that a permit takes from the node that asks to the owner and back, in milliseconds.
const WAY: u64 = 4;

/// Returns how many requests a server may get within [`SPAN`]: one and a half times what its limit
/// allows, and five.
fn get_allowed(limit: f64) -> usize {
    (limit * SPAN as f64 / 1_000.0 * 1.5) as usize + 5
}

fn make_server(id: &str) -> Server {
    make_server_in(id, "z1")
}

fn signal(rate_limit: Option<f64>) -> Signal {
    Signal { rate_limit, ..Signal::default() }
}

/// Nodes that all know of a limited server and send it as much as they may.
struct Cluster {
    nodes: Vec<Tracker>,
    server: Server,
    limit: f64,
    random: Rng,
    /// Requests a second at each node that would go to the server.
    demand: f64,
    /// When requests arrived at the server.
    arrivals: Vec<u64>,
}

/// Who owns the server, for nodes that hear each other.
#[derive(Clone, Copy)]
struct Part {
    /// The nodes, from the first to before the last.
    from: usize,
    to: usize,
    owner: usize,
    /// All nodes that may be serving, as this part knows it.
    all: usize,
}

impl Cluster {
    fn new(nodes: usize, limit: f64, demand: f64, seed: u64) -> Self {
        let server = make_server("s-1");
        let mut random = Rng::with_seed(seed);
        let known = (0..nodes).map(|_| {
            let mut known = Tracker::new(random.f64());
            known.record(0, 0, &server, &signal(Some(limit)));
            known
        });
        let nodes = known.collect();
        Self { nodes, server, limit, random, demand, arrivals: Vec::new() }
    }

    fn all(&self, owner: usize) -> Part {
        Part { from: 0, to: self.nodes.len(), owner, all: self.nodes.len() }
    }

    /// Plays some time, in steps of milliseconds.
    fn play(&mut self, from: u64, to: u64, parts: &[Part]) {
        for now in from..to {
            for part in parts {
                self.step(now, *part);
            }
        }
    }

    fn step(&mut self, now: u64, part: Part) {
        let count = part.to - part.from;
        let expected = self.demand * count as f64 / 1_000.0;
        let mut requests = expected.floor() as usize;
        requests += usize::from(self.random.f64() < expected.fract());
        for _ in 0..requests {
            let node = self.random.usize(part.from..part.to);
            self.send(now, node, part);
        }
    }

    fn send(&mut self, now: u64, node: usize, part: Part) {
        if self.nodes[node].get_wait(now, &self.server).is_some() {
            return;
        }
        let is_sent = match self.nodes[node].get_limit(now, &self.server) {
            None => true,
            Some(sighting) => {
                let heard = part.to - part.from;
                let reach = Reachability {
                    heard,
                    known: part.all,
                    report_delay: 200,
                    is_grouped: heard > 40,
                };
                let decision = self.nodes[part.owner].decide(now, &sighting, reach);
                let asking = &mut self.nodes[node];
                asking.apply_decision(now, sighting.key, decision, UNDECIDED_FOR)
            }
        };
        if is_sent {
            let at = now + self.random.u64(..WAY);
            self.arrivals.push(at);
            self.nodes[node].record(at, now, &self.server, &signal(Some(self.limit)));
        }
    }

    fn count_most(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let count = |from: &u64| {
            let within = self.arrivals.iter().filter(|at| **at >= *from && **at < from + SPAN);
            within.count()
        };
        self.arrivals.iter().map(count).max().unwrap_or(0)
    }
}

#[test]
fn a_limit_holds_over_any_number_of_nodes_and_is_used() {
    for nodes in [1, 8, 83, 300, 986] {
        for limit in [0.3, 2.0, 9.0, 40.0] {
            let demand = (3.0 * limit / nodes as f64).max(0.7);
            let mut cluster = Cluster::new(nodes, limit, demand, nodes as u64);
            let all = cluster.all(0);
            cluster.play(0, 12_000, &[all]);
            let (most, served) = (cluster.count_most(), cluster.arrivals.len() as f64 / 12.0);
            assert!(most <= get_allowed(limit), "{nodes} nodes, limit {limit}: {most}");
            assert!(served >= 0.8 * limit - 0.2, "{nodes} nodes, limit {limit}: {served} a second");
        }
    }
}

#[test]
fn a_limit_holds_while_owners_end_one_after_the_other() {
    for nodes in [8, 986] {
        for limit in [0.3, 2.0, 9.0, 40.0] {
            let demand = (3.0 * limit / nodes as f64).max(0.7);
            let mut cluster = Cluster::new(nodes, limit, demand, 7);
            for owner in 0..6 {
                let part = cluster.all(owner);
                let from = owner as u64 * 1_500;
                cluster.play(from, from + 1_500, &[part]);
            }
            let most = cluster.count_most();
            assert!(most <= get_allowed(limit), "{nodes} nodes, limit {limit}: {most}");
        }
    }
}

#[test]
fn two_owners_for_a_second_stay_within_what_is_allowed() {
    for nodes in [8, 300] {
        for limit in [0.3, 2.0, 9.0] {
            let demand = (3.0 * limit / nodes as f64).max(0.7);
            let mut cluster = Cluster::new(nodes, limit, demand, 11);
            let all = cluster.all(0);
            cluster.play(0, 6_000, &[all]);
            // Each half has an owner of its own before it counts the other one as out of reach.
            let halves = |all| {
                let middle = nodes / 2;
                [
                    Part { from: 0, to: middle, owner: 0, all },
                    Part { from: middle, to: nodes, owner: nodes - 1, all },
                ]
            };
            cluster.play(6_000, 7_000, &halves(nodes / 2));
            cluster.play(7_000, 14_000, &halves(nodes));
            let most = cluster.count_most();
            assert!(most <= get_allowed(limit), "{nodes} nodes, limit {limit}: {most}");
        }
    }
}

#[test]
fn nodes_that_hear_nobody_stay_within_the_limit_together() {
    for limit in [0.3, 2.0, 40.0] {
        let nodes = 300;
        let mut cluster = Cluster::new(nodes, limit, 1.0, 13);
        let alone = |node| Part { from: node, to: node + 1, owner: node, all: nodes };
        let parts: Vec<Part> = (0..nodes).map(alone).collect();
        cluster.play(0, 12_000, &parts);
        let most = cluster.count_most();
        assert!(most <= get_allowed(limit), "limit {limit}: {most}");
    }
}

#[test]
fn nodes_that_start_and_know_nothing_send_one_request_before_they_ask() {
    let mut cluster = Cluster::new(8, 2.0, 10.0, 3);
    for round in 0..4 {
        let node = round as usize + 1;
        cluster.nodes[node] = Tracker::default();
        let all = cluster.all(0);
        cluster.play(round * 2_000, (round + 1) * 2_000, &[all]);
    }
    let most = cluster.count_most();
    assert!(most <= get_allowed(2.0), "{most}");
}

#[test]
fn a_permit_that_is_returned_is_given_to_another_request() {
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
    // The bucket holds no more than two, however many are returned.
    (0..5).for_each(|_| owner.return_permit(key));
    assert_eq!(owner.decide(1_003, &seen, reach), Decision::Granted);
    assert_eq!(owner.decide(1_003, &seen, reach), Decision::Granted);
    assert_ne!(owner.decide(1_004, &seen, reach), Decision::Granted);
}

#[test]
fn an_answer_without_a_limit_ends_it_unless_its_request_is_older_than_the_limit() {
    let mut book = Tracker::default();
    let server = make_server("s-1");
    assert!(book.record(1_000, 900, &server, &signal(Some(2.0))).limit.is_some());
    assert_eq!(book.record(1_050, 950, &server, &signal(None)).limit, None);
    assert!(book.get_limit(1_050, &server).is_some());
    let ended = book.record(1_300, 1_100, &server, &signal(None)).limit.expect("news");
    assert_eq!(ended.rate, None);
    assert_eq!(book.get_limit(1_300, &server), None);
    // A late sighting of another node does not bring it back.
    let late = Observation { key: InstanceKey::of(&server), rate: Some(2.0), age: 500 };
    assert!(!book.merge(1_400, &late));
    assert_eq!(book.get_limit(1_400, &server), None);
    // The owner says so to a node that has not heard of it.
    let reach = Reachability { heard: 8, known: 8, report_delay: 200, is_grouped: false };
    assert_eq!(book.decide(1_500, &late, reach), Decision::Unlimited { age: 200 });
}

#[test]
fn what_a_start_of_a_server_said_does_not_hold_for_the_next_one() {
    let mut book = Tracker::default();
    let first = make_server("s-1");
    let next = Server { incarnation: first.incarnation + 1, ..first.clone() };
    book.record(0, 0, &first, &signal(Some(2.0)));
    assert!(book.get_limit(1, &first).is_some());
    assert_eq!(book.get_limit(1, &next), None);
    book.record(10, 5, &next, &signal(Some(3.0)));
    // A late answer of the first start changes nothing.
    assert_eq!(book.record(20, 15, &first, &signal(Some(1.0))).limit, None);
    assert_eq!(book.get_limit(20, &next).and_then(|known| known.rate), Some(3.0));
}

#[test]
fn a_limit_of_nothing_lets_a_request_through_now_and_then_that_shows_its_end() {
    let mut cluster = Cluster::new(8, 0.0, 5.0, 5);
    let all = cluster.all(0);
    cluster.play(0, 60_000, &[all]);
    let count = cluster.arrivals.len();
    assert!((4..=6).contains(&count), "{count} requests in a minute");
    assert!(cluster.count_most() <= 2);
}

#[test]
fn limits_are_passed_on_by_turns_and_forgotten_in_the_end() {
    let mut book = Tracker::default();
    let servers: Vec<Server> = (0..9).map(|number| make_server(&format!("s-{number}"))).collect();
    for server in &servers {
        book.record(0, 0, server, &signal(Some(2.0)));
    }
    let listed = |turn| -> Vec<u64> {
        book.get_gossip_batch(10, turn).iter().map(|sighting| sighting.key.server).collect()
    };
    let mut seen: Vec<u64> = (0..15).flat_map(listed).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 9);
    book.expire(599_999);
    assert_eq!(book.count_limited(), 9);
    book.expire(600_000);
    assert_eq!(book.count_limited(), 0);
}

fn back_off(time: u64) -> Signal {
    Signal { back_off: Some(time), ..Signal::default() }
}

#[test]
fn nothing_ends_a_back_off_early() {
    let mut book = Tracker::default();
    let server = make_server("s-1");
    assert_eq!(book.record(1_000, 990, &server, &back_off(3_000)).back_off_until, Some(4_000));
    assert_eq!(book.record(1_500, 1_400, &server, &back_off(1_000)).back_off_until, None);
    assert_eq!(book.record(1_600, 900, &server, &signal(None)).back_off_until, None);
    assert_eq!(book.get_wait(1_600, &server), Some(2_400));
    assert_eq!(book.count_in_back_off(3_999), 1);
    assert_eq!(book.get_wait(4_000, &server), None);
    // A later one may be longer.
    assert_eq!(
        book.record(3_900, 3_800, &server, &back_off(600_000)).back_off_until,
        Some(603_900)
    );
    assert_eq!(
        book.record(3_950, 3_800, &server, &back_off(u64::MAX)).back_off_until,
        Some(u64::MAX)
    );
    book.expire(700_000);
    assert_eq!(book.count_in_back_off(700_000), 1);
}

#[test]
fn a_back_off_ends_with_the_start_of_the_server_that_asked_for_it() {
    let mut book = Tracker::default();
    let first = make_server("s-1");
    let next = Server { incarnation: first.incarnation + 1, ..first.clone() };
    book.record(0, 0, &first, &back_off(3_000));
    assert_eq!(book.get_wait(1, &next), None);
    assert_eq!(book.record(10, 5, &next, &back_off(100)).back_off_until, Some(110));
    assert_eq!(book.record(20, 15, &first, &back_off(5_000)).back_off_until, None);
    assert_eq!(book.get_wait(20, &next), Some(90));
}

#[test]
fn the_longer_of_a_back_off_and_a_denied_permit_counts() {
    let mut book = Tracker::default();
    let server = make_server("s-1");
    let both = Signal { rate_limit: Some(1.0), back_off: Some(3_000), is_leaving: false };
    book.record(0, 0, &server, &both);
    let denied = Decision::Denied { retry_after: 500 };
    assert!(!book.apply_decision(0, InstanceKey::of(&server), denied, UNDECIDED_FOR));
    assert_eq!(book.get_wait(0, &server), Some(3_000));
    assert!(!book.apply_decision(2_800, InstanceKey::of(&server), denied, UNDECIDED_FOR));
    assert_eq!(book.get_wait(2_900, &server), Some(400));
}
