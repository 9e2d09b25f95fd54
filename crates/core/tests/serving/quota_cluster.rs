//! Whether all nodes together stay within a client account's limit while nodes end, are cut off
//! from each other and lose reports.

use std::collections::HashMap;

use keeljunction_core::serving::quota::{Decision, Limit, Quotas, Reachability, Source, Tolerance};
use proptest::prelude::*;

use crate::owner::follow;

const LIMIT: Limit = Limit { rate_per_second: 500_000.0, burst: 500_000.0 };
/// An account of which most nodes get less than one request a second: the tolerated slack is several
/// seconds of its rate.
const SMALL: Limit = Limit { rate_per_second: 36_000.0, burst: 36_000.0 };
const TOLERANCE: Tolerance = Tolerance { window_seconds: 8.0, overshoot: 0.1, slack: 140_000.0 };
const PERIOD: u64 = 200;
/// A peer that was heard within this time counts as heard.
const HEARD_WITHIN: u64 = 1_000;
const STEP: u64 = 10;
const END: u64 = 24_000;
/// Tokens of a request.
const SIZES: [u64; 6] = [800, 800, 2_400, 2_400, 12_000, 30_000];
const MEAN_SIZE: f64 = 8_066.0;

/// What happens to a cluster.
#[derive(Clone, Debug)]
struct Scenario {
    limit: Limit,
    nodes: usize,
    /// How many times the rate is requested.
    pressure: f64,
    /// When all nodes end; each starts again after [`Scenario::down`].
    all_end: Vec<u64>,
    /// When one node ends, and which.
    one_ends: Vec<(u64, usize)>,
    down: u64,
    /// When a node is cut off from all others, which, and for how long.
    cuts: Vec<(u64, usize, u64)>,
    /// The fraction of reports and questions that is lost.
    lost: f64,
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
        self.heard.get(&peer).is_some_and(|at| now < at + HEARD_WITHIN)
    }

    fn get_reachability(&self, now: u64, known: usize) -> Reachability {
        let heard = 1 + (0..known).filter(|peer| self.is_heard(now, *peer)).count();
        Reachability { heard, known, report_delay: PERIOD, is_grouped: false }
    }

    /// Returns which node this one, given by its number, takes for the owner: the first that it
    /// hears, or may hear soon.
    fn get_owner(&self, now: u64, own: usize) -> usize {
        let is_new = now < self.started_at + HEARD_WITHIN;
        (0..own).find(|peer| is_new || self.is_heard(now, *peer)).unwrap_or(own)
    }
}

impl Scenario {
    fn is_cut(&self, node: usize, now: u64) -> bool {
        self.cuts.iter().any(|(at, who, span)| *who == node && (*at..at + span).contains(&now))
    }

    fn is_ended(&self, node: usize, now: u64) -> bool {
        let alone = self.one_ends.iter().any(|(at, who)| *who == node && *at == now);
        alone || self.all_end.contains(&now)
    }

    /// Returns the units admitted, by time.
    fn play(&self) -> Vec<(u64, u64)> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut nodes: Vec<Node> = (0..self.nodes).map(|_| Node::start(0, 0)).collect();
        let mut admitted = Vec::new();
        let mut owed = 0.0;
        for now in (STEP..END).step_by(STEP as usize) {
            for (index, node) in nodes.iter_mut().enumerate() {
                if self.is_ended(index, now) {
                    *node = Node::start(now + self.down, node.incarnation + 1);
                }
            }
            owed += self.pressure * self.limit.rate_per_second * STEP as f64 / 1_000.0 / MEAN_SIZE;
            while owed >= 1.0 {
                owed -= 1.0;
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

    /// Decides about a request that comes to a node.
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
        let is_cut = owner != number && (self.is_cut(owner, now) || self.is_cut(number, now));
        let is_lost = owner != number && random.f64() < self.lost;
        let is_answered_in_vain = owner != number && random.f64() < self.lost;
        let asked = &mut nodes[owner];
        let is_reached = !is_cut && !is_lost && now >= asked.started_at;
        let mut decision = Decision::Undecided;
        if is_reached && asked.get_owner(now, owner) == owner {
            let reach = asked.get_reachability(now, self.nodes);
            decision = asked.quotas.decide(now, "acme", size, self.limit, reach);
        }
        if is_answered_in_vain {
            decision = Decision::Undecided;
        }
        let quotas = &mut nodes[number].quotas;
        follow(quotas, decision, now, size, self.limit, reach)
    }

    fn send_report(&self, nodes: &mut [Node], from: usize, now: u64, random: &mut fastrand::Rng) {
        let incarnation = nodes[from].incarnation;
        let report = nodes[from].quotas.report(now);
        for to in (0..nodes.len()).filter(|to| *to != from) {
            let is_lost = random.f64() < self.lost;
            let is_cut = self.is_cut(from, now) || self.is_cut(to, now);
            let node = &mut nodes[to];
            if is_lost || is_cut || now < node.started_at {
                continue;
            }
            node.heard.insert(from, now);
            node.quotas.merge(now, Source::Peer, (&format!("n-{from}"), incarnation), &report);
        }
    }

    /// Returns the most units admitted in a window.
    fn get_most(&self) -> u64 {
        let admitted = self.play();
        let mut most = 0;
        let (mut sum, mut first) = (0, 0);
        for (at, units) in &admitted {
            sum += units;
            while admitted[first].0 + 8_000 <= *at {
                sum -= admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

/// Returns the most units that the operator tolerates in a window.
fn get_allowed(limit: Limit) -> u64 {
    ((limit.rate_per_second * 8.0 + limit.burst) * 1.1 + 140_000.0) as u64
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let time = (400u64..2_000).prop_map(|at| at * STEP);
    let all_end = prop::collection::vec(time.clone(), 0..3);
    let one_ends = prop::collection::vec((time.clone(), 0usize..7), 0..4);
    let cuts = prop::collection::vec((time, 0usize..7, 200u64..6_000), 0..2);
    let down = (50u64..300).prop_map(|down| down * STEP);
    let nodes = (2usize..8, 0.5f64..6.0);
    let faults = (all_end, one_ends, down, cuts, 0.0f64..0.2);
    let limit = prop_oneof![Just(LIMIT), Just(SMALL)];
    (limit, nodes, faults, any::<bool>(), any::<u64>()).prop_map(
        |(
            limit,
            (nodes, pressure),
            (all_end, one_ends, down, cuts, lost),
            is_owner_asked,
            seed,
        )| {
            Scenario {
                limit,
                nodes,
                pressure,
                all_end,
                one_ends,
                down,
                cuts,
                lost,
                is_owner_asked,
                seed,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_limit_and_what_is_tolerated(scenario in scenario()) {
        let (most, allowed) = (scenario.get_most(), get_allowed(scenario.limit));
        prop_assert!(most <= allowed, "{most} of {allowed}");
    }
}

/// Found by the property above: 514,400 units in eight seconds, of 496,400 that are tolerated.
///
/// What happens: both nodes start three times within the window, and begin with 77,714 units each time. At
/// the end of the first life the owner admits a prompt of 30,000 with 12 units left, and the debt is
/// forgotten with that life. A print of all decisions showed the bucket at -31,969 before the first end.
#[test]
fn a_small_account_stays_within_its_limit_where_all_nodes_start_three_times() {
    let scenario = Scenario {
        limit: SMALL,
        nodes: 2,
        pressure: 4.641440566016924,
        all_end: vec![4_020, 5_370],
        one_ends: Vec::new(),
        down: 560,
        cuts: Vec::new(),
        lost: 0.0,
        is_owner_asked: true,
        seed: 41845244663829231,
    };
    let (most, allowed) = (scenario.get_most(), get_allowed(SMALL));
    assert!(most <= allowed, "{most} of {allowed}");
}
