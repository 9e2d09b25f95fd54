//! The target of a request, built from text that may contain any characters.

use std::fmt;

use keeljunction_core::percent::encode;

/// The path and the query of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Creates a target from a path that needs no encoding.
    pub fn new(path: &'static str) -> Self {
        Self { text: path.to_owned(), has_query: false }
    }

    /// Appends a segment to the path. Call it before [`Target::with_parameter`].
    pub fn with_segment(mut self, segment: &str) -> Self {
        self.text.push('/');
        self.text.extend(encode(segment));
        self
    }

    /// Appends a parameter to the query.
    pub fn with_parameter(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.text.push_str(name);
        self.text.push('=');
        self.text.extend(encode(&value.to_string()));
        self.has_query = true;
        self
    }

    /// Returns the encoded target.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
