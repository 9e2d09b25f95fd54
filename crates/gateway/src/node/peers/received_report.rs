//! Merges the reports, summaries and overviews that other nodes send.

use std::net::SocketAddr;
use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::members::{Heartbeat, Role};
use keeljunction_core::serving::quota::Source;
use keeljunction_core::serving::report_log::Snapshot;
use keeljunction_core::serving::usage::Incarnation;

use super::message::{Overview, Report, Sender, Summary};
use super::report::begin_incarnation;
use super::report_target::{ReportTarget, buffer_samples};
use super::{permits, quarantine, versions};
use crate::event::{self, Event};
use crate::node::state::State;
use crate::node::{Node, rollouts, watch};

/// The number of report periods for which a node's counts stay valid.
const COUNTS_TTL_PERIODS: u32 = 7;

/// Handles the report of a node of this node's group.
pub(super) fn handle_report(node: &Node, echoed_at: Option<Millis>, report: Report) {
    let now = node.now();
    let Report { sender, totals } = report;
    if sender.entry.name == node.incarnation.node {
        return;
    }
    node.with(|state| {
        record_heard(state, now, &sender, Role::Member, echoed_at);
        let from = (sender.entry.name.as_str(), sender.incarnation);
        state.quotas.merge(now, Source::Member, from, &totals.quota);
        let incarnation =
            Incarnation { node: sender.entry.name.clone(), number: sender.incarnation };
        for (window, counts) in &totals.usage {
            state.usage.merge_member(*window, &incarnation, counts);
        }
        state.demand.merge(now, true, from, &totals.demand);
        state.rollouts.merge(true, from, &totals.rollouts);
        for (service, samples) in totals.throughputs {
            let throughput = state.throughputs.entry(service).or_default();
            samples.into_iter().for_each(|sample| throughput.merge_member(now, sample));
        }
    });
}

/// Handles the summary of another aggregator; `echoed_at` is set if it came directly from there.
pub(super) fn handle_summary(node: &Arc<Node>, echoed_at: Option<Millis>, summary: Summary) {
    let now = node.now();
    let Summary { sender, totals, loads, group, group_age, roster, joined, .. } = summary;
    let (verdicts, limits, departures) = (summary.verdicts, summary.limits, summary.departures);
    let (frozen_windows, frozen) = (summary.frozen_windows, summary.frozen);
    if sender.entry.name == node.incarnation.node {
        return;
    }
    node.with(|state| {
        record_heard(state, now, &sender, Role::Aggregator, echoed_at);
        state.members.merge_entries(now, &joined);
        let name = sender.entry.name.as_str();
        state.members.record_roster_summary(name, roster);
        state.members.record_group(now, name, group, group_age);
        let from = (name, sender.incarnation);
        state.quotas.merge(now, Source::Peer, from, &totals.quota);
        let incarnation = Incarnation { node: name.to_owned(), number: sender.incarnation };
        for (window, counts) in &totals.usage {
            state.usage.merge(*window, &incarnation, counts);
        }
        state.demand.merge(now, false, from, &totals.demand);
        state.rollouts.merge(false, from, &totals.rollouts);
        state.frozen_usage.record_announced(frozen_windows);
        for (window, counts) in &frozen {
            state.frozen_usage.record_remote(*window, counts);
        }
        let is_grouped = state.members.is_grouped();
        for (service, samples) in totals.throughputs {
            let throughput = state.throughputs.entry(service.clone()).or_default();
            samples.iter().for_each(|sample| throughput.merge(now, *sample));
            if is_grouped {
                buffer_samples(&mut state.samples, service, samples);
            }
        }
        if !is_grouped {
            let counts_last = state.members.get_period() * COUNTS_TTL_PERIODS;
            let valid_until = now + counts_last.as_millis() as Millis;
            state.loads.merge(valid_until, name, loads);
        }
    });
    quarantine::apply_verdicts(node, verdicts);
    permits::apply_observations(node, &limits);
    watch::apply_departures(node, &departures);
}

/// Handles the overview of this node's aggregator.
pub(super) fn handle_overview(
    node: &Arc<Node>,
    from: SocketAddr,
    echoed_at: Option<Millis>,
    overview: Overview,
) {
    let now = node.now();
    let Overview { sender, quota, throughputs, reachability, silent, versions, .. } = overview;
    let (verdicts, limits) = (overview.verdicts, overview.limits);
    let departures = overview.departures;
    let (unreachable_regions, is_region_overdue) =
        (overview.unreachable_regions, overview.is_region_overdue);
    let (aggregators, roster) = (overview.aggregators, overview.roster);
    node.with(|state| {
        let acknowledged = record_heard(state, now, &sender, Role::Aggregator, echoed_at);
        let name = sender.entry.name.as_str();
        state.members.record_roster_summary(name, roster);
        state.members.apply_overview(now, name, reachability, &silent);
        state.members.follow_aggregators(name, aggregators);
        state.members.set_unreachable_regions(name, unreachable_regions);
        let is_own = state.report_target == ReportTarget::OwnAggregator(name.to_owned());
        if is_own && is_region_overdue {
            state.quotas.record_overdue_region(now);
        }
        if let Some(acknowledged) = acknowledged.filter(|_| is_own) {
            state.quotas.merge_total(now, (name, sender.incarnation), &quota, &acknowledged.quota);
        }
        for (service, samples) in throughputs {
            let throughput = state.throughputs.entry(service).or_default();
            samples.into_iter().for_each(|sample| throughput.merge(now, sample));
        }
    });
    quarantine::apply_verdicts(node, verdicts);
    permits::apply_observations(node, &limits);
    watch::apply_departures(node, &departures);
    versions::handle(node, from, echoed_at, &versions);
}

/// Records that a node was heard, and which of this node's reports it had received; returns the
/// counts in that report.
fn record_heard(
    state: &mut State,
    now: Millis,
    sender: &Sender,
    role: Role,
    echoed_at: Option<Millis>,
) -> Option<Snapshot> {
    let name = &sender.entry.name;
    for announcement in &sender.rollouts {
        rollouts::merge(state, now, announcement);
    }
    let heard = Heartbeat {
        entry: &sender.entry,
        incarnation: sender.incarnation,
        is_stopping: sender.is_stopping,
        role,
        holder_age: sender.holder_age,
    };
    let (known, to) = (state.members.get_address(name), sender.entry.address);
    if let Some(from) = known.filter(|from| *from != to) {
        event::emit(&Event::PeerMoved { peer: name, from, to });
    }
    if let Some(previous) = state.members.record_heartbeat(now, &heard) {
        state.quotas.forget(name, previous);
        state.demand.forget(name, previous);
        state.rollouts.forget(name, previous);
        // The aggregator has restarted and lost this node's earlier reports.
        if state.report_target == ReportTarget::OwnAggregator(name.clone()) {
            begin_incarnation(state, now, false);
        }
    }
    state.report_log.acknowledge(echoed_at?).cloned()
}
