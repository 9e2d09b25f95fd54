//! The rollouts that a node knows of.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::exposure::{Exposure, Tolerance};
use super::order::{Announcement, Order, Stage};
use super::tally::{Phase, Series, Tallies};
use crate::serving::directory::Server;
use crate::serving::table_version::TableVersion;
use crate::{Millis, rendezvous};

/// The share of the requests that a version gets in [`Stage::Ramp`]. Together with the canary's
/// requests, a version that becomes bad there is detected within one tenth of all requests
/// (`rollout_trials`).
const RAMP_SHARE: f64 = 0.3;
const CANARIES_KEY: &str = "canaries";
/// How long servers of other versions may remain listed after a rollout has completed and they
/// stop: entries are removed after three heartbeats of 1.2 s.
const OTHERS_LISTED_PERIOD_MS: Millis = 5_000;
/// How long a stage is valid without a confirmation.
const STAGE_TTL_MS: Millis = 2_500;

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
}

/// The counts of a rollout, from a node or a group of nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// The number of the order.
    pub number: TableVersion,
    /// Responses since the order.
    pub tallies: Tallies,
    /// Requests in flight on other versions.
    pub in_flight: u32,
}

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
    /// Target versions of earlier orders that were never completed.
    barred: BTreeSet<String>,
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
}

impl Rollout {
    fn new(order: Order, barred: BTreeSet<String>) -> Self {
        Self {
            order,
            barred,
            stage: Stage::Pending,
            confirmed_at: None,
            stage_since: 0,
            exposure: Exposure::default(),
            own: Tallies::default(),
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Bars versions, except the target version of this order.
    fn bar(&mut self, versions: impl IntoIterator<Item = String>) {
        self.barred.extend(versions);
        self.barred.remove(&self.order.target_version);
    }

    /// Returns the versions that a later order bars.
    fn into_barred(mut self) -> BTreeSet<String> {
        if self.stage != Stage::Completed {
            self.barred.insert(self.order.target_version);
        }
        self.barred
    }

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

    /// Returns the stage to act on. A stage that was not confirmed recently may have changed.
    fn get_stage(&self, now: Millis) -> Stage {
        let is_recent = self.confirmed_at.is_some_and(|at| now < at + STAGE_TTL_MS);
        if self.stage.is_final() || is_recent { self.stage } else { Stage::Pending }
    }

    fn sum(&self, own_in_flight: u32, reports: &[&BTreeMap<(String, u64), Report>]) -> Report {
        let mut sum = Report {
            service: self.order.service.clone(),
            number: self.order.number,
            tallies: self.own.clone(),
            in_flight: own_in_flight,
        };
        for report in reports.iter().flat_map(|reports| reports.values()) {
            sum.tallies.add(&report.tallies);
            sum.in_flight += report.in_flight;
        }
        sum
    }
}

impl Registry {
    /// Applies an order. Returns `true` if it is newer than the known one.
    ///
    /// The order replaces an earlier one for the service. The earlier target version is barred
    /// unless its rollout was completed, because nothing shows that it is good.
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
        let barred = self.rollouts.remove(&service).map(Rollout::into_barred).unwrap_or_default();
        let mut rollout = Rollout::new(order, BTreeSet::new());
        rollout.bar(barred);
        self.rollouts.insert(service, rollout);
        true
    }

    /// Applies the orders that were deferred until the era was settled and were not replaced by a
    /// later one. Returns those that are newer than the known ones.
    pub fn apply_deferred(&mut self) -> Vec<Order> {
        let deferred = std::mem::take(&mut self.deferred).into_values();
        deferred.filter(|order| self.apply_order(order.clone(), true)).collect()
    }

    /// Bars versions of earlier orders, in the rollout of an order.
    pub fn bar(&mut self, service: &str, number: TableVersion, versions: &[String]) {
        let rollout = self.rollouts.get_mut(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.number == number) {
            rollout.bar(versions.iter().cloned());
        }
    }

    /// Lists the versions of earlier orders that are barred.
    pub fn list_barred(&self, service: &str) -> Vec<String> {
        let rollout = self.rollouts.get(service);
        rollout.map_or_else(Vec::new, |rollout| rollout.barred.iter().cloned().collect())
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
        rollout.bar(announcement.barred.iter().cloned());
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
            barred: rollout.barred.iter().cloned().collect(),
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

    /// Returns `true` if a server has the target version of a rollout.
    pub fn is_target(&self, server: &Server) -> bool {
        let rollout = self.rollouts.get(&server.service);
        rollout.is_some_and(|rollout| rollout.order.target_version == server.version)
    }

    /// Returns `true` if a server has a barred or undecided version, and does not count as one of
    /// the service's servers.
    pub fn is_on_trial(&self, server: &Server) -> bool {
        let rollout = self.rollouts.get(&server.service);
        let Some(rollout) = rollout else { return false };
        let is_decided = rollout.stage == Stage::Completed;
        rollout.barred.contains(&server.version) || (self.is_target(server) && !is_decided)
    }

    /// Returns `true` if a filter allows a server.
    pub fn is_allowed(&self, filter: VersionFilter, server: &Server) -> bool {
        let rollout = self.rollouts.get(&server.service);
        if rollout.is_some_and(|rollout| rollout.barred.contains(&server.version)) {
            return false;
        }
        match filter {
            VersionFilter::Any => true,
            VersionFilter::Canary | VersionFilter::Target | VersionFilter::PreferTarget => {
                self.is_target(server)
            }
            VersionFilter::Others | VersionFilter::PreferOthers => !self.is_target(server),
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
    /// A canary gets no more than its share.
    pub fn pick_resume_filter(
        &self,
        now: Millis,
        service: &str,
        software_version: &str,
        tolerance: &Tolerance,
    ) -> Option<VersionFilter> {
        let Some(rollout) = self.rollouts.get(service) else { return Some(VersionFilter::Any) };
        let is_target = rollout.order.target_version == software_version;
        let is_full =
            is_target && rollout.get_stage(now) == Stage::Canary && !rollout.has_room(tolerance);
        let is_allowed = !is_full && !self.is_withdrawn(now, service, software_version);
        is_allowed.then_some(VersionFilter::Any)
    }

    /// Returns `true` if a software version is barred, or was rolled back.
    pub fn is_withdrawn(&self, now: Millis, service: &str, software_version: &str) -> bool {
        let Some(rollout) = self.rollouts.get(service) else { return false };
        let is_target = rollout.order.target_version == software_version;
        let is_rolled_back = is_target && rollout.get_stage(now) == Stage::RolledBack;
        is_rolled_back || rollout.barred.contains(software_version)
    }

    /// Counts a request that is sent to a server.
    pub fn count_sent(&mut self, server: &Server) {
        let is_target = self.is_target(server);
        if let Some(rollout) = self.rollouts.get_mut(&server.service) {
            rollout.exposure.count(is_target);
        }
    }

    /// Counts a good response of a server in a phase.
    pub fn record_success(
        &mut self,
        now: Millis,
        server: &Server,
        route: &str,
        phase: Phase,
        latency: Millis,
    ) {
        let is_warm = self.warm_at.get(&server.id).is_none_or(|at| now >= *at);
        if let Some(tally) = self.get_tally(server, route, phase) {
            tally.record_success(is_warm.then_some(latency));
        }
    }

    /// Counts a failed response of a server in a phase.
    pub fn record_failure(&mut self, server: &Server, route: &str, phase: Phase) {
        if let Some(tally) = self.get_tally(server, route, phase) {
            tally.record_failure();
        }
    }

    fn get_tally(
        &mut self,
        server: &Server,
        route: &str,
        phase: Phase,
    ) -> Option<&mut super::Tally> {
        let is_target = self.is_target(server);
        let rollout = self.rollouts.get_mut(&server.service)?;
        if rollout.stage.is_final() {
            return None;
        }
        let series = Series { route: route.to_owned(), phase };
        Some(rollout.own.get_mut(series, is_target))
    }

    /// Records when a server that just started is as fast as others.
    pub fn record_joined(&mut self, now: Millis, server: &Server) {
        if let Some(left) = server.warm_within.filter(|left| *left > 0) {
            self.warm_at.insert(server.id.clone(), now + left);
        }
    }

    /// Removes a server.
    pub fn forget_server(&mut self, id: &str) {
        self.warm_at.remove(id);
    }

    /// Returns the counts of this node and of the nodes that report to it, for the undecided
    /// rollouts. `in_flight` returns its requests in flight on other versions.
    pub fn report_group(&self, in_flight: impl Fn(&Order) -> u32) -> Vec<Report> {
        let undecided = self.rollouts.values().filter(|rollout| !rollout.stage.is_final());
        undecided
            .map(|rollout| rollout.sum(in_flight(&rollout.order), &[&rollout.members]))
            .collect()
    }

    /// Returns the counts of a rollout over all nodes.
    pub fn sum_all(&self, service: &str, in_flight: impl Fn(&Order) -> u32) -> Option<Report> {
        let rollout = self.rollouts.get(service)?;
        let reports = [&rollout.members, &rollout.peers];
        Some(rollout.sum(in_flight(&rollout.order), &reports))
    }

    /// Merges the counts of a node's incarnation. `is_member` is `true` if it reports to this node.
    pub fn merge(&mut self, is_member: bool, sender: (&str, u64), reports: &[Report]) {
        for report in reports {
            let Some(rollout) = self.rollouts.get_mut(&report.service) else { continue };
            if rollout.order.number != report.number {
                continue;
            }
            let known = if is_member { &mut rollout.members } else { &mut rollout.peers };
            known.insert((sender.0.to_owned(), sender.1), report.clone());
        }
    }

    /// Resets the counts for a new aggregator. The former one keeps what was counted.
    pub fn reset_counts(&mut self) {
        for rollout in self.rollouts.values_mut() {
            rollout.own = Tallies::default();
            rollout.members.clear();
        }
    }

    /// Records that an incarnation of a node is gone. Its counts remain, without requests in
    /// flight.
    pub fn forget(&mut self, peer: &str, incarnation: u64) {
        let key = (peer.to_owned(), incarnation);
        for rollout in self.rollouts.values_mut() {
            for reports in [&mut rollout.members, &mut rollout.peers] {
                if let Some(report) = reports.get_mut(&key) {
                    report.in_flight = 0;
                }
            }
        }
    }
}
