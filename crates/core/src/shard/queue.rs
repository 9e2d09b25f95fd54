//! The one queue for the servers of a shard.

use std::collections::HashMap;

use super::ask::{Decision, Grant, GrantRequest, Refusal};
use super::drain_rate::DrainRate;
use super::hopeless::Hopeless;
use super::share::{GENERATED_TOKEN_COST, VirtualCounters};
use crate::Millis;
use crate::route::{self, LoadReport, Policy, PrefixIndex, Request, Server};

/// Blocks of prompts remembered per server.
const BLOCKS_PER_SERVER: usize = 8_192;
/// A guess at the time between two grants ending, until one is seen.
const FIRST_GAP_MS: Millis = 50;
/// A limit is never learned below this.
const LEAST_LIMIT: u32 = 1;

/// The queue, the servers and the shares of one shard.
#[derive(Clone, Debug)]
pub struct Queue {
    servers: Vec<Server>,
    index: PrefixIndex,
    shares: VirtualCounters,
    waiting: Vec<Waiter>,
    grants: HashMap<String, Grant>,
    drain_rate: DrainRate,
    slots: u32,
    prefill_per_second: u64,
    policy: Policy,
    random: fastrand::Rng,
    last: usize,
    sharers: u32,
}

#[derive(Clone, Debug)]
struct Waiter {
    ask: GrantRequest,
    until: Millis,
}

impl Queue {
    /// Makes a queue without servers: each takes `slots` requests and reads so many tokens a second.
    pub fn new(slots: u32, prefill_per_second: u32) -> Self {
        Self {
            servers: Vec::new(),
            index: PrefixIndex::new(BLOCKS_PER_SERVER),
            shares: VirtualCounters::new(),
            waiting: Vec::new(),
            grants: HashMap::new(),
            drain_rate: DrainRate::new(FIRST_GAP_MS),
            slots,
            prefill_per_second: prefill_per_second.into(),
            policy: Policy::Expected,
            random: fastrand::Rng::with_seed(u64::from(slots)),
            last: 0,
            sharers: 1,
        }
    }

    /// Shares each server's slots with other queues, each of which decides alone.
    ///
    /// # Panics
    ///
    /// In debug builds, where nobody shares: count this queue too.
    pub fn shared_by(self, sharers: u32) -> Self {
        debug_assert!(sharers > 0, "count this queue too: a queue of its own is shared by 1");
        Self { sharers, ..self }
    }

    /// Chooses servers by another policy than the default one.
    pub fn policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Sets the groups' weights.
    pub fn set_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a str, u32)>) {
        self.shares.set_weights(weights);
    }

    /// Sets the servers by name, address and data centre, and whether they leave.
    ///
    /// What is known of a server that stays is kept; one that is gone is forgotten.
    pub fn set_servers<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, &'a str, &'a str, bool)>,
    ) {
        let mut servers = Vec::new();
        for (name, address, data_centre, is_leaving) in listed {
            let known = self.servers.iter().find(|s| s.name == name && s.address == address);
            let part = (self.slots / self.sharers).max(LEAST_LIMIT);
            let fresh =
                || Server { capacity: self.slots, ..Server::new(name, address, data_centre, part) };
            let server = known.cloned().unwrap_or_else(fresh);
            servers.push(Server { is_leaving, ..server });
        }
        let gone = self.servers.iter().filter(|s| servers.iter().all(|kept| kept.name != s.name));
        for server in gone {
            self.index.remove(&server.name);
        }
        self.servers = servers;
    }

    /// Returns the servers.
    pub fn get_servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns how many requests wait for their turn.
    pub fn get_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many grants are out.
    pub fn get_granted(&self) -> usize {
        self.grants.len()
    }

    /// Takes a server's load report in.
    pub fn report(&mut self, server: &str, report: LoadReport) {
        if let Some(server) = self.servers.iter_mut().find(|s| s.name == server) {
            server.report = Some(report);
        }
    }

    /// Takes a cache event of a server in; returns false where events before it are missing.
    pub fn apply_cache_event(
        &mut self,
        server: &str,
        number: u64,
        stored: &[u64],
        evicted: &[u64],
    ) -> bool {
        self.index.apply(server, number, stored, evicted)
    }

    /// Decides on a request at once: a grant, a place in the queue, or a refusal.
    pub fn submit(&mut self, now: Millis, ask: GrantRequest) -> Decision {
        if self.waiting.is_empty()
            && let Some(grant) = self.try_grant(now, &ask)
        {
            self.shares.add_request(&ask.group);
            return Decision::Granted(self.record(grant));
        }
        let ahead = self.ahead_of(&ask);
        let expected = self.expected_wait(&ask.group, ahead);
        let has_servers = self.servers.iter().any(|server| !server.is_leaving);
        let is_late = expected > ask.wait || now + expected >= ask.deadline;
        if is_late || !has_servers {
            return Decision::Refused(self.refuse(now, &ask.group, ahead));
        }
        self.shares.add_request(&ask.group);
        let until = now + ask.wait;
        self.waiting.push(Waiter { ask, until });
        Decision::Waiting
    }

    /// Grants what can be granted and refuses what has waited too long.
    pub fn poll(&mut self, now: Millis) -> Vec<(String, Decision)> {
        let mut decided = self.grant_waiting(now);
        let (kept, late) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| now < w.until);
        self.waiting = kept;
        for waiter in late {
            let ahead = self.ahead_of(&waiter.ask);
            let refusal = self.refuse(now, &waiter.ask.group, ahead);
            self.shares.remove_request(&waiter.ask.group);
            decided.push((waiter.ask.id, Decision::Refused(refusal)));
        }
        decided
    }

    /// Takes a request that waits out of the queue; its caller has gone.
    pub fn cancel(&mut self, id: &str) {
        if let Some(place) = self.waiting.iter().position(|waiter| waiter.ask.id == id) {
            let waiter = self.waiting.remove(place);
            self.shares.remove_request(&waiter.ask.group);
        }
    }

    /// Takes a grant back; `cost` is what it really cost, where it is known.
    pub fn release(&mut self, now: Millis, id: &str, cost: Option<u64>) {
        let Some(grant) = self.grants.remove(id) else { return };
        if let Some(cost) = cost {
            self.shares.charge(&grant.group, cost, grant.cost);
        }
        self.shares.remove_request(&grant.group);
        self.drain_rate.ended(now);
        if let Some(server) = self.server_mut(&grant.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.backlog_tokens = server.backlog_tokens.saturating_sub(grant.uncached_tokens);
            if grant.uncached_tokens > route::LONG_PROMPT_TOKENS {
                server.long_prompts = server.long_prompts.saturating_sub(1);
            }
        }
    }

    /// Notes that the first token came: the prompt has been read.
    pub fn record_first_token(&mut self, id: &str) {
        let Some(grant) = self.grants.get_mut(id) else { return };
        let read = std::mem::take(&mut grant.uncached_tokens);
        let name = grant.server.clone();
        if let Some(server) = self.server_mut(&name) {
            server.backlog_tokens = server.backlog_tokens.saturating_sub(read);
            if read > route::LONG_PROMPT_TOKENS {
                server.long_prompts = server.long_prompts.saturating_sub(1);
            }
        }
    }

    /// Takes over a grant of an earlier owner.
    pub fn restore(&mut self, grant: Grant) {
        if self.grants.contains_key(&grant.id) {
            return;
        }
        self.shares.add_request(&grant.group);
        if let Some(server) = self.server_mut(&grant.server) {
            server.in_flight += 1;
        }
        self.grants.insert(grant.id.clone(), grant);
    }

    /// Notes a failure of a server: it is passed over for a while and its limit falls.
    pub fn record_failure(&mut self, now: Millis, server: &str) {
        if let Some(server) = self.server_mut(server) {
            server.failed_at = Some(now);
            server.limit = (server.limit * 7 / 10).max(LEAST_LIMIT);
        }
    }

    /// Notes that a server cannot be reached at all: it is passed over for a while.
    pub fn record_unreachable(&mut self, now: Millis, server: &str) {
        if let Some(server) = self.server_mut(server) {
            server.failed_at = Some(now);
        }
    }

    /// Notes a success of a server: its limit rises again by one, up to the slots.
    pub fn record_success(&mut self, server: &str) {
        let part = (self.slots / self.sharers).max(LEAST_LIMIT);
        if let Some(server) = self.server_mut(server) {
            server.failed_at = None;
            server.limit = (server.limit + 1).min(part);
        }
    }

    fn grant_waiting(&mut self, now: Millis) -> Vec<(String, Decision)> {
        let mut decided = Vec::new();
        let mut hopeless = Hopeless::default();
        while let Some(place) = self.next_waiter(&hopeless) {
            let ask = self.waiting[place].ask.clone();
            match self.try_grant(now, &ask) {
                Some(grant) => {
                    self.waiting.remove(place);
                    let grant = self.record(grant);
                    decided.push((ask.id, Decision::Granted(grant)));
                }
                None => hopeless.add(&ask),
            }
        }
        decided
    }

    /// Finds whose turn it is: the group with the least counter, then priority, then deadline.
    fn next_waiter(&self, hopeless: &Hopeless) -> Option<usize> {
        let fit = self.waiting.iter().enumerate().filter(|(_, w)| !hopeless.contains(&w.ask));
        let turn = |waiter: &Waiter| {
            let ask = &waiter.ask;
            (self.shares.get_cost(&ask.group), ask.priority, ask.deadline)
        };
        fit.min_by_key(|(_, waiter)| turn(waiter)).map(|(place, _)| place)
    }

    fn try_grant(&mut self, now: Millis, ask: &GrantRequest) -> Option<Grant> {
        let avoid = if self.has_other_than(&ask.avoid) { ask.avoid.as_slice() } else { &[] };
        let demand = Request {
            prompt_tokens: ask.prompt_tokens,
            prefix: &ask.prefix,
            priority: ask.priority,
            avoid,
        };
        let (servers, prefill) = (&self.servers, self.prefill_per_second);
        let choice = match self.policy {
            Policy::Expected => route::choose(now, servers, &self.index, prefill, &demand),
            Policy::TwoChoices => {
                route::choose_less_loaded(now, servers, &demand, &mut self.random)
            }
            Policy::RoundRobin => route::choose_round_robin(now, servers, &demand, self.last),
        }?;
        self.last = choice.index;
        let server = &mut self.servers[choice.index];
        let uncached = ask.prompt_tokens - choice.cached_tokens;
        server.in_flight += 1;
        server.backlog_tokens += uncached;
        if uncached > route::LONG_PROMPT_TOKENS {
            server.long_prompts += 1;
        }
        let (name, address) = (server.name.clone(), server.address.clone());
        self.index.insert(&name, &ask.prefix);
        let cost = uncached + GENERATED_TOKEN_COST * ask.output_tokens;
        self.shares.charge(&ask.group, cost, 0);
        Some(Grant {
            id: ask.id.clone(),
            group: ask.group.clone(),
            server: name,
            address,
            cached_tokens: choice.cached_tokens,
            uncached_tokens: uncached,
            cost,
        })
    }

    /// Returns `true` if a server stays that is not among these. Where none does, one that is to be
    /// avoided is better than none.
    fn has_other_than(&self, avoid: &[String]) -> bool {
        self.servers.iter().any(|server| !server.is_leaving && !avoid.contains(&server.name))
    }

    fn record(&mut self, grant: Grant) -> Grant {
        self.grants.insert(grant.id.clone(), grant.clone());
        grant
    }

    /// Counts the requests of the same group that go before this one.
    fn ahead_of(&self, ask: &GrantRequest) -> usize {
        let same = self.waiting.iter().filter(|waiter| waiter.ask.group == ask.group);
        same.filter(|w| (w.ask.priority, w.ask.deadline) <= (ask.priority, ask.deadline)).count()
    }

    fn expected_wait(&self, group: &str, ahead: usize) -> Millis {
        let (weight, sum) = self.shares.get_share(group);
        self.drain_rate.wait_for(ahead + 1) * sum / weight
    }

    fn refuse(&mut self, now: Millis, group: &str, ahead: usize) -> Refusal {
        let (weight, sum) = self.shares.get_share(group);
        let queued = (ahead as u64 * sum / weight) as usize;
        Refusal { retry_after: self.drain_rate.book(now, queued) }
    }

    fn server_mut(&mut self, name: &str) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.name == name)
    }
}
