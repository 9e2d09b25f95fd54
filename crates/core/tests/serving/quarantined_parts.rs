//! Parts of prompts that crash servers, in fleets of several sizes: how many requests reach servers
//! too late, and how many sound parts are quarantined.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use fastrand::Rng;
use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::{
    Crash, Fingerprint, InterruptedPrompt, InterruptedRequest, PromptCrash, Report, Standing,
    Tracker, Verdict,
};

const TICK_MS: Millis = 10;
const DURATION_MS: Millis = 16_000;
const SERVICE: u64 = 7;
/// The time that a report takes to the owner, and a verdict to all nodes.
const TRANSIT_TIME_MS: Millis = 150;
/// The time within which all nodes must know of a part that crashed five servers.
const MAX_DETECTION_TIME_MS: Millis = 3_000;
/// How long a request runs, and how long one with a crashing part does.
const RUN_MS: Millis = 400;
const CRASH_AFTER_MS: Millis = 80;
/// The parts that crash servers are numbered from here.
const FIRST_CAUSE: u64 = 900;
/// The part that all sound requests of a route begin with.
const COMMON_PART: u64 = 1;

/// A fleet and its faults.
#[derive(Clone, Copy, Debug)]
struct Setup {
    nodes: usize,
    servers: usize,
    /// Interval between sound requests, in milliseconds.
    sound_interval: Millis,
    /// Interval between requests with a crashing part, in milliseconds.
    crashing_interval: Millis,
    /// Parts that crash servers.
    causes: u64,
    /// How long a crashed server is down, in milliseconds.
    down_ms: Millis,
    /// Whether three in ten servers are lost at once, twice.
    has_loss: bool,
    /// Whether servers crash at random, one in this many milliseconds.
    random_crashes: Option<Millis>,
    /// Whether crashing prompts begin with the common part, or with the crashing one.
    is_cause_first: bool,
}

const BASE: Setup = Setup {
    nodes: 8,
    servers: 12,
    sound_interval: 60,
    crashing_interval: 250,
    causes: 1,
    down_ms: 2_500,
    has_loss: false,
    random_crashes: None,
    is_cause_first: false,
};

#[derive(Clone, Debug)]
struct Attempt {
    request: u64,
    parts: Vec<u64>,
    node: usize,
    sent_at: Millis,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct Server {
    down_until: Millis,
    attempts: Vec<Attempt>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Servers crashed by parts.
    crashed: usize,
    /// Requests with a crashing part that reached servers too late.
    late: usize,
    sound_quarantined: BTreeSet<u64>,
}

struct Trial {
    setup: Setup,
    rng: Rng,
    now: Millis,
    next_request: u64,
    servers: Vec<Server>,
    nodes: Vec<Tracker>,
    owner: Tracker,
    to_owner: VecDeque<(Millis, Report)>,
    to_nodes: VecDeque<(Millis, Verdict)>,
    crashes: BTreeMap<u64, Vec<Millis>>,
    outcome: Outcome,
}

impl Trial {
    fn run(setup: Setup, seed: u64) -> Outcome {
        let mut trial = Self {
            setup,
            rng: Rng::with_seed(seed),
            now: 0,
            next_request: 10_000,
            servers: vec![Server::default(); setup.servers],
            nodes: vec![Tracker::default(); setup.nodes],
            owner: Tracker::default(),
            to_owner: VecDeque::new(),
            to_nodes: VecDeque::new(),
            crashes: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        while trial.now < DURATION_MS {
            trial.now += TICK_MS;
            trial.step();
        }
        trial.outcome
    }

    fn step(&mut self) {
        let now = self.now;
        if now.is_multiple_of(self.setup.sound_interval / TICK_MS * TICK_MS) {
            let parts = vec![COMMON_PART, self.rng.u64(10..16), self.rng.u64(20..60)];
            self.begin(parts);
        }
        let is_due = now > 1_000 && now.is_multiple_of(self.setup.crashing_interval);
        if is_due && self.setup.causes > 0 {
            let cause = FIRST_CAUSE + self.rng.u64(..self.setup.causes);
            let rest = [self.rng.u64(10..16), self.rng.u64(20..60)];
            let parts = match self.setup.is_cause_first {
                true => vec![cause, COMMON_PART, rest[0], rest[1]],
                false => vec![COMMON_PART, rest[0], cause, rest[1]],
            };
            self.begin(parts);
        }
        if self.setup.has_loss && (now == 3_000 || now == 6_000) {
            for server in 0..self.setup.servers * 3 / 10 {
                self.crash(server);
            }
        }
        if self.setup.random_crashes.is_some_and(|interval| now.is_multiple_of(interval)) {
            let server = self.rng.usize(..self.setup.servers);
            self.crash(server);
        }
        self.run_servers();
        self.deliver();
    }

    fn begin(&mut self, parts: Vec<u64>) {
        self.next_request += 1;
        let node = self.rng.usize(..self.nodes.len());
        let (request, sent_at) = (self.next_request, self.now);
        self.send(Attempt { request, parts, node, sent_at, tries: 1 });
    }

    fn send(&mut self, attempt: Attempt) {
        let is_refused = attempt.parts.iter().any(|part| {
            let part = Fingerprint::of_part(*part);
            self.nodes[attempt.node].get_quarantine_remaining(self.now, part).is_some()
        });
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].down_until <= self.now)
            .collect();
        if is_refused || up.is_empty() {
            return;
        }
        if let Some(cause) = attempt.parts.iter().find(|part| **part >= FIRST_CAUSE) {
            let fifth = self.crashes.get(cause).and_then(|crashes| crashes.get(4));
            let is_late = fifth.is_some_and(|at| self.now > at + MAX_DETECTION_TIME_MS);
            self.outcome.late += usize::from(is_late);
        }
        let server = up[self.rng.usize(..up.len())];
        self.servers[server].attempts.push(Attempt { sent_at: self.now, ..attempt });
    }

    fn run_servers(&mut self) {
        for server in 0..self.servers.len() {
            let now = self.now;
            let cause = self.servers[server].attempts.iter().find_map(|attempt| {
                let is_due = now >= attempt.sent_at + CRASH_AFTER_MS;
                attempt.parts.iter().copied().find(|part| *part >= FIRST_CAUSE && is_due)
            });
            if let Some(cause) = cause {
                self.outcome.crashed += 1;
                self.crashes.entry(cause).or_default().push(now);
                self.crash(server);
            }
            let done: Vec<Attempt> = self.servers[server]
                .attempts
                .extract_if(.., |attempt| now >= attempt.sent_at + RUN_MS)
                .collect();
            done.iter().for_each(|attempt| self.complete(attempt));
        }
    }

    fn complete(&mut self, attempt: &Attempt) {
        let now = self.now;
        for part in &attempt.parts {
            let part = Fingerprint::of_part(*part);
            let completion = self.nodes[attempt.node].record_part_completion(now, part);
            if completion.is_some()
                && let Some(verdict) = self.owner.merge_completion(now, part)
            {
                self.to_nodes.push_back((now + TRANSIT_TIME_MS, verdict));
            }
        }
    }

    /// Crashes a server: its requests are reported, and retried elsewhere once.
    fn crash(&mut self, server: usize) {
        self.servers[server].down_until = self.now + self.setup.down_ms;
        let interrupted = std::mem::take(&mut self.servers[server].attempts);
        let mut by_node: BTreeMap<usize, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &interrupted {
            by_node.entry(attempt.node).or_default().push(attempt);
        }
        for (node, attempts) in by_node {
            self.report(node, server as u64, &attempts);
        }
        for attempt in interrupted.into_iter().filter(|attempt| attempt.tries < 2) {
            self.send(Attempt { tries: attempt.tries + 1, ..attempt });
        }
    }

    fn report(&mut self, node: usize, server: u64, attempts: &[&Attempt]) {
        let now = self.now;
        let get_request = |attempt: &&Attempt| Fingerprint::from_number(attempt.request);
        let runs = attempts.iter().map(|attempt| InterruptedRequest {
            fingerprint: get_request(attempt),
            ran_for: now - attempt.sent_at,
        });
        let runs = runs.collect();
        let prompts = attempts.iter().map(|attempt| InterruptedPrompt {
            request: get_request(attempt),
            parts: attempt.parts.iter().map(|part| Fingerprint::of_part(*part)).collect(),
            ran_for: now - attempt.sent_at,
        });
        let prompts = prompts.collect();
        let tracker = &mut self.nodes[node];
        tracker.record_crash(now, Crash { service: SERVICE, server, age: 0, runs });
        tracker.record_prompt_crash(now, PromptCrash { service: SERVICE, server, age: 0, prompts });
        let owner = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        for (_, report) in tracker.take_due(now, |_| Some(owner)) {
            self.to_owner.push_back((now + TRANSIT_TIME_MS, report));
        }
    }

    /// Delivers reports and verdicts.
    fn deliver(&mut self) {
        let now = self.now;
        while self.to_owner.front().is_some_and(|(at, _)| *at <= now) {
            match self.to_owner.pop_front() {
                Some((_, Report::Requests(crash))) => {
                    self.owner.merge_report(now, &Crash { age: TRANSIT_TIME_MS, ..crash });
                }
                Some((_, Report::Prompts(crash))) => {
                    let crash = PromptCrash { age: TRANSIT_TIME_MS, ..crash };
                    self.owner.merge_prompt_report(now, &crash);
                }
                None => break,
            }
        }
        while self.to_nodes.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, verdict)) = self.to_nodes.pop_front() else { break };
            for node in &mut self.nodes {
                if node.merge(now, verdict).is_answered_here {
                    self.owner.merge_completion(now, verdict.fingerprint);
                }
            }
        }
        if now.is_multiple_of(200) {
            for verdict in self.owner.judge(now) {
                self.to_nodes.push_back((now + TRANSIT_TIME_MS, verdict));
                self.check_sound(&verdict);
            }
        }
    }

    /// Records a sound part that is quarantined.
    fn check_sound(&mut self, verdict: &Verdict) {
        let is_it = |part: &u64| Fingerprint::of_part(*part) == verdict.fingerprint;
        let sound = (1..FIRST_CAUSE).find(is_it);
        if verdict.standing == Standing::Quarantined {
            self.outcome.sound_quarantined.extend(sound);
        }
    }
}

const SETUPS: [Setup; 10] = [
    BASE,
    Setup { is_cause_first: true, ..BASE },
    Setup { crashing_interval: 1_500, ..BASE },
    Setup { down_ms: 1_100, crashing_interval: 100, ..BASE },
    Setup { causes: 3, servers: 30, crashing_interval: 120, ..BASE },
    Setup { has_loss: true, servers: 30, ..BASE },
    Setup { has_loss: true, servers: 30, causes: 0, ..BASE },
    Setup { random_crashes: Some(300), servers: 30, causes: 0, ..BASE },
    Setup { random_crashes: Some(300), servers: 30, ..BASE },
    Setup { nodes: 40, servers: 80, sound_interval: 20, has_loss: true, causes: 2, ..BASE },
];

#[test]
fn only_parts_that_crash_servers_are_quarantined_and_in_time() {
    for setup in SETUPS {
        for seed in 0..20 {
            let outcome = Trial::run(setup, seed);
            let allowed = 3 * setup.causes as usize;
            assert!(outcome.late <= allowed, "{setup:?} {seed}: {outcome:?}");
            assert!(outcome.sound_quarantined.is_empty(), "{setup:?} {seed}: {outcome:?}");
        }
    }
}

/// Prints the figures of docs/design/quarantine.md.
#[test]
#[ignore = "prints figures; run by hand"]
fn print_trials() {
    for setup in SETUPS {
        let outcomes: Vec<Outcome> = (0..50).map(|seed| Trial::run(setup, seed)).collect();
        let crashed: usize = outcomes.iter().map(|outcome| outcome.crashed).sum();
        let late: usize = outcomes.iter().map(|outcome| outcome.late).sum();
        let worst = outcomes.iter().map(|outcome| outcome.late).max().unwrap_or(0);
        let sound: usize = outcomes.iter().map(|outcome| outcome.sound_quarantined.len()).sum();
        println!("{setup:?}: {crashed} crashed, {late} late, {worst} at most, {sound} sound");
    }
}

fn part(number: u64) -> Fingerprint {
    Fingerprint::of_part(number)
}

/// A crash with one request, which was sent 50 ms before, and the parts of its prompt.
fn crash(server: u64, request: u64, parts: &[u64]) -> PromptCrash {
    let parts = parts.iter().map(|number| part(*number)).collect();
    let request = Fingerprint::from_number(request);
    let prompts = vec![InterruptedPrompt { request, parts, ran_for: 50 }];
    PromptCrash { service: SERVICE, server, age: 0, prompts }
}

/// Reports crashes a second apart, and returns the quarantined fingerprints.
fn judge(owner: &mut Tracker, crashes: &[PromptCrash]) -> Vec<Fingerprint> {
    let mut quarantined = Vec::new();
    for (index, crash) in crashes.iter().enumerate() {
        let at = 10_000 + index as Millis * 1_000;
        owner.merge_prompt_report(at, crash);
        let verdicts = owner.judge(at + 500);
        let found = verdicts.iter().filter(|found| found.standing == Standing::Quarantined);
        quarantined.extend(found.map(|found| found.fingerprint));
    }
    quarantined
}

#[test]
fn a_part_that_only_one_request_has_is_not_blamed_for_that_request() {
    let mut owner = Tracker::default();
    let crashes: Vec<_> = (1..=8).map(|server| crash(server, 500, &[5, 6])).collect();
    assert_eq!(judge(&mut owner, &crashes), []);
}

#[test]
fn interruptions_at_servers_that_listen_count_only_while_other_prompts_are_completed() {
    let mut node = Tracker::default();
    assert!(!node.record_prompt_reset(1_000, crash(1, 500, &[5, 6])));
    node.record_part_completion(1_500, part(6));
    assert!(node.record_prompt_reset(2_000, crash(1, 501, &[5, 6])));
    assert!(!node.record_prompt_reset(9_000, crash(1, 502, &[5, 6])));
    // A server that no longer listens has crashed.
    assert!(node.record_prompt_crash(9_000, crash(1, 503, &[5, 6])));
}

#[test]
fn two_parts_that_always_come_together_are_both_quarantined() {
    let mut owner = Tracker::default();
    let crashes: Vec<_> = (1..=6).map(|server| crash(server, 500 + server, &[5, 6])).collect();
    let mut expected = vec![part(5), part(6)];
    expected.sort();
    let mut found = judge(&mut owner, &crashes);
    found.sort();
    assert_eq!(found, expected);
}

#[test]
fn a_part_that_was_completed_recently_is_cleared() {
    let mut owner = Tracker::default();
    owner.record_part_completion(9_000, part(6));
    let crashes: Vec<_> = (1..=4).map(|server| crash(server, 500 + server, &[5, 6])).collect();
    assert_eq!(judge(&mut owner, &crashes), [part(5)]);
    assert_eq!(owner.get_quarantine_remaining(14_000, part(6)), None);
}

#[test]
fn the_reports_of_a_service_at_the_planned_size_are_bounded() {
    let mut owner = Tracker::default();
    for number in 0..20_000 {
        let parts: Vec<u64> = (number * 8..number * 8 + 8).collect();
        owner.merge_prompt_report(10_000 + number, &crash(number, number, &parts));
    }
    assert!(owner.judge(40_000).iter().all(|found| found.standing != Standing::Quarantined));
}
