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
    pub tried: Tried,
    /// Attempts of which something was sent.
    pub sent: u32,
    /// How the last attempt failed.
    pub last: Option<Failed>,
    /// Whether the request may have run at a server.
    pub may_have_run: bool,
}

/// The servers that a request was sent to, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Tried {
    /// All of them.
    pub all: Vec<String>,
    /// Those that ended the connection before the first token of an answer.
    pub ended: Vec<String>,
}

impl Progress {
    /// Makes the state before the first attempt.
    pub fn new(began: Millis) -> Self {
        Self { began, tried: Tried::default(), sent: 0, last: None, may_have_run: false }
    }

    /// Notes that the attempt at the server that was tried last failed.
    pub fn note(&mut self, failed: Failed) {
        if failed != Failed::NotConnected {
            self.sent += 1;
        }
        if matches!(failed, Failed::Ended | Failed::Cut) {
            self.tried.ended.extend(self.tried.all.last().cloned());
        }
        self.may_have_run |= failed.may_have_run();
        self.last = Some(failed);
    }

    /// Returns the rejection of the request; `otherwise` is its reason where nothing was tried.
    pub fn reject(&self, otherwise: Refusal, retry_after: Millis) -> Rejection {
        Rejection { reason: self.get_refusal(otherwise), retry_after }
    }

    /// Returns the rejection of a request that is quarantined. Only one that has not run since it came
    /// is notified of it.
    pub fn reject_quarantined(&self, refused_for: Millis) -> Rejection {
        match self.may_have_run {
            true => Refusal::BrokenAnswer.into(),
            false => Rejection { reason: Refusal::Quarantined, retry_after: refused_for },
        }
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
