//! Decides the next stage of a roll-out.
//!
//! The canary is watched for as long as the order leaves time: a version may turn bad late. What is
//! left of the time is for requests on other versions to end, and for a slow table service.

use super::judge::{Judge, Regression};
use super::order::Stage;
use super::tally::Tallies;
use crate::Millis;

/// The part of the ordered time for which the canary is watched.
const CANARY_PART: f64 = 0.55;
/// The part of it until which the version gets a larger share.
const RAMP_PART: f64 = 0.68;
/// The part of it after which the roll-out completes although requests run on other versions.
const FORCED_PART: f64 = 0.85;
/// The part of it for which the version gets all requests at the least before the others go: where
/// requests are few, one in ten versions that turned bad was found only by then (`rollout_trials`).
const LEAST_SHIFT_PART: f64 = 0.12;
/// The fewest answers of the new version on which it is taken for good: of versions whose answers
/// are bad one time in ten, one in 25 shows none among them; of those at three in ten, one in 40,000.
/// More cannot be had within the tolerated share of a service with few requests.
const LEAST_ANSWERS: u64 = 30;
/// The fewest servers of the new version, as a part of the others: what the canary is served well by
/// is less than what all requests need.
const LEAST_SERVERS_PART: f64 = 0.7;

/// What the holder knows of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// How far it has come.
    pub stage: Stage,
    /// The ordered time.
    pub duration: Millis,
    /// The time since the order.
    pub elapsed: Millis,
    /// Answers, over all nodes.
    pub tallies: &'a Tallies,
    /// Servers of the new version that take requests.
    pub target_servers: usize,
    /// Servers of other versions that take requests.
    pub other_servers: usize,
    /// Requests in flight on other versions, over all nodes.
    pub in_flight: u32,
}

impl Snapshot<'_> {
    fn is_past(&self, part: f64) -> bool {
        self.elapsed as f64 >= self.duration as f64 * part
    }

    fn has_enough_servers(&self) -> bool {
        let needed = (self.other_servers as f64 * LEAST_SERVERS_PART).ceil() as usize;
        self.target_servers >= needed.max(1)
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Nothing yet.
    Wait,
    /// Let the new version have a small share.
    Begin,
    /// Let the new version have a larger share.
    Ramp,
    /// Let the new version have all requests that begin.
    Shift,
    /// Tell the operator that the other versions may go.
    Complete {
        /// Requests in flight there, which are cut.
        cut: u32,
    },
    /// Take the new version out of service: it is worse.
    RollBack(Regression),
    /// Take it out because the time is over without enough answers or servers to judge by.
    GiveUp,
}

/// The roll-out of one order, as the holder of the duties follows it.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    judge: Judge,
    /// The time since the order at which this holder first saw all requests go to the new version.
    shifted_at: Option<Millis>,
}

impl Progress {
    /// Decides what to do next.
    pub fn step(&mut self, snapshot: &Snapshot<'_>) -> Action {
        match snapshot.stage {
            Stage::Pending if snapshot.other_servers == 0 && snapshot.target_servers > 0 => {
                Action::Complete { cut: 0 }
            }
            Stage::Pending => Action::Begin,
            Stage::Canary => self.watch_canary(snapshot),
            Stage::Ramp => self.watch_ramp(snapshot),
            Stage::Shifting => self.watch_shift(snapshot),
            Stage::RolledBack | Stage::Completed => Action::Wait,
        }
    }

    fn watch_canary(&mut self, snapshot: &Snapshot<'_>) -> Action {
        if let Some(fault) = self.judge.weigh(snapshot.tallies) {
            return Action::RollBack(fault);
        }
        let is_tried = snapshot.tallies.count_target() >= LEAST_ANSWERS;
        if snapshot.is_past(CANARY_PART) && is_tried && snapshot.has_enough_servers() {
            return Action::Ramp;
        }
        if snapshot.is_past(FORCED_PART) {
            return Action::GiveUp;
        }
        Action::Wait
    }

    fn watch_ramp(&mut self, snapshot: &Snapshot<'_>) -> Action {
        match self.judge.weigh(snapshot.tallies) {
            Some(fault) => Action::RollBack(fault),
            None if snapshot.is_past(RAMP_PART) => Action::Shift,
            None => Action::Wait,
        }
    }

    fn watch_shift(&mut self, snapshot: &Snapshot<'_>) -> Action {
        if let Some(fault) = self.judge.weigh(snapshot.tallies) {
            return Action::RollBack(fault);
        }
        let shifted_at = *self.shifted_at.get_or_insert(snapshot.elapsed);
        let least = (snapshot.duration as f64 * LEAST_SHIFT_PART) as Millis;
        let is_watched = snapshot.elapsed >= shifted_at + least;
        if (is_watched && snapshot.in_flight == 0) || snapshot.is_past(FORCED_PART) {
            return Action::Complete { cut: snapshot.in_flight };
        }
        Action::Wait
    }
}
