//! Exchanges counts with other nodes, some times a second.
//!
//! A node that is no aggregator reports to one, and gets an overview of the whole from it. An
//! aggregator exchanges summaries of its group with the others. Which of the two a node is follows
//! from [`keeljunction_core::serving::members`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;

use keeljunction_core::serving::members::{Heartbeat, Role};
use keeljunction_core::serving::quota::{Limit, Source};
use keeljunction_core::serving::report_log::Snapshot;
use keeljunction_core::serving::usage::{Counts, Incarnation, WindowNumber};

use super::audience::{Audience, Samples, pass_on};
use super::message::{Message, Overview, Report, Sender, Summary, Totals};
use super::{calls, carry, loads, permits, quarantine, versions};
use crate::event::{self, Event};
use crate::node::pauses::Pauses;
use crate::node::state::State;
use crate::node::{Node, rollouts, staleness, watch};
use crate::runtime;

/// The counts of a node are used for this many periods.
const COUNTS_LAST_PERIODS: u32 = 7;
/// Windows of usage in each report.
const WINDOWS_REPORTED: usize = 4;

/// Reports for as long as the process runs.
pub(super) async fn run(node: Arc<Node>) {
    let mut turn = 0;
    let mut pauses = Pauses::begin(node.now());
    loop {
        let now = node.now();
        pauses.look(&node, now);
        watch::expire_lapsed(&node);
        node.with(|state| refresh(state, now));
        carry::refresh(&node, turn);
        let is_grouped = node.with(|state| state.members.is_grouped());
        match node.with(|state| state.audience.clone()) {
            Audience::Aggregators => report_to_aggregators(&node, now, turn).await,
            Audience::Aggregator(name) => report_to_aggregator(&node, now, &name).await,
        }
        if is_grouped {
            loads::repeat(&node, turn);
            get_additions(&node, now);
        }
        quarantine::step(&node).await;
        turn += 1;
        let spent = Duration::from_millis(node.now().saturating_sub(now));
        let period = node.with(|state| state.members.get_period());
        runtime::sleep(period.saturating_sub(spent)).await;
    }
}

/// Gets from another node what its list of nodes holds and this one's lacks.
fn get_additions(node: &Arc<Node>, now: Millis) {
    if let Some((from, after)) = node.with(|state| state.members.pick_roster_source(now)) {
        runtime::spawn(calls::get_additions(node.clone(), from, after));
    }
}

/// Brings what the node knows of others up to date, and begins to count anew where it reports to
/// another node than before.
fn refresh(state: &mut State, now: Millis) {
    state.members.refresh(now);
    state.loads.expire(now);
    state.backpressure.expire(now);
    state.demand.sample_all(now);
    state.throughputs.values_mut().for_each(|throughput| throughput.rate_servers(now));
    let own_aggregator = state.members.get_own_aggregator();
    let audience = match own_aggregator {
        Some(entry) => Audience::Aggregator(entry.name.clone()),
        None => Audience::Aggregators,
    };
    if audience != state.audience {
        let was_own_sum = state.audience == Audience::Aggregators;
        state.audience = audience;
        begin_incarnation(state, now, was_own_sum);
        emit_change(state, now);
    }
}

fn emit_change(state: &State, now: Millis) {
    let aggregator = match &state.audience {
        Audience::Aggregator(name) => Some(name.as_str()),
        Audience::Aggregators => None,
    };
    let reach = state.members.get_reachability(now);
    event::emit(&Event::AggregatorChanged {
        aggregator,
        nodes_heard: reach.heard,
        nodes_known: reach.known,
    });
}

/// Begins to count from what did not arrive where this node reported until now.
fn begin_incarnation(state: &mut State, now: Millis, was_own_sum: bool) {
    let former = state.handover.get_incarnation().clone();
    let arrived = state.handover.begin_incarnation(fastrand::u64(..));
    let next = state.handover.get_incarnation().clone();
    state.quotas.hand_over(now, &arrived.quota);
    state.usage.hand_over(&former, &next, &arrived.usage, was_own_sum);
    state.rollouts.reset_counts();
    state.samples.clear();
}

fn make_sender(node: &Node, state: &State, now: Millis) -> Sender {
    let holds_duties = state.lease.get_fence(now).is_some();
    Sender {
        entry: node.get_entry(),
        incarnation: state.handover.get_incarnation().number,
        is_stopping: node.is_stopping(),
        holder_age: if holds_duties { Some(0) } else { state.members.get_duty_holder_age(now) },
        rollouts: state.rollouts.list_announcements(now),
    }
}

fn get_own_usage(state: &State) -> Vec<(WindowNumber, Counts)> {
    let mut usage = state.usage.list_incarnation_counts(state.handover.get_incarnation());
    usage.split_off(usage.len().saturating_sub(WINDOWS_REPORTED))
}

/// Takes the samples that peers were not sent yet.
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
        if let Some(arrived) = state.handover.get_acknowledged() {
            quota.accounts.retain(|account, units| arrived.quota.get(account) != Some(units));
        }
        state.handover.record(now, snapshot);
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
            state.quotas.note_overdue_region(now);
        }
        let own = state.quotas.report(now);
        track_accounts(state, now);
        let quota = state.quotas.add_group_usage(now, &own);
        let usage = get_own_usage(state);
        let snapshot = Snapshot { quota: own.accounts, usage: usage.into_iter().collect() };
        state.handover.record(now, snapshot);
        let sums = state.usage.sum_group(state.handover.get_incarnation(), WINDOWS_REPORTED);
        // What crosses between regions is sent at a pace of its own, and holds all windows each time.
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
            throughputs: take_passed_on(state, &throughputs),
            reach: state.members.get_overview(),
            silent: state.members.list_silent(),
            lost_regions: state.members.list_unreachable_regions(),
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
            frozen_windows: state.frozen.get_windows(),
            frozen: state.frozen.list_due(),
        };
        let aggregators = state.members.list_exchange_peers(now);
        (summary, overview, aggregators, state.members.get_group_addresses(now))
    });
    let summary = carry::send(node, now, summary).await;
    node.link.send_to_all(now, aggregators, &Message::Summary(Box::new(summary))).await;
    if !group.is_empty() {
        node.link.send_to_all(now, group, &Message::Overview(Box::new(overview))).await;
    }
}

/// Keeps the buckets of all client accounts, whose levels are sent to the nodes of the group.
fn track_accounts(state: &mut State, now: Millis) {
    if !state.members.is_grouped() {
        return;
    }
    let Some(configuration) = state.configuration.clone() else { return };
    let reach = state.members.get_reachability(now);
    for account in configuration.accounts.iter().flatten() {
        let limit = Limit { rate_per_second: account.rate_per_second, burst: account.burst };
        state.quotas.track(now, &account.name, limit, reach);
    }
}

/// Takes the samples for the nodes of this node's group: those of the other aggregators, and the
/// group's own.
fn take_passed_on(state: &mut State, own: &Samples) -> Samples {
    let mut samples = std::mem::take(&mut state.samples);
    samples.extend(own.iter().cloned());
    samples
}

/// Takes over what a node of this node's group counts.
pub(super) fn take_report(node: &Node, asked_at: Option<Millis>, report: Report) {
    let now = node.now();
    let Report { sender, totals } = report;
    if sender.entry.name == node.incarnation.node {
        return;
    }
    node.with(|state| {
        hear(state, now, &sender, Role::Member, asked_at);
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

/// Takes over what another aggregator counts for its group; `asked_at` where it came from there
/// directly.
pub(super) fn take_summary(node: &Arc<Node>, asked_at: Option<Millis>, summary: Summary) {
    let now = node.now();
    let Summary { sender, totals, loads, group, group_age, roster, joined, .. } = summary;
    let (verdicts, limits, departures) = (summary.verdicts, summary.limits, summary.departures);
    let (frozen_windows, frozen) = (summary.frozen_windows, summary.frozen);
    if sender.entry.name == node.incarnation.node {
        return;
    }
    node.with(|state| {
        hear(state, now, &sender, Role::Aggregator, asked_at);
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
        state.frozen.record_announced(frozen_windows);
        for (window, counts) in &frozen {
            state.frozen.record_remote(*window, counts);
        }
        let is_grouped = state.members.is_grouped();
        for (service, samples) in totals.throughputs {
            let throughput = state.throughputs.entry(service.clone()).or_default();
            samples.iter().for_each(|sample| throughput.merge(now, *sample));
            if is_grouped {
                pass_on(&mut state.samples, service, samples);
            }
        }
        if !is_grouped {
            let counts_last = state.members.get_period() * COUNTS_LAST_PERIODS;
            let valid_until = now + counts_last.as_millis() as Millis;
            state.loads.merge(valid_until, name, loads);
        }
    });
    quarantine::take_verdicts(node, verdicts);
    permits::take_sightings(node, &limits);
    watch::apply_departures(node, &departures);
}

/// Takes over what this node's aggregator says of the whole.
pub(super) fn take_overview(
    node: &Arc<Node>,
    from: SocketAddr,
    asked_at: Option<Millis>,
    overview: Overview,
) {
    let now = node.now();
    let Overview { sender, quota, throughputs, reach, silent, versions, .. } = overview;
    let (verdicts, limits) = (overview.verdicts, overview.limits);
    let departures = overview.departures;
    let (lost_regions, is_region_overdue) = (overview.lost_regions, overview.is_region_overdue);
    let (aggregators, roster) = (overview.aggregators, overview.roster);
    node.with(|state| {
        let arrived = hear(state, now, &sender, Role::Aggregator, asked_at);
        let name = sender.entry.name.as_str();
        state.members.record_roster_summary(name, roster);
        state.members.apply_overview(now, name, reach, &silent);
        state.members.follow_aggregators(name, aggregators);
        state.members.set_unreachable_regions(name, lost_regions);
        let is_own = state.audience == Audience::Aggregator(name.to_owned());
        if is_own && is_region_overdue {
            state.quotas.note_overdue_region(now);
        }
        if let Some(arrived) = arrived.filter(|_| is_own) {
            state.quotas.merge_total(now, (name, sender.incarnation), &quota, &arrived.quota);
        }
        for (service, samples) in throughputs {
            let throughput = state.throughputs.entry(service).or_default();
            samples.into_iter().for_each(|sample| throughput.merge(now, sample));
        }
    });
    quarantine::take_verdicts(node, verdicts);
    permits::take_sightings(node, &limits);
    watch::apply_departures(node, &departures);
    versions::take(node, from, asked_at, &versions);
}

/// Notes that a node was heard, and which of this node's reports it had got by then; returns the
/// counts in that one.
fn hear(
    state: &mut State,
    now: Millis,
    sender: &Sender,
    role: Role,
    asked_at: Option<Millis>,
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
    if let Some(former) = state.members.record_heartbeat(now, &heard) {
        state.quotas.forget(name, former);
        state.demand.forget(name, former);
        state.rollouts.forget(name, former);
        // The aggregator began anew and knows nothing of what this node reported.
        if state.audience == Audience::Aggregator(name.clone()) {
            begin_incarnation(state, now, false);
        }
    }
    state.handover.acknowledge(asked_at?).cloned()
}
