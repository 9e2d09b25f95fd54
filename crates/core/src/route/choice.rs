//! Chooses a backend server for a request.

use serde::{Deserialize, Serialize};

use super::{PrefixIndex, Server};
use crate::Millis;

/// A prompt with more uncached tokens than this is long.
pub const LONG_PROMPT_TOKENS: u64 = 1_000;
/// A server this far above the mean load, in per cent, takes no more for its cache's sake.
const BOUNDED_LOAD_PERCENT: u64 = 150;
/// The part of a server's limit kept for the most urgent class, as a divisor.
const URGENT_RESERVE_DIVISOR: u32 = 8;
/// Cost that each request already there adds, in milliseconds of first-token time.
const SHARING_MS: u64 = 4;
/// How long a server is passed over after a failed connection, in milliseconds.
const FAILURE_PAUSE_MS: Millis = 1_000;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub prefix: &'a [u64],
    /// The class's priority; 0 is the most urgent.
    pub priority: u32,
    /// Servers not to choose, by name.
    pub avoid: &'a [String],
}

/// The chosen server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its place in the slice that was given.
    pub index: usize,
    /// Tokens of the prompt that it is thought to hold.
    pub cached_tokens: u64,
    /// The expected first-token time, in milliseconds.
    pub expected_ms: Millis,
}

/// Chooses the server with the least expected first-token time among those with room.
///
/// Room is kept on every server for the most urgent class, and some servers are kept free of
/// long prompts, so that a short urgent question never has only long ones to wait behind.
pub fn choose(
    now: Millis,
    servers: &[Server],
    index: &PrefixIndex,
    prefill_per_second: u64,
    demand: &Request<'_>,
) -> Option<Choice> {
    let mean = mean_load(now, servers);
    let candidates = servers.iter().enumerate().filter(|(_, s)| has_room(now, s, demand));
    let choices = candidates.filter_map(|(place, server)| {
        let cached = index.cached_tokens(&server.name, demand.prefix).min(demand.prompt_tokens);
        let uncached = demand.prompt_tokens - cached;
        if uncached > LONG_PROMPT_TOKENS && !takes_long(servers, server) {
            return None;
        }
        let load = u64::from(server.get_load(now));
        let is_crowded = load * 100 > (mean + 1) * BOUNDED_LOAD_PERCENT;
        let wait = (server.get_queued_tokens(now) + uncached) * 1000 / prefill_per_second.max(1);
        let choice =
            Choice { index: place, cached_tokens: cached, expected_ms: wait + load * SHARING_MS };
        Some((is_crowded, choice))
    });
    let least = choices.min_by_key(|(is_crowded, c)| (*is_crowded, c.expected_ms, c.index));
    least.map(|(_, choice)| choice)
}

/// How a server is chosen among those with room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The least expected first-token time, by [`choose`].
    #[default]
    Expected,
    /// The less loaded of two random ones, by [`choose_less_loaded`]: a baseline.
    TwoChoices,
    /// One after the other, by [`choose_round_robin`]: a baseline.
    RoundRobin,
}

/// Chooses the next server with room after the last one chosen.
pub fn choose_round_robin(
    now: Millis,
    servers: &[Server],
    demand: &Request<'_>,
    last: usize,
) -> Option<Choice> {
    let count = servers.len();
    let places = (1..=count).map(|step| (last + step) % count);
    let mut fit = places.filter(|place| has_room(now, &servers[*place], demand));
    fit.next().map(|index| Choice { index, cached_tokens: 0, expected_ms: 0 })
}

/// Chooses the less loaded of two random servers: the baseline that [`choose`] is measured against.
pub fn choose_less_loaded(
    now: Millis,
    servers: &[Server],
    demand: &Request<'_>,
    random: &mut fastrand::Rng,
) -> Option<Choice> {
    let fit = servers.iter().enumerate().filter(|(_, s)| has_room(now, s, demand));
    let fit: Vec<usize> = fit.map(|(place, _)| place).collect();
    if fit.is_empty() {
        return None;
    }
    let first = fit[random.usize(..fit.len())];
    let second = fit[random.usize(..fit.len())];
    let is_second = servers[second].get_load(now) < servers[first].get_load(now);
    let index = if is_second { second } else { first };
    Some(Choice { index, cached_tokens: 0, expected_ms: 0 })
}

fn has_room(now: Millis, server: &Server, demand: &Request<'_>) -> bool {
    let reserve = if demand.priority == 0 { 0 } else { server.limit / URGENT_RESERVE_DIVISOR };
    let has_failed = server.failed_at.is_some_and(|at| now < at + FAILURE_PAUSE_MS);
    !server.is_leaving
        && !has_failed
        && server.has_room(now, reserve)
        && !demand.avoid.contains(&server.name)
}

/// Returns `true` if a server may take one more long prompt: a quarter of them is kept free of any.
fn takes_long(servers: &[Server], server: &Server) -> bool {
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
