//! Decides on the next stage of a rollout.
//!
//! The canary is watched for as long as the order's duration allows, since a version may become bad
//! late. The rest of the duration is for requests on other versions to complete, and for a slow
//! table service.

use super::judge::{Judge, Regression};
use super::order::Stage;
use super::tally::Tallies;
use crate::Millis;

/// The fraction of the duration for which the canary is watched.
const CANARY_FRACTION: f64 = 0.55;
/// The fraction of the duration at which the ramp ends.
const RAMP_FRACTION: f64 = 0.68;
/// The fraction of the duration after which the rollout completes even if requests are in flight on
/// other versions.
const FORCED_FRACTION: f64 = 0.85;
/// The fraction of the duration for which the target version must get all requests before the
/// others stop. With few requests, one in ten versions that became bad was detected only in this
/// time (`rollout_trials`).
const MIN_SHIFT_FRACTION: f64 = 0.12;
/// The number of responses on which a version is judged good. If one response in ten of a version
/// is bad, one version in 25 shows none among so many; at three in ten, one in 40,000. The
/// tolerated share of a service with few requests allows no more.
const MIN_RESPONSES: u64 = 30;
/// The minimum number of responses of the target version in a later stage, relative to the others'.
/// If its servers are ejected, the others respond, and nothing counts against it. A fraction of the
/// canary's share suffices, because long responses of requests from before the stage count too.
const MIN_RESPONSES_RATIO: f64 = 0.02;
/// The minimum number of servers of the target version, relative to the others. The servers that
/// suffice for the canary do not suffice for all requests.
const MIN_SERVERS_RATIO: f64 = 0.7;

/// What the duty holder knows of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// The stage.
    pub stage: Stage,
    /// The duration of the order, in milliseconds.
    pub duration: Millis,
    /// The time since the order, in milliseconds.
    pub elapsed: Millis,
    /// Responses, over all nodes.
    pub tallies: &'a Tallies,
    /// Servers of the target version that accept requests.
    pub target_servers: usize,
    /// Servers of other versions that accept requests.
    pub other_servers: usize,
    /// Whether any server of another version is listed that was not withdrawn.
    pub has_listed_others: bool,
    /// Whether the target version is known to have been in service before the order.
    pub was_in_service: bool,
    /// Requests in flight on other versions, over all nodes.
    pub in_flight: u32,
}

impl Snapshot<'_> {
    fn is_past(&self, fraction: f64) -> bool {
        self.elapsed as f64 >= self.duration as f64 * fraction
    }

    fn has_enough_servers(&self) -> bool {
        let needed = (self.other_servers as f64 * MIN_SERVERS_RATIO).ceil() as usize;
        self.target_servers >= needed.max(1)
    }
}

/// The next action of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Do nothing yet.
    Wait,
    /// Give the target version a small share of the requests.
    Begin,
    /// Give the target version a larger share.
    Ramp,
    /// Give the target version all new requests.
    Shift,
    /// Tell the operator that the other versions may be stopped.
    Complete {
        /// Requests in flight on the other versions, which are cut off.
        cut: u32,
    },
    /// Take the target version out of service because it is worse.
    RollBack(Regression),
    /// Take it out because the time is over without enough responses or servers for a verdict.
    GiveUp,
}

/// The progress of one order, as the duty holder follows it.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    judge: Judge,
    entry: Option<Entry>,
}

/// The begin of a stage, as this duty holder saw it.
#[derive(Clone, Copy, Debug)]
struct Entry {
    stage: Stage,
    /// The time since the order, in milliseconds.
    at: Millis,
    /// Responses of the target version until then.
    target: u64,
    /// Responses of the others until then.
    others: u64,
}

impl Entry {
    /// Returns `true` if the target version has responded to its part of the requests since.
    fn is_served(&self, tallies: &Tallies) -> bool {
        let target = tallies.count_target().saturating_sub(self.target);
        let others = tallies.count_others().saturating_sub(self.others);
        target as f64 >= others as f64 * MIN_RESPONSES_RATIO
    }
}

impl Progress {
    /// Decides on the next action.
    pub fn step(&mut self, snapshot: &Snapshot<'_>) -> Action {
        match snapshot.stage {
            Stage::Pending => Self::begin(snapshot),
            Stage::Canary => self.watch_canary(snapshot),
            Stage::Ramp => self.watch_ramp(snapshot),
            Stage::Shifting => self.watch_shift(snapshot),
            Stage::RolledBack | Stage::Completed => Action::Wait,
        }
    }

    /// Decides how to begin.
    ///
    /// Without servers of other versions, there is nothing to compare with, and the target version
    /// gets all requests. It completes at once only if that was so before the order. Otherwise the
    /// others may be down or not listed yet; completing the rollout would stop them for good.
    fn begin(snapshot: &Snapshot<'_>) -> Action {
        let is_alone = snapshot.other_servers == 0 && snapshot.target_servers > 0;
        let is_only_version = snapshot.was_in_service && !snapshot.has_listed_others;
        match is_alone {
            false => Action::Begin,
            true if is_only_version || snapshot.is_past(FORCED_FRACTION) => {
                Action::Complete { cut: 0 }
            }
            true => Action::Wait,
        }
    }

    fn watch_canary(&mut self, snapshot: &Snapshot<'_>) -> Action {
        if let Some(regression) = self.judge.weigh(snapshot.elapsed, snapshot.tallies) {
            return Action::RollBack(regression);
        }
        let has_enough_responses = snapshot.tallies.count_target() >= MIN_RESPONSES;
        if snapshot.is_past(CANARY_FRACTION)
            && has_enough_responses
            && snapshot.has_enough_servers()
        {
            return Action::Ramp;
        }
        if snapshot.is_past(FORCED_FRACTION) {
            return Action::GiveUp;
        }
        Action::Wait
    }

    fn watch_ramp(&mut self, snapshot: &Snapshot<'_>) -> Action {
        let entry = self.enter(snapshot);
        match self.judge.weigh(snapshot.elapsed, snapshot.tallies) {
            Some(regression) => Action::RollBack(regression),
            None if snapshot.is_past(RAMP_FRACTION) && entry.is_served(snapshot.tallies) => {
                Action::Shift
            }
            None if snapshot.is_past(FORCED_FRACTION) => Action::GiveUp,
            None => Action::Wait,
        }
    }

    fn watch_shift(&mut self, snapshot: &Snapshot<'_>) -> Action {
        let entry = self.enter(snapshot);
        if let Some(regression) = self.judge.weigh(snapshot.elapsed, snapshot.tallies) {
            return Action::RollBack(regression);
        }
        let min_shift = (snapshot.duration as f64 * MIN_SHIFT_FRACTION) as Millis;
        let is_watched_enough = snapshot.elapsed >= entry.at + min_shift;
        let is_forced = snapshot.is_past(FORCED_FRACTION);
        match entry.is_served(snapshot.tallies) {
            true if is_forced || (is_watched_enough && snapshot.in_flight == 0) => {
                Action::Complete { cut: snapshot.in_flight }
            }
            false if is_forced => Action::GiveUp,
            _ => Action::Wait,
        }
    }

    /// Returns the begin of the stage, which is now if this duty holder has not seen the stage before.
    fn enter(&mut self, snapshot: &Snapshot<'_>) -> Entry {
        let known = self.entry.filter(|entry| entry.stage == snapshot.stage);
        let entry = known.unwrap_or_else(|| Entry {
            stage: snapshot.stage,
            at: snapshot.elapsed,
            target: snapshot.tallies.count_target(),
            others: snapshot.tallies.count_others(),
        });
        self.entry = Some(entry);
        entry
    }
}
