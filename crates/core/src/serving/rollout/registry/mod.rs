//! The rollouts that a node knows of.
//!
//! | module | content |
//! |---|---|
//! | `filter` | picks the servers that a request may be sent to |
//! | `counts` | counts responses, and merges the counts of other nodes |

mod counts;
mod filter;

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

pub use self::counts::Report;
pub use self::filter::VersionFilter;
use super::exposure::Exposure;
use super::order::{Announcement, Order, Stage};
use super::standing::{Outcome, Standing, Standings};
use super::tally::Tallies;
use crate::Millis;
use crate::serving::table_version::TableVersion;

/// How long a stage is valid without a confirmation.
const STAGE_TTL_MS: Millis = 2_500;

/// A rollout at one node, for the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The order.
    pub order: Order,
    /// The stage that the node knows.
    pub stage: Stage,
    /// Milliseconds since the duty holder confirmed the stage.
    pub confirmed_ms: Option<Millis>,
    /// Requests that the node has sent to the service since it learned of the order.
    pub sent: u64,
    /// Those of them that were sent to the target version.
    pub sent_to_target: u64,
    /// Responses of the target version, over all nodes that the node knows of.
    pub answers: u64,
    /// Those of them that failed.
    pub failed: u64,
}

/// A rollout, as one node knows it.
#[derive(Clone, Debug)]
struct Rollout {
    order: Order,
    stage: Stage,
    /// What is known of other versions. The target version is never one of them.
    standings: Standings,
    /// Whether only the target version was listed when this node learned of the order.
    was_only_version: bool,
    /// When the duty holder last confirmed the stage.
    confirmed_at: Option<Millis>,
    /// When this node learned of the stage.
    stage_since: Millis,
    exposure: Exposure,
    own: Tallies,
    members: BTreeMap<(String, u64), Report>,
    peers: BTreeMap<(String, u64), Report>,
}

/// The rollouts that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    rollouts: BTreeMap<String, Rollout>,
    /// Orders that wait until the era is settled, by service.
    deferred: BTreeMap<String, Order>,
    /// When servers that just started are as fast as others, by id.
    warm_at: HashMap<String, Millis>,
    /// The version of the tables when this process first read any.
    first_read: Option<TableVersion>,
    /// When servers were last found to have crashed, by id.
    crashed_at: HashMap<String, Millis>,
}

impl Rollout {
    fn new(order: Order, mut standings: Standings) -> Self {
        standings.remove(&order.target_version);
        Self {
            order,
            standings,
            was_only_version: false,
            stage: Stage::Pending,
            confirmed_at: None,
            stage_since: 0,
            exposure: Exposure::default(),
            own: Tallies::default(),
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Merges the standings that another node knows.
    fn merge_standings(&mut self, standings: &Standings) {
        self.standings.merge(standings);
        self.standings.remove(&self.order.target_version);
    }

    /// Returns the standings of versions once a later order replaces this one.
    ///
    /// A stage before the verdict shows only that this node knows no verdict.
    fn into_standings(mut self) -> Standings {
        let outcome = match self.stage {
            Stage::Completed => Outcome::Accepted,
            Stage::RolledBack => Outcome::Withdrawn,
            Stage::Pending | Stage::Canary | Stage::Ramp | Stage::Shifting => Outcome::Unknown,
        };
        let standing = Standing { number: self.order.number, outcome };
        self.standings.record(&self.order.target_version, standing);
        self.standings
    }

    /// Returns the stage to act on. A stage that was not confirmed recently may have changed.
    fn get_stage(&self, now: Millis) -> Stage {
        let is_recent = self.confirmed_at.is_some_and(|at| now < at + STAGE_TTL_MS);
        if self.stage.is_final() || is_recent { self.stage } else { Stage::Pending }
    }
}

impl Registry {
    /// Applies an order. Returns `true` if it is newer than the known one.
    ///
    /// The order replaces an earlier one for the service. Whether the earlier target version may
    /// get requests depends on the verdict; if this node knows none, the duty holder's record does.
    ///
    /// If the table service was restored from an older copy, the known order gets a new number when
    /// its row is still there or is written again. A different order may be an earlier one that the
    /// copy holds, and is applied only once the era `is_settled`: see [`Self::apply_deferred`].
    pub fn apply_order(&mut self, order: Order, is_settled: bool) -> bool {
        if let Some(known) = self.rollouts.get_mut(&order.service) {
            if known.order.number >= order.number {
                return false;
            }
            let is_return = known.order.number.era < order.number.era;
            if known.order.is_same(&order) && (is_return || !is_settled) {
                known.order.number = order.number;
                return true;
            }
            if is_return && !is_settled {
                self.deferred.insert(order.service.clone(), order);
                return false;
            }
        }
        let service = order.service.clone();
        let earlier = self.rollouts.remove(&service).map(Rollout::into_standings);
        let mut rollout = Rollout::new(order, earlier.unwrap_or_default());
        if self.is_after_start(&rollout.order) {
            rollout.exposure = Exposure::complete();
        }
        self.rollouts.insert(service, rollout);
        true
    }

    /// Records a version of the tables that this process read. Only the first one counts: orders
    /// with a later number were given after the process started.
    pub fn record_read(&mut self, version: TableVersion) {
        if !version.is_absent() {
            self.first_read.get_or_insert(version);
        }
    }

    /// Returns `true` if an order was given after this process started.
    fn is_after_start(&self, order: &Order) -> bool {
        let is_after = |first: TableVersion| {
            first.era == order.number.era && first.number < order.number.number
        };
        self.first_read.is_some_and(is_after)
    }

    /// Applies the orders that were deferred until the era was settled and were not replaced by a
    /// later one. Returns those that are newer than the known ones.
    pub fn apply_deferred(&mut self) -> Vec<Order> {
        let deferred = std::mem::take(&mut self.deferred).into_values();
        deferred.filter(|order| self.apply_order(order.clone(), true)).collect()
    }

    /// Records that only the target version of an order was listed when this node learned of it.
    pub fn record_only_version(&mut self, service: &str) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.was_only_version = true;
        }
    }

    /// Returns `true` if only the target version was listed when this node learned of the order.
    pub fn was_only_version(&self, service: &str) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| rollout.was_only_version)
    }

    /// Resolves the outcomes of earlier orders from the duty holder's records, in the rollout of an
    /// order.
    pub fn resolve_standings(&mut self, service: &str, number: TableVersion, recorded: &Standings) {
        let rollout = self.rollouts.get_mut(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.number == number) {
            rollout.standings.resolve(recorded);
            rollout.standings.remove(&rollout.order.target_version);
        }
    }

    /// Returns the standings of the versions of earlier orders.
    pub fn get_standings(&self, service: &str) -> Standings {
        self.rollouts.get(service).map(|rollout| rollout.standings.clone()).unwrap_or_default()
    }

    /// Merges an announcement of another node. Returns the stage if it has advanced.
    pub fn merge_announcement(
        &mut self,
        now: Millis,
        announcement: &Announcement,
        is_settled: bool,
    ) -> Option<Stage> {
        self.apply_order(announcement.order.clone(), is_settled);
        let rollout = self.rollouts.get_mut(&announcement.order.service)?;
        if rollout.order.number != announcement.order.number {
            return None;
        }
        rollout.merge_standings(&announcement.standings);
        if announcement.stage < rollout.stage {
            return None;
        }
        let confirmed_at = announcement.age.and_then(|age| now.checked_sub(age));
        if announcement.stage > rollout.stage {
            rollout.stage = announcement.stage;
            rollout.stage_since = now;
            rollout.confirmed_at = confirmed_at;
            return Some(announcement.stage);
        }
        rollout.confirmed_at = rollout.confirmed_at.max(confirmed_at);
        None
    }

    /// Sets and confirms the stage, as the duty holder.
    pub fn confirm_stage(
        &mut self,
        now: Millis,
        service: &str,
        number: TableVersion,
        stage: Stage,
    ) {
        let rollout = self.rollouts.get_mut(service);
        let Some(rollout) = rollout.filter(|rollout| rollout.order.number == number) else {
            return;
        };
        if stage > rollout.stage {
            rollout.stage = stage;
            rollout.stage_since = now;
        }
        rollout.confirmed_at = Some(now);
    }

    /// Lists the rollouts to announce to other nodes.
    pub fn list_announcements(&self, now: Millis) -> Vec<Announcement> {
        let announce = |rollout: &Rollout| Announcement {
            order: rollout.order.clone(),
            stage: rollout.stage,
            age: rollout.confirmed_at.map(|at| now.saturating_sub(at)),
            standings: rollout.standings.clone(),
        };
        self.rollouts.values().map(announce).collect()
    }

    /// Lists the orders with their stages.
    pub fn list_orders(&self) -> Vec<(Order, Stage)> {
        self.rollouts.values().map(|rollout| (rollout.order.clone(), rollout.stage)).collect()
    }

    /// Lists the summaries for the operator.
    pub fn list_summaries(&self, now: Millis) -> Vec<Summary> {
        let summarize = |rollout: &Rollout| {
            let tallies = rollout.sum(0, &[&rollout.members, &rollout.peers]).tallies;
            Summary {
                order: rollout.order.clone(),
                stage: rollout.stage,
                confirmed_ms: rollout.confirmed_at.map(|at| now.saturating_sub(at)),
                sent: rollout.exposure.get_sent(),
                sent_to_target: rollout.exposure.get_sent_to_target(),
                answers: tallies.count_target(),
                failed: tallies.count_failed(),
            }
        };
        self.rollouts.values().map(summarize).collect()
    }
}
