//! The copy of a request's progress that a holder keeps.

/// The tokens of an answer, as far as they were copied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    tokens: Vec<String>,
}

impl Tokens {
    /// Starts with the tokens of a record.
    pub fn new(tokens: Vec<String>) -> Self {
        Self { tokens }
    }

    /// Adds tokens from an offset on; those that are known are passed over.
    ///
    /// Returns false, and adds nothing, where tokens before them are missing: the sender then
    /// looks for the holder's place again.
    pub fn extend(&mut self, from_offset: u64, tokens: Vec<String>) -> bool {
        let known = self.tokens.len() as u64;
        if from_offset > known {
            return false;
        }
        let repeated = (known - from_offset) as usize;
        self.tokens.extend(tokens.into_iter().skip(repeated));
        true
    }

    /// Gives the tokens back.
    pub fn into_inner(self) -> Vec<String> {
        self.tokens
    }

    /// Returns the tokens.
    pub fn get(&self) -> &[String] {
        &self.tokens
    }
}
