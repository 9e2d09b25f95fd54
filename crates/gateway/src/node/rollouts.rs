//! Takes orders of roll-outs, what other nodes announce of them, and what answers show.

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::rollout::{
    Announcement, Order, Phase, Stage, Tolerance, VersionFilter,
};

use super::Node;
use super::peers::message::Notification;
use super::state::State;
use crate::event::{self, Event};
use crate::port::Row;

/// Takes an order from the operator's table, and announces it where it is new.
///
/// An order whose row is gone goes on: its servers run, and only a verdict ends that.
pub(super) fn take_order(node: &Node, row: &Row) {
    let Some(value) = row.value.as_deref() else {
        log::warn!("the order {} is gone from its table: the roll-out goes on", row.key);
        return;
    };
    let order = match (node.platform.rollout_codec.decode)(&row.key, value, row.version) {
        Ok(order) => order,
        Err(error) => return event::emit(&Event::DocumentRejected { error: error.to_string() }),
    };
    let announcement = Announcement { order, stage: Stage::Pending, age: None, barred: Vec::new() };
    let now = node.now();
    if node.with(|state| merge(state, now, &announcement)) {
        node.notify_peers(Notification::RolloutChanged(announcement));
    }
}

/// Takes the orders that were read before the era was settled, and announces them.
pub(super) fn take_deferred(node: &Node) {
    let now = node.now();
    let orders = node.with(|state| match state.eras.is_settled(now) {
        true => state.rollouts.apply_deferred(),
        false => Vec::new(),
    });
    for order in orders {
        emit_changed(&order, Stage::Pending);
        let announcement =
            Announcement { order, stage: Stage::Pending, age: None, barred: Vec::new() };
        node.notify_peers(Notification::RolloutChanged(announcement));
    }
}

/// Merges what another node announces of a roll-out; returns `true` if that was new.
pub(super) fn merge(state: &mut State, now: Millis, announcement: &Announcement) -> bool {
    let is_settled = state.eras.is_settled(now);
    let is_new = state.rollouts.apply_order(announcement.order.clone(), is_settled);
    let advanced = state.rollouts.merge_announcement(now, announcement, is_settled);
    if !is_new && advanced.is_none() {
        return false;
    }
    emit_changed(&announcement.order, announcement.stage);
    true
}

fn emit_changed(order: &Order, stage: Stage) {
    event::emit(&Event::RolloutChanged {
        service: &order.service,
        target_version: &order.target_version,
        order: order.number.to_string(),
        stage: stage.as_str(),
    });
}

/// Decides which servers of a service a request may go to.
pub(crate) fn pick_side(node: &Node, service: &str, is_first: bool) -> VersionFilter {
    let now = node.now();
    node.with(|state| {
        if !is_first {
            return state.rollouts.pick_retry_filter(now, service);
        }
        let tolerance = get_tolerance(node, state, now);
        state.rollouts.pick_filter(now, service, &tolerance, fastrand::f64())
    })
}

/// Lists the servers that the canary's requests go to.
pub(crate) fn list_canaries(node: &Node, service: &str) -> Vec<String> {
    let now = node.now();
    node.with(|state| {
        let tolerance = get_tolerance(node, state, now);
        let ready = state.directory.iter_ready(service);
        let canaries = state.rollouts.list_canaries(ready, &tolerance);
        canaries.into_iter().map(str::to_owned).collect()
    })
}

fn get_tolerance(node: &Node, state: &State, now: Millis) -> Tolerance {
    let bounds = &node.settings.bounds;
    let nodes = state.members.get_reachability(now).known;
    Tolerance { share: bounds.expose_share, slack: bounds.canary_slack, nodes }
}

/// Counts a good answer of a server, or a phase of it.
pub(crate) fn note_success(
    node: &Node,
    server: &Server,
    route: &str,
    phase: Phase,
    latency: Millis,
) {
    let now = node.now();
    node.with(|state| state.rollouts.record_success(now, server, route, phase, latency));
}

/// Counts an answer of a server that failed.
pub(crate) fn note_failure(node: &Node, server: &Server, route: &str, phase: Phase) {
    node.with(|state| state.rollouts.record_failure(server, route, phase));
}
