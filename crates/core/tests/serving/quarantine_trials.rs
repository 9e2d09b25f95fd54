//! Requests that crash servers, in fleets of several sizes: how many servers crash under them, and how many
//! other requests are refused. The keeper that looks for the fewest causes is compared with counting three
//! crashes for each request by itself, at each node and at a keeper.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use fastrand::Rng;
use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::{
    Crash, Fingerprint, InterruptedRequest, SUSPICION_PERIOD, Standing, Tracker, Verdict,
};

/// Who decides which request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Each node refuses what three servers crashed under at this node.
    EachNode,
    /// A keeper refuses what three servers crashed under, whatever ran beside it.
    Counting,
    /// The keeper of the product.
    Keeper,
}

/// A fleet and its faults.
#[derive(Clone, Copy, Debug)]
struct Setup {
    nodes: usize,
    servers: usize,
    /// Requests in flight at each server.
    in_flight: usize,
    /// The time between two repeats of each request that crashes servers, in milliseconds.
    repeats: Millis,
    /// How many such requests there are.
    causes: u64,
    /// Whether three in ten servers are lost at once, twice.
    has_loss: bool,
}

const TICK: Millis = 10;
const LASTS: Millis = 15_000;
const SERVICE: u64 = 7;
/// How long a server that crashed is away.
const AWAY: Millis = 2_500;
/// A report of a node takes so long to the keeper, and a verdict to all nodes: some tens of milliseconds
/// until it is sent, three nodes on small VMs, and the way from another region.
const ON_THE_WAY: Millis = 150;
/// The time in which all nodes must know of a cause.
const KNOWN_WITHIN: Millis = 3_000;
/// One in so many requests is the same popular one.
const POPULAR: u64 = 10;
const POPULAR_REQUEST: u64 = 1_000;

/// A request at a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: u64,
    node: usize,
    sent_at: Millis,
    first_at: Millis,
    done_at: Millis,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct Server {
    away_until: Millis,
    attempts: Vec<Attempt>,
}

/// What came of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// Servers that crashed under a cause.
    crashed: usize,
    /// Those that crashed later than all nodes must know of the cause.
    crashed_late: usize,
    /// Other requests that were refused.
    others_refused: usize,
}

struct Trial {
    setup: Setup,
    way: Way,
    rng: Rng,
    now: Millis,
    next_request: u64,
    servers: Vec<Server>,
    nodes: Vec<Tracker>,
    keeper: Tracker,
    /// What counting knows: servers that crashed under a request, by node.
    counts: BTreeMap<(usize, u64), BTreeSet<(usize, Millis)>>,
    to_keeper: VecDeque<(Millis, Crash)>,
    to_nodes: VecDeque<(Millis, Verdict)>,
    /// When servers crashed under each cause.
    crashes: BTreeMap<u64, Vec<Millis>>,
    others_refused: BTreeSet<u64>,
}

impl Trial {
    fn run(setup: Setup, way: Way, seed: u64) -> Outcome {
        let mut trial = Self {
            setup,
            way,
            rng: Rng::with_seed(seed),
            now: 0,
            next_request: 10_000,
            servers: vec![Server::default(); setup.servers],
            nodes: vec![Tracker::default(); setup.nodes],
            keeper: Tracker::default(),
            counts: BTreeMap::new(),
            to_keeper: VecDeque::new(),
            to_nodes: VecDeque::new(),
            crashes: BTreeMap::new(),
            others_refused: BTreeSet::new(),
        };
        while trial.now < LASTS {
            trial.now += TICK;
            trial.step();
        }
        let all = trial.crashes.values();
        let late = all.clone().map(|crashes| {
            let known_at = crashes.get(2).map_or(Millis::MAX, |third| third + KNOWN_WITHIN);
            crashes.iter().filter(|at| **at > known_at).count()
        });
        Outcome {
            crashed: all.map(Vec::len).sum(),
            crashed_late: late.sum(),
            others_refused: trial.others_refused.len(),
        }
    }

    fn step(&mut self) {
        self.deliver();
        self.answer();
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
            let is_popular = self.rng.u64(..POPULAR) == 0;
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
        if self.is_refused(request, node) {
            if request > self.setup.causes {
                self.others_refused.insert(request);
            }
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|n| self.servers[*n].away_until <= self.now).collect();
        let Some(server) = self.rng.choice(&up) else { return };
        let first_at = self.now + self.rng.u64(30..300);
        let done_at = first_at + self.rng.u64(50..2_500);
        let sent_at = self.now;
        let attempt = Attempt { request, node, sent_at, first_at, done_at, tries };
        self.servers[*server].attempts.push(attempt);
    }

    fn is_refused(&self, request: u64, node: usize) -> bool {
        let fingerprint = Fingerprint::from_number(request);
        let counted =
            |node| self.counts.get(&(node, request)).is_some_and(|crashes| crashes.len() >= 3);
        match self.way {
            Way::EachNode => counted(node),
            Way::Counting => counted(0),
            Way::Keeper => self.nodes[node].get_quarantine_left(self.now, fingerprint).is_some(),
        }
    }

    /// Ends servers at which a cause begins to run.
    fn crash_under_causes(&mut self) {
        for server in 0..self.servers.len() {
            let causes = self.setup.causes;
            let begun =
                |attempt: &&Attempt| attempt.request <= causes && self.now >= attempt.first_at;
            let cause = self.servers[server].attempts.iter().find(begun).map(|a| a.request);
            if let Some(cause) = cause {
                self.crashes.entry(cause).or_default().push(self.now);
                self.crash(server, Some(cause));
            }
        }
    }

    /// Ends a server: its requests are reported, and the others are sent elsewhere up to twice.
    fn crash(&mut self, server: usize, cause: Option<u64>) {
        self.servers[server].away_until = self.now + AWAY;
        let cut = std::mem::take(&mut self.servers[server].attempts);
        let mut by_node: BTreeMap<usize, Vec<InterruptedRequest>> = BTreeMap::new();
        for attempt in &cut {
            if self.now < attempt.first_at + SUSPICION_PERIOD {
                let fingerprint = Fingerprint::from_number(attempt.request);
                let ran_for = self.now - attempt.sent_at;
                by_node
                    .entry(attempt.node)
                    .or_default()
                    .push(InterruptedRequest { fingerprint, ran_for });
                let counter = if self.way == Way::EachNode { attempt.node } else { 0 };
                let counted = self.counts.entry((counter, attempt.request)).or_default();
                counted.insert((server, self.now));
            }
        }
        for (node, runs) in by_node {
            let crash = Crash { service: SERVICE, server: server as u64, age: 0, runs };
            self.nodes[node].record_crash(self.now, crash);
            let keeper = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
            for (_, crash) in self.nodes[node].take_due(self.now, |_| Some(keeper)) {
                self.to_keeper.push_back((self.now + ON_THE_WAY, crash));
            }
        }
        for attempt in cut {
            if Some(attempt.request) != cause && attempt.tries < 2 {
                self.send(attempt.request, attempt.node, attempt.tries + 1);
            }
        }
    }

    /// Ends the answers that are whole.
    fn answer(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            let done = server.attempts.extract_if(.., |attempt| now >= attempt.done_at);
            for attempt in done {
                let fingerprint = Fingerprint::from_number(attempt.request);
                let told = self.nodes[attempt.node].record_completion(now, fingerprint);
                if told.is_some()
                    && let Some(verdict) = self.keeper.merge_completion(now, fingerprint)
                {
                    self.to_nodes.push_back((now + ON_THE_WAY, verdict));
                }
            }
        }
    }

    /// Lets reports and verdicts arrive.
    fn deliver(&mut self) {
        while self.to_keeper.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, crash)) = self.to_keeper.pop_front() else { break };
            self.keeper.merge_report(self.now, &Crash { age: ON_THE_WAY, ..crash });
        }
        while self.to_nodes.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, verdict)) = self.to_nodes.pop_front() else { break };
            for node in &mut self.nodes {
                if node.merge(self.now, verdict).is_answered_here {
                    self.keeper.merge_completion(self.now, verdict.fingerprint);
                }
            }
        }
        if self.now.is_multiple_of(200) {
            for verdict in self.keeper.judge(self.now) {
                assert!(verdict.standing != Standing::Quarantined || verdict.servers_crashed >= 3);
                self.to_nodes.push_back((self.now + ON_THE_WAY, verdict));
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

/// Sums the outcomes of some seeds.
fn sum(setup: Setup, way: Way, seeds: u64) -> Outcome {
    (0..seeds).map(|seed| Trial::run(setup, way, seed)).fold(Outcome::default(), |sum, trial| {
        Outcome {
            crashed: sum.crashed + trial.crashed,
            crashed_late: sum.crashed_late + trial.crashed_late,
            others_refused: sum.others_refused + trial.others_refused,
        }
    })
}

#[test]
fn causes_are_refused_in_time_and_other_requests_are_not() {
    for setup in SETUPS {
        for seed in 0..10 {
            let outcome = Trial::run(setup, Way::Keeper, seed);
            let allowed = 3 * setup.causes as usize;
            assert!(outcome.crashed_late <= allowed, "{setup:?} {seed}: {outcome:?}");
            assert_eq!(outcome.others_refused, 0, "{setup:?} {seed}: {outcome:?}");
        }
    }
}

#[test]
fn counting_each_request_by_itself_refuses_others_or_is_late() {
    let setup = SETUPS[2];
    let [alone, counting, keeper] =
        [Way::EachNode, Way::Counting, Way::Keeper].map(|way| sum(setup, way, 10));
    assert!(alone.crashed > 2 * keeper.crashed, "{alone:?} {keeper:?}");
    assert!(counting.others_refused > 0, "{counting:?}");
}

/// Prints the figures of docs/MEASUREMENTS.md.
#[test]
#[ignore = "prints figures; run by hand"]
fn compare() {
    for setup in SETUPS {
        for way in [Way::EachNode, Way::Counting, Way::Keeper] {
            println!("{setup:?} {way:?}: {:?}", sum(setup, way, 50));
        }
    }
}
