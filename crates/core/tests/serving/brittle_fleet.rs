//! A simulated fleet with brittle servers, for the tests of slots.
//!
//! Nodes exchange messages that take some milliseconds and may be lost. A server rejects what it
//! has no slot for, and crashes if it rejects more than it tolerates in a second.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use fastrand::Rng;
use keeljunction_core::serving::backpressure::{
    Decision, Holding, InstanceKey, Signal, SlotRequest, Tracker,
};
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::quota::Reachability;

use crate::support::server as make_server;

/// Time until a server that crashed is back, in milliseconds.
const DOWN_MS: u64 = 2_500;
/// Interval at which nodes repeat their counts, in milliseconds.
const REPEAT_MS: u64 = 200;
/// Time until a node notices that another one fell silent, in milliseconds.
const DETECTION_MS: u64 = 1_000;
/// Timeout of a decision, and how long a node without a decision leaves a server out.
const DECISION_TIMEOUT_MS: u64 = 40;
const UNDECIDED_MS: u64 = 200;
/// Servers that are tried for one request.
const MAX_TRIES: usize = 8;
/// The longest transit time of a message, in milliseconds.
const MAX_TRANSIT_MS: u64 = 3;
/// The window in which servers count rejections.
const WINDOW_MS: u64 = 1_000;

/// How nodes decide whether a server has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By what the others reported at the last repetition.
    Guess,
    /// Each node has an equal share of the slots.
    Share,
    /// The owner of the server grants its slots.
    Grant,
}

/// The size and the load of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub servers: usize,
    pub slots: u32,
    /// How long a request runs, in milliseconds.
    pub run_ms: u64,
    /// Rejections per second that a server tolerates.
    pub max_rejections: u32,
    /// The load as a fraction of what all servers can run.
    pub load: f64,
    pub way: Way,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request reaches its server from a node's process.
    Arrive { node: usize, process: u64, server: usize, incarnation: u64 },
    /// A request ends at its server.
    Finish { node: usize, process: u64, server: usize, incarnation: u64 },
    /// The node learns of the end.
    End { node: usize, process: u64, server: usize, is_rejected: bool },
    /// The server starts again.
    Restart { server: usize },
}

struct Node {
    tracker: Tracker,
    /// Changes with each start.
    process: u64,
    is_alive: bool,
    /// Other nodes hear this one only within its group.
    group: usize,
    /// Nodes that this one hears, as it believes.
    view: Vec<usize>,
    in_flight: BTreeMap<usize, u32>,
}

struct Backend {
    server: Server,
    /// Nodes and processes whose requests run.
    running: Vec<(usize, u64)>,
    is_up: bool,
    rejections: VecDeque<u64>,
    /// The loads of all nodes as of the last repetition.
    reported: u32,
}

/// The fleet.
pub struct Fleet {
    plan: Plan,
    random: Rng,
    now: u64,
    nodes: Vec<Node>,
    backends: Vec<Backend>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Messages to owners that are in transit.
    counts: VecDeque<(u64, usize, usize, Holding)>,
    /// When nodes compute their views again.
    view_due: Option<u64>,
    debt: f64,
    pub sent: usize,
    pub served: usize,
    pub crashes: usize,
    pub rejections: usize,
    /// The most rejections of one server within a second.
    pub worst: usize,
}

impl Fleet {
    /// Starts a fleet that has known for a while that its servers are brittle, or whose nodes know
    /// nothing if `is_fresh` is set.
    pub fn start(plan: Plan, is_fresh: bool) -> Self {
        let mut random = Rng::with_seed(plan.seed);
        let all: Vec<usize> = (0..plan.nodes).collect();
        let nodes = all.iter().map(|_| {
            let process = random.u64(..);
            Node {
                tracker: Tracker::new(random.f64(), process),
                process,
                is_alive: true,
                group: 0,
                view: all.clone(),
                in_flight: BTreeMap::new(),
            }
        });
        let nodes = nodes.collect();
        let backends = (0..plan.servers).map(|number| Backend {
            server: Server { slots: plan.slots, ..make_server(&format!("s-{number}"), "z1") },
            running: Vec::new(),
            is_up: true,
            rejections: VecDeque::new(),
            reported: 0,
        });
        let backends = backends.collect();
        let mut fleet = Self {
            plan,
            random,
            now: 0,
            nodes,
            backends,
            events: BinaryHeap::new(),
            counts: VecDeque::new(),
            view_due: None,
            debt: 0.0,
            sent: 0,
            served: 0,
            crashes: 0,
            rejections: 0,
            worst: 0,
        };
        fleet.update_views();
        if !is_fresh {
            (0..plan.nodes).for_each(|node| fleet.announce(node, 0));
            fleet.now = 10_000;
        }
        fleet
    }

    /// Records the announcement of a server at a node.
    fn announce(&mut self, node: usize, server: usize) {
        let signal = Signal { max_rejections: Some(self.plan.max_rejections), ..Signal::default() };
        let server = &self.backends[server].server;
        self.nodes[node].tracker.record(self.now, self.now, server, &signal);
    }

    /// Starts a node's process again, without knowledge. Its connections break.
    pub fn restart(&mut self, node: usize) {
        self.kill(node);
        let process = self.random.u64(..);
        self.nodes[node].tracker = Tracker::new(self.random.f64(), process);
        self.nodes[node].process = process;
        self.nodes[node].is_alive = true;
    }

    /// Kills a node. Servers drop its requests.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].in_flight.clear();
        for backend in &mut self.backends {
            backend.running.retain(|(running, _)| *running != node);
        }
        self.nodes[node].is_alive = false;
        self.nodes[node].process = 0;
        self.view_due = Some(self.now + DETECTION_MS);
    }

    /// Cuts a node off from the nodes of other groups; it still reaches the servers.
    pub fn set_group(&mut self, node: usize, group: usize) {
        self.nodes[node].group = group;
        self.view_due = Some(self.now + DETECTION_MS);
    }

    /// Runs the fleet for a time.
    pub fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.step();
            self.now += 1;
        }
    }

    fn step(&mut self) {
        if self.view_due.is_some_and(|due| due <= self.now) {
            self.view_due = None;
            self.update_views();
        }
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, event))) = self.events.pop() else { break };
            self.handle(event);
        }
        while self.counts.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, holding)) = self.counts.pop_front() else { break };
            if self.can_hear(from, to) {
                self.nodes[to].tracker.record_holding(self.now, &holding);
            }
        }
        if self.now.is_multiple_of(REPEAT_MS) {
            self.repeat();
        }
        let rate = f64::from(self.plan.slots) * self.plan.servers as f64 / self.plan.run_ms as f64;
        self.debt += rate * self.plan.load;
        while self.debt >= 1.0 {
            self.debt -= 1.0;
            self.send();
        }
    }

    fn update_views(&mut self) {
        let seen: Vec<(usize, bool)> =
            self.nodes.iter().map(|node| (node.group, node.is_alive)).collect();
        let now = self.now;
        for node in &mut self.nodes {
            let is_seen = |other: &usize| seen[*other] == (node.group, true);
            node.view = (0..seen.len()).filter(is_seen).collect();
            let owners: Vec<u64> = node.view.iter().map(|other| *other as u64).collect();
            node.tracker.record_owners(now, &owners);
        }
    }

    fn can_hear(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        from.is_alive && to.is_alive && from.group == to.group
    }

    fn find_owner(&self, node: usize, server: usize) -> usize {
        let key = InstanceKey::of(&self.backends[server].server).server;
        let weight = |other: &&usize| key.wrapping_mul(2 * **other as u64 + 1).rotate_left(17);
        self.nodes[node].view.iter().max_by_key(weight).copied().unwrap_or(node)
    }

    /// Sends a request of a random node to a server that has room, if one is found.
    fn send(&mut self) {
        let node = self.random.usize(..self.nodes.len());
        if !self.nodes[node].is_alive {
            return;
        }
        self.sent += 1;
        let mut delay = 0;
        for _ in 0..MAX_TRIES {
            let server = self.random.usize(..self.backends.len());
            let (is_accepted, took) = self.acquire(node, server);
            delay += took;
            if is_accepted {
                let backend = &self.backends[server].server;
                self.nodes[node].tracker.end_claim(InstanceKey::of(backend).server);
                *self.nodes[node].in_flight.entry(server).or_default() += 1;
                let at = self.now + delay + self.random.u64(1..=MAX_TRANSIT_MS);
                let process = self.nodes[node].process;
                let incarnation = backend.incarnation;
                let event = Event::Arrive { node, process, server, incarnation };
                self.events.push(Reverse((at, event)));
                return;
            }
        }
    }

    /// Returns whether a node may send a request to a server, and how long the decision took.
    fn acquire(&mut self, node: usize, server: usize) -> (bool, u64) {
        let backend = &self.backends[server];
        let in_flight = self.nodes[node].in_flight.get(&server).copied().unwrap_or_default();
        match self.plan.way {
            Way::Guess => (backend.is_up && backend.reported + in_flight < self.plan.slots, 0),
            Way::Share => {
                let share = self.plan.slots / self.plan.nodes as u32;
                let rest = self.plan.slots % self.plan.nodes as u32;
                let rank = (node + server) % self.plan.nodes;
                (backend.is_up && in_flight < share + u32::from((rank as u32) < rest), 0)
            }
            Way::Grant => self.request_slot(node, server, in_flight),
        }
    }

    fn request_slot(&mut self, node: usize, server: usize, in_flight: u32) -> (bool, u64) {
        let now = self.now;
        let backend = self.backends[server].server.clone();
        if !self.backends[server].is_up
            || self.nodes[node].tracker.get_wait(now, &backend).is_some()
        {
            return (false, 0);
        }
        let request = self.nodes[node].tracker.claim_slot(now, &backend, in_flight);
        let owner = self.find_owner(node, server);
        let decision = match self.can_hear(node, owner) {
            true => self.decide(owner, server, &request),
            false => Decision::Undecided,
        };
        let tracker = &mut self.nodes[node].tracker;
        let is_granted = tracker.apply_slot_decision(now, &request, decision, UNDECIDED_MS);
        let took = match decision {
            Decision::Undecided => DECISION_TIMEOUT_MS,
            _ if owner == node => 0,
            _ => 2 * self.random.u64(1..=MAX_TRANSIT_MS),
        };
        (is_granted, took)
    }

    fn decide(&mut self, owner: usize, server: usize, request: &SlotRequest) -> Decision {
        let in_flight = self.nodes[owner].in_flight.get(&server).copied().unwrap_or_default();
        let heard = self.nodes[owner].view.len();
        let reach = Reachability {
            heard,
            known: self.plan.nodes,
            report_delay: REPEAT_MS,
            is_grouped: heard > 40,
        };
        self.nodes[owner].tracker.decide_slot(self.now, request, in_flight, reach)
    }

    /// States a node's count at a server to the owner.
    fn state(&mut self, node: usize, server: usize) {
        if self.plan.way != Way::Grant {
            return;
        }
        let key = InstanceKey::of(&self.backends[server].server);
        let in_flight = self.nodes[node].in_flight.get(&server).copied().unwrap_or_default();
        let holding = self.nodes[node].tracker.state_holding(key, in_flight);
        let owner = self.find_owner(node, server);
        if owner != node {
            self.counts.push_back((self.now + MAX_TRANSIT_MS, node, owner, holding));
        }
    }

    fn repeat(&mut self) {
        for node in 0..self.nodes.len() {
            let servers: Vec<usize> = self.nodes[node].in_flight.keys().copied().collect();
            servers.into_iter().for_each(|server| self.state(node, server));
            self.nodes[node].tracker.expire(self.now);
        }
        for (server, backend) in self.backends.iter_mut().enumerate() {
            let held = self.nodes.iter().filter_map(|node| node.in_flight.get(&server));
            backend.reported = held.sum();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { node, process, server, incarnation } => {
                self.arrive(node, process, server, incarnation);
            }
            Event::Finish { node, process, server, incarnation } => {
                let backend = &mut self.backends[server];
                let is_current = backend.is_up && backend.server.incarnation == incarnation;
                let running = backend.running.iter().position(|run| *run == (node, process));
                if let Some(running) = running.filter(|_| is_current) {
                    backend.running.swap_remove(running);
                    self.served += 1;
                    let at = self.now + self.random.u64(1..=MAX_TRANSIT_MS);
                    let end = Event::End { node, process, server, is_rejected: false };
                    self.events.push(Reverse((at, end)));
                }
            }
            Event::End { node, process, server, is_rejected } => {
                if self.nodes[node].process == process {
                    self.end(node, server, is_rejected);
                }
            }
            Event::Restart { server } => {
                let backend = &mut self.backends[server];
                backend.is_up = true;
                backend.server.incarnation += 1;
            }
        }
    }

    fn arrive(&mut self, node: usize, process: u64, server: usize, incarnation: u64) {
        let backend = &mut self.backends[server];
        if self.nodes[node].process != process {
            return;
        }
        if !backend.is_up || backend.server.incarnation != incarnation {
            return self.end(node, server, false);
        }
        if backend.running.len() < self.plan.slots as usize {
            backend.running.push((node, process));
            let finish = Event::Finish { node, process, server, incarnation };
            self.events.push(Reverse((self.now + self.plan.run_ms, finish)));
            return;
        }
        self.rejections += 1;
        backend.rejections.push_back(self.now);
        backend.rejections.retain(|at| self.now < at + WINDOW_MS);
        self.worst = self.worst.max(backend.rejections.len());
        if backend.rejections.len() as u32 > self.plan.max_rejections {
            return self.crash(server);
        }
        let at = self.now + self.random.u64(1..=MAX_TRANSIT_MS);
        let end = Event::End { node, process, server, is_rejected: true };
        self.events.push(Reverse((at, end)));
    }

    fn crash(&mut self, server: usize) {
        self.crashes += 1;
        let backend = &mut self.backends[server];
        backend.is_up = false;
        backend.running.clear();
        backend.rejections.clear();
        for node in &mut self.nodes {
            node.in_flight.remove(&server);
        }
        self.events.push(Reverse((self.now + DOWN_MS, Event::Restart { server })));
    }

    /// Ends a request at its node.
    fn end(&mut self, node: usize, server: usize, is_rejected: bool) {
        self.announce(node, server);
        if is_rejected && self.plan.way == Way::Grant {
            let owner = self.find_owner(node, server);
            if self.can_hear(node, owner) {
                let key = InstanceKey::of(&self.backends[server].server);
                let in_flight =
                    self.nodes[owner].in_flight.get(&server).copied().unwrap_or_default();
                let max = self.plan.max_rejections;
                self.nodes[owner].tracker.record_rejection(self.now, key, max, in_flight);
            }
        }
        if let Some(count) = self.nodes[node].in_flight.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.nodes[node].in_flight.remove(&server);
            }
        }
        self.state(node, server);
    }
}
