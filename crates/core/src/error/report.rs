//! An error with the context that a user needs to fix it.

use std::fmt;

use super::ErrorKind;

/// An item of context attached to an [`Error`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Context {
    /// The invalid key or argument.
    Key(String),
    /// The value that was found.
    Value(String),
    /// The allowed values.
    Allowed(String),
    /// How to fix it.
    Tip(String),
}

/// An error with a kind, a message and optional context.
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
    /// Creates an error of a kind with a message.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), context: Vec::new() }
    }

    /// Adds the invalid key.
    pub fn key(self, key: impl Into<String>) -> Self {
        self.with(Context::Key(key.into()))
    }

    /// Adds the value that was found.
    pub fn value(self, value: impl Into<String>) -> Self {
        self.with(Context::Value(value.into()))
    }

    /// Adds the allowed values.
    pub fn allowed(self, allowed: impl Into<String>) -> Self {
        self.with(Context::Allowed(allowed.into()))
    }

    /// Adds a tip on how to fix the error.
    pub fn tip(self, tip: impl Into<String>) -> Self {
        self.with(Context::Tip(tip.into()))
    }

    /// Returns the kind.
    pub fn get_kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the message.
    pub fn get_message(&self) -> &str {
        &self.message
    }

    /// Returns the context in insertion order.
    pub fn get_context(&self) -> &[Context] {
        &self.context
    }

    /// Returns the tip, if any.
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
