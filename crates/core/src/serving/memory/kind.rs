//! What bytes are held for.

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A request's body, until its last attempt has ended.
    RequestBody,
    /// A part of an answer that its caller has not read yet.
    ReadAhead,
    /// What the node needs to go on serving at all: heads, reports, a drain.
    Control,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::RequestBody, Self::ReadAhead, Self::Control];

    /// Names the kind in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RequestBody => "request_body",
            Self::ReadAhead => "read_ahead",
            Self::Control => "control",
        }
    }
}
