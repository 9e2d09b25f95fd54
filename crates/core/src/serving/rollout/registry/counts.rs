//! Counts the responses of servers during rollouts, and merges the counts of other nodes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Registry, Rollout};
use crate::Millis;
use crate::serving::directory::Server;
use crate::serving::rollout::{Order, Phase, Series, Tallies, Tally};
use crate::serving::table_version::TableVersion;

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

impl Rollout {
    /// Returns the counts of this node and those in reports.
    pub(super) fn sum(
        &self,
        own_in_flight: u32,
        reports: &[&BTreeMap<(String, u64), Report>],
    ) -> Report {
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
    /// Counts a request that is sent to a server.
    pub fn count_sent(&mut self, server: &Server) {
        let is_target = self.is_target(server);
        if let Some(rollout) = self.rollouts.get_mut(&server.service) {
            rollout.exposure.count(is_target);
        }
    }

    /// Takes back a counted request that could not be sent.
    pub fn refund_sent(&mut self, server: &Server) {
        let is_target = self.is_target(server);
        if let Some(rollout) = self.rollouts.get_mut(&server.service) {
            rollout.exposure.refund(is_target);
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

    /// Counts a response that broke off because the process of its server ended.
    pub fn record_interruption(&mut self, server: &Server, route: &str, phase: Phase) {
        if let Some(tally) = self.get_tally(server, route, phase) {
            tally.record_interruption();
        }
    }

    /// Returns `true` if the responses of a service's servers are compared, because a rollout has no
    /// verdict yet.
    pub fn is_undecided(&self, service: &str) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| !rollout.stage.is_final())
    }

    fn get_tally(&mut self, server: &Server, route: &str, phase: Phase) -> Option<&mut Tally> {
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
        self.crashed_at.remove(id);
    }

    /// Records that a server was found to have crashed.
    pub fn record_crash(&mut self, now: Millis, id: &str) {
        self.crashed_at.insert(id.to_owned(), now);
    }

    /// Returns `true` if a server was found to have crashed since a response of it broke off.
    pub fn has_crashed(&self, id: &str, broken_at: Millis) -> bool {
        self.crashed_at.get(id).is_some_and(|crashed_at| *crashed_at >= broken_at)
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

    /// Resets the counts for a new aggregator. The former one keeps the counts so far.
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
