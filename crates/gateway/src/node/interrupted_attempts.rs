//! Attempts whose connection broke at servers that may have crashed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::Fingerprint;

/// Interrupted attempts by server id, until the node has probed the server.
pub(crate) type Pending = Mutex<HashMap<String, Vec<InterruptedAttempt>>>;

/// An attempt at a request whose connection to the server broke.
#[derive(Clone, Debug)]
pub(crate) struct InterruptedAttempt {
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// The fingerprints of the parts that its prompt may share with others.
    pub shared_parts: Arc<[Fingerprint]>,
    /// When the request was sent to the server.
    pub sent_at: Millis,
    /// When the connection broke.
    pub interrupted_at: Millis,
    /// When the response started; `None` if it had not.
    pub response_started_at: Option<Millis>,
}

impl InterruptedAttempt {
    /// Returns the milliseconds from sending the request until the connection broke.
    pub(super) fn get_duration(&self) -> Millis {
        self.interrupted_at.saturating_sub(self.sent_at)
    }
}
