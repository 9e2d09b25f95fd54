//! The kinds of errors.

/// The kind of an [`Error`](super::Error), to match on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A value is not allowed.
    InvalidValue,
    /// A required key is missing.
    MissingKey,
    /// A document cannot be parsed.
    Malformed,
    /// Two parts of a document contradict each other.
    Conflict,
    /// A signature or credential is not valid.
    Untrusted,
    /// A named object does not exist.
    NotFound,
    /// An external system could not be reached or did not respond in time.
    Unavailable,
}

impl ErrorKind {
    /// Returns a short description of the kind for the user.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidValue => "invalid value",
            Self::MissingKey => "missing key",
            Self::Malformed => "malformed document",
            Self::Conflict => "conflict",
            Self::Untrusted => "not trusted",
            Self::NotFound => "not found",
            Self::Unavailable => "unavailable",
        }
    }
}
