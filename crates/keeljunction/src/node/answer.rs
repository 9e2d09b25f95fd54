//! The answer to a request while it is being generated.

use std::sync::Mutex;

use event_listener::Event;
use keeljunction_core::Millis;
use keeljunction_core::drain::Action;
use keeljunction_core::outcome::Outcome;

use super::Request;
use crate::peer::wire::Final;
use crate::runtime;

/// An attempt to run a request on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The ID of the attempt.
    pub id: String,
    /// The server's name.
    pub server: String,
    /// The address of the server.
    pub address: String,
}

/// The part of an answer after an offset.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// The tokens from the offset onwards.
    pub tokens: Vec<String>,
    /// The result of the request, if it has ended.
    pub ended: Option<Final>,
}

/// The answer to one request. The relay appends to it and any number of readers follow it.
pub struct Answer {
    /// The request.
    pub request: Request,
    state: Mutex<State>,
    changed: Event,
    replication_due: Event,
    drain_requests: (async_channel::Sender<Action>, async_channel::Receiver<Action>),
}

#[derive(Default)]
struct State {
    is_accepted: bool,
    is_own: bool,
    is_replication_expedited: bool,
    is_sent: bool,
    tokens: Vec<String>,
    attempt: Option<Attempt>,
    ended: Option<Final>,
    ended_at: Option<Millis>,
}

impl Answer {
    /// Creates an answer without tokens.
    pub fn new(request: Request) -> Self {
        Self {
            request,
            state: Mutex::default(),
            changed: Event::new(),
            replication_due: Event::new(),
            drain_requests: async_channel::bounded(4),
        }
    }

    /// Marks the request as accepted: the node will run it to its end.
    pub fn set_accepted(&self) {
        runtime::lock(&self.state).is_accepted = true;
        self.changed.notify(usize::MAX);
    }

    /// Marks the request as run by this node, as opposed to followed at another node.
    pub fn set_own(&self) {
        runtime::lock(&self.state).is_own = true;
    }

    /// Returns `true` if this node runs the request itself.
    pub fn is_own(&self) -> bool {
        runtime::lock(&self.state).is_own
    }

    /// Appends tokens.
    pub fn push(&self, tokens: impl IntoIterator<Item = String>) {
        let is_replication_expedited = {
            let mut state = runtime::lock(&self.state);
            state.tokens.extend(tokens);
            state.is_replication_expedited
        };
        self.changed.notify(usize::MAX);
        if is_replication_expedited {
            self.replication_due.notify(usize::MAX);
        }
    }

    /// Ends the answer. Later calls have no effect on the result.
    pub fn finish(&self, now: Millis, ended: Final) {
        let mut state = runtime::lock(&self.state);
        if state.ended.is_none() {
            state.ended = Some(ended);
            state.ended_at = Some(now);
        }
        drop(state);
        self.changed.notify(usize::MAX);
        self.replication_due.notify(usize::MAX);
    }

    /// Sets the running attempt.
    pub fn set_attempt(&self, attempt: Attempt) {
        runtime::lock(&self.state).attempt = Some(attempt);
        self.replication_due.notify(usize::MAX);
    }

    /// Records that bytes of the request may have reached a backend server.
    pub fn set_sent(&self) {
        runtime::lock(&self.state).is_sent = true;
    }

    /// Returns `true` if bytes of the request may have reached a backend server.
    pub fn is_sent(&self) -> bool {
        runtime::lock(&self.state).is_sent
    }

    /// Returns the running attempt.
    pub fn get_attempt(&self) -> Option<Attempt> {
        runtime::lock(&self.state).attempt.clone()
    }

    /// Returns the number of tokens.
    pub fn get_length(&self) -> u64 {
        runtime::lock(&self.state).tokens.len() as u64
    }

    /// Returns the time at which the answer ended.
    pub fn get_ended_at(&self) -> Option<Millis> {
        runtime::lock(&self.state).ended_at
    }

    /// Returns the part of the answer after an offset.
    pub fn get_since(&self, offset: u64) -> Update {
        let state = runtime::lock(&self.state);
        let tokens = state.tokens.get(offset as usize..).unwrap_or_default().to_vec();
        Update { tokens, ended: state.ended.clone() }
    }

    /// Returns `true` if the request ended without an answer. A repeated request then starts
    /// afresh.
    pub fn is_failed(&self) -> bool {
        let state = runtime::lock(&self.state);
        state.ended.as_ref().is_some_and(|ended| ended.outcome != Outcome::Done.as_str())
    }

    /// Waits until the request is accepted or has ended, and returns its result if it has ended.
    pub async fn wait_accepted(&self) -> Option<Final> {
        loop {
            let changed = self.changed.listen();
            {
                let state = runtime::lock(&self.state);
                if state.ended.is_some() || state.is_accepted {
                    return state.ended.clone();
                }
            }
            changed.await;
        }
    }

    /// Waits until there are tokens after an offset, or the answer has ended.
    pub async fn wait_beyond(&self, offset: u64) -> Update {
        loop {
            let changed = self.changed.listen();
            let update = self.get_since(offset);
            if !update.tokens.is_empty() || update.ended.is_some() {
                return update;
            }
            changed.await;
        }
    }

    /// Replicates each new token at once from now on, instead of periodically.
    pub fn expedite_replication(&self) {
        runtime::lock(&self.state).is_replication_expedited = true;
        self.replication_due.notify(usize::MAX);
    }

    /// Waits until the copy must be updated at once.
    ///
    /// This is the case if the answer has ended, if the running attempt is not the replicated one,
    /// or if there are new tokens and replication is expedited.
    pub async fn wait_replication_due(&self, length: u64, attempt: Option<&Attempt>) {
        loop {
            let replication_due = self.replication_due.listen();
            {
                let state = runtime::lock(&self.state);
                let is_longer = state.tokens.len() as u64 > length;
                let is_new_attempt = state.attempt.as_ref() != attempt;
                if state.ended.is_some()
                    || is_new_attempt
                    || (state.is_replication_expedited && is_longer)
                {
                    return;
                }
            }
            replication_due.await;
        }
    }

    /// Waits until the answer has ended, and returns the result.
    pub async fn wait_ended(&self) -> Final {
        loop {
            let changed = self.changed.listen();
            if let Some(ended) = runtime::lock(&self.state).ended.clone() {
                return ended;
            }
            changed.await;
        }
    }

    /// Asks the relay to drain the stream from its server.
    pub fn request_drain(&self, action: Action) {
        let _ = self.drain_requests.0.try_send(action);
    }

    /// Waits until the stream must be drained from its server.
    pub async fn wait_drain_request(&self) -> Action {
        self.drain_requests.1.recv().await.unwrap_or(Action::Finish)
    }

    /// Discards drain requests that came too late.
    pub fn clear_drain_requests(&self) {
        while self.drain_requests.1.try_recv().is_ok() {}
    }
}

/// Returns the result of a request with a complete answer.
pub fn done(status: u16, media_type: &str, body: Vec<u8>) -> Final {
    Final {
        outcome: Outcome::Done.as_str().to_owned(),
        status: status.into(),
        media_type: media_type.to_owned(),
        body,
        ..Final::default()
    }
}

/// Returns the result of a request that was rejected or failed.
pub fn failed(outcome: Outcome, status: u16, detail: &str, retry_after_ms: Millis) -> Final {
    Final {
        outcome: outcome.as_str().to_owned(),
        status: status.into(),
        detail: detail.to_owned(),
        retry_after_ms,
        ..Final::default()
    }
}

/// Returns the result of a request that did not run.
pub fn not_run(status: u16, detail: &str, retry_after_ms: Millis) -> Final {
    failed(Outcome::NotRun, status, detail, retry_after_ms)
}

/// Returns the result of a request that may have run.
pub fn unknown(status: u16, detail: &str, retry_after_ms: Millis) -> Final {
    failed(Outcome::Unknown, status, detail, retry_after_ms)
}
