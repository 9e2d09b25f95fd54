//! Which server a request goes to.
//!
//! Requests whose prompts begin alike go to the same server, which then need not read the shared
//! parts again: servers are ordered by rendezvous hashing of the last shared part. The first of
//! them that is not much busier than the mean gets the request; where all are, the least busy.
//! While a server reads prompts, its running streams come slower. A request for which the prompts
//! waiting at its preferred server would pause streams for too long goes to the least busy one,
//! too. Busy is what takes long: slow servers count their prompts for more.
//!
//! Where even the least busy server would answer late, the request is refused at once: tried again
//! when there is room it is worth more than late, and it does not hold up others.

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
    /// How many times longer than the usual servers it takes to read a prompt.
    pub slowness: f64,
}

impl Candidate<'_> {
    fn is_full(&self) -> bool {
        self.load.requests >= self.server.slots.max(1)
    }

    /// Computes the usual server's tokens that take as long to read as some tokens take here.
    fn weigh(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.slowness) as u64
    }
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
    /// The longest pause between pieces of a stream that is in time.
    pub gap_target: Option<Millis>,
}

impl Wish {
    /// Estimates the time until the first piece of the answer, where the speed is known.
    pub fn estimate(&self, candidate: &Candidate<'_>) -> Option<Millis> {
        let tokens = candidate.load.get_tokens_ahead(self.rank) + self.prompt_tokens;
        self.time(candidate, tokens)
    }

    /// Says whether reading this prompt behind those that wait would pause the streams of a server
    /// for long. A prompt that waits for no other pauses the streams of all usual servers as long.
    fn is_stalling(&self, candidate: &Candidate<'_>) -> bool {
        let waiting = candidate.load.get_waiting_tokens();
        let has_streams = candidate.load.requests > candidate.load.waiting;
        let is_as_anywhere = waiting == 0 && candidate.slowness <= 1.0;
        if is_as_anywhere || !has_streams {
            return false;
        }
        let tokens = waiting + self.prompt_tokens;
        let (Some(reading), Some(gap)) = (self.time(candidate, tokens), self.gap_target) else {
            return false;
        };
        reading as f64 > gap as f64 * STALL_PART
    }

    fn time(&self, candidate: &Candidate<'_>, tokens: u64) -> Option<Millis> {
        let tokens = candidate.weigh(tokens) as f64;
        Some((tokens / self.speed?.max(f64::MIN_POSITIVE)) as Millis)
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

/// The part of the longest pause in time that a server may read prompts without a break: pieces
/// hold several tokens, and each comes later while prompts are read.
const STALL_PART: f64 = 0.5;

/// How late an answer may be expected before it is refused, in parts of its target: estimates are
/// rough, and a late answer is worth more than a needless refusal.
const LATE_PART: f64 = 1.0;

/// Picks a server.
///
/// `random` breaks ties, so that nodes that know the same do not all choose the same server.
pub fn choose<'a>(candidates: &[Candidate<'a>], wish: &Wish, random: u64) -> Choice<'a> {
    let sound: Vec<&Candidate<'a>> = candidates.iter().filter(|c| !c.is_paused).collect();
    let usable = if sound.is_empty() { candidates.iter().collect() } else { sound };
    let Some(least) = find_least(&usable, wish, random) else { return Choice::None };
    if let Some(wait) = find_wait(least, wish) {
        return Choice::Busy(wait);
    }
    let preferred = wish.shared_part.and_then(|part| find_preferred(&usable, wish, part));
    Choice::Server(preferred.unwrap_or(least).server)
}

/// Returns the time after which the least busy server has room, where the answer would be late.
///
/// A request that would be late also on an idle server is not refused for that.
fn find_wait(least: &Candidate<'_>, wish: &Wish) -> Option<Millis> {
    let ahead = least.load.get_tokens_ahead(wish.rank);
    let expected = wish.estimate(least)?;
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
    let waiting = |c: &Candidate<'a>| c.weigh(c.load.get_waiting_tokens());
    let total: u64 = candidates.iter().map(|c| waiting(c)).sum();
    let mean = (total + wish.prompt_tokens) as f64 / candidates.len().max(1) as f64;
    let bound = mean * LOAD_BOUND;
    let mut ordered: Vec<&'c Candidate<'a>> = candidates.to_vec();
    ordered.sort_unstable_by_key(|c| std::cmp::Reverse(weight(part, &c.server.id)));
    let is_within = |c: &&Candidate<'a>| {
        let is_late = wish.estimate(c).is_some_and(|expected| expected > wish.target);
        let is_busy = waiting(c) as f64 > bound;
        !is_busy && !is_late && !c.is_full() && !wish.is_stalling(c)
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
        let reading = c.weigh(c.load.get_tokens_ahead(wish.rank) + wish.prompt_tokens);
        (c.is_full(), reading, filled, weight(random, &c.server.id))
    };
    candidates.iter().min_by_key(busy).copied()
}

fn weight(key: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), key)
}
