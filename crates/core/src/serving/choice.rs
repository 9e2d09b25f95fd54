//! Which server a request goes to.
//!
//! Requests that share a prompt prefix go to the same server, where it is cached: servers are
//! ordered by rendezvous hashing of the prefix. The first of them that is not much busier than the
//! mean gets the request, or the least busy one where all are.
//! While a server reads prompts, its running streams slow down. Where the prompts that wait at the
//! preferred server would pause its streams for too long, the request goes to the least busy server
//! too. Busy is measured in time: the prompts of slow servers count for more.
//!
//! Where even the least busy server would miss the latency objective, the request is refused at
//! once: an answer to a retry within the objective is better than a late one, and the refused
//! request delays no other.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::directory::Server;
use super::load::Load;
use crate::Millis;

/// How many times the mean load a server may have and still be preferred for its cache.
const LOAD_BOUND: f64 = 2.0;

/// A server that a request may go to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a Server,
    /// What all nodes have in flight there.
    pub load: Load,
    /// Whether it is ejected because of its latest answers.
    pub is_ejected: bool,
    /// How many times longer than the typical servers it takes to read a prompt.
    pub slowness: f64,
}

impl Candidate<'_> {
    /// Returns `true` if the server works on as many requests as it has slots.
    pub(super) fn is_full(&self) -> bool {
        self.load.requests >= self.server.slots.max(1)
    }

    /// Converts tokens read here to those that a typical server reads in the same time.
    fn weigh(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.slowness) as u64
    }
}

/// What the choice depends on, of a request and its service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Criteria {
    /// Identifies the longest prefix of the prompt that other requests share.
    pub shared_prefix: Option<u64>,
    /// Prompt tokens to read.
    pub prompt_tokens: u64,
    /// The request's priority; 0 is the most urgent.
    pub priority: usize,
    /// Prompt tokens that a server reads in a millisecond, where it is known.
    pub prefill_rate: Option<f64>,
    /// The objective for the time to the first token.
    pub ttft_objective: Millis,
    /// The objective for the longest gap between events of a stream.
    pub gap_objective: Option<Millis>,
}

impl Criteria {
    /// Estimates the time to the first token, where the prefill rate is known.
    pub fn estimate(&self, candidate: &Candidate<'_>) -> Option<Millis> {
        let tokens = candidate.load.get_tokens_ahead(self.priority) + self.prompt_tokens;
        self.time(candidate, tokens)
    }

    /// Estimates the time to the first token at an idle typical server, where the prefill rate is
    /// known.
    pub fn estimate_idle(&self) -> Option<Millis> {
        let rate = self.prefill_rate?.max(f64::MIN_POSITIVE);
        Some((self.prompt_tokens as f64 / rate) as Millis)
    }

    /// Returns `true` if reading this prompt behind those that wait would pause the streams of a
    /// server for long. A prompt that waits for no other pauses the streams of all typical servers
    /// as long.
    fn is_stalling(&self, candidate: &Candidate<'_>) -> bool {
        let waiting = candidate.load.get_waiting_tokens();
        let has_streams = candidate.load.requests > candidate.load.waiting;
        let is_as_anywhere = waiting == 0 && candidate.slowness <= 1.0;
        if is_as_anywhere || !has_streams {
            return false;
        }
        let tokens = waiting + self.prompt_tokens;
        let (Some(reading), Some(gap)) = (self.time(candidate, tokens), self.gap_objective) else {
            return false;
        };
        reading as f64 > gap as f64 * STALL_PART
    }

    fn time(&self, candidate: &Candidate<'_>, tokens: u64) -> Option<Millis> {
        let tokens = candidate.weigh(tokens) as f64;
        Some((tokens / self.prefill_rate?.max(f64::MIN_POSITIVE)) as Millis)
    }
}

/// The server for a request, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice<'a> {
    /// Send it there.
    Server(&'a Server),
    /// All servers are so busy that the answer would miss its objective; retry after this time.
    Busy(Millis),
    /// There is no server.
    None,
}

/// The fraction of the gap objective for which a server may read prompts without a break: events
/// hold several tokens, and each takes longer while prompts are read.
const STALL_PART: f64 = 0.5;

/// The expected time to the first token, as a multiple of the objective, above which a request is
/// refused: trials of 0.5 and 2 served no better.
const LATE_PART: f64 = 1.0;

/// Picks a server.
///
/// `random` breaks ties, so that nodes that know the same do not all choose the same server.
pub fn choose<'a>(candidates: &[Candidate<'a>], criteria: &Criteria, random: u64) -> Choice<'a> {
    let sound: Vec<&Candidate<'a>> = candidates.iter().filter(|c| !c.is_ejected).collect();
    let usable = if sound.is_empty() { candidates.iter().collect() } else { sound };
    let Some(least) = find_least(&usable, criteria, random) else { return Choice::None };
    if let Some(wait) = find_wait(least, criteria) {
        return Choice::Busy(wait);
    }
    let preferred = criteria.shared_prefix.and_then(|part| find_preferred(&usable, criteria, part));
    Choice::Server(preferred.unwrap_or(least).server)
}

/// Returns the time after which to retry, where the answer of the least busy server would miss the
/// objective.
///
/// A request that would miss it on an idle server too is not refused.
fn find_wait(least: &Candidate<'_>, criteria: &Criteria) -> Option<Millis> {
    let ahead = least.load.get_tokens_ahead(criteria.priority);
    let expected = criteria.estimate(least)?;
    let bound = (criteria.ttft_objective as f64 * LATE_PART) as Millis;
    if ahead == 0 || expected <= bound || criteria.ttft_objective == 0 {
        return None;
    }
    Some(expected - bound / 2)
}

/// Servers at which a prefix is cached or would be next, on a shortlist.
const SHORTLISTED_PREFERRED: usize = 2;
/// Servers drawn at random on a shortlist. Of two the less busy one is far better than one, and
/// each further one adds less; a third makes up for one whose load does not become known in time.
const SHORTLISTED_RANDOM: usize = 3;
/// Servers in the order of a prefix that are looked at together.
const LOOKED_AT_ONCE: usize = 8;
/// How many times as many servers are drawn where none of a first shortlist can serve in time.
const WIDER: usize = 4;

/// Draws the few servers whose loads a node asks for, where it does not know those of all: the ones
/// that a shared prefix prefers, and some at random.
///
/// `is_usable` is called for the servers that are drawn and no others: of thousands of servers, what it
/// costs to look at all of them would be most of the choice.
pub fn shortlist<'a>(
    servers: impl Iterator<Item = &'a Server>,
    criteria: &Criteria,
    random: u64,
    is_wide: bool,
    is_usable: impl Fn(&Server) -> bool,
) -> Vec<&'a Server> {
    let mut rest: Vec<&Server> = servers.collect();
    let mut drawn = Vec::new();
    if let Some(part) = criteria.shared_prefix {
        drawn = draw_preferred(&mut rest, part, &is_usable);
    }
    let count = SHORTLISTED_RANDOM * if is_wide { WIDER } else { 1 };
    drawn.extend(draw_random(&mut rest, random, count, &is_usable));
    drawn
}

/// Takes the first usable servers in the order of a prefix from a list.
fn draw_preferred<'a>(
    rest: &mut Vec<&'a Server>,
    part: u64,
    is_usable: impl Fn(&Server) -> bool,
) -> Vec<&'a Server> {
    let mut weighed: Vec<(u64, &Server)> =
        rest.iter().map(|server| (weight(part, &server.id), *server)).collect();
    let mut drawn: Vec<&Server> = Vec::new();
    while drawn.len() < SHORTLISTED_PREFERRED && !weighed.is_empty() {
        // The heaviest few are moved to the end, and looked at from there.
        let lighter = weighed.len().saturating_sub(LOOKED_AT_ONCE);
        weighed.select_nth_unstable_by_key(lighter, |(weight, _)| *weight);
        let mut heaviest = weighed.split_off(lighter);
        heaviest.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let usable = heaviest.into_iter().map(|(_, server)| server).filter(|s| is_usable(s));
        drawn.extend(usable.take(SHORTLISTED_PREFERRED - drawn.len()));
    }
    rest.retain(|server| !drawn.iter().any(|drawn| std::ptr::eq(*drawn, *server)));
    drawn
}

/// Takes some usable servers from a list at random.
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

/// Finds the first server in the order of a prefix that is not much busier than the mean.
fn find_preferred<'c, 'a>(
    candidates: &[&'c Candidate<'a>],
    criteria: &Criteria,
    part: u64,
) -> Option<&'c Candidate<'a>> {
    let waiting = |c: &Candidate<'a>| c.weigh(c.load.get_waiting_tokens());
    let total: u64 = candidates.iter().map(|c| waiting(c)).sum();
    let mean = (total + criteria.prompt_tokens) as f64 / candidates.len().max(1) as f64;
    let bound = mean * LOAD_BOUND;
    let mut ordered: Vec<&'c Candidate<'a>> = candidates.to_vec();
    ordered.sort_unstable_by_key(|c| std::cmp::Reverse(weight(part, &c.server.id)));
    let is_within = |c: &&Candidate<'a>| {
        let is_late =
            criteria.estimate(c).is_some_and(|expected| expected > criteria.ttft_objective);
        let is_busy = waiting(c) as f64 > bound;
        !is_busy && !is_late && !c.is_full() && !criteria.is_stalling(c)
    };
    ordered.into_iter().find(is_within)
}

fn find_least<'c, 'a>(
    candidates: &[&'c Candidate<'a>],
    criteria: &Criteria,
    random: u64,
) -> Option<&'c Candidate<'a>> {
    let busy = |c: &&&'c Candidate<'a>| {
        let filled = u64::from(c.load.requests) * 1_000 / u64::from(c.server.slots.max(1));
        let reading = c.weigh(c.load.get_tokens_ahead(criteria.priority) + criteria.prompt_tokens);
        (c.is_full(), reading, filled, weight(random, &c.server.id))
    };
    candidates.iter().min_by_key(busy).copied()
}

fn weight(key: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), key)
}
