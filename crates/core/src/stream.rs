//! Assembly of a response from the tokens of its attempts.
//!
//! Each dispatch has its own attempt name, and each token has an offset. Only tokens of the current
//! attempt are accepted, each once and in order. Duplicate and foreign tokens are dropped and
//! counted; tokens that arrive early are buffered until the tokens before them have arrived.

use std::collections::BTreeMap;

/// Maximum number of tokens buffered while earlier ones are missing.
const MAX_BUFFERED_TOKENS: usize = 64;

/// What was done with a received token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// These tokens come next in the response: the received one, and those buffered behind it.
    Accept(Vec<String>),
    /// Tokens before it are missing; it was buffered.
    Buffered,
    /// It was received before.
    Duplicate,
    /// It belongs to another attempt.
    Foreign,
    /// The buffer is full: the attempt must be read again from this offset.
    Gap(u64),
}

/// The position up to which a response has been received.
///
/// # Examples
///
/// ```
/// use keeljunction_core::stream::{Cursor, Disposition};
///
/// let mut cursor = Cursor::new("a", 0);
/// assert_eq!(cursor.take("a", 1, "two"), Disposition::Buffered);
/// let both = vec!["one".to_owned(), "two".to_owned()];
/// assert_eq!(cursor.take("a", 0, "one"), Disposition::Accept(both));
/// assert_eq!(cursor.take("a", 1, "two"), Disposition::Duplicate);
/// assert_eq!(cursor.take("b", 2, "three"), Disposition::Foreign);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    attempt: String,
    next: u64,
    buffered: BTreeMap<u64, String>,
}

impl Cursor {
    /// Creates a cursor for an attempt, starting at an offset.
    pub fn new(attempt: &str, next: u64) -> Self {
        Self { attempt: attempt.to_owned(), next, buffered: BTreeMap::new() }
    }

    /// Switches to another attempt, or to a new read of the same attempt, at the same position.
    pub fn switch(&mut self, attempt: &str) {
        self.attempt = attempt.to_owned();
        self.buffered.clear();
    }

    /// Receives one token of an attempt.
    pub fn take(&mut self, attempt: &str, offset: u64, token: &str) -> Disposition {
        if attempt != self.attempt {
            return Disposition::Foreign;
        }
        if offset < self.next || self.buffered.contains_key(&offset) {
            return Disposition::Duplicate;
        }
        if offset > self.next {
            if self.buffered.len() >= MAX_BUFFERED_TOKENS {
                return Disposition::Gap(self.next);
            }
            self.buffered.insert(offset, token.to_owned());
            return Disposition::Buffered;
        }
        let mut accepted = vec![token.to_owned()];
        self.next += 1;
        while let Some(token) = self.buffered.remove(&self.next) {
            accepted.push(token);
            self.next += 1;
        }
        Disposition::Accept(accepted)
    }

    /// Returns `true` if tokens are buffered because earlier ones are missing.
    pub fn has_gap(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Returns the offset of the next expected token.
    pub fn get_next(&self) -> u64 {
        self.next
    }

    /// Returns the current attempt.
    pub fn get_attempt(&self) -> &str {
        &self.attempt
    }
}
