//! Which tokens belong to an answer.
//!
//! Each dispatch has its own attempt name and each token an offset. Only the current attempt's
//! next tokens pass; what is late, doubled or foreign is dropped and counted.

/// Says what became of tokens that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Tokens from this index on are new and follow without a gap.
    Accept(usize),
    /// All of them were seen before.
    Repeated,
    /// They belong to another attempt.
    Foreign,
    /// Tokens before them are missing; the attempt must be read again from this offset.
    Gap(u64),
}

/// The place up to which an answer has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    attempt: String,
    next: u64,
    dropped: u64,
}

impl Cursor {
    /// Starts at an offset with an attempt.
    pub fn new(attempt: &str, next: u64) -> Self {
        Self { attempt: attempt.to_owned(), next, dropped: 0 }
    }

    /// Goes on with another attempt from the same place.
    pub fn switch(&mut self, attempt: &str) {
        self.attempt = attempt.to_owned();
    }

    /// Judges `count` tokens of an attempt that start at `offset`, and moves on past new ones.
    pub fn judge(&mut self, attempt: &str, offset: u64, count: usize) -> Verdict {
        if attempt != self.attempt {
            self.dropped += count as u64;
            return Verdict::Foreign;
        }
        if offset > self.next {
            return Verdict::Gap(self.next);
        }
        let known = (self.next - offset) as usize;
        self.dropped += known.min(count) as u64;
        if known >= count {
            return Verdict::Repeated;
        }
        self.next = offset + count as u64;
        Verdict::Accept(known)
    }

    /// Returns the offset of the next token.
    pub fn get_next(&self) -> u64 {
        self.next
    }

    /// Returns the current attempt.
    pub fn get_attempt(&self) -> &str {
        &self.attempt
    }

    /// Returns how many tokens were dropped.
    pub fn get_dropped(&self) -> u64 {
        self.dropped
    }
}
