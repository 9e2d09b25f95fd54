//! Why a request ends without an answer.

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::Refusal;

use super::respond::Refused;

/// Why there is no body, no server or no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// Why.
    pub reason: Refusal,
    /// The time after which the caller should retry, in milliseconds.
    pub retry_after: Millis,
}

impl Rejection {
    /// Makes the refusal of a request whose caller has `left` milliseconds left.
    pub fn with_left(self, left: Millis) -> Refused {
        let Self { reason, retry_after } = self;
        Refused { reason, retry_after, left }
    }
}

impl From<Refusal> for Rejection {
    fn from(reason: Refusal) -> Self {
        Self { reason, retry_after: 0 }
    }
}
