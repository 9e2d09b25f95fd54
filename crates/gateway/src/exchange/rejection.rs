//! Reasons why a request ends without a response.

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::Refusal;

use super::respond::RefusalResponse;

/// Reason why there is no body, no server or no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// The reason.
    pub reason: Refusal,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after: Millis,
}

impl Rejection {
    /// Returns the rejection with the time left until the caller's deadline.
    pub fn with_time_remaining(self, time_remaining: Millis) -> RefusalResponse {
        let Self { reason, retry_after } = self;
        RefusalResponse { reason, retry_after, time_remaining }
    }
}

impl From<Refusal> for Rejection {
    fn from(reason: Refusal) -> Self {
        Self { reason, retry_after: 0 }
    }
}
