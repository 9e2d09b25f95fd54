//! Sends and forwards changes that must not wait for the next report: server list changes, a new
//! configuration, long prompts, limits and departures of servers, and requests that crash servers.
//!
//! If nodes report in groups, a notification goes from a node to its aggregator, from there to the
//! other aggregators, and from each of these to its group. An aggregator forwards only what is new
//! to it. The next report carries the content of lost ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Batch;
use keeljunction_core::serving::load::{RequestCost, short_id};
use keeljunction_core::serving::rollout::Announcement;
use keeljunction_core::serving::table_version::TableVersion;
use keeljunction_core::serving::usage::{Counts, WindowNumber};

use super::message::{Message, Notification};
use super::{calls, permits, quarantine, slots};
use crate::node::state::State;
use crate::node::{Node, rollouts, table, watch};
use crate::runtime;

/// The minimum prefill time of a prompt that is notified at once, as a fraction of the report
/// period.
const MIN_NOTIFIED_PREFILL_FRACTION: f64 = 0.1;
/// How long a carrier waits for the readers of its own region before it fetches a document from
/// another region, as a fraction of the time within which a configuration must be in force. The
/// readers get it from the table service at once; the rest of the time is for the transfer.
const CROSS_REGION_FETCH_DELAY_FRACTION: f64 = 0.25;

/// Sends this node's notifications until the process ends.
pub(super) async fn send(node: Arc<Node>) {
    while let Ok(notification) = node.notifications.1.recv().await {
        let now = node.now();
        let to = node.with(|state| match state.members.get_own_aggregator() {
            Some(aggregator) => vec![aggregator.address],
            None => {
                let mut to = list_aggregators(state, now);
                to.extend(state.members.get_group_addresses(now));
                to
            }
        });
        node.link.send_to_all(now, to, &Message::Notification(notification)).await;
    }
}

/// Sends a frozen window to the nodes that may hold the duty lease next, before it is reported.
pub(in crate::node) async fn send_frozen(node: &Node, window: WindowNumber, counts: &Counts) {
    let now = node.now();
    let to = node.with(|state| list_aggregators(state, now));
    let notification = Notification::UsageFrozen(window, counts.clone());
    node.link.send_to_all(now, to, &Message::Notification(notification)).await;
}

/// Lists the other aggregators of this region and the carriers of the other regions.
pub(super) fn list_aggregators(state: &State, now: Millis) -> Vec<SocketAddr> {
    let mut to = state.members.list_exchange_peers(now);
    to.extend(state.members.list_carriers(now, 0).concat());
    to
}

/// Notifies the other nodes of a request whose prompt will keep its server busy for long. In
/// groups, nodes query the loads of servers instead.
pub(crate) fn notify_request_started(
    node: &Node,
    server: &str,
    cost: &RequestCost,
    prefill_ms: Millis,
) {
    let (is_grouped, period) =
        node.with(|state| (state.members.is_grouped(), state.members.get_period()));
    let min_prefill_ms = period.as_millis() as f64 * MIN_NOTIFIED_PREFILL_FRACTION;
    if is_grouped || (prefill_ms as f64) < min_prefill_ms {
        return;
    }
    let (name, server) = (node.incarnation.node.clone(), short_id(server));
    node.notify_peers(Notification::RequestStarted { node: name, server, cost: *cost, prefill_ms });
}

/// Handles a notification of another node.
pub(super) async fn handle(node: &Arc<Node>, from: SocketAddr, notification: Notification) {
    match notification {
        Notification::RequestStarted { node: peer, server, cost, prefill_ms } => {
            let until = node.now() + prefill_ms;
            node.with(|state| state.loads.merge_started(until, &peer, server, &cost));
        }
        Notification::RequestJudged(verdict) => {
            if quarantine::apply_verdict(node, verdict) {
                forward(node, from, notification).await;
            }
        }
        Notification::LimitObserved(observation) => {
            if permits::apply_observation(node, &observation) {
                forward(node, from, notification).await;
            }
        }
        Notification::BrittlenessChanged(observation) => {
            if slots::apply_brittleness(node, &observation) {
                forward(node, from, notification).await;
            }
        }
        Notification::ServerLeaving(ref departure) => {
            if watch::apply_departure(node, departure) {
                forward(node, from, notification).await;
            }
        }
        Notification::UsageFrozen(window, counts) => {
            node.with(|state| state.frozen_usage.record_remote(window, &counts));
        }
        Notification::RolloutChanged(announcement) => {
            handle_rollout(node, from, announcement).await
        }
        Notification::ServersChanged(batch) => handle_servers(node, from, batch).await,
        Notification::ConfigurationChanged { version } => {
            let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
            if known < Some(version) {
                runtime::spawn(fetch_configuration(node.clone(), from, version));
            }
        }
    }
}

/// Handles a rollout announcement, and forwards it if it is new.
async fn handle_rollout(node: &Node, from: SocketAddr, announcement: Announcement) {
    let now = node.now();
    if node.with(|state| rollouts::merge(state, now, &announcement)) {
        forward(node, from, Notification::RolloutChanged(announcement)).await;
    }
}

/// Handles changes of the server list, or fetches the list if some changes are missing.
async fn handle_servers(node: &Arc<Node>, from: SocketAddr, batch: Batch) {
    let version = batch.version;
    table::record_era(node, version.era);
    let notification = Notification::ServersChanged(batch.clone());
    let (changes, is_new) = node.with(|state| {
        let before = state.directory.get_version();
        let changes = state.directory.apply_batch(batch);
        (changes, state.directory.get_version() > before)
    });
    match changes {
        Some(changes) => watch::apply(node, changes),
        None => runtime::spawn(fetch_servers(node.clone(), from, version)),
    }
    if is_new {
        forward(node, from, notification).await;
    }
}

/// Gives the readers of this region time to read a table that another region has a newer version
/// of. A document is transferred between regions only if they fail.
async fn wait_for_readers(node: &Node, from: SocketAddr) {
    if node.link.get_remote_region(from).is_some() {
        let apply_bound = Duration::from_millis(node.settings.bounds.config_apply_ms);
        runtime::sleep(apply_bound.mul_f64(CROSS_REGION_FETCH_DELAY_FRACTION)).await;
    }
}

/// Fetches the server list if this node's list is older than a version.
async fn fetch_servers(node: Arc<Node>, from: SocketAddr, version: TableVersion) {
    wait_for_readers(&node, from).await;
    if node.with(|state| !state.directory.is_known() || state.directory.get_version() < version) {
        calls::fetch_servers(&node, from).await;
    }
}

/// Fetches a configuration, and notifies others of it once this node can serve it.
async fn fetch_configuration(node: Arc<Node>, from: SocketAddr, version: u64) {
    wait_for_readers(&node, from).await;
    let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
    if known < Some(version) {
        calls::fetch_configuration(node.clone(), from).await;
    }
    let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
    if known >= Some(version) {
        forward(&node, from, Notification::ConfigurationChanged { version }).await;
    }
}

/// Forwards a notification: to this node's group, to the other aggregators if it came from the
/// group, and to those of this region if it came from another region.
async fn forward(node: &Node, from: SocketAddr, notification: Notification) {
    let now = node.now();
    let is_remote = node.link.get_remote_region(from).is_some();
    let to = node.with(|state| {
        if !state.members.is_grouped() || !state.members.is_aggregator() {
            return Vec::new();
        }
        let mut to = state.members.get_group_addresses(now);
        if to.contains(&from) {
            to.extend(list_aggregators(state, now));
        } else if is_remote {
            to.extend(state.members.list_exchange_peers(now));
        }
        to.retain(|address| *address != from);
        to
    });
    node.link.send_to_all(now, to, &Message::Notification(notification)).await;
}
