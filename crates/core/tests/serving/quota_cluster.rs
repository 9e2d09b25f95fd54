//! Whether all nodes together stay within a client account's limit while nodes end, are cut off
//! from each other and lose reports.

use std::collections::HashMap;

use keeljunction_core::serving::quota::{Limit, Quotas, Reach, Source, Tolerance};
use proptest::prelude::*;

const LIMIT: Limit = Limit { rate_per_second: 500_000.0, burst: 500_000.0 };
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
    /// The fraction of reports that is lost.
    lost: f64,
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
            owed += self.pressure * LIMIT.rate_per_second * STEP as f64 / 1_000.0 / MEAN_SIZE;
            while owed >= 1.0 {
                owed -= 1.0;
                let size = SIZES[random.usize(..SIZES.len())];
                let node = &mut nodes[random.usize(..self.nodes)];
                if now < node.started_at {
                    continue;
                }
                let is_heard = |at: &&u64| now < **at + HEARD_WITHIN;
                let heard = 1 + node.heard.values().filter(is_heard).count();
                let reach = Reach { heard, all: self.nodes, period: PERIOD, is_grouped: false };
                if node.quotas.consume(now, "acme", size, LIMIT, reach).is_ok() {
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

/// (8 + 1) * 500,000 * 1.1 + 140,000.
const ALLOWED: u64 = 5_090_000;

fn scenario() -> impl Strategy<Value = Scenario> {
    let time = (400u64..2_000).prop_map(|at| at * STEP);
    let all_end = prop::collection::vec(time.clone(), 0..3);
    let one_ends = prop::collection::vec((time.clone(), 0usize..7), 0..4);
    let cuts = prop::collection::vec((time, 0usize..7, 200u64..6_000), 0..2);
    (2usize..8, 0.5f64..6.0, all_end, one_ends, 500u64..3_000, cuts, 0.0f64..0.2, any::<u64>())
        .prop_map(|(nodes, pressure, all_end, one_ends, down, cuts, lost, seed)| {
            let down = down / STEP * STEP;
            Scenario { nodes, pressure, all_end, one_ends, down, cuts, lost, seed }
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_limit_and_what_is_tolerated(scenario in scenario()) {
        let most = scenario.get_most();
        prop_assert!(most <= ALLOWED, "{most} of {ALLOWED}");
    }
}
