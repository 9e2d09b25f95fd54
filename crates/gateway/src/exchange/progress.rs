//! How far the attempts at a request have come.

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::Refusal;

use super::attempt::Failed;
use super::rejection::Rejection;

/// How far the attempts at a request have come.
pub(super) struct Progress {
    /// Since when the caller waits, on the node's clock.
    pub began: Millis,
    /// Servers that were tried.
    pub tried: Vec<String>,
    /// Attempts of which something was sent.
    pub sent: u32,
    /// How the last attempt failed.
    pub last: Option<Failed>,
    /// Whether the request may have run at a server.
    pub may_have_run: bool,
    /// Servers that ended the connection before they answered.
    pub ended: Vec<String>,
}

impl Progress {
    /// Makes the state before the first attempt.
    pub fn new(began: Millis) -> Self {
        Self {
            began,
            tried: Vec::new(),
            sent: 0,
            last: None,
            may_have_run: false,
            ended: Vec::new(),
        }
    }

    /// Notes that the attempt at the server that was tried last failed.
    pub fn note(&mut self, failed: Failed) {
        if failed != Failed::NotConnected {
            self.sent += 1;
        }
        if failed == Failed::Ended {
            self.ended.extend(self.tried.last().cloned());
        }
        self.may_have_run |= failed.may_have_run();
        self.last = Some(failed);
    }

    /// Returns the rejection of the request; `otherwise` is its reason where nothing was tried.
    pub fn reject(&self, otherwise: Refusal, retry_after: Millis) -> Rejection {
        Rejection { reason: self.get_refusal(otherwise), retry_after }
    }

    fn get_refusal(&self, otherwise: Refusal) -> Refusal {
        match self.last {
            Some(Failed::Timeout) => Refusal::Timeout,
            _ if self.may_have_run => Refusal::BrokenAnswer,
            Some(_) => Refusal::NotAccepted,
            None => otherwise,
        }
    }
}
