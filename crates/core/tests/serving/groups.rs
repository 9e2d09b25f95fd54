//! Property tests with nodes that report in groups: limits hold and usage is counted once while
//! reports are lost and late, aggregators stop, and nodes switch to others.

use std::collections::BTreeMap;

use keeljunction_core::serving::quota::{
    Decision, Limit, Quotas, Reachability, Report, Source, Tolerance,
};
use keeljunction_core::serving::report_log::{ReportLog, Snapshot};
use keeljunction_core::serving::usage::{Counts, Incarnation, Ledger};
use proptest::prelude::*;

use crate::owner::apply_decision;

const LIMIT: Limit = Limit { rate_per_second: 500_000.0, burst: 500_000.0 };
/// An account of which most nodes receive less than one request per second: a local share of its
/// rate is less than a fiftieth of a prompt, and the tolerated slack is several seconds of its
/// rate.
const SMALL: Limit = Limit { rate_per_second: 36_000.0, burst: 36_000.0 };
const TOLERANCE: Tolerance = Tolerance { window_seconds: 8.0, overshoot: 0.1, slack: 140_000.0 };
const PERIOD: u64 = 200;
const STEP: u64 = 20;
const END: u64 = 24_000;
const SIZES: [u64; 6] = [800, 800, 2_400, 2_400, 12_000, 30_000];
const MEAN_SIZE: f64 = 8_066.0;
/// The smallest number of aggregators in a cluster with groups: 41 nodes in groups of seven.
const GROUPS: usize = 6;
const MEMBERS: usize = 6;
const NODES: usize = GROUPS * (MEMBERS + 1);
/// A node that hears nothing from its aggregator for this long switches to another one.
const SILENCE_TIMEOUT: u64 = 1_600;
/// A node that was heard within this time is reachable.
const HEARD_TIMEOUT: u64 = 2_000;
/// The time after which a node knows that an aggregator is silent; it differs between nodes.
const SILENCE_DETECTION_DELAYS: std::ops::Range<u64> = 1_400..2_600;
/// The requested multiple of the rate before a surge.
const PRESSURE_BEFORE_SURGE: f64 = 0.2;
/// The only window of usage, which covers the whole simulation.
const WINDOW: u64 = 1;

/// A simulated node. The first nodes aggregate, and the others report to one of them.
struct Node {
    number: usize,
    quotas: Quotas,
    report_log: ReportLog,
    ledger: Ledger,
    aggregator: usize,
    heard_at: u64,
    /// The newest report that arrived from each node, by its send time.
    newest: BTreeMap<usize, u64>,
    /// When each node was heard.
    heard: BTreeMap<usize, u64>,
    /// The number of nodes that this node's aggregator hears.
    heard_elsewhere: usize,
}

impl Node {
    fn start(number: usize, now: u64, run: u64) -> Self {
        let incarnation = Incarnation { node: number.to_string(), number: run };
        Self {
            number,
            quotas: Quotas::new(now, TOLERANCE),
            report_log: ReportLog::new(incarnation),
            ledger: Ledger::default(),
            aggregator: number % GROUPS,
            heard_at: now,
            newest: BTreeMap::new(),
            heard: BTreeMap::new(),
            heard_elsewhere: 1,
        }
    }

    /// Returns which nodes are reachable; for an aggregator, those that it hears and their groups.
    fn get_reachability(&self, now: u64) -> Reachability {
        let is_heard = |at: &u64| now < at + HEARD_TIMEOUT;
        let weight = |number: &usize| if *number < GROUPS { MEMBERS + 1 } else { 1 };
        let heard = match self.is_aggregator() {
            true => {
                let heard = self.heard.iter().filter(|(_, at)| is_heard(at));
                1 + heard.map(|(number, _)| weight(number)).sum::<usize>()
            }
            false if is_heard(&self.heard_at) => self.heard_elsewhere,
            false => 1,
        };
        Reachability {
            heard: heard.min(NODES),
            known: NODES,
            report_delay: PERIOD * 3,
            is_grouped: true,
        }
    }

    fn is_aggregator(&self) -> bool {
        self.number < GROUPS
    }

    fn get_run(&self) -> (String, u64) {
        (self.number.to_string(), self.report_log.get_incarnation().number)
    }

    fn report(&mut self, now: u64) -> (Report, Counts) {
        let report = self.quotas.report(now);
        let usage = self.ledger.list_incarnation_counts(self.report_log.get_incarnation());
        let usage: BTreeMap<u64, Counts> = usage.into_iter().collect();
        let counts = usage.get(&WINDOW).cloned().unwrap_or_default();
        self.report_log.record(now, Snapshot { quota: report.accounts.clone(), usage });
        (report, counts)
    }

    /// Switches to another aggregator, or starts over with one that has restarted.
    fn switch_aggregator(&mut self, now: u64, to: usize, number: u64) {
        let former = self.report_log.get_incarnation().clone();
        let arrived = self.report_log.begin_incarnation(number);
        let next = self.report_log.get_incarnation().clone();
        self.quotas.hand_over(now, &arrived.quota);
        self.ledger.hand_over(&former, &next, &arrived.usage, false);
        self.aggregator = to;
        self.heard_at = now;
        // Until the other one sends an overview, this node hears nobody.
        self.heard_elsewhere = 1;
    }
}

/// A datagram in transit.
enum Datagram {
    Report { from: usize, run: (String, u64), report: Report, counts: Counts, sent_at: u64 },
    Summary { from: usize, run: (String, u64), report: Report, counts: Counts },
    Overview { run: (String, u64), heard: usize, total: Report, answers: Option<u64> },
}

#[derive(Clone, Debug)]
struct Scenario {
    limit: Limit,
    /// The requested multiple of the rate from `surge_at` on; it is low before that.
    pressure: f64,
    surge_at: u64,
    lost: f64,
    /// The longest transit time of a datagram.
    late: u64,
    /// When an aggregator stops, which, and for how long it is down.
    ends: Vec<(u64, usize, u64)>,
    /// Whether nodes ask the owner of the client account near its limit.
    is_owner_asked: bool,
    seed: u64,
}

#[derive(Default)]
struct Outcome {
    /// All requests: time, size, and whether they were admitted.
    requested: Vec<(u64, u64, bool)>,
    admitted: Vec<(u64, u64)>,
    /// Requests that started, and those that the first aggregator has counted at the end.
    started: u64,
    counted: u64,
}

impl Scenario {
    fn is_down(&self, node: usize, now: u64) -> bool {
        self.ends.iter().any(|(at, who, away)| *who == node && (*at..at + away).contains(&now))
    }

    /// Returns the aggregator that a node considers the owner: the first that it does not know to
    /// be silent.
    fn get_owner(&self, number: usize, now: u64) -> usize {
        let span = SILENCE_DETECTION_DELAYS.end - SILENCE_DETECTION_DELAYS.start;
        let known_after = SILENCE_DETECTION_DELAYS.start + (number as u64 * 229 + self.seed) % span;
        let is_known = |who: &usize| {
            self.ends.iter().any(|(at, away_who, away)| {
                let is_noticed = now >= at + known_after;
                // An aggregator that is back is noticed by its next report.
                away_who == who && is_noticed && now < at + away + known_after / 5
            })
        };
        (0..GROUPS).find(|who| !is_known(who)).unwrap_or(0)
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
        let reach = node.get_reachability(now);
        if !self.is_owner_asked {
            return node.quotas.consume(now, "acme", size, self.limit, reach).is_ok();
        }
        if node.quotas.consume_above_low_water(now, "acme", size, self.limit, reach) {
            return true;
        }
        let owner = self.get_owner(number, now);
        let is_lost = owner != number && random.f64() < self.lost;
        let is_answered_in_vain = owner != number && random.f64() < self.lost;
        let mut decision = Decision::Undecided;
        if !is_lost && !self.is_down(owner, now) && self.get_owner(owner, now) == owner {
            let reach = nodes[owner].get_reachability(now);
            decision = nodes[owner].quotas.decide(now, "acme", size, self.limit, reach);
        }
        if is_answered_in_vain {
            decision = Decision::Undecided;
        }
        let quotas = &mut nodes[number].quotas;
        apply_decision(quotas, decision, now, size, self.limit, reach)
    }

    fn simulate(&self) -> Outcome {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut nodes: Vec<Node> = (0..NODES).map(|number| Node::start(number, 0, 1)).collect();
        let mut in_transit: Vec<(u64, usize, Datagram)> = Vec::new();
        let mut outcome = Outcome::default();
        let mut due_requests = 0.0;
        for now in (STEP..END + 4_000).step_by(STEP as usize) {
            for (number, node) in nodes.iter_mut().enumerate() {
                if self.ends.iter().any(|(at, who, away)| *who == number && at + away == now) {
                    *node = Node::start(number, now, now);
                }
            }
            if now < END {
                let pressure =
                    if now < self.surge_at { PRESSURE_BEFORE_SURGE } else { self.pressure };
                let units = self.limit.rate_per_second * STEP as f64 / 1_000.0;
                due_requests += pressure * units / MEAN_SIZE;
            }
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                let number = random.usize(..NODES);
                let size = SIZES[random.usize(..SIZES.len())];
                if self.is_down(number, now) {
                    continue;
                }
                let is_admitted = self.is_admitted(&mut nodes, number, now, size, &mut random);
                outcome.requested.push((now, size, is_admitted));
                if is_admitted {
                    outcome.admitted.push((now, size));
                    outcome.started += 1;
                    let node = &mut nodes[number];
                    let incarnation = node.report_log.get_incarnation().clone();
                    node.ledger.count(WINDOW, &incarnation, "acme");
                }
            }
            let (arrived, still): (Vec<_>, Vec<_>) =
                in_transit.into_iter().partition(|(at, _, _)| *at <= now);
            in_transit = still;
            for (_, to, datagram) in arrived {
                if !self.is_down(to, now) {
                    deliver(&mut nodes[to], now, datagram);
                }
            }
            for number in 0..NODES {
                if (now + number as u64 * 40) % PERIOD >= STEP || self.is_down(number, now) {
                    continue;
                }
                for (to, datagram) in send(&mut nodes, number, now, &mut random) {
                    if random.f64() >= self.lost {
                        let at = now + 1 + random.u64(..=self.late);
                        in_transit.push((at, to, datagram));
                    }
                }
            }
        }
        outcome.counted = nodes[0].ledger.total(WINDOW).get("acme").copied().unwrap_or(0);
        outcome
    }
}

fn deliver(node: &mut Node, now: u64, datagram: Datagram) {
    match datagram {
        Datagram::Report { from, run, report, counts, sent_at } => {
            node.quotas.merge(now, Source::Member, (&run.0, run.1), &report);
            let incarnation = Incarnation { node: run.0, number: run.1 };
            node.ledger.merge_member(WINDOW, &incarnation, &counts);
            let newest = node.newest.entry(from).or_default();
            *newest = (*newest).max(sent_at);
            node.heard.insert(from, now);
        }
        Datagram::Summary { from, run, report, counts } => {
            node.heard.insert(from, now);
            node.quotas.merge(now, Source::Peer, (&run.0, run.1), &report);
            node.ledger.merge(WINDOW, &Incarnation { node: run.0, number: run.1 }, &counts);
        }
        Datagram::Overview { run, heard, total, answers } => {
            if run.0 != node.aggregator.to_string() {
                return;
            }
            node.heard_at = now;
            node.heard_elsewhere = heard;
            let arrived = answers.and_then(|at| node.report_log.acknowledge(at).cloned());
            if let Some(arrived) = arrived {
                node.quotas.merge_total(now, (&run.0, run.1), &total, &arrived.quota);
            }
        }
    }
}

fn send(
    nodes: &mut [Node],
    number: usize,
    now: u64,
    random: &mut fastrand::Rng,
) -> Vec<(usize, Datagram)> {
    let node = &mut nodes[number];
    if !node.is_aggregator() {
        if now >= node.heard_at + SILENCE_TIMEOUT {
            node.switch_aggregator(now, (node.aggregator + 1) % GROUPS, random.u64(..));
        }
        let (report, counts) = node.report(now);
        let run = node.get_run();
        let report = Datagram::Report { from: number, run, report, counts, sent_at: now };
        return vec![(node.aggregator, report)];
    }
    let (own, _) = node.report(now);
    let reach = node.get_reachability(now);
    node.quotas.track(now, "acme", LIMIT, reach);
    let group = node.quotas.add_group_usage(now, &own);
    let total = node.quotas.add_other_usage(now, &group);
    let run = node.get_run();
    let usage = node.ledger.sum_group(node.report_log.get_incarnation(), 1);
    let counts = usage.first().map(|(_, counts)| counts.clone()).unwrap_or_default();
    let newest = node.newest.clone();
    let mut sent = Vec::new();
    for other in (0..GROUPS).filter(|other| *other != number) {
        let (run, report, counts) = (run.clone(), group.clone(), counts.clone());
        sent.push((other, Datagram::Summary { from: number, run, report, counts }));
    }
    for member in (GROUPS..NODES).filter(|member| nodes[*member].aggregator == number) {
        let answers = newest.get(&member).copied();
        let (run, total) = (run.clone(), total.clone());
        sent.push((member, Datagram::Overview { run, heard: reach.heard, total, answers }));
    }
    sent
}

/// Returns the most units that the operator tolerates in a window.
fn get_allowed(limit: Limit) -> u64 {
    ((limit.rate_per_second * 8.0 + limit.burst) * 1.1 + 140_000.0) as u64
}

fn get_peak(admitted: &[(u64, u64)]) -> u64 {
    let (mut most, mut sum, mut first) = (0, 0, 0);
    for (at, units) in admitted {
        sum += units;
        while admitted[first].0 + 8_000 <= *at {
            sum -= admitted[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let ends = prop::collection::vec((100u64..1_000, 0..GROUPS, 20u64..200), 0..3);
    let surge_at = prop_oneof![Just(0u64), Just(9_000)];
    let network = (0.0f64..0.2, 1u64..150);
    let limit = prop_oneof![Just(LIMIT), Just(SMALL)];
    (limit, 0.5f64..6.0, surge_at, network, ends, any::<bool>(), any::<u64>()).prop_map(
        |(limit, pressure, surge_at, (lost, late), ends, is_owner_asked, seed)| {
            let steps = |(at, who, away): (u64, usize, u64)| (at * STEP, who, away * STEP);
            let ends = ends.into_iter().map(steps).collect();
            Scenario { limit, pressure, surge_at, lost, late, ends, is_owner_asked, seed }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_limit_and_the_tolerated_excess(scenario in scenario()) {
        let (most, allowed) = (get_peak(&scenario.simulate().admitted), get_allowed(scenario.limit));
        prop_assert!(most <= allowed, "{most} of {allowed}");
    }

    /// If no aggregator stops, each request is counted, however many reports are lost or late. It
    /// is counted twice only if so many reports are lost in a row that a node switches to another
    /// aggregator.
    #[test]
    fn each_request_is_counted_once(scenario in scenario()) {
        let scenario = Scenario { ends: Vec::new(), pressure: 0.8, surge_at: 0, ..scenario };
        let outcome = scenario.simulate();
        prop_assert!(outcome.counted >= outcome.started, "{} of {}", outcome.counted, outcome.started);
        let most = outcome.started + outcome.started / 33;
        prop_assert!(outcome.counted <= most, "{} of {}", outcome.counted, outcome.started);
        let without_faults = Scenario { lost: 0.0, ..scenario }.simulate();
        prop_assert_eq!(without_faults.counted, without_faults.started);
    }
}

/// Guards against large prompts that many nodes admit in advance: 530,800 units were admitted in
/// eight seconds, of 496,400 tolerated (found by the property test above among random scenarios).
///
/// The account's limit is less than one prompt per second for most nodes, one in eight reports is
/// lost, an aggregator is down for 2.8 s, and the owner is not asked. Every node admitted a prompt
/// of 30,000 units as soon as a single unit of its local share was saved up, and paid it back at a
/// 42nd of the rate, for 35 s. Each of 42 nodes may do so once, which is far more than is
/// tolerated. 506,000 of the 530,800 units were admitted from local shares, 15 prompts of 30,000
/// among them, at nodes that heard all 42 nodes (35 in two cases) while the account's bucket was at
/// -17,360 to -214,549 units. The silent aggregator is not the cause: five of the 15 prompts came
/// before it.
#[test]
fn a_small_account_stays_within_its_limit_while_an_aggregator_is_down() {
    let scenario = Scenario {
        limit: SMALL,
        pressure: 4.684927633308742,
        surge_at: 0,
        lost: 0.11810876252658747,
        late: 1,
        ends: vec![(5_460, 4, 2_800)],
        is_owner_asked: false,
        seed: 2077869934757989726,
    };
    let (most, allowed) = (get_peak(&scenario.simulate().admitted), get_allowed(SMALL));
    assert!(most <= allowed, "{most} of {allowed}");
}

/// Returns a scenario without faults, at a fraction or multiple of the limit.
fn without_faults(pressure: f64, is_owner_asked: bool, seed: u64) -> Scenario {
    Scenario {
        limit: LIMIT,
        pressure,
        surge_at: 0,
        lost: 0.01,
        late: 20,
        ends: Vec::new(),
        is_owner_asked,
        seed,
    }
}

#[test]
fn a_client_account_that_suddenly_sends_six_times_its_limit_stays_within_it() {
    for seed in 0..8 {
        for is_owner_asked in [false, true] {
            let without_faults = without_faults(6.0, is_owner_asked, seed);
            let scenario = Scenario { surge_at: 9_000, late: 5, ..without_faults };
            let most = get_peak(&scenario.simulate().admitted);
            let allowed = get_allowed(LIMIT);
            assert!(most <= allowed, "{most} of {allowed} with seed {seed}, {is_owner_asked}");
        }
    }
}

#[test]
fn a_client_account_gets_its_limit_if_nodes_report_in_groups() {
    for seed in 0..3 {
        for is_owner_asked in [false, true] {
            let admitted = without_faults(2.0, is_owner_asked, seed).simulate().admitted;
            let late: u64 = admitted
                .iter()
                .filter(|(at, _)| (8_000..24_000).contains(at))
                .map(|(_, units)| units)
                .sum();
            assert!(late >= 16 * 500_000 * 85 / 100, "{late} with seed {seed}, {is_owner_asked}");
            // Below the limit no request is refused.
            let admitted = without_faults(0.7, is_owner_asked, seed).simulate().admitted;
            // Requests after the start count, because nodes admit less until all have heard of each
            // other.
            let late = admitted.iter().filter(|(at, _)| *at >= 4_000).count();
            let asked = (0.7 * 500_000.0 * 20.0 / MEAN_SIZE) as usize;
            assert!(late >= asked * 98 / 100, "{late} of {asked} with seed {seed}");
        }
    }
}

/// The owner of the client account and its successor.
const OWNERS: [usize; 2] = [0, 1];

#[test]
fn limits_hold_while_owners_stop_one_after_the_other() {
    for seed in 0..16 {
        for away in [200, 1_000, 3_000, 8_000] {
            let ends = vec![(9_000, OWNERS[0], away), (10_500, OWNERS[1], away)];
            let scenario = Scenario { ends, ..without_faults(6.0, true, seed) };
            let most = get_peak(&scenario.simulate().admitted);
            let allowed = get_allowed(LIMIT);
            assert!(most <= allowed, "{most} of {allowed} with seed {seed}, away for {away}");
        }
    }
}

/// Returns the units of requests that a single bucket would have admitted and the nodes together
/// did not, and the units requested, after the start.
fn count_lost(scenario: &Scenario) -> (f64, f64) {
    let mut alone = Quotas::new(0, Tolerance::default());
    let reach = Reachability { heard: 1, known: 1, report_delay: PERIOD, is_grouped: true };
    let mut lost = 0.0;
    let mut requested = 0.0;
    for (at, size, is_admitted) in scenario.simulate().requested {
        let is_admitted_by_one = alone.consume(at, "acme", size, scenario.limit, reach).is_ok();
        if at < 4_000 {
            continue;
        }
        requested += size as f64;
        lost += size as f64 * (f64::from(is_admitted_by_one) - f64::from(is_admitted));
    }
    (lost, requested)
}

const SEEDS: u64 = 48;

#[test]
fn nodes_that_ask_the_owner_refuse_no_more_than_one_bucket_would() {
    for limit in [SMALL, LIMIT] {
        for pressure in [0.7, 0.9, 1.1] {
            let mut lost = 0.0;
            let mut requested = 0.0;
            for seed in 0..SEEDS {
                let without_faults = without_faults(pressure, true, seed);
                let scenario = Scenario { limit, lost: 0.0, late: 5, ..without_faults };
                let (lost_here, requested_here) = count_lost(&scenario);
                lost += lost_here;
                requested += requested_here;
            }
            let rate = limit.rate_per_second;
            assert!(lost * 200.0 <= requested, "{lost} of {requested} at {pressure} of {rate}");
        }
    }
}

#[test]
fn requests_of_a_node_that_switches_aggregators_are_counted_about_once() {
    for seed in 0..5 {
        let ends = vec![(8_000, 1, 4_000), (16_000, 2, 3_000)];
        let scenario = Scenario { lost: 0.02, ends, ..without_faults(0.8, seed % 2 == 0, seed) };
        let outcome = scenario.simulate();
        // The counts of the two stopped nodes since their last report are lost: one period of one
        // of fifteen nodes. Their groups count unacknowledged requests again.
        let deviation = outcome.counted.abs_diff(outcome.started) as f64 / outcome.started as f64;
        assert!(deviation < 0.03, "{} of {} with seed {seed}", outcome.counted, outcome.started);
    }
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { node: "a".to_owned(), number }
}

#[test]
fn an_acknowledged_report_is_not_sent_again() {
    let snapshot = |count: u64| Snapshot {
        usage: BTreeMap::from([(WINDOW, Counts::from([("acme".to_owned(), count)]))]),
        ..Snapshot::default()
    };
    let mut report_log = ReportLog::new(incarnation(1));
    report_log.record(400, snapshot(3));
    report_log.record(800, snapshot(5));
    report_log.record(1_200, snapshot(9));
    assert_eq!(report_log.acknowledge(800), Some(&snapshot(5)));
    // A late acknowledgement of an older report changes nothing.
    assert_eq!(report_log.acknowledge(400), None);
    assert_eq!(report_log.get_acknowledged(), Some(&snapshot(5)));
    assert_eq!(report_log.begin_incarnation(2), snapshot(5));
    assert_eq!(report_log.get_incarnation(), &incarnation(2));
    // Reports of the former incarnation are no longer acknowledged.
    assert_eq!(report_log.acknowledge(1_200), None);
    assert_eq!(report_log.begin_incarnation(3), Snapshot::default());
}
