//! Which server a request goes to.
//!
//! Requests whose prompts begin alike go to the same server, which then need not read the shared
//! parts again: servers are ordered by rendezvous hashing of the last shared part. The first of
//! them that is not much busier than the mean gets the request; where all are, the least busy.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::directory::Server;
use super::load::Load;

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wish {
    /// Names the last part of the prompt that other requests share.
    pub shared_part: Option<u64>,
    /// Prompt tokens to read.
    pub prompt_tokens: u64,
}

/// Picks a server, or none where there are no candidates.
///
/// `random` breaks ties, so that nodes that know the same do not all choose the same server.
pub fn choose<'a>(candidates: &[Candidate<'a>], wish: &Wish, random: u64) -> Option<&'a Server> {
    let sound: Vec<&Candidate<'a>> = candidates.iter().filter(|c| !c.is_paused).collect();
    let usable = if sound.is_empty() { candidates.iter().collect() } else { sound };
    match wish.shared_part {
        Some(part) => choose_by_part(&usable, part, wish.prompt_tokens, random),
        None => choose_least(&usable, random),
    }
}

fn choose_by_part<'a>(
    candidates: &[&Candidate<'a>],
    part: u64,
    tokens: u64,
    random: u64,
) -> Option<&'a Server> {
    let total: u64 = candidates.iter().map(|c| c.load.waiting_tokens).sum();
    let mean = (total + tokens) as f64 / candidates.len().max(1) as f64;
    let bound = mean * LOAD_BOUND;
    let mut ordered: Vec<&&Candidate<'a>> = candidates.iter().collect();
    ordered.sort_unstable_by_key(|c| std::cmp::Reverse(weight(part, &c.server.id)));
    let is_within = |c: &Candidate<'a>| {
        c.load.waiting_tokens as f64 <= bound && c.load.requests < c.server.slots.max(1)
    };
    let preferred = ordered.into_iter().find(|c| is_within(c)).map(|c| c.server);
    preferred.or_else(|| choose_least(candidates, random))
}

fn choose_least<'a>(candidates: &[&Candidate<'a>], random: u64) -> Option<&'a Server> {
    let busy = |c: &&&Candidate<'a>| {
        let filled = u64::from(c.load.requests) * 1_000 / u64::from(c.server.slots.max(1));
        (c.load.waiting_tokens, filled, weight(random, &c.server.id))
    };
    candidates.iter().min_by_key(busy).map(|c| c.server)
}

fn weight(key: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), key)
}
