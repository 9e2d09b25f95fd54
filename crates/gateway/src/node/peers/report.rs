//! Sends counts to other nodes several times a second.
//!
//! A node that is no aggregator reports to one and receives an overview of all nodes from it. An
//! aggregator exchanges summaries of its group with the other aggregators.
//! [`keeljunction_core::serving::members`] determines which nodes are aggregators.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::quota::Limit;
use keeljunction_core::serving::report_log::Snapshot;
use keeljunction_core::serving::usage::{Counts, WindowNumber};

use super::message::{Message, Overview, Report, Sender, Summary, Totals};
use super::report_target::{ReportTarget, Samples};
use super::{calls, loads, quarantine, slots, summary_relay};
use crate::event::{self, Event};
use crate::node::pause_detector::PauseDetector;
use crate::node::state::State;
use crate::node::{Node, staleness, watch};
use crate::runtime;

/// The number of reports that are sent at the end of a shutdown, and the pause after each.
const LAST_REPORTS: usize = 2;
const LAST_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of usage windows in a report.
const MAX_REPORTED_WINDOWS: usize = 4;

/// Sends reports until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    let mut turn = 0;
    let mut pause_detector = PauseDetector::begin(node.now());
    loop {
        let now = node.now();
        pause_detector.check(&node, now);
        watch::expire_lapsed(&node);
        node.with(|state| refresh(state, now));
        summary_relay::refresh(&node, turn);
        let is_grouped = node.with(|state| state.members.is_grouped());
        send(&node, now, turn).await;
        if is_grouped {
            loads::repeat_own(&node, turn);
            fetch_roster_delta(&node, now);
        }
        quarantine::step(&node).await;
        slots::step(&node, turn).await;
        turn += 1;
        let spent = Duration::from_millis(node.now().saturating_sub(now));
        let period = node.with(|state| state.members.get_period());
        runtime::sleep(period.saturating_sub(spent)).await;
    }
}

/// Sends the last counts of this node before its process exits. A datagram may be lost, so they are
/// sent more than once.
pub(in crate::node) async fn send_last(node: &Node) {
    for _ in 0..LAST_REPORTS {
        send(node, node.now(), 0).await;
        runtime::sleep(LAST_REPORT_INTERVAL).await;
    }
}

async fn send(node: &Node, now: Millis, turn: u64) {
    match node.with(|state| state.report_target.clone()) {
        ReportTarget::AllAggregators => report_to_aggregators(node, now, turn).await,
        ReportTarget::OwnAggregator(name) => report_to_aggregator(node, now, &name).await,
    }
}

/// Fetches missing entries of the roster from another node.
fn fetch_roster_delta(node: &Arc<Node>, now: Millis) {
    if let Some((from, after)) = node.with(|state| state.members.pick_roster_source(now)) {
        runtime::spawn(calls::fetch_roster_delta(node.clone(), from, after));
    }
}

/// Updates the node's view of the others, and starts a new incarnation of the counts if the report
/// target changes.
fn refresh(state: &mut State, now: Millis) {
    state.members.refresh(now);
    state.loads.expire(now);
    state.backpressure.expire(now);
    state.backpressure.record_owners(now, &state.members.list_aggregator_ids());
    state.demand.sample_all(now);
    state.throughputs.values_mut().for_each(|throughput| throughput.rate_servers(now));
    let own_aggregator = state.members.get_own_aggregator();
    let report_target = match own_aggregator {
        Some(entry) => ReportTarget::OwnAggregator(entry.name.clone()),
        None => ReportTarget::AllAggregators,
    };
    if report_target != state.report_target {
        let was_aggregator = state.report_target == ReportTarget::AllAggregators;
        state.report_target = report_target;
        begin_incarnation(state, now, was_aggregator);
        emit_target_change(state, now);
    }
}

fn emit_target_change(state: &State, now: Millis) {
    let aggregator = match &state.report_target {
        ReportTarget::OwnAggregator(name) => Some(name.as_str()),
        ReportTarget::AllAggregators => None,
    };
    let reachability = state.members.get_reachability(now);
    event::emit(&Event::AggregatorChanged {
        aggregator,
        nodes_heard: reachability.heard,
        nodes_known: reachability.known,
    });
}

/// Starts a new incarnation of the counts with those that the previous report target did not
/// receive.
pub(super) fn begin_incarnation(state: &mut State, now: Millis, was_aggregator: bool) {
    let previous = state.report_log.get_incarnation().clone();
    let acknowledged = state.report_log.begin_incarnation(fastrand::u64(..));
    let next = state.report_log.get_incarnation().clone();
    state.quotas.hand_over(now, &acknowledged.quota);
    state.usage.hand_over(&previous, &next, &acknowledged.usage, was_aggregator);
    state.rollouts.reset_counts();
    state.samples.clear();
}

fn make_sender(node: &Node, state: &State, now: Millis) -> Sender {
    let holds_duties = state.lease.get_fence(now).is_some();
    Sender {
        entry: node.get_entry(),
        incarnation: state.report_log.get_incarnation().number,
        is_stopping: node.is_stopping(),
        holder_age: if holds_duties { Some(0) } else { state.members.get_duty_holder_age(now) },
        rollouts: state.rollouts.list_announcements(now),
    }
}

fn get_own_usage(state: &State) -> Vec<(WindowNumber, Counts)> {
    let mut usage = state.usage.list_incarnation_counts(state.report_log.get_incarnation());
    usage.split_off(usage.len().saturating_sub(MAX_REPORTED_WINDOWS))
}

/// Takes the samples that were not sent to peers yet.
fn take_samples(state: &mut State) -> Samples {
    let throughputs = state.throughputs.iter_mut();
    let unreported =
        throughputs.map(|(service, throughput)| (service.clone(), throughput.take_unreported()));
    unreported.filter(|(_, samples)| !samples.is_empty()).collect()
}

async fn report_to_aggregator(node: &Node, now: Millis, name: &str) {
    let made = node.with(|state| {
        let aggregator = state.members.get_own_aggregator().filter(|entry| entry.name == name)?;
        let address = aggregator.address;
        let mut quota = state.quotas.report(now);
        let usage = get_own_usage(state);
        let snapshot =
            Snapshot { quota: quota.accounts.clone(), usage: usage.iter().cloned().collect() };
        if let Some(acknowledged) = state.report_log.get_acknowledged() {
            quota.accounts.retain(|account, units| acknowledged.quota.get(account) != Some(units));
        }
        state.report_log.record(now, snapshot);
        let totals = Totals {
            quota,
            usage,
            demand: state.demand.sum_group(now),
            throughputs: take_samples(state),
            rollouts: state.report_rollouts(),
        };
        Some((address, Report { sender: make_sender(node, state, now), totals }))
    });
    let Some((address, report)) = made else { return };
    node.link.send(now, address, &Message::Report(Box::new(report))).await;
}

async fn report_to_aggregators(node: &Node, now: Millis, turn: u64) {
    let versions = staleness::get_versions(node);
    let (summary, overview, aggregators, group) = node.with(|state| {
        let sender = make_sender(node, state, now);
        let is_region_overdue = state.members.is_region_overdue(now);
        if is_region_overdue {
            state.quotas.record_overdue_region(now);
        }
        let own = state.quotas.report(now);
        track_accounts(state, now);
        let quota = state.quotas.add_group_usage(now, &own);
        let usage = get_own_usage(state);
        let snapshot = Snapshot { quota: own.accounts, usage: usage.into_iter().collect() };
        state.report_log.record(now, snapshot);
        let sums = state.usage.sum_group(state.report_log.get_incarnation(), MAX_REPORTED_WINDOWS);
        // Summaries to other regions have their own pace, and carry all windows each time.
        let usage = match state.members.is_using_carriers() {
            true => sums,
            false => state.outgoing_usage.select(turn, sums),
        };
        let (group, group_age) = state.members.get_group(now);
        let joined = state.members.list_gossip_entries(now, turn as usize);
        let throughputs = take_samples(state);
        let overview = Overview {
            sender: sender.clone(),
            quota: state.quotas.add_other_usage(now, &quota),
            throughputs: take_forwarded_samples(state, &throughputs),
            reachability: state.members.get_overview(),
            silent: state.members.list_silent(),
            unreachable_regions: state.members.list_unreachable_regions(),
            is_region_overdue,
            aggregators: state.members.list_aggregator_ids(),
            roster: state.members.get_roster_summary(),
            verdicts: state.quarantine.get_gossip_batch(now, turn as usize),
            limits: state.backpressure.get_gossip_batch(now, turn as usize),
            departures: state.directory.list_departures(now, turn as usize),
            versions,
        };
        let is_grouped = state.members.is_grouped();
        let summary = Summary {
            sender,
            totals: Totals {
                quota,
                usage,
                demand: state.demand.sum_group(now),
                throughputs,
                rollouts: state.report_rollouts(),
            },
            loads: if is_grouped { Vec::new() } else { state.loads.get_own() },
            group,
            group_age,
            unheard_regions: state.members.list_unheard_regions(now),
            roster: state.members.get_roster_summary(),
            joined,
            verdicts: overview.verdicts.clone(),
            limits: overview.limits.clone(),
            departures: overview.departures.clone(),
            versions,
            frozen_windows: state.frozen_usage.get_windows(),
            frozen: state.frozen_usage.list_due(),
        };
        let aggregators = state.members.list_exchange_peers(now);
        (summary, overview, aggregators, state.members.get_group_addresses(now))
    });
    let summary = summary_relay::send(node, now, summary).await;
    node.link.send_to_all(now, aggregators, &Message::Summary(Box::new(summary))).await;
    if !group.is_empty() {
        node.link.send_to_all(now, group, &Message::Overview(Box::new(overview))).await;
    }
}

/// Tracks the buckets of all client accounts, whose levels are sent to the nodes of the group.
fn track_accounts(state: &mut State, now: Millis) {
    if !state.members.is_grouped() {
        return;
    }
    let Some(configuration) = state.configuration.clone() else { return };
    let reachability = state.members.get_reachability(now);
    for account in configuration.accounts.iter().flatten() {
        let limit = Limit { rate_per_second: account.rate_per_second, burst: account.burst };
        state.quotas.track(now, &account.name, limit, reachability);
    }
}

/// Takes the samples for this node's group: those of the other aggregators and the group's own.
fn take_forwarded_samples(state: &mut State, own: &Samples) -> Samples {
    let mut samples = std::mem::take(&mut state.samples);
    samples.extend(own.iter().cloned());
    samples
}
