//! An error with the context that a person needs to mend it.

use std::fmt;

use super::ErrorKind;

/// A piece of context of an [`Error`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Context {
    /// The key or argument at fault.
    Key(String),
    /// The value that was found.
    Value(String),
    /// What would have been allowed.
    Allowed(String),
    /// What to do about it.
    Tip(String),
}

/// Says what was wrong, the value, the possible values, and a tip.
///
/// # Examples
///
/// ```
/// use keeljunction_core::{Error, ErrorKind};
///
/// let error = Error::new(ErrorKind::InvalidValue, "weight is out of range")
///     .key("groups[0].weight")
///     .value("0")
///     .allowed("1 to 1000000")
///     .tip("give each group a weight of at least 1");
/// assert_eq!(error.get_kind(), ErrorKind::InvalidValue);
/// assert!(error.to_string().contains("groups[0].weight"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
    context: Vec<Context>,
}

impl Error {
    /// Makes an error of a kind, with a sentence that says what was wrong.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), context: Vec::new() }
    }

    /// Names the key at fault.
    pub fn key(self, key: impl Into<String>) -> Self {
        self.with(Context::Key(key.into()))
    }

    /// Shows the value that was found.
    pub fn value(self, value: impl Into<String>) -> Self {
        self.with(Context::Value(value.into()))
    }

    /// Shows what would have been allowed.
    pub fn allowed(self, allowed: impl Into<String>) -> Self {
        self.with(Context::Allowed(allowed.into()))
    }

    /// Says what to do about it.
    pub fn tip(self, tip: impl Into<String>) -> Self {
        self.with(Context::Tip(tip.into()))
    }

    /// Returns the kind, to match on.
    pub fn get_kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the sentence that says what was wrong.
    pub fn get_message(&self) -> &str {
        &self.message
    }

    /// Returns the context in the order in which it was added.
    pub fn get_context(&self) -> &[Context] {
        &self.context
    }

    /// Returns the tip, if there is one.
    pub fn get_tip(&self) -> Option<&str> {
        self.context.iter().find_map(|context| match context {
            Context::Tip(tip) => Some(tip.as_str()),
            _ => None,
        })
    }

    fn with(mut self, context: Context) -> Self {
        self.context.push(context);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.as_str(), self.message)?;
        for context in &self.context {
            match context {
                Context::Key(key) => write!(f, "; key: {key}")?,
                Context::Value(value) => write!(f, "; value: {value}")?,
                Context::Allowed(allowed) => write!(f, "; allowed: {allowed}")?,
                Context::Tip(tip) => write!(f, "; tip: {tip}")?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
