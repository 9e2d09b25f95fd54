//! The kinds of memory reservations.

/// What bytes are reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A request's body, until its last attempt has ended.
    RequestBody,
    /// A part of a response that its caller has not read yet.
    ReadAhead,
    /// What the node needs to keep serving: request heads, reports, a drain.
    Control,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::RequestBody, Self::ReadAhead, Self::Control];

    /// Returns the name of the kind in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RequestBody => "request_body",
            Self::ReadAhead => "read_ahead",
            Self::Control => "control",
        }
    }
}
