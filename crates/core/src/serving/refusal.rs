//! Why a request was refused, and when to retry.

use std::time::Duration;

use crate::Millis;

/// Returns the longest wait that a caller accepts who has `left` milliseconds left: somewhat less than a
/// third of them.
pub fn get_max_wait(left: Millis) -> Millis {
    left * 3 / 10
}

/// Why a request was not served. None of them has run, unless [`Refusal::may_have_run`] says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The request's head cannot be understood.
    BadRequest,
    /// No route takes the host and path.
    NoRoute,
    /// The key is missing or not known.
    UnknownKey,
    /// The head is longer than the configuration allows.
    HeadTooLong,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body did not come to its end in time.
    BodyTimeout,
    /// The node has no memory for the body.
    NoMemory,
    /// The client account is beyond its limit.
    OverQuota,
    /// No configuration is known yet.
    NotConfigured,
    /// The configuration may have been replaced without this node's knowledge.
    Stale,
    /// The route's service has no server that may get work.
    NoServer,
    /// The servers take no request now, by what they said in their answers.
    Throttled,
    /// All servers are busy for longer than the request can wait.
    Busy,
    /// Only servers of another region could serve the request, and the budget of the link there is
    /// used up.
    LinkFull,
    /// The server declined the request, and no other may be tried.
    NotAccepted,
    /// The time ran out before the request was sent to a server.
    TooLate,
    /// The time ran out after the request was sent to a server.
    Timeout,
    /// Servers crashed under the same request before.
    Quarantined,
    /// A server broke off, or answered with something that is not an answer to this request.
    BrokenAnswer,
}

impl Refusal {
    /// Returns the HTTP status.
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
            | Self::Quarantined
            | Self::TooLate => 503,
        }
    }

    /// Returns `true` if the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Timeout | Self::BrokenAnswer)
    }

    /// Names the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::BodyTimeout => "body_timeout",
            Self::NoMemory => "no_memory",
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
        }
    }

    /// Computes when the caller should retry, where a later try can succeed.
    ///
    /// `hint` is the time after which room is expected. The wait stays inside a third of the time
    /// that the caller has left, beyond which callers ignore `Retry-After`; that of a request that is
    /// quarantined is sent as it is, so that no caller comes back before.
    pub fn get_retry_after(self, hint: Millis, left: Millis) -> Option<Duration> {
        if self == Self::Quarantined {
            return Some(Duration::from_millis(hint));
        }
        let is_passing = matches!(
            self,
            Self::OverQuota
                | Self::NoMemory
                | Self::NotConfigured
                | Self::Stale
                | Self::NoServer
                | Self::Throttled
                | Self::Busy
                | Self::LinkFull
                | Self::NotAccepted
        );
        if !is_passing {
            return None;
        }
        Some(Duration::from_millis(hint.min(get_max_wait(left)).max(1)))
    }
}
