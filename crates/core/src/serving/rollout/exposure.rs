//! Limits the share of a service's requests that a version gets before the verdict.

use crate::Millis;

/// The fraction of the tolerated share that the canary's new requests get.
const SHARE_FRACTION: f64 = 0.8;
/// The fraction of the tolerated slack that new requests of all nodes use together. A canary may be a
/// single server: if it crashes, the rest of the slack has room for all streams that used this part.
const SLACK_FRACTION: f64 = 0.3;
/// The fraction of the tolerated share that new requests and resumed streams get together. The rest
/// covers nodes whose requests are lost in transit while their canary's requests arrive.
const RESUMED_SHARE_FRACTION: f64 = 0.95;
/// The fraction of the tolerated slack that new requests and resumed streams use together. The rest
/// covers nodes that know few of the others.
const RESUMED_SLACK_FRACTION: f64 = 0.95;

/// The number of requests, over all nodes, that may reach a version that may be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The share of all requests to the service.
    pub share: f64,
    /// Requests in addition to the share.
    pub slack: f64,
    /// Nodes that may be serving, which share the slack.
    pub nodes: usize,
    /// How long this process has run.
    pub age: Millis,
}

/// The requests that a node has sent to a service since it learned of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    sent: u64,
    sent_to_target: u64,
    /// Whether this process started before the order, so that the counts are all that its node sent.
    is_complete: bool,
}

impl Exposure {
    /// Creates the counts of a process that started before the order.
    pub fn complete() -> Self {
        Self { is_complete: true, ..Self::default() }
    }

    /// Counts a request that is sent to a server.
    pub fn count(&mut self, is_target: bool) {
        self.sent += 1;
        self.sent_to_target += u64::from(is_target);
    }

    /// Takes back a counted request that was not sent.
    pub fn refund(&mut self, is_target: bool) {
        self.sent = self.sent.saturating_sub(1);
        self.sent_to_target = self.sent_to_target.saturating_sub(u64::from(is_target));
    }

    /// Returns the number of requests to all versions.
    pub fn get_sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of requests to the target version.
    pub fn get_sent_to_target(&self) -> u64 {
        self.sent_to_target
    }

    /// Returns `true` if one more new request to the target version of a rollout of this duration is
    /// within the tolerance.
    pub fn has_room(&self, tolerance: &Tolerance, duration: Millis) -> bool {
        self.is_within(tolerance, duration, SHARE_FRACTION, SLACK_FRACTION)
    }

    /// Returns `true` if one more resumed stream of the target version is within the tolerance.
    ///
    /// Only the target version can continue its streams, so a part of the tolerance is reserved for
    /// them. New requests wait until what resumed streams have used is a part of their own share
    /// again.
    pub fn has_room_for_resumed(&self, tolerance: &Tolerance, duration: Millis) -> bool {
        self.is_within(tolerance, duration, RESUMED_SHARE_FRACTION, RESUMED_SLACK_FRACTION)
    }

    /// Returns `true` if one more request is within a part of the tolerance.
    ///
    /// A process that may have started during the rollout uses no slack, because an earlier process
    /// of its node may have used it.
    fn is_within(
        &self,
        tolerance: &Tolerance,
        duration: Millis,
        share_fraction: f64,
        slack_fraction: f64,
    ) -> bool {
        let has_slack = self.is_complete || tolerance.age > duration;
        let slack = tolerance.slack * slack_fraction / tolerance.nodes.max(1) as f64;
        let slack = if has_slack { slack } else { 0.0 };
        let limit = tolerance.share * share_fraction * (self.sent + 1) as f64 + slack;
        (self.sent_to_target + 1) as f64 <= limit
    }
}
