//! Selection of a backend server for a request.

use serde::{Deserialize, Serialize};

use super::{PrefixIndex, Server};
use crate::Millis;

/// A prompt with more uncached tokens than this counts as long.
pub const LONG_PROMPT_TOKENS: u64 = 1_000;
/// A server whose load exceeds the mean by this factor, in percent, gets no more requests for its
/// cached prefixes.
const MAX_LOAD_PERCENT: u64 = 150;
/// The fraction of a server's limit that is reserved for the most urgent class, as a divisor.
const URGENT_RESERVE_DIVISOR: u32 = 8;
/// Time that each request already on a server adds to the time to first token, in milliseconds.
const COST_PER_REQUEST_MS: u64 = 4;
/// How long a server is skipped after a failed connection, in milliseconds.
const FAILURE_BACK_OFF_MS: Millis = 1_000;

/// The properties of a request that matter for routing.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub prefix: &'a [u64],
    /// The priority of the request class; 0 is the most urgent.
    pub priority: u32,
    /// Names of the servers to avoid.
    pub avoid: &'a [String],
}

/// The chosen server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its index in the given slice.
    pub index: usize,
    /// Prompt tokens assumed to be in its cache.
    pub cached_tokens: u64,
    /// The expected time to first token, in milliseconds.
    pub expected_ms: Millis,
}

/// Returns the server with the lowest expected time to first token among those with room.
///
/// Each server reserves room for the most urgent class, and some servers are kept free of long
/// prompts, so that a short urgent request never has to wait behind long prompts everywhere.
pub fn choose(
    now: Millis,
    servers: &[Server],
    index: &PrefixIndex,
    prefill_per_second: u64,
    request: &Request<'_>,
) -> Option<Choice> {
    let mean = mean_load(now, servers);
    let candidates = servers.iter().enumerate().filter(|(_, s)| has_room(now, s, request));
    let choices = candidates.filter_map(|(position, server)| {
        let cached = index.cached_tokens(&server.name, request.prefix).min(request.prompt_tokens);
        let uncached = request.prompt_tokens - cached;
        if uncached > LONG_PROMPT_TOKENS && !accepts_long_prompt(servers, server) {
            return None;
        }
        let load = u64::from(server.get_load(now));
        let is_overloaded = load * 100 > (mean + 1) * MAX_LOAD_PERCENT;
        let wait = (server.get_queued_tokens(now) + uncached) * 1000 / prefill_per_second.max(1);
        let choice = Choice {
            index: position,
            cached_tokens: cached,
            expected_ms: wait + load * COST_PER_REQUEST_MS,
        };
        Some((is_overloaded, choice))
    });
    let least = choices.min_by_key(|(is_overloaded, c)| (*is_overloaded, c.expected_ms, c.index));
    least.map(|(_, choice)| choice)
}

/// The policy by which a server is chosen among those with room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The lowest expected time to first token, see [`choose`].
    #[default]
    Expected,
    /// The less loaded of two random servers, see [`choose_less_loaded`]; a baseline.
    TwoChoices,
    /// One server after the other, see [`choose_round_robin`]; a baseline.
    RoundRobin,
}

/// Returns the next server with room after the last chosen one.
pub fn choose_round_robin(
    now: Millis,
    servers: &[Server],
    request: &Request<'_>,
    last: usize,
) -> Option<Choice> {
    let count = servers.len();
    let indices = (1..=count).map(|step| (last + step) % count);
    let mut eligible = indices.filter(|position| has_room(now, &servers[*position], request));
    eligible.next().map(|index| Choice { index, cached_tokens: 0, expected_ms: 0 })
}

/// Returns the less loaded of two random servers: the baseline that [`choose`] is compared with.
pub fn choose_less_loaded(
    now: Millis,
    servers: &[Server],
    request: &Request<'_>,
    random: &mut fastrand::Rng,
) -> Option<Choice> {
    let eligible = servers.iter().enumerate().filter(|(_, s)| has_room(now, s, request));
    let eligible: Vec<usize> = eligible.map(|(position, _)| position).collect();
    if eligible.is_empty() {
        return None;
    }
    let first = eligible[random.usize(..eligible.len())];
    let second = eligible[random.usize(..eligible.len())];
    let is_second = servers[second].get_load(now) < servers[first].get_load(now);
    let index = if is_second { second } else { first };
    Some(Choice { index, cached_tokens: 0, expected_ms: 0 })
}

fn has_room(now: Millis, server: &Server, request: &Request<'_>) -> bool {
    let reserve = if request.priority == 0 { 0 } else { server.limit / URGENT_RESERVE_DIVISOR };
    let is_backing_off = server.failed_at.is_some_and(|at| now < at + FAILURE_BACK_OFF_MS);
    !server.is_leaving
        && !is_backing_off
        && server.has_room(now, reserve)
        && !request.avoid.contains(&server.name)
}

/// Returns `true` if a server may get one more long prompt. A quarter of the servers is kept free
/// of long prompts.
fn accepts_long_prompt(servers: &[Server], server: &Server) -> bool {
    let staying = servers.iter().filter(|s| !s.is_leaving).count();
    if server.long_prompts > 0 || staying < 2 {
        return true;
    }
    let busy = servers.iter().filter(|s| !s.is_leaving && s.long_prompts > 0).count();
    busy + staying.div_ceil(4) < staying
}

fn mean_load(now: Millis, servers: &[Server]) -> u64 {
    let staying = servers.iter().filter(|server| !server.is_leaving);
    let (sum, count) =
        staying.fold((0, 0), |(sum, count), s| (sum + u64::from(s.get_load(now)), count + 1));
    sum.checked_div(count).unwrap_or(0)
}
