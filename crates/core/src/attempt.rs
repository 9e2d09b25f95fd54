//! What to do after an attempt to run a request has ended.
//!
//! A non-repeatable request fails over to another server only if nothing of it was sent, or if
//! its server is drained; in the second case the caller of this module cancels the attempt first.
//! A failover after an announced departure is not charged to the retry budget, because the number
//! of such failovers is bounded by the requests that ran on the departing server.

use crate::drain::Action;
use crate::outcome::Outcome;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The response is complete.
    Finished,
    /// No byte of the request was sent, or the server reported that it did not run the request.
    NotSent,
    /// The response was interrupted; the request may have run in part.
    Interrupted,
    /// The server is drained, and the plan assigns this action to the attempt.
    Drained(Action),
    /// The deadline has passed.
    DeadlineExceeded,
}

/// The conditions under which the next step is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the attempt's server is known to be leaving.
    pub is_leaving: bool,
}

/// The reason why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The deadline has passed.
    DeadlineExceeded,
    /// The request was not sent, and the retry budget is exhausted.
    Unsent,
    /// The request was sent and must not be retried.
    NotRepeatable,
    /// The request was sent, and the retry budget is exhausted.
    RetriesExhausted,
}

impl Reason {
    /// Returns the reason as a phrase for the caller.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineExceeded => "the deadline has passed",
            Self::Unsent => "no backend server took the request",
            Self::NotRepeatable => {
                "the backend server broke off and the request is not to be repeated"
            }
            Self::RetriesExhausted => "the backend server broke off and no retry is left",
        }
    }

    /// Returns the corresponding HTTP status.
    pub fn get_status(self) -> u16 {
        match self {
            Self::DeadlineExceeded => 504,
            Self::Unsent => 503,
            Self::NotRepeatable | Self::RetriesExhausted => 502,
        }
    }

    /// Returns `true` if the caller may succeed by retrying soon.
    pub fn is_transient(self) -> bool {
        matches!(self, Self::Unsent | Self::RetriesExhausted)
    }
}

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Do nothing: the response is complete.
    Done,
    /// Send the request to another server.
    FailOver,
    /// Take the request off its server by this action, and continue on another server.
    Migrate(Action),
    /// Continue to read the current attempt.
    KeepReading,
    /// End the request with an error.
    GiveUp(Reason),
}

/// Decides what to do after an attempt.
///
/// `take_retry` takes one retry from the budget and returns `false` if the budget is exhausted.
pub fn decide_next(end: End, conditions: Conditions, take_retry: impl FnOnce() -> bool) -> Next {
    match end {
        End::Finished => Next::Done,
        End::DeadlineExceeded => Next::GiveUp(Reason::DeadlineExceeded),
        End::Drained(Action::Finish) => Next::KeepReading,
        End::Drained(action) => Next::Migrate(action),
        End::Interrupted if !conditions.is_repeatable => Next::GiveUp(Reason::NotRepeatable),
        End::NotSent | End::Interrupted => {
            if conditions.is_leaving || take_retry() {
                return Next::FailOver;
            }
            let reason =
                if end == End::NotSent { Reason::Unsent } else { Reason::RetriesExhausted };
            Next::GiveUp(reason)
        }
    }
}

/// Returns the outcome reported to the caller for a request that is given up.
pub fn decide_outcome(is_sent: bool) -> Outcome {
    if is_sent { Outcome::Unknown } else { Outcome::NotRun }
}
