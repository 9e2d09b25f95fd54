//! Picks the servers that a request may be sent to, by their version.

use super::{Registry, Rollout};
use crate::serving::directory::Server;
use crate::serving::rollout::{Outcome, Stage, Tolerance};
use crate::{Millis, rendezvous};

/// The share of the requests that a version gets in [`Stage::Ramp`]. Together with the canary's
/// requests, a version that becomes bad there is detected within one tenth of all requests
/// (`rollout_trials`).
const RAMP_SHARE: f64 = 0.3;
const CANARIES_KEY: &str = "canaries";
/// How long servers of other versions may remain listed after a rollout has completed and they
/// stop: entries are removed after three heartbeats of 1.2 s.
const OTHERS_LISTED_PERIOD_MS: Millis = 5_000;

/// The servers that a request may be sent to, by their version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFilter {
    /// All servers: there is no rollout.
    Any,
    /// A few servers of the target version, listed by [`Registry::list_canaries`].
    Canary,
    /// Servers of the target version.
    Target,
    /// Servers of the target version, or all others if there are none.
    PreferTarget,
    /// All other servers.
    Others,
    /// All other servers, or those of the target version if there are none.
    PreferOthers,
    /// Servers of versions whose rollout was replaced and ended in a way that is not known.
    Unresolved,
}

impl VersionFilter {
    /// Lists the filters to use in turn if no server that passes this one has capacity.
    ///
    /// A version that may have been withdrawn comes after all others, but before one that has not
    /// proven itself at all.
    pub fn list_fallbacks(self) -> &'static [Self] {
        match self {
            Self::Canary | Self::Target | Self::PreferTarget => &[Self::Others, Self::Unresolved],
            Self::Others => &[Self::Unresolved],
            Self::PreferOthers => &[Self::Unresolved, Self::Target],
            Self::Any | Self::Unresolved => &[],
        }
    }
}

impl Rollout {
    /// Returns `true` if one more request to the target version is within the tolerance.
    fn has_room(&self, tolerance: &Tolerance) -> bool {
        self.exposure.has_room(tolerance, self.order.duration)
    }

    /// Returns the filter after a completed rollout. The other servers stop at once, but remain
    /// listed for some time.
    fn pick_completed_filter(&self, now: Millis) -> VersionFilter {
        let is_recent = now < self.stage_since + OTHERS_LISTED_PERIOD_MS;
        if is_recent { VersionFilter::PreferTarget } else { VersionFilter::Any }
    }
}

impl Registry {
    /// Returns `true` if a server has the target version of a rollout.
    pub fn is_target(&self, server: &Server) -> bool {
        let rollout = self.rollouts.get(&server.service);
        rollout.is_some_and(|rollout| rollout.order.target_version == server.version)
    }

    /// Returns `true` if a server has a withdrawn or undecided version, and does not count as one of
    /// the service's servers.
    pub fn is_on_trial(&self, server: &Server) -> bool {
        let rollout = self.rollouts.get(&server.service);
        let Some(rollout) = rollout else { return false };
        let is_decided = rollout.stage == Stage::Completed;
        rollout.standings.is_withdrawn(&server.version) || (self.is_target(server) && !is_decided)
    }

    /// Returns `true` if a filter allows a server.
    pub fn is_allowed(&self, filter: VersionFilter, server: &Server) -> bool {
        let standing = self
            .rollouts
            .get(&server.service)
            .and_then(|rollout| rollout.standings.get(&server.version));
        if standing == Some(Outcome::Withdrawn) {
            return false;
        }
        let is_unknown = standing == Some(Outcome::Unknown);
        match filter {
            VersionFilter::Any => true,
            VersionFilter::Canary | VersionFilter::Target | VersionFilter::PreferTarget => {
                self.is_target(server)
            }
            VersionFilter::Others | VersionFilter::PreferOthers => {
                !is_unknown && !self.is_target(server)
            }
            VersionFilter::Unresolved => is_unknown,
        }
    }

    /// Lists the few servers of the target version that get the canary's requests, out of those
    /// that accept requests. They are the same at all nodes.
    ///
    /// Each of them gets about as many requests as it will after the rollout, so that faults under
    /// load show.
    pub fn list_canaries<'a>(
        &self,
        servers: impl Iterator<Item = &'a Server>,
        tolerance: &Tolerance,
    ) -> Vec<&'a str> {
        let targets = servers.filter(|server| self.is_target(server));
        let targets: Vec<&str> = targets.map(|server| server.id.as_str()).collect();
        let count = (targets.len() as f64 * tolerance.share).ceil() as usize;
        let mut ordered = rendezvous::rank(CANARIES_KEY, targets.into_iter());
        ordered.truncate(count);
        ordered
    }

    /// Picks the servers for the first attempt of a request. `random` is uniformly distributed from
    /// 0 to 1.
    pub fn pick_filter(
        &self,
        now: Millis,
        service: &str,
        tolerance: &Tolerance,
        random: f64,
    ) -> VersionFilter {
        let Some(rollout) = self.rollouts.get(service) else { return VersionFilter::Any };
        match rollout.get_stage(now) {
            Stage::Pending => VersionFilter::PreferOthers,
            Stage::Canary if rollout.has_room(tolerance) => VersionFilter::Canary,
            Stage::Ramp if random < RAMP_SHARE => VersionFilter::Target,
            Stage::Canary | Stage::Ramp | Stage::RolledBack => VersionFilter::Others,
            Stage::Shifting => VersionFilter::Target,
            Stage::Completed => rollout.pick_completed_filter(now),
        }
    }

    /// Returns `true` if the newest version of a service was judged good: its traffic moves, or has
    /// moved, to that version.
    pub fn is_accepted(&self, now: Millis, service: &str) -> bool {
        let rollout = self.rollouts.get(service);
        let stage = rollout.map(|rollout| rollout.get_stage(now));
        matches!(stage, Some(Stage::Shifting | Stage::Completed))
    }

    /// Picks the servers for a retry of a request. After a failure, the version that is known to
    /// work is preferred.
    pub fn pick_retry_filter(&self, now: Millis, service: &str) -> VersionFilter {
        let Some(rollout) = self.rollouts.get(service) else { return VersionFilter::Any };
        match rollout.get_stage(now) {
            Stage::Completed => rollout.pick_completed_filter(now),
            Stage::Pending | Stage::Canary | Stage::Ramp | Stage::RolledBack => {
                VersionFilter::Others
            }
            Stage::Shifting => VersionFilter::PreferOthers,
        }
    }

    /// Picks the servers of a software version for a request that resumes a stream of that version;
    /// returns `None` if the version gets no requests now.
    ///
    /// A canary gets no more than its share, and a part of that is reserved for resumed streams.
    pub fn pick_resume_filter(
        &self,
        now: Millis,
        service: &str,
        software_version: &str,
        tolerance: &Tolerance,
    ) -> Option<VersionFilter> {
        let Some(rollout) = self.rollouts.get(service) else { return Some(VersionFilter::Any) };
        let is_target = rollout.order.target_version == software_version;
        let is_canary = is_target && rollout.get_stage(now) == Stage::Canary;
        let duration = rollout.order.duration;
        let is_full = is_canary && !rollout.exposure.has_room_for_resumed(tolerance, duration);
        let is_allowed = !is_full && !self.is_withdrawn(now, service, software_version);
        is_allowed.then_some(VersionFilter::Any)
    }

    /// Returns `true` if a software version was withdrawn or rolled back.
    pub fn is_withdrawn(&self, now: Millis, service: &str, software_version: &str) -> bool {
        let Some(rollout) = self.rollouts.get(service) else { return false };
        let is_target = rollout.order.target_version == software_version;
        let is_rolled_back = is_target && rollout.get_stage(now) == Stage::RolledBack;
        is_rolled_back || rollout.standings.is_withdrawn(software_version)
    }
}
