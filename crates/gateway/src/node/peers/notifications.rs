//! Passes on what must not wait for the next report: changed servers, a new configuration, long
//! prompts, limits and departures of servers, requests that crash servers.
//!
//! Where nodes report in groups, news goes from a node to its aggregator, from there to the other
//! aggregators, and from each of these to its group. An aggregator passes on what is new to it, and
//! no more. What does not arrive shows in the next report.

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
use super::{calls, permits, quarantine};
use crate::node::state::State;
use crate::node::{Node, rollouts, table, watch};
use crate::runtime;

/// The part of the period between two reports that a prompt takes to read, at the least, for its
/// request to be notified at once.
const REPORT_AT_ONCE_PART: f64 = 0.1;
/// The part of the time in which a configuration must be in force for which a carrier waits before it
/// gets from another region what this one's readers did not get: these have it from the table service
/// at once, and the rest must do for the way.
const FAR_NEWS_PART: f64 = 0.25;

/// Sends this node's news for as long as the process runs.
pub(super) async fn send(node: Arc<Node>) {
    while let Ok(notification) = node.notifications.1.recv().await {
        let now = node.now();
        let to = node.with(|state| match state.members.get_own_aggregator() {
            Some(aggregator) => vec![aggregator.address],
            None => {
                let mut to = list_others(state, now);
                to.extend(state.members.get_group_addresses(now));
                to
            }
        });
        node.link.send_to_all(now, to, &Message::Notification(notification)).await;
    }
}

/// Sends a frozen window to the nodes that may hold the duties after this one, before it is reported.
pub(in crate::node) async fn send_frozen(node: &Node, window: WindowNumber, counts: &Counts) {
    let now = node.now();
    let to = node.with(|state| list_others(state, now));
    let notification = Notification::UsageFrozen(window, counts.clone());
    node.link.send_to_all(now, to, &Message::Notification(notification)).await;
}

/// Lists the other aggregators of this region, and the carriers of the others.
fn list_others(state: &State, now: Millis) -> Vec<SocketAddr> {
    let mut to = state.members.list_exchange_peers(now);
    to.extend(state.members.list_carriers(now, 0).concat());
    to
}

/// Announces to the other nodes a request that is sent to a server, where its prompt keeps the server
/// busy for long. In groups nodes request the loads of servers instead.
pub(crate) fn notify_request_started(
    node: &Node,
    server: &str,
    work: &RequestCost,
    reading_ms: Millis,
) {
    let (is_grouped, period) =
        node.with(|state| (state.members.is_grouped(), state.members.get_period()));
    let least = period.as_millis() as f64 * REPORT_AT_ONCE_PART;
    if is_grouped || (reading_ms as f64) < least {
        return;
    }
    let (name, server) = (node.incarnation.node.clone(), short_id(server));
    node.notify_peers(Notification::RequestStarted { node: name, server, work: *work, reading_ms });
}

/// Takes the news of another node.
pub(super) async fn take(node: &Arc<Node>, from: SocketAddr, notification: Notification) {
    match notification {
        Notification::RequestStarted { node: peer, server, work, reading_ms } => {
            let until = node.now() + reading_ms;
            node.with(|state| state.loads.merge_started(until, &peer, server, &work));
        }
        Notification::RequestJudged(verdict) => {
            if quarantine::take_verdict(node, verdict) {
                pass_on(node, from, notification).await;
            }
        }
        Notification::LimitSeen(sighting) => {
            if permits::take_sighting(node, &sighting) {
                pass_on(node, from, notification).await;
            }
        }
        Notification::ServerLeaving(ref departure) => {
            if watch::apply_departure(node, departure) {
                pass_on(node, from, notification).await;
            }
        }
        Notification::UsageFrozen(window, counts) => {
            node.with(|state| state.frozen.record_remote(window, &counts));
        }
        Notification::RolloutChanged(announcement) => take_rollout(node, from, announcement).await,
        Notification::ServersChanged(batch) => take_servers(node, from, batch).await,
        Notification::ConfigurationChanged { version } => {
            let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
            if known < Some(version) {
                runtime::spawn(get_configuration(node.clone(), from, version));
            }
        }
    }
}

/// Takes the news of a roll-out, and passes on what is new.
async fn take_rollout(node: &Node, from: SocketAddr, announcement: Announcement) {
    let now = node.now();
    if node.with(|state| rollouts::merge(state, now, &announcement)) {
        pass_on(node, from, Notification::RolloutChanged(announcement)).await;
    }
}

/// Takes changes of the list of servers, or gets the whole list where some are missing.
async fn take_servers(node: &Arc<Node>, from: SocketAddr, batch: Batch) {
    let version = batch.version;
    table::note_era(node, version.era);
    let notification = Notification::ServersChanged(batch.clone());
    let (changes, is_new) = node.with(|state| {
        let before = state.directory.get_version();
        let changes = state.directory.apply_batch(batch);
        (changes, state.directory.get_version() > before)
    });
    match changes {
        Some(changes) => watch::apply(node, changes),
        None => runtime::spawn(get_servers(node.clone(), from, version)),
    }
    if is_new {
        pass_on(node, from, notification).await;
    }
}

/// Leaves this region's readers time where another one has news of a table: a document crosses only
/// where they do not get it themselves.
async fn wait_for_readers(node: &Node, from: SocketAddr) {
    if node.link.get_far_region(from).is_some() {
        let bound = Duration::from_millis(node.settings.bounds.config_apply_ms);
        runtime::sleep(bound.mul_f64(FAR_NEWS_PART)).await;
    }
}

/// Gets the list of servers where this node's is older than a version.
async fn get_servers(node: Arc<Node>, from: SocketAddr, version: TableVersion) {
    wait_for_readers(&node, from).await;
    if node.with(|state| !state.directory.is_known() || state.directory.get_version() < version) {
        calls::get_servers(node, from).await;
    }
}

/// Gets a configuration, and passes on that it is there once this node can give it to others.
async fn get_configuration(node: Arc<Node>, from: SocketAddr, version: u64) {
    wait_for_readers(&node, from).await;
    let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
    if known < Some(version) {
        calls::get_configuration(node.clone(), from).await;
    }
    let known = node.with(|state| state.configuration.as_ref().map(|known| known.version));
    if known >= Some(version) {
        pass_on(&node, from, Notification::ConfigurationChanged { version }).await;
    }
}

/// Passes news on: to this node's group, to the other aggregators where it came from the group, and
/// to those of this region where it came from another one.
async fn pass_on(node: &Node, from: SocketAddr, notification: Notification) {
    let now = node.now();
    let is_far = node.link.get_far_region(from).is_some();
    let to = node.with(|state| {
        if !state.members.is_grouped() || !state.members.is_aggregator() {
            return Vec::new();
        }
        let mut to = state.members.get_group_addresses(now);
        if to.contains(&from) {
            to.extend(list_others(state, now));
        } else if is_far {
            to.extend(state.members.list_exchange_peers(now));
        }
        to.retain(|address| *address != from);
        to
    });
    node.link.send_to_all(now, to, &Message::Notification(notification)).await;
}
