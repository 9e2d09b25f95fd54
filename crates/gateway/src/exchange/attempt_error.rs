//! Why an attempt did not give a valid response.

/// Reason why an attempt did not give a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// The connection failed; nothing was sent.
    NotConnected,
    /// The server reports that it did not run the request.
    Declined,
    /// Another server is listening at the address.
    OtherServer,
    /// The response on the connection belongs to another request, or to none.
    OtherRequest,
    /// The connection closed before the response head.
    Ended,
    /// The connection closed after the response head, but before the first token of a stream or
    /// before the end of any other response.
    Cut,
    /// The server sent too many bytes without completing a response head, a part of a body or an event.
    Endless,
    /// The response is not valid for this request.
    Broken,
    /// The server returned a server error.
    ServerError,
    /// The attempt timed out.
    Timeout,
}

impl AttemptError {
    /// Returns `true` if the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotConnected | Self::Declined | Self::OtherServer)
    }

    /// Returns the name of the error in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::Declined => "declined",
            Self::OtherServer => "other_server",
            Self::OtherRequest => "other_request",
            Self::Ended => "ended",
            Self::Cut => "cut",
            Self::Endless => "endless",
            Self::Broken => "broken",
            Self::ServerError => "server_error",
            Self::Timeout => "timeout",
        }
    }
}
