//! Tracks the attempts at a request.

use keeljunction_core::Millis;
use keeljunction_core::serving::refusal::Refusal;

use super::attempt_error::AttemptError;
use super::rejection::Rejection;
use super::stopping;

/// State of the attempts at a request.
pub(super) struct AttemptProgress {
    /// Time since which the caller has been waiting, on the node's clock.
    pub waiting_since: Millis,
    /// Servers that were tried.
    pub tried: Tried,
    /// Number of attempts that sent at least part of the request.
    pub sent_attempts: u32,
    /// Error of the last attempt.
    pub last_error: Option<AttemptError>,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
}

/// Ids of the servers that a request was sent to.
#[derive(Clone, Debug, Default)]
pub(super) struct Tried {
    /// All servers that were tried.
    pub all: Vec<String>,
    /// Servers that closed the connection before the first token of a response.
    pub disconnected: Vec<String>,
}

impl AttemptProgress {
    /// Creates the state before the first attempt.
    pub fn new(waiting_since: Millis) -> Self {
        Self {
            waiting_since,
            tried: Tried::default(),
            sent_attempts: 0,
            last_error: None,
            may_have_run: false,
        }
    }

    /// Records that the attempt at the most recently tried server failed.
    pub fn record_failure(&mut self, error: AttemptError) {
        if error != AttemptError::NotConnected {
            self.sent_attempts += 1;
        }
        if matches!(error, AttemptError::Ended | AttemptError::Cut) {
            self.tried.disconnected.extend(self.tried.all.last().cloned());
        }
        self.may_have_run |= error.may_have_run();
        self.last_error = Some(error);
    }

    /// Returns the rejection of the request, with `default_reason` if nothing was tried.
    pub fn reject(&self, default_reason: Refusal, retry_after: Millis) -> Rejection {
        Rejection { reason: self.get_refusal(default_reason), retry_after }
    }

    /// Returns the rejection of a quarantined request. The caller learns of the quarantine only if
    /// the request has not run since it arrived.
    pub fn reject_quarantined(&self, quarantined_for: Millis) -> Rejection {
        match self.may_have_run {
            true => Refusal::BrokenAnswer.into(),
            false => Rejection { reason: Refusal::Quarantined, retry_after: quarantined_for },
        }
    }

    /// Returns the rejection of a request that would not end before the process exits. The caller
    /// learns of the shutdown only if the request has not run since it arrived.
    pub fn reject_stopping(&self) -> Rejection {
        match self.may_have_run {
            true => self.reject(Refusal::BrokenAnswer, 0),
            false => Rejection { reason: Refusal::Stopping, retry_after: stopping::RETRY_AFTER_MS },
        }
    }

    /// Returns the rejection of a request whose software version has no server left. The caller learns
    /// of that only if the request has not run since it arrived.
    pub fn reject_version_gone(&self) -> Rejection {
        match self.may_have_run {
            true => self.reject(Refusal::BrokenAnswer, 0),
            false => Refusal::VersionGone.into(),
        }
    }

    fn get_refusal(&self, default_reason: Refusal) -> Refusal {
        match self.last_error {
            Some(AttemptError::Timeout) => Refusal::Timeout,
            _ if self.may_have_run => Refusal::BrokenAnswer,
            Some(_) => Refusal::NotAccepted,
            None => default_reason,
        }
    }
}
