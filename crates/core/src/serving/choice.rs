//! Which server a request goes to.
//!
//! Requests whose prompts begin alike go to the same server, which then need not read the shared
//! parts again: servers are ordered by rendezvous hashing of the last shared part. The first of
//! them that is not much busier than the mean gets the request; where all are, the least busy.
//! A long prompt holds up the streams of the server that reads it, pause after pause. Servers in
//! proportion to the tokens of long prompts are therefore set aside for them: the first in an order
//! that all nodes share. Either kind goes to the others' servers only where its own are too busy.
//!
//! Where even the least busy server would answer late, the request is refused at once: tried again when there
//! is room it is worth more than late, and it does not hold up others.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::directory::Server;
use super::load::Load;
use crate::Millis;

/// How many times the mean load a server may have and still be preferred for its memory.
const LOAD_BOUND: f64 = 2.0;

/// A server that a request may go to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a Server,
    /// What all nodes have in flight there.
    pub load: Load,
    /// Whether it is passed over for what its answers showed.
    pub is_paused: bool,
}

/// What of a request bears on the choice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wish {
    /// Names the last part of the prompt that other requests share.
    pub shared_part: Option<u64>,
    /// Prompt tokens to read.
    pub prompt_tokens: u64,
    /// The request's rank; 0 is the most urgent.
    pub rank: usize,
    /// Prompt tokens that a server reads in a millisecond, where it is known.
    pub speed: Option<f64>,
    /// The time to the first piece inside which the answer is in time.
    pub target: Millis,
    /// Whether the prompt is so long that reading it holds up streams beside it.
    pub is_long: bool,
    /// The part of the prompt tokens asked for lately that long prompts have.
    pub long_part: f64,
}

impl Wish {
    /// Estimates the time until the first piece of the answer, where the speed is known.
    pub fn estimate(&self, load: &Load) -> Option<Millis> {
        let tokens = load.get_tokens_ahead(self.rank) + self.prompt_tokens;
        Some((tokens as f64 / self.speed?.max(f64::MIN_POSITIVE)) as Millis)
    }
}

/// A server for a request, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice<'a> {
    /// Send it there.
    Server(&'a Server),
    /// All servers are so busy that the answer would be late; there is room after this time.
    Busy(Millis),
    /// There is no server.
    None,
}

/// How late an answer may be expected before it is refused, in parts of its target: estimates are
/// rough, and a late answer is worth more than a needless refusal.
const LATE_PART: f64 = 1.0;

/// Picks a server.
///
/// `random` breaks ties, so that nodes that know the same do not all choose the same server.
pub fn choose<'a>(candidates: &[Candidate<'a>], wish: &Wish, random: u64) -> Choice<'a> {
    let sound: Vec<&Candidate<'a>> = candidates.iter().filter(|c| !c.is_paused).collect();
    let usable = if sound.is_empty() { candidates.iter().collect() } else { sound };
    let aside = set_aside(&usable, wish);
    if let Some(server) = choose_among(&aside, wish, random) {
        return Choice::Server(server);
    }
    let Some(least) = find_least(&usable, wish, random) else { return Choice::None };
    if let Some(wait) = find_wait(least, wish) {
        return Choice::Busy(wait);
    }
    let preferred = wish.shared_part.and_then(|part| find_preferred(&usable, wish, part));
    Choice::Server(preferred.unwrap_or(least).server)
}

/// The smallest number of servers of which some are set aside for long prompts.
const LEAST_TO_PART: usize = 4;
/// How many times the part of long prompts their part of the servers is.
const LONG_ROOM: f64 = 1.3;
/// The largest part of the servers that is set aside for long prompts.
const MOST_FOR_LONG: f64 = 0.4;
const LONG_KEY: u64 = 0x6c6f_6e67;

/// Returns the servers for long prompts, or those for all others, whichever the request is; none
/// where servers are not told apart.
fn set_aside<'c, 'a>(candidates: &[&'c Candidate<'a>], wish: &Wish) -> Vec<&'c Candidate<'a>> {
    let part = (wish.long_part * LONG_ROOM).min(MOST_FOR_LONG);
    let count = (candidates.len() as f64 * part).round() as usize;
    if count == 0 || candidates.len() < LEAST_TO_PART {
        return Vec::new();
    }
    let mut ordered = candidates.to_vec();
    ordered.sort_unstable_by_key(|c| std::cmp::Reverse(weight(LONG_KEY, &c.server.id)));
    match wish.is_long {
        true => ordered.truncate(count),
        false => drop(ordered.drain(..count)),
    }
    ordered
}

/// Picks one of the servers set aside for the request's kind, where one has room and is in time.
fn choose_among<'a>(aside: &[&Candidate<'a>], wish: &Wish, random: u64) -> Option<&'a Server> {
    let least = find_least(aside, wish, random)?;
    let has_room = least.load.requests < least.server.slots.max(1);
    if !has_room || find_wait(least, wish).is_some() {
        return None;
    }
    let preferred = wish.shared_part.and_then(|part| find_preferred(aside, wish, part));
    Some(preferred.unwrap_or(least).server)
}

/// Returns the time after which the least busy server has room, where the answer would be late.
///
/// A request that would be late also on an idle server is not refused for that.
fn find_wait(least: &Candidate<'_>, wish: &Wish) -> Option<Millis> {
    let ahead = least.load.get_tokens_ahead(wish.rank);
    let expected = wish.estimate(&least.load)?;
    let bound = (wish.target as f64 * LATE_PART) as Millis;
    if ahead == 0 || expected <= bound || wish.target == 0 {
        return None;
    }
    Some(expected - bound / 2)
}

/// Finds the first server in the order of a shared part that is not much busier than the mean.
fn find_preferred<'c, 'a>(
    candidates: &[&'c Candidate<'a>],
    wish: &Wish,
    part: u64,
) -> Option<&'c Candidate<'a>> {
    let total: u64 = candidates.iter().map(|c| c.load.get_waiting_tokens()).sum();
    let mean = (total + wish.prompt_tokens) as f64 / candidates.len().max(1) as f64;
    let bound = mean * LOAD_BOUND;
    let mut ordered: Vec<&'c Candidate<'a>> = candidates.to_vec();
    ordered.sort_unstable_by_key(|c| std::cmp::Reverse(weight(part, &c.server.id)));
    let is_within = |c: &&Candidate<'a>| {
        let is_late = wish.estimate(&c.load).is_some_and(|expected| expected > wish.target);
        let is_busy = c.load.get_waiting_tokens() as f64 > bound;
        !is_busy && !is_late && c.load.requests < c.server.slots.max(1)
    };
    ordered.into_iter().find(is_within)
}

fn find_least<'c, 'a>(
    candidates: &[&'c Candidate<'a>],
    wish: &Wish,
    random: u64,
) -> Option<&'c Candidate<'a>> {
    let busy = |c: &&&'c Candidate<'a>| {
        let filled = u64::from(c.load.requests) * 1_000 / u64::from(c.server.slots.max(1));
        (c.load.get_tokens_ahead(wish.rank), filled, weight(random, &c.server.id))
    };
    candidates.iter().min_by_key(busy).copied()
}

fn weight(key: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), key)
}
