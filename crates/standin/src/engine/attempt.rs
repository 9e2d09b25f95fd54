//! Attempts at requests and their generated tokens.

use std::sync::Mutex;

use event_listener::Event;
use keeljunction::runtime::lock;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An attempt at a request; generation continues even if no client reads the tokens.
#[derive(Debug)]
pub struct Attempt {
    /// The prompt of the request.
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
    /// Creates an attempt that continues after `tokens`.
    pub fn new(prompt: &str, tokens: Vec<String>) -> Self {
        let state = State { tokens, ..State::default() };
        Self { prompt: prompt.to_owned(), state: Mutex::new(state), changed: Event::new() }
    }

    /// Generates the next token.
    pub fn push_token(&self) {
        let mut state = lock(&self.state);
        let next = expected_token(&self.prompt, state.tokens.len() as u64);
        state.tokens.push(next);
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Marks the output as complete.
    pub fn finish(&self) {
        lock(&self.state).is_done = true;
        self.changed.notify(usize::MAX);
    }

    /// Cancels the attempt.
    pub fn cancel(&self) {
        lock(&self.state).is_cancelled = true;
        self.changed.notify(usize::MAX);
    }

    /// Returns `true` if the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        lock(&self.state).is_cancelled
    }

    /// Returns the tokens generated so far.
    pub fn get_tokens(&self) -> Vec<String> {
        lock(&self.state).tokens.clone()
    }

    /// Waits for tokens from `offset` on.
    ///
    /// Returns the tokens and whether the output is complete, or `None` if the attempt was
    /// cancelled.
    pub async fn wait_for_tokens(&self, offset: usize) -> Option<(Vec<String>, bool)> {
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

/// Returns the token at an offset of the output for a prompt.
pub fn expected_token(prompt: &str, offset: u64) -> String {
    format!(" t{:05}", xxh3_64_with_seed(prompt.as_bytes(), offset) % 100_000)
}

/// Returns the complete output for a prompt.
pub fn expected_output(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|offset| expected_token(prompt, offset)).collect()
}
