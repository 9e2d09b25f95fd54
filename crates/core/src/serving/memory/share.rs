//! The bytes that each client account holds and waits for.

use super::release::MAX_RETRY_AFTER_MS;
use crate::Millis;

/// How long an account that was refused counts as waiting: its caller retries within the longest
/// `Retry-After` and half a second.
const WAIT_TTL_MS: Millis = MAX_RETRY_AFTER_MS + 500;

/// The bytes that an account holds and waits for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    pub(super) held: u64,
    pub(super) wait: Option<Wait>,
}

/// A refused growth that an account waits for.
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
        let earlier = self.wait.filter(|wait| now < wait.until);
        let since = earlier.map_or(now, |wait| wait.since);
        let bytes = earlier.map_or(bytes, |wait| wait.bytes.max(bytes));
        self.wait = Some(Wait { since, until: now + WAIT_TTL_MS, bytes });
    }
}
