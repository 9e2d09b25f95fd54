//! What sort of thing went wrong.

/// Says what sort of thing went wrong, to match on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A value is not one of those allowed.
    InvalidValue,
    /// A key that must be there is missing.
    MissingKey,
    /// A document cannot be read as what it should be.
    Malformed,
    /// Two parts of a document contradict each other.
    Conflict,
    /// A signature or credential does not hold.
    Untrusted,
    /// Something that was named does not exist.
    NotFound,
    /// A system outside could not be reached or did not answer in time.
    Unavailable,
}

impl ErrorKind {
    /// Names the kind in a few words, for a person.
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
