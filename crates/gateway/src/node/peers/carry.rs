//! Sends the summary of this node's group to the aggregators of other regions, and passes on in its
//! own region the summaries of others.
//!
//! A summary crosses once: to one of two carriers of the region, by turns. The carrier passes it on
//! as it came, under the name and the time of the one who sent it. What comes twice is taken once,
//! and what was passed on says nothing of the way to the one who passed it on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use keeljunction_core::Millis;

use super::message::{Message, Summary};
use super::{audience, report, versions};
use crate::event::{self, Event};
use crate::node::Node;
use crate::node::state::State;
use crate::runtime;

/// Turns of reports between two looks at which nodes stand in other regions: five a second, and the
/// list changes when nodes come and go.
const LOOK_TURNS: u64 = 5;

/// Brings up to date, once in each period, which nodes stand in other regions and how long their
/// messages take.
pub(super) fn refresh(node: &Node, turn: u64) {
    if !node.topology.is_multi_region() {
        return;
    }
    let far = node.with(|state| {
        let regions = node.topology.list_regions().into_iter();
        let others = regions.filter(|region| *region != node.topology.get_own_region());
        let farthest = others.map(|region| state.round_trips.get_round_trip(region)).max();
        let period = state.carrying.pace.get_period();
        state.members.set_transit_delay(period, farthest.unwrap_or(0) / 2);
        log_lost(state);
        turn.is_multiple_of(LOOK_TURNS).then(|| state.members.list_remote_nodes())
    });
    if let Some(far) = far {
        node.link.set_far(far);
    }
}

fn log_lost(state: &mut State) {
    let lost: BTreeSet<String> = state.members.list_unreachable_regions().into_iter().collect();
    for region in lost.symmetric_difference(&state.carrying.lost) {
        event::emit(&Event::RegionReached { region, is_reached: !lost.contains(region) });
    }
    state.carrying.lost = lost;
}

/// Sends a summary to a carrier of each other region where it is time, and returns it.
pub(super) async fn send(node: &Node, now: Millis, mut summary: Summary) -> Summary {
    let own = summary.totals.throughputs.clone();
    let crossed = node.link.get_crossed();
    let carriers: Vec<SocketAddr> = node.with(|state| {
        if !state.members.is_using_carriers() {
            return Vec::new();
        }
        for (service, samples) in own.iter().cloned() {
            audience::pass_on(&mut state.carrying.samples, service, samples);
        }
        let senders = state.members.count_local_aggregators();
        if !state.carrying.pace.is_due(now, crossed, senders) {
            return Vec::new();
        }
        state.carrying.pace.record_sent(now);
        state.carrying.sent += 1;
        let turn = state.carrying.sent;
        summary.totals.throughputs = std::mem::take(&mut state.carrying.samples);
        state.members.pick_carriers(now, turn)
    });
    let message = Message::Summary(Box::new(summary));
    if !carriers.is_empty() {
        node.link.send_to_all(now, carriers, &message).await;
    }
    let Message::Summary(mut summary) = message else { unreachable!("made above") };
    summary.totals.throughputs = own;
    *summary
}

/// Takes a summary that came directly, and passes on one of another region.
pub(super) fn take(
    node: &Arc<Node>,
    from: SocketAddr,
    sent: (u32, Millis),
    asked_at: Option<Millis>,
    summary: Summary,
) {
    if summary.sender.entry.name == node.incarnation.node {
        return;
    }
    let reported = summary.versions;
    if node.topology.is_local(&summary.sender.entry.data_centre) {
        report::take_summary(node, asked_at, summary);
        return versions::take(node, from, asked_at, &reported);
    }
    if note_crossed(node, sent, &summary) {
        if node.with(|state| state.members.is_using_carriers()) {
            runtime::spawn(pass_on(node.clone(), sent, summary.clone()));
        }
        take_over(node, asked_at, summary);
    }
    versions::confirm(node, asked_at, &reported);
}

/// Takes a summary that a carrier of this region passed on.
///
/// When the carrier last heard of this node says nothing of the one who sent the summary.
pub(super) fn take_carried(node: &Arc<Node>, sent: (u32, Millis), summary: Summary) {
    if note_crossed(node, sent, &summary) {
        take_over(node, None, summary);
    }
}

/// Takes over a summary of another region, unless its sender does not hear this one: that counts as
/// out of reach for both then.
fn take_over(node: &Arc<Node>, asked_at: Option<Millis>, summary: Summary) {
    if node.with(|state| state.members.is_own_region_heard(&summary.unheard_regions)) {
        report::take_summary(node, asked_at, summary);
    }
}

/// Returns `true` if a summary of another region is newer than those that came before.
fn note_crossed(node: &Node, (run, sent_at): (u32, Millis), summary: &Summary) -> bool {
    let now = node.now();
    let entry = &summary.sender.entry;
    if let Some(region) = node.topology.get_region(&entry.data_centre) {
        // The list is brought up to date only from time to time: an answer may come before that.
        node.link.note_far(entry.address, region);
    }
    node.with(|state| state.members.record_remote_summary(now, entry, run, sent_at))
}

/// Passes a summary on to the other aggregators of this region.
async fn pass_on(node: Arc<Node>, (run, sent_at): (u32, Millis), summary: Summary) {
    let now = node.now();
    let to = node.with(|state| state.members.list_exchange_peers(now));
    let message = Message::Carried { run, sent_at, summary: Box::new(summary) };
    node.link.send_to_all(now, to, &message).await;
}

/// Notes how long the way to another region and back is, where an answer came from there that is
/// given at once.
pub(super) fn note_round_trip(
    node: &Node,
    from: SocketAddr,
    asked_at: Option<Millis>,
    message: &Message,
) {
    let is_answer =
        matches!(message, Message::Versions(_) | Message::Loads { .. } | Message::Quota { .. });
    let Some(asked_at) = asked_at.filter(|_| is_answer) else { return };
    let Some(region) = node.link.get_far_region(from) else { return };
    let round_trip = node.now().saturating_sub(asked_at);
    node.with(|state| state.round_trips.record(&region, round_trip));
}
