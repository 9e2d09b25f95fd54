//! Recovers the copies of records that a node should hold after its start.
//!
//! A process that has just started holds no records, although other nodes may count on it: its
//! predecessor held some, or it ranks before nodes that hold some. It requests them from each node
//! that it learns of, until that node answers or all records of that time have expired.

use std::collections::HashMap;

use super::replication::HolderId;
use crate::Millis;
use crate::serving::version_history::MAX_STREAM_AGE_MS;

/// The time until a request that was not answered is sent again, which doubles with each attempt.
const RETRY_INTERVAL_MS: Millis = 500;
/// The number of requests to a node. One of an earlier release answers none.
const MAX_ATTEMPTS: u32 = 6;
/// The largest number of requests in a step, which bounds the bandwidth of a start among many nodes.
const MAX_REQUESTS_PER_STEP: usize = 64;
/// The number of answers after which a node requests nothing more if none of the others has records.
const MIN_ANSWERS: usize = 64;

/// The requests for records that this process has sent since its start.
#[derive(Debug)]
pub struct Recovery {
    started_at: Millis,
    requests: HashMap<HolderId, Request>,
    /// The number of nodes that have answered.
    answers: usize,
    /// Whether one of them has records.
    is_any_recorded: bool,
}

/// The state of the request to a node.
#[derive(Clone, Copy, Debug, Default)]
struct Request {
    attempts: u32,
    due_at: Millis,
    is_answered: bool,
}

impl Recovery {
    /// Creates the state of a process that starts.
    pub fn new(now: Millis) -> Self {
        Self { started_at: now, requests: HashMap::new(), answers: 0, is_any_recorded: false }
    }

    /// Returns `true` if records of the time before the start may still exist. If many nodes answer
    /// that they have none, all nodes have just started, or no stream can be resumed.
    fn is_active(&self, now: Millis) -> bool {
        let is_needless = self.answers >= MIN_ANSWERS && !self.is_any_recorded;
        now < self.started_at + MAX_STREAM_AGE_MS && !is_needless
    }

    /// Returns the known nodes that a request is to be sent to now.
    pub fn take_due(
        &mut self,
        now: Millis,
        known: impl Iterator<Item = HolderId>,
    ) -> Vec<HolderId> {
        if !self.is_active(now) {
            self.requests = HashMap::new();
            return Vec::new();
        }
        let mut due = Vec::new();
        for holder in known {
            if due.len() == MAX_REQUESTS_PER_STEP {
                break;
            }
            let request = self.requests.entry(holder).or_default();
            if request.is_answered || now < request.due_at || request.attempts >= MAX_ATTEMPTS {
                continue;
            }
            request.due_at = now + (RETRY_INTERVAL_MS << request.attempts);
            request.attempts += 1;
            due.push(holder);
        }
        due
    }

    /// Records the answer of a node that has a number of records.
    pub fn record_answer(&mut self, holder: HolderId, records: u32) {
        let Some(request) = self.requests.get_mut(&holder) else { return };
        if !request.is_answered {
            request.is_answered = true;
            self.answers += 1;
            self.is_any_recorded |= records > 0;
        }
    }
}
