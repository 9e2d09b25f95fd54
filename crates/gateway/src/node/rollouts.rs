//! Applies rollout orders, announcements of other nodes, and the outcomes of responses.

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{Directory, Server};
use keeljunction_core::serving::rollout::{
    Announcement, Order, Phase, Stage, Standings, Tolerance, VersionFilter,
};

use super::Node;
use super::peers::message::Notification;
use super::state::State;
use crate::event::{self, Event};
use crate::port::Row;

/// Applies an order from the operator's table, and announces it if it is new.
///
/// A rollout continues if the row of its order is deleted: its servers are running, and only a
/// verdict ends it.
pub(super) fn apply_order(node: &Node, row: &Row) {
    let Some(value) = row.value.as_deref() else {
        log::warn!("the row of rollout order {} was deleted; the rollout continues", row.key);
        return;
    };
    let order = match (node.platform.rollout_codec.decode)(&row.key, value, row.version) {
        Ok(order) => order,
        Err(error) => return event::emit(&Event::DocumentRejected { error: error.to_string() }),
    };
    let announcement = make_unconfirmed(order);
    let now = node.now();
    if node.with(|state| merge(state, now, &announcement)) {
        node.notify_peers(Notification::RolloutChanged(announcement));
    }
}

/// Applies the orders that were read before the era settled, and announces them.
pub(super) fn announce_deferred(node: &Node) {
    let now = node.now();
    let orders = node.with(|state| match state.eras.is_settled(now) {
        true => state.rollouts.apply_deferred(),
        false => Vec::new(),
    });
    for order in orders {
        emit_changed(&order, Stage::Pending);
        node.notify_peers(Notification::RolloutChanged(make_unconfirmed(order)));
    }
}

/// Makes the announcement of an order that is not known to have begun.
fn make_unconfirmed(order: Order) -> Announcement {
    Announcement { order, stage: Stage::Pending, age: None, standings: Standings::default() }
}

/// Merges a rollout announcement of another node; returns `true` if it was new.
pub(super) fn merge(state: &mut State, now: Millis, announcement: &Announcement) -> bool {
    let is_settled = state.eras.is_settled(now);
    let order = &announcement.order;
    let is_new = state.rollouts.apply_order(order.clone(), is_settled);
    if is_new && is_only_version(&state.directory, order) {
        state.rollouts.record_only_version(&order.service);
    }
    let advanced = state.rollouts.merge_announcement(now, announcement, is_settled);
    if !is_new && advanced.is_none() {
        return false;
    }
    emit_changed(&announcement.order, announcement.stage);
    true
}

/// Returns `true` if the service has ready servers, all of the target version of an order.
fn is_only_version(directory: &Directory, order: &Order) -> bool {
    let mut listed = directory.iter_service(&order.service);
    directory.iter_ready(&order.service).next().is_some()
        && listed.all(|server| server.version == order.target_version)
}

fn emit_changed(order: &Order, stage: Stage) {
    event::emit(&Event::RolloutChanged {
        service: &order.service,
        target_version: &order.target_version,
        order: order.number.to_string(),
        stage: stage.as_str(),
    });
}

/// Picks the side of a rollout whose servers may receive a request.
pub(crate) fn pick_filter(node: &Node, service: &str, is_first: bool) -> VersionFilter {
    let now = node.now();
    node.with(|state| {
        if !is_first {
            return state.rollouts.pick_retry_filter(now, service);
        }
        let tolerance = get_tolerance(node, state, now);
        state.rollouts.pick_filter(now, service, &tolerance, fastrand::f64())
    })
}

/// Picks the servers that may continue a stream of a software version; returns `None` if the
/// rollout lets this version have no requests now.
pub(crate) fn pick_resume_filter(
    node: &Node,
    service: &str,
    software_version: &str,
) -> Option<VersionFilter> {
    let now = node.now();
    node.with(|state| {
        let tolerance = get_tolerance(node, state, now);
        state.rollouts.pick_resume_filter(now, service, software_version, &tolerance)
    })
}

/// Lists the filters to use in turn if no server that passes `filter` has capacity.
///
/// Versions that may have been withdrawn are left out while another one
/// that is not the target version has ready servers.
pub(crate) fn list_fallbacks(
    node: &Node,
    service: &str,
    filter: VersionFilter,
) -> Vec<VersionFilter> {
    let has_others = node.with(|state| {
        let mut ready = state.directory.iter_ready(service);
        ready.any(|server| state.rollouts.is_allowed(VersionFilter::Others, server))
    });
    let is_usable =
        |fallback: &VersionFilter| *fallback != VersionFilter::Unresolved || !has_others;
    filter.list_fallbacks().iter().copied().filter(is_usable).collect()
}

/// Lists the servers that may receive canary requests.
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
    let age = now.saturating_sub(node.clock.get_start());
    Tolerance { share: bounds.expose_share, slack: bounds.canary_slack, nodes, age }
}

/// Records the success of a response, or of a phase of it.
pub(crate) fn record_success(
    node: &Node,
    server: &Server,
    route: &str,
    phase: Phase,
    latency: Millis,
) {
    let now = node.now();
    node.with(|state| state.rollouts.record_success(now, server, route, phase, latency));
}

/// Records that a response broke off because the process of its server ended.
pub(crate) fn record_interruption(node: &Node, server: &Server, route: &str, phase: Phase) {
    node.with(|state| state.rollouts.record_interruption(server, route, phase));
}

/// Records the failure of a response.
pub(crate) fn record_failure(node: &Node, server: &Server, route: &str, phase: Phase) {
    node.with(|state| state.rollouts.record_failure(server, route, phase));
}
