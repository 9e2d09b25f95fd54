//! The queue for the servers of a shard.

use std::collections::HashMap;

use super::blocked::Blocked;
use super::drain_rate::DrainRate;
use super::request::{Decision, Grant, GrantRequest, Refusal};
use super::share::{GENERATED_TOKEN_COST, VirtualCounters};
use crate::Millis;
use crate::route::{self, LoadReport, Policy, PrefixIndex, Request, Server};

/// Maximum number of prompt blocks indexed per server.
const MAX_BLOCKS_PER_SERVER: usize = 8_192;
/// Initial estimate of the time between the ends of two grants, in milliseconds.
const INITIAL_INTERVAL_MS: Millis = 50;
/// Lower bound of the adaptive limit of a server.
const MIN_LIMIT: u32 = 1;

/// The queue, the servers and the fair shares of one shard.
#[derive(Clone, Debug)]
pub struct Queue {
    servers: Vec<Server>,
    index: PrefixIndex,
    shares: VirtualCounters,
    waiting: Vec<WaitingRequest>,
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
struct WaitingRequest {
    request: GrantRequest,
    until: Millis,
}

impl Queue {
    /// Creates a queue without servers, for servers that each run `slots` concurrent requests and
    /// process `prefill_per_second` prompt tokens per second.
    pub fn new(slots: u32, prefill_per_second: u32) -> Self {
        Self {
            servers: Vec::new(),
            index: PrefixIndex::new(MAX_BLOCKS_PER_SERVER),
            shares: VirtualCounters::new(),
            waiting: Vec::new(),
            grants: HashMap::new(),
            drain_rate: DrainRate::new(INITIAL_INTERVAL_MS),
            slots,
            prefill_per_second: prefill_per_second.into(),
            policy: Policy::Expected,
            random: fastrand::Rng::with_seed(u64::from(slots)),
            last: 0,
            sharers: 1,
        }
    }

    /// Divides each server's slots by the number of queues that share the servers without coordination.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if `sharers` is 0: this queue must be counted too.
    pub fn shared_by(self, sharers: u32) -> Self {
        debug_assert!(sharers > 0, "the number of sharers must include this queue");
        Self { sharers, ..self }
    }

    /// Sets the policy by which servers are chosen.
    pub fn policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Sets the groups' weights.
    pub fn set_weights<'a>(&mut self, weights: impl Iterator<Item = (&'a str, u32)>) {
        self.shares.set_weights(weights);
    }

    /// Sets the servers, each given by name, address, data centre and whether it is leaving.
    ///
    /// The state of known servers is kept; servers that are not listed are removed.
    pub fn set_servers<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, &'a str, &'a str, bool)>,
    ) {
        let mut servers = Vec::new();
        for (name, address, data_centre, is_leaving) in listed {
            let known = self.servers.iter().find(|s| s.name == name && s.address == address);
            let cap = (self.slots / self.sharers).max(MIN_LIMIT);
            let fresh =
                || Server { capacity: self.slots, ..Server::new(name, address, data_centre, cap) };
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

    /// Returns the number of waiting requests.
    pub fn get_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of outstanding grants.
    pub fn get_granted(&self) -> usize {
        self.grants.len()
    }

    /// Records a server's load report.
    pub fn report(&mut self, server: &str, report: LoadReport) {
        if let Some(server) = self.servers.iter_mut().find(|s| s.name == server) {
            server.report = Some(report);
        }
    }

    /// Applies a cache event of a server. Returns `false` if earlier events are missing.
    pub fn apply_cache_event(
        &mut self,
        server: &str,
        number: u64,
        stored: &[u64],
        evicted: &[u64],
    ) -> bool {
        self.index.apply(server, number, stored, evicted)
    }

    /// Grants, queues or refuses a request.
    pub fn submit(&mut self, now: Millis, request: GrantRequest) -> Decision {
        if self.waiting.is_empty()
            && let Some(grant) = self.try_grant(now, &request)
        {
            self.shares.add_request(&request.group);
            return Decision::Granted(self.insert_grant(grant));
        }
        let ahead = self.count_ahead(&request);
        let expected = self.expected_wait(&request.group, ahead);
        let has_servers = self.servers.iter().any(|server| !server.is_leaving);
        let is_late = expected > request.wait || now + expected >= request.deadline;
        if is_late || !has_servers {
            return Decision::Refused(self.refuse(now, &request.group, ahead));
        }
        self.shares.add_request(&request.group);
        let until = now + request.wait;
        self.waiting.push(WaitingRequest { request, until });
        Decision::Waiting
    }

    /// Grants waiting requests where there is room and refuses those that have waited too long.
    pub fn poll(&mut self, now: Millis) -> Vec<(String, Decision)> {
        let mut decided = self.grant_waiting(now);
        let (kept, late) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| now < w.until);
        self.waiting = kept;
        for waiter in late {
            let ahead = self.count_ahead(&waiter.request);
            let refusal = self.refuse(now, &waiter.request.group, ahead);
            self.shares.remove_request(&waiter.request.group);
            decided.push((waiter.request.id, Decision::Refused(refusal)));
        }
        decided
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, id: &str) {
        if let Some(index) = self.waiting.iter().position(|waiter| waiter.request.id == id) {
            let waiter = self.waiting.remove(index);
            self.shares.remove_request(&waiter.request.group);
        }
    }

    /// Releases a grant. `cost` is the actual cost, if known.
    pub fn release(&mut self, now: Millis, id: &str, cost: Option<u64>) {
        let Some(grant) = self.grants.remove(id) else { return };
        if let Some(cost) = cost {
            self.shares.charge(&grant.group, cost, grant.cost);
        }
        self.shares.remove_request(&grant.group);
        self.drain_rate.record_end(now);
        if let Some(server) = self.server_mut(&grant.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.backlog_tokens = server.backlog_tokens.saturating_sub(grant.uncached_tokens);
            if grant.uncached_tokens > route::LONG_PROMPT_TOKENS {
                server.long_prompts = server.long_prompts.saturating_sub(1);
            }
        }
    }

    /// Records the first token of a response, by which the server has processed the prompt.
    pub fn record_first_token(&mut self, id: &str) {
        let Some(grant) = self.grants.get_mut(id) else { return };
        let processed = std::mem::take(&mut grant.uncached_tokens);
        let name = grant.server.clone();
        if let Some(server) = self.server_mut(&name) {
            server.backlog_tokens = server.backlog_tokens.saturating_sub(processed);
            if processed > route::LONG_PROMPT_TOKENS {
                server.long_prompts = server.long_prompts.saturating_sub(1);
            }
        }
    }

    /// Restores a grant made by the previous owner of the shard.
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

    /// Records a failure of a server: it is skipped for a while and its limit is reduced.
    pub fn record_failure(&mut self, now: Millis, server: &str) {
        if let Some(server) = self.server_mut(server) {
            server.failed_at = Some(now);
            server.limit = (server.limit * 7 / 10).max(MIN_LIMIT);
        }
    }

    /// Records that a server cannot be reached: it is skipped for a while.
    pub fn record_unreachable(&mut self, now: Millis, server: &str) {
        if let Some(server) = self.server_mut(server) {
            server.failed_at = Some(now);
        }
    }

    /// Records a success of a server: its limit is raised by one, up to its slots.
    pub fn record_success(&mut self, server: &str) {
        let limit = (self.slots / self.sharers).max(MIN_LIMIT);
        if let Some(server) = self.server_mut(server) {
            server.failed_at = None;
            server.limit = (server.limit + 1).min(limit);
        }
    }

    fn grant_waiting(&mut self, now: Millis) -> Vec<(String, Decision)> {
        let mut decided = Vec::new();
        let mut blocked = Blocked::default();
        while let Some(index) = self.find_next(&blocked) {
            let request = self.waiting[index].request.clone();
            match self.try_grant(now, &request) {
                Some(grant) => {
                    self.waiting.remove(index);
                    let grant = self.insert_grant(grant);
                    decided.push((request.id, Decision::Granted(grant)));
                }
                None => blocked.add(&request),
            }
        }
        decided
    }

    /// Returns the next waiting request: by the group's virtual counter, then priority, then deadline.
    fn find_next(&self, blocked: &Blocked) -> Option<usize> {
        let eligible =
            self.waiting.iter().enumerate().filter(|(_, w)| !blocked.contains(&w.request));
        let turn = |waiter: &WaitingRequest| {
            let request = &waiter.request;
            (self.shares.get_cost(&request.group), request.priority, request.deadline)
        };
        eligible.min_by_key(|(_, waiter)| turn(waiter)).map(|(index, _)| index)
    }

    fn try_grant(&mut self, now: Millis, request: &GrantRequest) -> Option<Grant> {
        let avoid =
            if self.has_server_besides(&request.avoid) { request.avoid.as_slice() } else { &[] };
        let query = Request {
            prompt_tokens: request.prompt_tokens,
            prefix: &request.prefix,
            priority: request.priority,
            avoid,
        };
        let (servers, prefill) = (&self.servers, self.prefill_per_second);
        let choice = match self.policy {
            Policy::Expected => route::choose(now, servers, &self.index, prefill, &query),
            Policy::TwoChoices => route::choose_less_loaded(now, servers, &query, &mut self.random),
            Policy::RoundRobin => route::choose_round_robin(now, servers, &query, self.last),
        }?;
        self.last = choice.index;
        let server = &mut self.servers[choice.index];
        let uncached = request.prompt_tokens - choice.cached_tokens;
        server.in_flight += 1;
        server.backlog_tokens += uncached;
        if uncached > route::LONG_PROMPT_TOKENS {
            server.long_prompts += 1;
        }
        let (name, address) = (server.name.clone(), server.address.clone());
        self.index.insert(&name, &request.prefix);
        let cost = uncached + GENERATED_TOKEN_COST * request.output_tokens;
        self.shares.charge(&request.group, cost, 0);
        Some(Grant {
            id: request.id.clone(),
            group: request.group.clone(),
            server: name,
            address,
            cached_tokens: choice.cached_tokens,
            uncached_tokens: uncached,
            cost,
        })
    }

    /// Returns `true` if a server that is not leaving is not to be avoided. Otherwise, a server to be
    /// avoided is better than none.
    fn has_server_besides(&self, avoid: &[String]) -> bool {
        self.servers.iter().any(|server| !server.is_leaving && !avoid.contains(&server.name))
    }

    fn insert_grant(&mut self, grant: Grant) -> Grant {
        self.grants.insert(grant.id.clone(), grant.clone());
        grant
    }

    /// Returns the number of waiting requests of the same group that are ahead of this one.
    fn count_ahead(&self, own: &GrantRequest) -> usize {
        let same = self.waiting.iter().filter(|waiter| waiter.request.group == own.group);
        same.filter(|w| (w.request.priority, w.request.deadline) <= (own.priority, own.deadline))
            .count()
    }

    fn expected_wait(&self, group: &str, ahead: usize) -> Millis {
        let (weight, sum) = self.shares.get_share(group);
        self.drain_rate.estimate_wait(ahead + 1) * sum / weight
    }

    fn refuse(&mut self, now: Millis, group: &str, ahead: usize) -> Refusal {
        let (weight, sum) = self.shares.get_share(group);
        let queued = (ahead as u64 * sum / weight) as usize;
        Refusal { retry_after: self.drain_rate.reserve_retry(now, queued) }
    }

    fn server_mut(&mut self, name: &str) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.name == name)
    }
}
