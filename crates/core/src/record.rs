//! The replica of a request's progress.

/// The tokens of a response that were replicated so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    tokens: Vec<String>,
}

impl Tokens {
    /// Creates a replica from the tokens of a record.
    pub fn new(tokens: Vec<String>) -> Self {
        Self { tokens }
    }

    /// Appends tokens that start at an offset, skipping those already known.
    ///
    /// Returns `false` and appends nothing if earlier tokens are missing; the sender then asks for
    /// the replica's offset again.
    pub fn extend(&mut self, from_offset: u64, tokens: Vec<String>) -> bool {
        let known = self.tokens.len() as u64;
        if from_offset > known {
            return false;
        }
        let overlap = (known - from_offset) as usize;
        self.tokens.extend(tokens.into_iter().skip(overlap));
        true
    }

    /// Returns the tokens, consuming the replica.
    pub fn into_inner(self) -> Vec<String> {
        self.tokens
    }

    /// Returns the tokens.
    pub fn get(&self) -> &[String] {
        &self.tokens
    }
}
