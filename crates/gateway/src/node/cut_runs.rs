//! Runs of requests that broke off at servers that may have ended.

use std::collections::HashMap;
use std::sync::Mutex;

use keeljunction_core::Millis;
use keeljunction_core::serving::quarantine::Fingerprint;

/// Runs that broke off, by the id of the server, until the node has looked at it.
pub(crate) type Pending = Mutex<HashMap<String, Vec<CutRun>>>;

/// A run of a request whose connection broke off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CutRun {
    /// Names the request's content.
    pub fingerprint: Fingerprint,
    /// When it was sent to the server.
    pub began_at: Millis,
    /// When its connection broke off.
    pub cut_at: Millis,
    /// Since when its answer came.
    pub answering_since: Option<Millis>,
}

impl CutRun {
    /// Returns the milliseconds between its being sent and the end of its connection.
    pub(super) fn get_span(&self) -> Millis {
        self.cut_at.saturating_sub(self.began_at)
    }
}
