//! Picks the server of a request.
//!
//! Requests that share a prompt prefix go to the same server, which has the prefix cached:
//! rendezvous hashing of the prefix orders the servers. The first server in that order that is not
//! much busier than the mean gets the request; if there is none, the least loaded server does.
//!
//! A server that reads prompts slows down its running streams. If the prompts that wait at the
//! preferred server would stall its streams for too long, the request goes to the least loaded
//! server as well. Load is measured in time, so the prompts of slow servers count for more.
//!
//! If even the least loaded server would miss the latency objective, the request is refused at
//! once: a retry that meets the objective is better than a late response, and a
//! refused request delays no other.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::directory::Server;
use super::load::Load;
use crate::Millis;

/// The highest load, as a multiple of the mean, at which a server is still preferred for its cache.
const MAX_LOAD_FACTOR: f64 = 2.0;

/// A server that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a Server,
    /// The load that all nodes have in flight at the server.
    pub load: Load,
    /// Whether the server is ejected because of its latest responses.
    pub is_ejected: bool,
    /// The time the server takes to read a prompt, as a multiple of a typical server's.
    pub slowness: f64,
}

impl Candidate<'_> {
    /// Returns `true` if all slots of the server are in use.
    pub(super) fn is_full(&self) -> bool {
        self.load.requests >= self.server.slots.max(1)
    }

    /// Converts tokens to the number that a typical server reads in the same time.
    fn normalize(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.slowness) as u64
    }
}

/// The properties of a request and its service that the choice depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Criteria {
    /// The hash of the longest prompt prefix that the request shares with others.
    pub shared_prefix: Option<u64>,
    /// Prompt tokens that the server has to read.
    pub prompt_tokens: u64,
    /// The request's priority; 0 is the most urgent.
    pub priority: usize,
    /// Prompt tokens that a server reads per millisecond, if known.
    pub prefill_rate: Option<f64>,
    /// The objective for the time to the first token.
    pub ttft_objective: Millis,
    /// The objective for the longest gap between events of a stream.
    pub gap_objective: Option<Millis>,
}

impl Criteria {
    /// Estimates the time to the first token, if the prefill rate is known.
    pub fn estimate(&self, candidate: &Candidate<'_>) -> Option<Millis> {
        let tokens = candidate.load.get_tokens_ahead(self.priority) + self.prompt_tokens;
        self.estimate_prefill(candidate, tokens)
    }

    /// Estimates the time to the first token at an idle, typical server, if the prefill rate is
    /// known.
    pub fn estimate_idle(&self) -> Option<Millis> {
        let rate = self.prefill_rate?.max(f64::MIN_POSITIVE);
        Some((self.prompt_tokens as f64 / rate) as Millis)
    }

    /// Returns `true` if reading this prompt after those that wait would stall the streams of the
    /// server for too long.
    ///
    /// A prompt that is read at once stalls the streams of every typical server for the same time,
    /// so no other server would be better.
    fn is_stalling(&self, candidate: &Candidate<'_>) -> bool {
        let waiting = candidate.load.get_waiting_tokens();
        let has_streams = candidate.load.requests > candidate.load.waiting;
        let is_unavoidable = waiting == 0 && candidate.slowness <= 1.0;
        if is_unavoidable || !has_streams {
            return false;
        }
        let tokens = waiting + self.prompt_tokens;
        let (Some(reading), Some(gap)) =
            (self.estimate_prefill(candidate, tokens), self.gap_objective)
        else {
            return false;
        };
        reading as f64 > gap as f64 * MAX_STALL_FRACTION
    }

    fn estimate_prefill(&self, candidate: &Candidate<'_>, tokens: u64) -> Option<Millis> {
        let tokens = candidate.normalize(tokens) as f64;
        Some((tokens / self.prefill_rate?.max(f64::MIN_POSITIVE)) as Millis)
    }
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice<'a> {
    /// The server that the request is sent to.
    Server(&'a Server),
    /// Every server is so busy that the response would miss its objective; retry after this time in
    /// milliseconds.
    Busy(Millis),
    /// No server is available.
    None,
}

/// The fraction of the gap objective for which a server may read prompts without a break. An event
/// holds several tokens, and each of them takes longer while prompts are read.
const MAX_STALL_FRACTION: f64 = 0.5;

/// The expected time to the first token, as a multiple of the objective, above which a request is
/// refused. Trials of 0.5 and 2 served no better.
const MAX_TTFT_FACTOR: f64 = 1.0;

/// Chooses a server.
///
/// `random` breaks ties, so that nodes with the same knowledge do not all choose the same server.
pub fn choose<'a>(candidates: &[Candidate<'a>], criteria: &Criteria, random: u64) -> Choice<'a> {
    let healthy: Vec<&Candidate<'a>> = candidates.iter().filter(|c| !c.is_ejected).collect();
    let usable = if healthy.is_empty() { candidates.iter().collect() } else { healthy };
    let Some(least) = find_least_loaded(&usable, criteria, random) else { return Choice::None };
    if let Some(wait) = get_retry_wait(least, criteria) {
        return Choice::Busy(wait);
    }
    let preferred =
        criteria.shared_prefix.and_then(|prefix| find_cached(&usable, criteria, prefix));
    Choice::Server(preferred.unwrap_or(least).server)
}

/// Returns the time in milliseconds after which to retry, if the response of the least loaded
/// server would miss the objective.
///
/// A request that would miss the objective on an idle server as well is not refused.
fn get_retry_wait(least: &Candidate<'_>, criteria: &Criteria) -> Option<Millis> {
    let ahead = least.load.get_tokens_ahead(criteria.priority);
    let expected = criteria.estimate(least)?;
    let bound = (criteria.ttft_objective as f64 * MAX_TTFT_FACTOR) as Millis;
    if ahead == 0 || expected <= bound || criteria.ttft_objective == 0 {
        return None;
    }
    Some(expected - bound / 2)
}

/// Servers on a shortlist that come first in the order of the shared prefix.
const SHORTLIST_PREFERRED_COUNT: usize = 2;
/// Servers on a shortlist that are drawn at random. The less busy of two servers is far better than
/// a single one, and each further one adds less; the third makes up for a server whose load does
/// not become known before the timeout.
const SHORTLIST_RANDOM_COUNT: usize = 3;
/// Servers that are ranked and checked together, in the order of the shared prefix.
const PREFERRED_BATCH_SIZE: usize = 8;
/// The factor by which more random servers are drawn if no server of the first shortlist can serve
/// in time.
const WIDE_FACTOR: usize = 4;

/// Draws the few servers whose loads a node queries if it does not know those of all servers: the
/// ones that the shared prefix prefers, and some at random.
///
/// `is_usable` is called only for the servers that are drawn: with thousands of servers, checking
/// all of them would take most of the time.
pub fn shortlist<'a>(
    servers: impl Iterator<Item = &'a Server>,
    criteria: &Criteria,
    random: u64,
    is_wide: bool,
    is_usable: impl Fn(&Server) -> bool,
) -> Vec<&'a Server> {
    let mut rest: Vec<&Server> = servers.collect();
    let mut drawn = Vec::new();
    if let Some(prefix) = criteria.shared_prefix {
        drawn = draw_preferred(&mut rest, prefix, &is_usable);
    }
    let count = SHORTLIST_RANDOM_COUNT * if is_wide { WIDE_FACTOR } else { 1 };
    drawn.extend(draw_random(&mut rest, random, count, &is_usable));
    drawn
}

/// Removes the first usable servers in the order of a prefix from a list.
fn draw_preferred<'a>(
    rest: &mut Vec<&'a Server>,
    prefix: u64,
    is_usable: impl Fn(&Server) -> bool,
) -> Vec<&'a Server> {
    let mut ranked: Vec<(u64, &Server)> =
        rest.iter().map(|server| (weight(prefix, &server.id), *server)).collect();
    let mut drawn: Vec<&Server> = Vec::new();
    while drawn.len() < SHORTLIST_PREFERRED_COUNT && !ranked.is_empty() {
        // Moves the highest-ranked servers to the end and checks them.
        let split = ranked.len().saturating_sub(PREFERRED_BATCH_SIZE);
        ranked.select_nth_unstable_by_key(split, |(weight, _)| *weight);
        let mut highest = ranked.split_off(split);
        highest.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let usable = highest.into_iter().map(|(_, server)| server).filter(|s| is_usable(s));
        drawn.extend(usable.take(SHORTLIST_PREFERRED_COUNT - drawn.len()));
    }
    rest.retain(|server| !drawn.iter().any(|drawn| std::ptr::eq(*drawn, *server)));
    drawn
}

/// Removes random usable servers from a list.
fn draw_random<'a>(
    rest: &mut Vec<&'a Server>,
    random: u64,
    count: usize,
    is_usable: impl Fn(&Server) -> bool,
) -> Vec<&'a Server> {
    let mut random = fastrand::Rng::with_seed(random);
    let mut drawn = Vec::new();
    while drawn.len() < count && !rest.is_empty() {
        let server = rest.swap_remove(random.usize(..rest.len()));
        if is_usable(server) {
            drawn.push(server);
        }
    }
    drawn
}

/// Returns the first server in the order of a prefix that is not much busier than the mean.
fn find_cached<'c, 'a>(
    candidates: &[&'c Candidate<'a>],
    criteria: &Criteria,
    prefix: u64,
) -> Option<&'c Candidate<'a>> {
    let waiting = |c: &Candidate<'a>| c.normalize(c.load.get_waiting_tokens());
    let total: u64 = candidates.iter().map(|c| waiting(c)).sum();
    let mean = (total + criteria.prompt_tokens) as f64 / candidates.len().max(1) as f64;
    let bound = mean * MAX_LOAD_FACTOR;
    let mut ordered: Vec<&'c Candidate<'a>> = candidates.to_vec();
    ordered.sort_unstable_by_key(|c| std::cmp::Reverse(weight(prefix, &c.server.id)));
    let is_within = |c: &&Candidate<'a>| {
        let is_late =
            criteria.estimate(c).is_some_and(|expected| expected > criteria.ttft_objective);
        let is_busy = waiting(c) as f64 > bound;
        !is_busy && !is_late && !c.is_full() && !criteria.is_stalling(c)
    };
    ordered.into_iter().find(is_within)
}

fn find_least_loaded<'c, 'a>(
    candidates: &[&'c Candidate<'a>],
    criteria: &Criteria,
    random: u64,
) -> Option<&'c Candidate<'a>> {
    let busy = |c: &&&'c Candidate<'a>| {
        let filled = u64::from(c.load.requests) * 1_000 / u64::from(c.server.slots.max(1));
        let reading =
            c.normalize(c.load.get_tokens_ahead(criteria.priority) + criteria.prompt_tokens);
        (c.is_full(), reading, filled, weight(random, &c.server.id))
    };
    candidates.iter().min_by_key(busy).copied()
}

fn weight(key: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), key)
}
