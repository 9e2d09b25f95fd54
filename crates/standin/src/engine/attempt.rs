//! Attempts and their tokens.

use std::sync::Mutex;

use event_listener::Event;
use keeljunction::runtime::lock;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One attempt at a request, which goes on whether or not somebody reads it.
#[derive(Debug)]
pub struct Attempt {
    /// The prompt.
    pub prompt: String,
    state: Mutex<State>,
    changed: Event,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<String>,
    is_done: bool,
    is_cancelled: bool,
}

impl Attempt {
    /// Starts with the tokens that are already there.
    pub fn new(prompt: &str, tokens: Vec<String>) -> Self {
        let state = State { tokens, ..State::default() };
        Self { prompt: prompt.to_owned(), state: Mutex::new(state), changed: Event::new() }
    }

    /// Adds the next token.
    pub fn push(&self) {
        let mut state = lock(&self.state);
        let next = token_of(&self.prompt, state.tokens.len() as u64);
        state.tokens.push(next);
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Notes that all tokens are there.
    pub fn finish(&self) {
        lock(&self.state).is_done = true;
        self.changed.notify(usize::MAX);
    }

    /// Ends it early.
    pub fn cancel(&self) {
        lock(&self.state).is_cancelled = true;
        self.changed.notify(usize::MAX);
    }

    /// Returns `true` if it was ended early.
    pub fn is_cancelled(&self) -> bool {
        lock(&self.state).is_cancelled
    }

    /// Returns the tokens so far.
    pub fn get_tokens(&self) -> Vec<String> {
        lock(&self.state).tokens.clone()
    }

    /// Waits for tokens from an offset on; `None` where it was ended early, and whether they are the last.
    pub async fn beyond(&self, offset: usize) -> Option<(Vec<String>, bool)> {
        loop {
            let changed = self.changed.listen();
            {
                let state = lock(&self.state);
                if state.is_cancelled {
                    return None;
                }
                if state.is_done || state.tokens.len() > offset {
                    let tokens = state.tokens.get(offset..).unwrap_or_default().to_vec();
                    return Some((tokens, state.is_done));
                }
            }
            changed.await;
        }
    }
}

/// Computes the token at an offset of the answer to a prompt.
pub fn token_of(prompt: &str, offset: u64) -> String {
    format!(" t{:05}", xxh3_64_with_seed(prompt.as_bytes(), offset) % 100_000)
}

/// Computes the whole answer to a prompt.
pub fn answer_of(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|offset| token_of(prompt, offset)).collect()
}
