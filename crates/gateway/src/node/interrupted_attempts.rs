//! Runs of requests that broke off at servers that may have ended.

use std::collections::HashMap;
use std::sync::Mutex;

use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::Fingerprint;

/// Runs that broke off, by the id of the server, until the node has looked at it.
pub(crate) type Pending = Mutex<HashMap<String, Vec<InterruptedAttempt>>>;

/// A run of a request whose connection broke off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InterruptedAttempt {
    /// Names the request's content.
    pub fingerprint: Fingerprint,
    /// When it was sent to the server.
    pub sent_at: Millis,
    /// When its connection broke off.
    pub interrupted_at: Millis,
    /// Since when its answer came.
    pub response_started_at: Option<Millis>,
}

impl InterruptedAttempt {
    /// Returns the milliseconds between its being sent and the end of its connection.
    pub(super) fn get_span(&self) -> Millis {
        self.interrupted_at.saturating_sub(self.sent_at)
    }
}
