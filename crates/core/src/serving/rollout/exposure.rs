//! Bounds the share of a service's requests that a version gets before the verdict.

/// The part of the tolerated share that the canary gets: the rest covers nodes whose requests are
/// lost on their way while their canary's arrive.
const SHARE_PART: f64 = 0.8;
/// The part of the tolerated slack that all nodes together use: nodes that start again use theirs
/// again.
const SLACK_PART: f64 = 0.5;

/// How many requests may reach a version that may be bad, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The share of all requests to its service.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
    /// Nodes that may be serving, which share the slack.
    pub nodes: usize,
}

/// What one node sent to a service since it learned of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    sent: u64,
    sent_to_target: u64,
}

impl Exposure {
    /// Counts a request that is sent to a server.
    pub fn count(&mut self, is_target: bool) {
        self.sent += 1;
        self.sent_to_target += u64::from(is_target);
    }

    /// Returns the requests to all versions.
    pub fn get_sent(&self) -> u64 {
        self.sent
    }

    /// Returns those to the new version.
    pub fn get_sent_to_target(&self) -> u64 {
        self.sent_to_target
    }

    /// Returns `true` if one more request keeps the new version within what is tolerated.
    pub fn has_room(&self, tolerance: &Tolerance) -> bool {
        let slack = tolerance.slack * SLACK_PART / tolerance.nodes.max(1) as f64;
        let most = tolerance.share * SHARE_PART * (self.sent + 1) as f64 + slack;
        (self.sent_to_target + 1) as f64 <= most
    }
}
