//! What to do after an attempt to run a request has ended.
//!
//! A request that is not to be repeated goes on elsewhere only if nothing of it was sent, or if
//! its attempt was steered off its server, in which case the shell first has it cancelled. Going
//! on after an announced departure is not charged to the retry budget: it is bounded by the
//! requests that ran there.

use crate::drain::Action;
use crate::outcome::Outcome;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is whole.
    Finished,
    /// No byte of it left, or the server says that it did not run it.
    NotSent,
    /// It may have run in part, and no more comes of it.
    Interrupted,
    /// It must be taken off its server.
    Drained(Action),
    /// The answer would come too late.
    DeadlineExceeded,
}

/// What else the decision needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the attempt's server is known to leave.
    pub is_leaving: bool,
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline has passed.
    DeadlineExceeded,
    /// Nothing was sent, and no retry is left.
    Unsent,
    /// It was sent, and must not be repeated.
    NotRepeatable,
    /// It was sent, and no retry is left.
    RetriesExhausted,
}

impl Reason {
    /// Says the reason in a sentence, for the caller.
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

    /// Returns the HTTP status that goes with it.
    pub fn get_status(self) -> u16 {
        match self {
            Self::DeadlineExceeded => 504,
            Self::Unsent => 503,
            Self::NotRepeatable | Self::RetriesExhausted => 502,
        }
    }

    /// Returns `true` if asking again before long may help.
    pub fn is_transient(self) -> bool {
        matches!(self, Self::Unsent | Self::RetriesExhausted)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing: the answer is whole.
    Done,
    /// Go on at another server than this one.
    FailOver,
    /// Leave the attempt behind by this action, and go on at another server.
    Migrate(Action),
    /// Read the attempt on where it is.
    KeepReading,
    /// End the request.
    GiveUp(Reason),
}

/// Decides what to do after an attempt. `take_retry` takes one retry of the budget, if there is one.
pub fn decide_next(end: End, standing: Conditions, take_retry: impl FnOnce() -> bool) -> Next {
    match end {
        End::Finished => Next::Done,
        End::DeadlineExceeded => Next::GiveUp(Reason::DeadlineExceeded),
        End::Drained(Action::Finish) => Next::KeepReading,
        End::Drained(action) => Next::Migrate(action),
        End::Interrupted if !standing.is_repeatable => Next::GiveUp(Reason::NotRepeatable),
        End::NotSent | End::Interrupted => {
            if standing.is_leaving || take_retry() {
                return Next::FailOver;
            }
            let reason =
                if end == End::NotSent { Reason::Unsent } else { Reason::RetriesExhausted };
            Next::GiveUp(reason)
        }
    }
}

/// Decides the outcome that a caller gets for a request that is given up.
pub fn decide_outcome(is_sent: bool) -> Outcome {
    if is_sent { Outcome::Unknown } else { Outcome::NotRun }
}
