//! Requests that crash servers, in fleets of several sizes: how many servers crash, and how many
//! other requests are quarantined. The owner's search for the fewest causes is compared with
//! counting three crashes for each request separately, at each node and at the owner.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use fastrand::Rng;
use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::{
    Crash, Fingerprint, InterruptedRequest, Report, SUSPICION_PERIOD_MS, Standing, Tracker, Verdict,
};

/// The policy that decides which requests are quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Each node quarantines requests that ran in three crashes at this node.
    EachNode,
    /// The owner quarantines requests that ran in three crashes, whatever ran next to them.
    Counting,
    /// The owner's analysis, as in the product.
    Owner,
}

/// A fleet and its faults.
#[derive(Clone, Copy, Debug)]
struct Setup {
    nodes: usize,
    servers: usize,
    /// Requests in flight at each server.
    in_flight: usize,
    /// The interval at which each request that crashes servers is repeated, in milliseconds.
    repeats: Millis,
    /// The number of requests that crash servers.
    causes: u64,
    /// Whether three in ten servers are lost at once, twice.
    has_loss: bool,
}

const TICK_MS: Millis = 10;
const DURATION_MS: Millis = 15_000;
const SERVICE: u64 = 7;
/// How long a crashed server is down.
const RESTART_TIME_MS: Millis = 2_500;
/// The time that a report takes to the owner, and a verdict to all nodes: some tens of milliseconds
/// until it is sent, three nodes on small VMs, and the transit from another region.
const TRANSIT_TIME_MS: Millis = 150;
/// The time within which all nodes must know of a cause.
const MAX_DETECTION_TIME_MS: Millis = 3_000;
/// One in this many requests is the same popular one.
const POPULAR_INTERVAL: u64 = 10;
const POPULAR_REQUEST: u64 = 1_000;

/// An attempt of a request at a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: u64,
    node: usize,
    sent_at: Millis,
    first_byte_at: Millis,
    done_at: Millis,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct Server {
    down_until: Millis,
    attempts: Vec<Attempt>,
}

/// The outcome of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// Crashes by a cause.
    crashed: usize,
    /// Crashes after the time within which all nodes must know of the cause.
    crashed_late: usize,
    /// Other requests that were quarantined.
    others_quarantined: usize,
}

struct Trial {
    setup: Setup,
    policy: Policy,
    rng: Rng,
    now: Millis,
    next_request: u64,
    servers: Vec<Server>,
    nodes: Vec<Tracker>,
    owner: Tracker,
    /// The knowledge of the counting policies: crashes in which a request ran, by node.
    counts: BTreeMap<(usize, u64), BTreeSet<(usize, Millis)>>,
    to_owner: VecDeque<(Millis, Crash)>,
    to_nodes: VecDeque<(Millis, Verdict)>,
    /// The times of the crashes of each cause.
    crashes: BTreeMap<u64, Vec<Millis>>,
    others_quarantined: BTreeSet<u64>,
}

impl Trial {
    fn run(setup: Setup, policy: Policy, seed: u64) -> Outcome {
        let mut trial = Self {
            setup,
            policy,
            rng: Rng::with_seed(seed),
            now: 0,
            next_request: 10_000,
            servers: vec![Server::default(); setup.servers],
            nodes: vec![Tracker::default(); setup.nodes],
            owner: Tracker::default(),
            counts: BTreeMap::new(),
            to_owner: VecDeque::new(),
            to_nodes: VecDeque::new(),
            crashes: BTreeMap::new(),
            others_quarantined: BTreeSet::new(),
        };
        while trial.now < DURATION_MS {
            trial.now += TICK_MS;
            trial.step();
        }
        let all = trial.crashes.values();
        let late = all.clone().map(|crashes| {
            let known_at =
                crashes.get(2).map_or(Millis::MAX, |third| third + MAX_DETECTION_TIME_MS);
            crashes.iter().filter(|at| **at > known_at).count()
        });
        Outcome {
            crashed: all.map(Vec::len).sum(),
            crashed_late: late.sum(),
            others_quarantined: trial.others_quarantined.len(),
        }
    }

    fn step(&mut self) {
        self.deliver();
        self.complete_requests();
        for cause in 1..=self.setup.causes {
            if (self.now + cause * 30).is_multiple_of(self.setup.repeats) && self.now > 2_000 {
                let node = self.rng.usize(..self.setup.nodes);
                self.send(cause, node, 0);
            }
        }
        let wanted = self.setup.in_flight * self.setup.servers;
        let running: usize = self.servers.iter().map(|server| server.attempts.len()).sum();
        for _ in running..wanted {
            self.next_request += 1;
            let is_popular = self.rng.u64(..POPULAR_INTERVAL) == 0;
            let request = if is_popular { POPULAR_REQUEST } else { self.next_request };
            let node = self.rng.usize(..self.setup.nodes);
            self.send(request, node, 0);
        }
        if self.setup.has_loss && (self.now == 4_000 || self.now == 9_000) {
            for server in 0..self.setup.servers * 3 / 10 {
                self.crash(server, None);
            }
        }
        self.crash_under_causes();
    }

    /// Sends a request to a server that is up.
    fn send(&mut self, request: u64, node: usize, tries: u32) {
        if self.is_quarantined(request, node) {
            if request > self.setup.causes {
                self.others_quarantined.insert(request);
            }
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|n| self.servers[*n].down_until <= self.now).collect();
        let Some(server) = self.rng.choice(&up) else { return };
        let first_byte_at = self.now + self.rng.u64(30..300);
        let done_at = first_byte_at + self.rng.u64(50..2_500);
        let sent_at = self.now;
        let attempt = Attempt { request, node, sent_at, first_byte_at, done_at, tries };
        self.servers[*server].attempts.push(attempt);
    }

    fn is_quarantined(&self, request: u64, node: usize) -> bool {
        let fingerprint = Fingerprint::from_number(request);
        let counted =
            |node| self.counts.get(&(node, request)).is_some_and(|crashes| crashes.len() >= 3);
        match self.policy {
            Policy::EachNode => counted(node),
            Policy::Counting => counted(0),
            Policy::Owner => {
                self.nodes[node].get_quarantine_remaining(self.now, fingerprint).is_some()
            }
        }
    }

    /// Crashes the servers at which a cause starts to run.
    fn crash_under_causes(&mut self) {
        for server in 0..self.servers.len() {
            let causes = self.setup.causes;
            let begun =
                |attempt: &&Attempt| attempt.request <= causes && self.now >= attempt.first_byte_at;
            let cause = self.servers[server].attempts.iter().find(begun).map(|a| a.request);
            if let Some(cause) = cause {
                self.crashes.entry(cause).or_default().push(self.now);
                self.crash(server, Some(cause));
            }
        }
    }

    /// Crashes a server: its requests are reported, and the others are retried elsewhere up to
    /// twice.
    fn crash(&mut self, server: usize, cause: Option<u64>) {
        self.servers[server].down_until = self.now + RESTART_TIME_MS;
        let interrupted = std::mem::take(&mut self.servers[server].attempts);
        let mut by_node: BTreeMap<usize, Vec<InterruptedRequest>> = BTreeMap::new();
        for attempt in &interrupted {
            if self.now < attempt.first_byte_at + SUSPICION_PERIOD_MS {
                let fingerprint = Fingerprint::from_number(attempt.request);
                let ran_for = self.now - attempt.sent_at;
                by_node
                    .entry(attempt.node)
                    .or_default()
                    .push(InterruptedRequest { fingerprint, ran_for });
                let counter = if self.policy == Policy::EachNode { attempt.node } else { 0 };
                let counted = self.counts.entry((counter, attempt.request)).or_default();
                counted.insert((server, self.now));
            }
        }
        for (node, runs) in by_node {
            let crash = Crash { service: SERVICE, server: server as u64, age: 0, runs };
            self.nodes[node].record_crash(self.now, crash);
            let owner = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
            for (_, report) in self.nodes[node].take_due(self.now, |_| Some(owner)) {
                let Report::Requests(crash) = report else { continue };
                self.to_owner.push_back((self.now + TRANSIT_TIME_MS, crash));
            }
        }
        for attempt in interrupted {
            if Some(attempt.request) != cause && attempt.tries < 2 {
                self.send(attempt.request, attempt.node, attempt.tries + 1);
            }
        }
    }

    /// Ends the requests that are complete.
    fn complete_requests(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            let done = server.attempts.extract_if(.., |attempt| now >= attempt.done_at);
            for attempt in done {
                let fingerprint = Fingerprint::from_number(attempt.request);
                let completion = self.nodes[attempt.node].record_completion(now, fingerprint);
                if completion.is_some()
                    && let Some(verdict) = self.owner.merge_completion(now, fingerprint)
                {
                    self.to_nodes.push_back((now + TRANSIT_TIME_MS, verdict));
                }
            }
        }
    }

    /// Delivers reports and verdicts.
    fn deliver(&mut self) {
        while self.to_owner.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, crash)) = self.to_owner.pop_front() else { break };
            self.owner.merge_report(self.now, &Crash { age: TRANSIT_TIME_MS, ..crash });
        }
        while self.to_nodes.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, verdict)) = self.to_nodes.pop_front() else { break };
            for node in &mut self.nodes {
                if node.merge(self.now, verdict).is_answered_here {
                    self.owner.merge_completion(self.now, verdict.fingerprint);
                }
            }
        }
        if self.now.is_multiple_of(200) {
            for verdict in self.owner.judge(self.now) {
                assert!(verdict.standing != Standing::Quarantined || verdict.servers_crashed >= 3);
                self.to_nodes.push_back((self.now + TRANSIT_TIME_MS, verdict));
            }
        }
    }
}

const SETUPS: [Setup; 5] = [
    Setup { nodes: 8, servers: 10, in_flight: 8, repeats: 200, causes: 1, has_loss: false },
    Setup { nodes: 8, servers: 30, in_flight: 8, repeats: 1_500, causes: 1, has_loss: true },
    Setup { nodes: 8, servers: 30, in_flight: 8, repeats: 300, causes: 3, has_loss: true },
    Setup { nodes: 40, servers: 80, in_flight: 12, repeats: 100, causes: 2, has_loss: true },
    Setup { nodes: 8, servers: 30, in_flight: 12, repeats: 400, causes: 0, has_loss: true },
];

/// Sums the outcomes of several seeds.
fn sum(setup: Setup, policy: Policy, seeds: u64) -> Outcome {
    (0..seeds).map(|seed| Trial::run(setup, policy, seed)).fold(Outcome::default(), |sum, trial| {
        Outcome {
            crashed: sum.crashed + trial.crashed,
            crashed_late: sum.crashed_late + trial.crashed_late,
            others_quarantined: sum.others_quarantined + trial.others_quarantined,
        }
    })
}

#[test]
fn causes_are_quarantined_in_time_and_other_requests_are_not() {
    for setup in SETUPS {
        for seed in 0..10 {
            let outcome = Trial::run(setup, Policy::Owner, seed);
            let allowed = 3 * setup.causes as usize;
            assert!(outcome.crashed_late <= allowed, "{setup:?} {seed}: {outcome:?}");
            assert_eq!(outcome.others_quarantined, 0, "{setup:?} {seed}: {outcome:?}");
        }
    }
}

#[test]
fn counting_each_request_separately_quarantines_others_or_is_late() {
    let setup = SETUPS[2];
    let [each_node, counting, owner] =
        [Policy::EachNode, Policy::Counting, Policy::Owner].map(|policy| sum(setup, policy, 10));
    assert!(each_node.crashed > 2 * owner.crashed, "{each_node:?} {owner:?}");
    assert!(counting.others_quarantined > 0, "{counting:?}");
}

/// Prints the figures of docs/MEASUREMENTS.md.
#[test]
#[ignore = "prints figures; run by hand"]
fn compare() {
    for setup in SETUPS {
        for policy in [Policy::EachNode, Policy::Counting, Policy::Owner] {
            println!("{setup:?} {policy:?}: {:?}", sum(setup, policy, 50));
        }
    }
}
