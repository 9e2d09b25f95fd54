//! What each client account holds and waits for.

use super::release::MOST_RETRY_AFTER;
use crate::Millis;

/// How long an account that was refused counts as waiting, in milliseconds: its caller retries
/// within the longest `Retry-After` and half a second.
const WAITS_FOR: Millis = MOST_RETRY_AFTER + 500;

/// What an account holds and waits for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    pub(super) held: u64,
    pub(super) wait: Option<Wait>,
}

/// What an account was refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub(super) since: Millis,
    pub(super) until: Millis,
    /// The largest growth that was refused.
    pub(super) bytes: u64,
}

impl Share {
    pub(super) fn is_waiting(&self, now: Millis) -> bool {
        self.wait.is_some_and(|wait| now < wait.until)
    }

    pub(super) fn wait_for(&mut self, now: Millis, bytes: u64) {
        let before = self.wait.filter(|wait| now < wait.until);
        let since = before.map_or(now, |wait| wait.since);
        let bytes = before.map_or(bytes, |wait| wait.bytes.max(bytes));
        self.wait = Some(Wait { since, until: now + WAITS_FOR, bytes });
    }
}
