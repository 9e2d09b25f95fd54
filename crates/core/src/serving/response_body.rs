//! How the end of a response body is declared.

/// What declares the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A length in the head, in bytes.
    Length,
    /// A last chunk.
    Chunks,
    /// The end of the connection, which a server that stops also brings about.
    Connection,
}

impl Framing {
    /// Returns the framing's name in logs and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
