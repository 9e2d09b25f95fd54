//! Reasons for refusing a request, and when to retry.

use std::time::Duration;

use crate::Millis;

/// Returns the longest wait that a caller with `remaining` milliseconds accepts: somewhat less than
/// a third of them.
pub fn get_max_wait(remaining: Millis) -> Millis {
    remaining * 3 / 10
}

/// The reason why a request was not served. The request has not run unless
/// [`Refusal::may_have_run`] returns `true`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The request's head is malformed.
    BadRequest,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The head exceeds the configured limit.
    HeadTooLong,
    /// The body exceeds the configured limit.
    BodyTooLong,
    /// The body was not received in time.
    BodyTimeout,
    /// The node has no memory for the body.
    NoMemory,
    /// The node is shutting down, and the response would take longer than that.
    Stopping,
    /// The client account has exceeded its quota.
    OverQuota,
    /// The node has no configuration yet.
    NotConfigured,
    /// The configuration may have been replaced without this node's knowledge.
    Stale,
    /// The route's service has no server that accepts requests.
    NoServer,
    /// All servers are rate limited or in a back-off.
    Throttled,
    /// All servers are busy for longer than the request can wait.
    Busy,
    /// Only servers of another region could serve the request, and the budget of the link is used
    /// up.
    LinkFull,
    /// The server declined the request, and no other may be tried.
    NotAccepted,
    /// The deadline passed before the request was sent to a server.
    TooLate,
    /// The deadline passed after the request was sent to a server.
    Timeout,
    /// The request is quarantined because it crashed servers before.
    Quarantined,
    /// The server's response was interrupted or is not valid for this request.
    BrokenAnswer,
    /// The request resumes a stream, and it is not known which software version began it.
    UnknownStream,
    /// The request resumes a stream whose software version has no server any more.
    VersionGone,
}

impl Refusal {
    /// Returns the HTTP status code.
    pub fn get_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::NoRoute => 404,
            Self::BodyTimeout => 408,
            Self::BodyTooLong => 413,
            Self::HeadTooLong => 431,
            Self::OverQuota => 429,
            Self::BrokenAnswer => 502,
            Self::Timeout => 504,
            Self::NotConfigured
            | Self::Stale
            | Self::NoServer
            | Self::Throttled
            | Self::Busy
            | Self::LinkFull
            | Self::NotAccepted
            | Self::NoMemory
            | Self::Stopping
            | Self::Quarantined
            | Self::UnknownStream
            | Self::VersionGone
            | Self::TooLate => 503,
        }
    }

    /// Returns `true` if the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Timeout | Self::BrokenAnswer)
    }

    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTimeout => "body_timeout",
            Self::NoMemory => "no_memory",
            Self::Stopping => "stopping",
            Self::OverQuota => "over_quota",
            Self::NotConfigured => "not_configured",
            Self::Stale => "stale_configuration",
            Self::NoServer => "no_server",
            Self::Throttled => "throttled",
            Self::Busy => "busy",
            Self::LinkFull => "link_full",
            Self::NotAccepted => "not_accepted",
            Self::TooLate => "too_late",
            Self::Timeout => "timeout",
            Self::Quarantined => "quarantined",
            Self::BrokenAnswer => "broken_answer",
            Self::UnknownStream => "unknown_stream",
            Self::VersionGone => "version_gone",
        }
    }

    /// Returns when the caller should retry, if a retry can succeed.
    ///
    /// `hint` is the time after which the request is expected to be served. The result stays within
    /// a third of the caller's remaining time, since callers ignore a longer `Retry-After`. For a
    /// quarantined request `hint` is returned as it is, so that no caller retries earlier.
    pub fn get_retry_after(self, hint: Millis, remaining: Millis) -> Option<Duration> {
        if self == Self::Quarantined {
            return Some(Duration::from_millis(hint));
        }
        let is_transient = matches!(
            self,
            Self::OverQuota
                | Self::NoMemory
                | Self::Stopping
                | Self::NotConfigured
                | Self::Stale
                | Self::NoServer
                | Self::Throttled
                | Self::Busy
                | Self::LinkFull
                | Self::NotAccepted
        );
        if !is_transient {
            return None;
        }
        Some(Duration::from_millis(hint.min(get_max_wait(remaining)).max(1)))
    }
}
