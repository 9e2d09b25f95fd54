//! Which tokens belong to an answer.
//!
//! Each dispatch has its own attempt name and each token an offset. Only the current attempt's
//! tokens pass, each once and in order. What is doubled or foreign is dropped and counted; what
//! comes too early is held until the tokens before it have come.

use std::collections::BTreeMap;

/// Tokens that may be held because others before them are missing.
const MOST_HELD: usize = 64;

/// Says what became of a token that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// These tokens come next in the answer: the one that arrived, and those held for it.
    Accept(Vec<String>),
    /// Tokens before it are missing; it is held.
    Buffered,
    /// It was seen before.
    Duplicate,
    /// It belongs to another attempt.
    Foreign,
    /// Too much is missing: the attempt must be read again from this offset.
    Gap(u64),
}

/// The place up to which an answer has come.
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
    held: BTreeMap<u64, String>,
}

impl Cursor {
    /// Starts at an offset with an attempt.
    pub fn new(attempt: &str, next: u64) -> Self {
        Self { attempt: attempt.to_owned(), next, held: BTreeMap::new() }
    }

    /// Goes on with another attempt, or another reading of the same, from the same place.
    pub fn switch(&mut self, attempt: &str) {
        self.attempt = attempt.to_owned();
        self.held.clear();
    }

    /// Takes one token of an attempt in.
    pub fn take(&mut self, attempt: &str, offset: u64, token: &str) -> Disposition {
        if attempt != self.attempt {
            return Disposition::Foreign;
        }
        if offset < self.next || self.held.contains_key(&offset) {
            return Disposition::Duplicate;
        }
        if offset > self.next {
            if self.held.len() >= MOST_HELD {
                return Disposition::Gap(self.next);
            }
            self.held.insert(offset, token.to_owned());
            return Disposition::Buffered;
        }
        let mut accepted = vec![token.to_owned()];
        self.next += 1;
        while let Some(token) = self.held.remove(&self.next) {
            accepted.push(token);
            self.next += 1;
        }
        Disposition::Accept(accepted)
    }

    /// Returns `true` if tokens are held for others that are missing.
    pub fn has_gap(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns the offset of the next token.
    pub fn get_next(&self) -> u64 {
        self.next
    }

    /// Returns the current attempt.
    pub fn get_attempt(&self) -> &str {
        &self.attempt
    }
}
