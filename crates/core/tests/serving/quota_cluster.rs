//! Property tests: all nodes together stay within a client account's limit while nodes restart, are
//! partitioned, and lose reports.

use std::collections::HashMap;

use keeljunction_core::serving::quota::{Decision, Limit, Quotas, Reachability, Source, Tolerance};
use proptest::prelude::*;

use crate::owner::apply_decision;

const LIMIT: Limit = Limit { rate_per_second: 500_000.0, burst: 500_000.0 };
/// An account of which most nodes receive less than one request per second; the tolerated slack is
/// several seconds of its rate.
const SMALL: Limit = Limit { rate_per_second: 36_000.0, burst: 36_000.0 };
const TOLERANCE: Tolerance = Tolerance { window_seconds: 8.0, overshoot: 0.1, slack: 140_000.0 };
const PERIOD: u64 = 200;
/// A peer that was heard within this time counts as heard.
const HEARD_TIMEOUT: u64 = 1_000;
const STEP: u64 = 10;
const END: u64 = 24_000;
/// Request sizes in tokens.
const SIZES: [u64; 6] = [800, 800, 2_400, 2_400, 12_000, 30_000];
const MEAN_SIZE: f64 = 8_066.0;

/// The faults and the load of a cluster.
#[derive(Clone, Debug)]
struct Scenario {
    limit: Limit,
    nodes: usize,
    /// The requested multiple of the rate.
    pressure: f64,
    /// When all nodes stop; each starts again after [`Scenario::down`].
    all_stop_at: Vec<u64>,
    /// When one node stops, and which.
    one_stops_at: Vec<(u64, usize)>,
    down: u64,
    /// When a node is partitioned from all others, which, and for how long.
    partitions: Vec<(u64, usize, u64)>,
    /// The fraction of reports and questions that is lost.
    loss_rate: f64,
    /// Whether nodes ask the owner of the client account near its limit.
    is_owner_asked: bool,
    seed: u64,
}

struct Node {
    quotas: Quotas,
    incarnation: u64,
    started_at: u64,
    heard: HashMap<usize, u64>,
}

impl Node {
    fn start(now: u64, incarnation: u64) -> Self {
        let quotas = Quotas::new(now, TOLERANCE);
        Self { quotas, incarnation, started_at: now, heard: HashMap::new() }
    }

    fn is_heard(&self, now: u64, peer: usize) -> bool {
        self.heard.get(&peer).is_some_and(|at| now < at + HEARD_TIMEOUT)
    }

    fn get_reachability(&self, now: u64, known: usize) -> Reachability {
        let heard = 1 + (0..known).filter(|peer| self.is_heard(now, *peer)).count();
        Reachability { heard, known, report_delay: PERIOD, is_grouped: false }
    }

    /// Returns the node that this one, given by its number, considers the owner: the first that it
    /// hears, or may hear soon.
    fn get_owner(&self, now: u64, own: usize) -> usize {
        let is_new = now < self.started_at + HEARD_TIMEOUT;
        (0..own).find(|peer| is_new || self.is_heard(now, *peer)).unwrap_or(own)
    }
}

impl Scenario {
    fn is_partitioned(&self, node: usize, now: u64) -> bool {
        self.partitions
            .iter()
            .any(|(at, who, span)| *who == node && (*at..at + span).contains(&now))
    }

    fn is_stopped(&self, node: usize, now: u64) -> bool {
        let alone = self.one_stops_at.iter().any(|(at, who)| *who == node && *at == now);
        alone || self.all_stop_at.contains(&now)
    }

    /// Returns the admitted units by time.
    fn simulate(&self) -> Vec<(u64, u64)> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut nodes: Vec<Node> = (0..self.nodes).map(|_| Node::start(0, 0)).collect();
        let mut admitted = Vec::new();
        let mut due_requests = 0.0;
        for now in (STEP..END).step_by(STEP as usize) {
            for (index, node) in nodes.iter_mut().enumerate() {
                if self.is_stopped(index, now) {
                    *node = Node::start(now + self.down, node.incarnation + 1);
                }
            }
            due_requests +=
                self.pressure * self.limit.rate_per_second * STEP as f64 / 1_000.0 / MEAN_SIZE;
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                let size = SIZES[random.usize(..SIZES.len())];
                let number = random.usize(..self.nodes);
                if now < nodes[number].started_at {
                    continue;
                }
                if self.is_admitted(&mut nodes, number, now, size, &mut random) {
                    admitted.push((now, size));
                }
            }
            for from in 0..self.nodes {
                if (now + from as u64 * 30) % PERIOD < STEP && now >= nodes[from].started_at {
                    self.send_report(&mut nodes, from, now, &mut random);
                }
            }
        }
        admitted
    }

    /// Decides about a request that a node received.
    fn is_admitted(
        &self,
        nodes: &mut [Node],
        number: usize,
        now: u64,
        size: u64,
        random: &mut fastrand::Rng,
    ) -> bool {
        let node = &mut nodes[number];
        let reach = node.get_reachability(now, self.nodes);
        if !self.is_owner_asked {
            return node.quotas.consume(now, "acme", size, self.limit, reach).is_ok();
        }
        if node.quotas.consume_above_low_water(now, "acme", size, self.limit, reach) {
            return true;
        }
        let owner = node.get_owner(now, number);
        let is_partitioned = owner != number
            && (self.is_partitioned(owner, now) || self.is_partitioned(number, now));
        let is_lost = owner != number && random.f64() < self.loss_rate;
        let is_answered_in_vain = owner != number && random.f64() < self.loss_rate;
        let asked = &mut nodes[owner];
        let is_reached = !is_partitioned && !is_lost && now >= asked.started_at;
        let mut decision = Decision::Undecided;
        if is_reached && asked.get_owner(now, owner) == owner {
            let reach = asked.get_reachability(now, self.nodes);
            decision = asked.quotas.decide(now, "acme", size, self.limit, reach);
        }
        if is_answered_in_vain {
            decision = Decision::Undecided;
        }
        let quotas = &mut nodes[number].quotas;
        apply_decision(quotas, decision, now, size, self.limit, reach)
    }

    fn send_report(&self, nodes: &mut [Node], from: usize, now: u64, random: &mut fastrand::Rng) {
        let incarnation = nodes[from].incarnation;
        let report = nodes[from].quotas.report(now);
        for to in (0..nodes.len()).filter(|to| *to != from) {
            let is_lost = random.f64() < self.loss_rate;
            let is_partitioned = self.is_partitioned(from, now) || self.is_partitioned(to, now);
            let node = &mut nodes[to];
            if is_lost || is_partitioned || now < node.started_at {
                continue;
            }
            node.heard.insert(from, now);
            node.quotas.merge(now, Source::Peer, (&format!("n-{from}"), incarnation), &report);
        }
    }

    /// Returns the most units admitted in a window.
    fn get_peak(&self) -> u64 {
        let admitted = self.simulate();
        let mut peak = 0;
        let (mut sum, mut first) = (0, 0);
        for (at, units) in &admitted {
            sum += units;
            while admitted[first].0 + 8_000 <= *at {
                sum -= admitted[first].1;
                first += 1;
            }
            peak = peak.max(sum);
        }
        peak
    }
}

/// Returns the most units that the operator tolerates in a window.
fn get_allowed(limit: Limit) -> u64 {
    ((limit.rate_per_second * 8.0 + limit.burst) * 1.1 + 140_000.0) as u64
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let time = (400u64..2_000).prop_map(|at| at * STEP);
    let all_stop_at = prop::collection::vec(time.clone(), 0..3);
    let one_stops_at = prop::collection::vec((time.clone(), 0usize..7), 0..4);
    let partitions = prop::collection::vec((time, 0usize..7, 200u64..6_000), 0..2);
    let down = (50u64..300).prop_map(|down| down * STEP);
    let nodes = (2usize..8, 0.5f64..6.0);
    let faults = (all_stop_at, one_stops_at, down, partitions, 0.0f64..0.2);
    let limit = prop_oneof![Just(LIMIT), Just(SMALL)];
    (limit, nodes, faults, any::<bool>(), any::<u64>()).prop_map(
        |(
            limit,
            (nodes, pressure),
            (all_stop_at, one_stops_at, down, partitions, loss_rate),
            is_owner_asked,
            seed,
        )| {
            Scenario {
                limit,
                nodes,
                pressure,
                all_stop_at,
                one_stops_at,
                down,
                partitions,
                loss_rate,
                is_owner_asked,
                seed,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_limit_and_the_tolerated_excess(scenario in scenario()) {
        let (peak, allowed) = (scenario.get_peak(), get_allowed(scenario.limit));
        prop_assert!(peak <= allowed, "{peak} of {allowed}");
    }
}

/// Guards against a debt that is forgotten by a restart: 514,400 units were admitted in eight
/// seconds, of 496,400 tolerated (found by the property test above).
///
/// Both nodes start three times within the window, with 77,714 units each time. Just before the
/// first restart, the owner admits a prompt of 30,000 units with 12 units available, and the
/// restart forgets the debt. The bucket was at -31,969 before the first stop.
#[test]
fn a_small_account_stays_within_its_limit_if_all_nodes_start_three_times() {
    let scenario = Scenario {
        limit: SMALL,
        nodes: 2,
        pressure: 4.641440566016924,
        all_stop_at: vec![4_020, 5_370],
        one_stops_at: Vec::new(),
        down: 560,
        partitions: Vec::new(),
        loss_rate: 0.0,
        is_owner_asked: true,
        seed: 41845244663829231,
    };
    let (peak, allowed) = (scenario.get_peak(), get_allowed(SMALL));
    assert!(peak <= allowed, "{peak} of {allowed}");
}
