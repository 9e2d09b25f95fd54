//! Sends the summary of this node's group to the aggregators of other regions, and relays their
//! summaries within its own region.
//!
//! A summary is sent to another region once, to one of that region's two carriers in turn. The
//! carrier relays it unchanged, with the name and send time of the original sender. Duplicates are
//! dropped, and a relayed summary is no measurement of the path to its carrier.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::members::{RemoteSender, Timestamp};

use super::message::{Message, Summary};
use super::{received_report, report_target, versions};
use crate::event::{self, Event};
use crate::node::Node;
use crate::node::state::State;
use crate::runtime;

/// The number of reports between refreshes of which nodes are in other regions. There are five
/// reports a second, and the list changes as nodes come and go.
const REGION_REFRESH_TURNS: u64 = 5;

/// Updates, once per period, which nodes are in other regions and how long messages to them take.
pub(super) fn refresh(node: &Node, turn: u64) {
    if !node.topology.is_multi_region() {
        return;
    }
    let remote_nodes = node.with(|state| {
        let regions = node.topology.list_regions().into_iter();
        let others = regions.filter(|region| *region != node.topology.get_own_region());
        let farthest = others.map(|region| state.round_trips.get_round_trip(region)).max();
        let period = state.summary_relay.pace.get_period();
        state.members.set_transit_delay(period, farthest.unwrap_or(0) / 2);
        log_unreachable_regions(state);
        turn.is_multiple_of(REGION_REFRESH_TURNS).then(|| state.members.list_remote_nodes())
    });
    if let Some(remote_nodes) = remote_nodes {
        node.link.set_remote_regions(remote_nodes);
    }
}

fn log_unreachable_regions(state: &mut State) {
    let unreachable: BTreeSet<String> =
        state.members.list_unreachable_regions().into_iter().collect();
    for region in unreachable.symmetric_difference(&state.summary_relay.unreachable_regions) {
        event::emit(&Event::RegionReached { region, is_reached: !unreachable.contains(region) });
    }
    state.summary_relay.unreachable_regions = unreachable;
}

/// Sends a summary to a carrier of each other region if it is due, and returns it.
pub(super) async fn send(node: &Node, now: Millis, mut summary: Summary) -> Summary {
    let own = summary.totals.throughputs.clone();
    let cross_region_bytes = node.link.get_cross_region_bytes();
    let carriers: Vec<SocketAddr> = node.with(|state| {
        if !state.members.is_using_carriers() {
            return Vec::new();
        }
        for (service, samples) in own.iter().cloned() {
            report_target::buffer_samples(&mut state.summary_relay.samples, service, samples);
        }
        let senders = state.members.count_local_aggregators();
        if !state.summary_relay.pace.is_due(now, cross_region_bytes, senders) {
            return Vec::new();
        }
        state.summary_relay.pace.record_sent(now);
        state.summary_relay.sent += 1;
        let turn = state.summary_relay.sent;
        summary.totals.throughputs = std::mem::take(&mut state.summary_relay.samples);
        state.members.pick_carriers(now, turn)
    });
    let message = Message::Summary(Box::new(summary));
    if !carriers.is_empty() {
        node.link.send_to_all(now, carriers, &message).await;
    }
    let Message::Summary(mut summary) = message else { unreachable!("constructed above") };
    summary.totals.throughputs = own;
    *summary
}

/// Handles a summary that came directly, and relays one of another region.
pub(super) fn handle_summary(
    node: &Arc<Node>,
    from: SocketAddr,
    sent: Timestamp,
    echoed_at: Option<Millis>,
    summary: Summary,
) {
    if summary.sender.entry.name == node.incarnation.node {
        return;
    }
    let reported = summary.versions;
    if node.topology.is_local(&summary.sender.entry.data_centre) {
        received_report::handle_summary(node, echoed_at, summary);
        return versions::handle(node, from, echoed_at, &reported);
    }
    if record_summary(node, sent, &summary) {
        if node.with(|state| state.members.is_using_carriers()) {
            runtime::spawn(forward(node.clone(), sent, summary.clone()));
        }
        merge(node, echoed_at, summary);
    }
    versions::confirm(node, echoed_at, &reported);
}

/// Handles a summary that a carrier of this region relayed.
///
/// When the carrier last heard this node does not apply to the original sender.
pub(super) fn handle_relayed(node: &Arc<Node>, sent: Timestamp, summary: Summary) {
    if record_summary(node, sent, &summary) {
        merge(node, None, summary);
    }
}

/// Merges a summary of another region, unless its sender does not hear this region. In that case,
/// both regions count as unreachable for each other.
fn merge(node: &Arc<Node>, echoed_at: Option<Millis>, summary: Summary) {
    if node.with(|state| state.members.is_own_region_heard(&summary.unheard_regions)) {
        received_report::handle_summary(node, echoed_at, summary);
    }
}

/// Records a summary of another region; returns `true` if it is newer than all earlier ones.
fn record_summary(node: &Node, sent: Timestamp, summary: &Summary) -> bool {
    let now = node.now();
    let entry = &summary.sender.entry;
    if let Some(region) = node.topology.get_region(&entry.data_centre) {
        // The list of remote nodes is refreshed at intervals only, and an answer may arrive
        // earlier.
        node.link.record_remote_region(entry.address, region);
    }
    let is_stopping = summary.sender.is_stopping;
    let sender = RemoteSender { entry, is_stopping, sent };
    node.with(|state| state.members.record_remote_summary(now, &sender))
}

/// Relays a summary to the other aggregators of this region.
async fn forward(node: Arc<Node>, sent: Timestamp, summary: Summary) {
    let now = node.now();
    let to = node.with(|state| state.members.list_exchange_peers(now));
    let message = Message::RelayedSummary { sent, summary: Box::new(summary) };
    node.link.send_to_all(now, to, &message).await;
}

/// Records the round-trip time to another region, if the message is an answer that is sent without
/// delay.
pub(super) fn record_round_trip(
    node: &Node,
    from: SocketAddr,
    echoed_at: Option<Millis>,
    message: &Message,
) {
    let is_answer =
        matches!(message, Message::Versions(_) | Message::Loads { .. } | Message::Quota { .. });
    let Some(echoed_at) = echoed_at.filter(|_| is_answer) else { return };
    let Some(region) = node.link.get_remote_region(from) else { return };
    let round_trip = node.now().saturating_sub(echoed_at);
    node.with(|state| state.round_trips.record(&region, round_trip));
}
