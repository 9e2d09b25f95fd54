//! Confirms or updates the node's copies of the platform's tables through other nodes.
//!
//! A few nodes, the readers, read the tables on behalf of all. Each report between nodes carries
//! the sender's versions and their ages. The age counts from the newest datagram that the sender
//! had received from this node, so a delayed report never makes old data look fresh. A node whose
//! copies age nevertheless queries other nodes, and finally reads the tables itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::freshness::{KnownVersion, Versions};
use keeljunction_core::serving::members::Members;
use keeljunction_core::serving::table_version::TableVersion;

use super::calls;
use super::message::Message;
use crate::event::{self, Event};
use crate::node::back_off::jitter;
use crate::node::reads::take_first;
use crate::node::{Node, staleness, table};
use crate::runtime;

/// The interval between checks of the age.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// The fraction of the staleness bound at which a copy is ageing, because reports did not refresh
/// it.
const AGEING_FRACTION: f64 = 0.5;
/// The fraction of the staleness bound at which a reader queries another region. That uses the
/// narrow link, and the result must reach the nodes of this region in time.
const CROSS_REGION_AGEING_FRACTION: f64 = 0.7;

/// Queries the readers while this node's copies are ageing, and random nodes as well once they are
/// stale.
pub(super) async fn run(node: Arc<Node>) {
    let bound = node.get_max_configuration_age();
    let mut was_fresh = true;
    loop {
        runtime::sleep(jitter(CHECK_INTERVAL)).await;
        let now = node.now();
        let age = node.with(|state| state.freshness.get_age(now));
        let is_fresh = age.is_some_and(|age| age <= bound);
        if is_fresh != was_fresh {
            was_fresh = is_fresh;
            event::emit(&Event::FreshnessChanged { is_fresh, age_ms: age, bound_ms: bound });
        }
        let is_ageing = staleness::is_configuration_older_than(&node, AGEING_FRACTION)
            || staleness::is_servers_older_than(&node, AGEING_FRACTION);
        if !is_ageing {
            continue;
        }
        let targets =
            list_targets(&node, now).into_iter().chain(list_cross_region_targets(&node, now));
        for address in targets.collect::<Vec<SocketAddr>>() {
            node.link.send(now, address, &Message::QueryVersions).await;
        }
    }
}

/// Lists the nodes that get the tables before this one: the readers for an aggregator, and its
/// aggregator for another node, so that few nodes query the readers.
fn list_sources(members: &Members) -> Vec<SocketAddr> {
    match members.get_own_aggregator() {
        Some(aggregator) => vec![aggregator.address],
        None => members.list_table_readers(),
    }
}

/// Lists the nodes to query.
fn list_targets(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let is_old = staleness::is_configuration_stale(node) || staleness::is_servers_stale(node);
    node.with(|state| {
        let mut targets = list_sources(&state.members);
        if is_old {
            let heard = state.members.list_reachable(now);
            targets.extend(fastrand::choice(heard));
            targets.extend(fastrand::choice(state.members.list_table_readers()));
        }
        targets
    })
}

/// Lists the nodes in other regions that a reader queries if it did not reach the table service for
/// a while.
fn list_cross_region_targets(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let is_ageing = staleness::is_configuration_older_than(node, CROSS_REGION_AGEING_FRACTION)
        || staleness::is_servers_older_than(node, CROSS_REGION_AGEING_FRACTION);
    node.with(|state| match is_ageing && state.members.is_table_reader(now) {
        true => state.members.list_carriers(now, fastrand::usize(..1_024)).concat(),
        false => Vec::new(),
    })
}

/// Fetches the part of the server list that this node lacks from a node that gets the list before it.
/// Returns `true` if such a node answered.
pub(in crate::node) async fn fetch_servers(node: &Node) -> bool {
    let mut sources = node.with(|state| list_sources(&state.members));
    fastrand::shuffle(&mut sources);
    let fetch = async |source: Option<&SocketAddr>| {
        calls::fetch_servers(node, *source?).await.then_some(())
    };
    take_first(fetch(sources.first()), fetch(sources.get(1))).await.is_some()
}

/// Confirms this node's copies by the versions of an aggregator of another region. Missing versions
/// are left to the readers of this region.
pub(super) fn confirm(node: &Node, echoed_at: Option<Millis>, versions: &Versions) {
    if let Some(known) = versions.configuration {
        confirm_configuration(node, echoed_at, known);
    }
    if let Some(known) = versions.servers {
        table::record_era(node, known.version.era);
        confirm_servers(node, echoed_at, known);
    }
}

/// Handles the versions of a node as of a time after `echoed_at` on this node's clock: confirms
/// this node's copies, or fetches newer ones.
pub(super) fn handle(
    node: &Arc<Node>,
    from: SocketAddr,
    echoed_at: Option<Millis>,
    versions: &Versions,
) {
    if let Some(known) = versions.configuration {
        match has_configuration(node, known.version) {
            true => confirm_configuration(node, echoed_at, known),
            false => {
                runtime::spawn(fetch_newer_configuration(node.clone(), from, echoed_at, known))
            }
        }
    }
    if let Some(known) = versions.servers {
        table::record_era(node, known.version.era);
        let has_servers = node.with(|state| {
            state.directory.is_known() && state.directory.get_version() >= known.version
        });
        match has_servers {
            true => confirm_servers(node, echoed_at, known),
            false => runtime::spawn(fetch_newer_servers(node.clone(), from, echoed_at, known)),
        }
    }
}

/// Returns `true` if this node has the configuration of a version or a newer one.
fn has_configuration(node: &Node, version: u64) -> bool {
    node.with(|state| state.configuration.as_ref().is_some_and(|own| own.version >= version))
}

/// Fetches a newer configuration from the node that has it.
async fn fetch_newer_configuration(
    node: Arc<Node>,
    from: SocketAddr,
    echoed_at: Option<Millis>,
    known: KnownVersion<u64>,
) {
    calls::fetch_configuration(node.clone(), from).await;
    confirm_configuration(&node, echoed_at, known);
}

/// Fetches a newer server list from the node that has it.
async fn fetch_newer_servers(
    node: Arc<Node>,
    from: SocketAddr,
    echoed_at: Option<Millis>,
    known: KnownVersion<TableVersion>,
) {
    calls::fetch_servers(&node, from).await;
    confirm_servers(&node, echoed_at, known);
}

/// Confirms this node's configuration by the version of a peer; a configuration that is older than
/// that stays unconfirmed.
fn confirm_configuration(node: &Node, echoed_at: Option<Millis>, known: KnownVersion<u64>) {
    let Some(echoed_at) = echoed_at.filter(|_| has_configuration(node, known.version)) else {
        return;
    };
    node.with(|state| state.freshness.confirm_by_peer(echoed_at, known.age));
}

/// Confirms the server list by the version of a peer. The fetched list may be newer than the
/// reported one, but never older. A peer's list of an earlier era proves nothing about this one.
fn confirm_servers(node: &Node, echoed_at: Option<Millis>, known: KnownVersion<TableVersion>) {
    let Some(echoed_at) = echoed_at else { return };
    node.with(|state| {
        let own = state.directory.get_version();
        let is_current = state.directory.is_known() && own >= known.version;
        if is_current && own.era == known.version.era {
            state.servers_freshness.confirm_by_peer(echoed_at, known.age);
        }
    });
}
