//! Confirms what this node knows of the platform's tables, or gets what it lacks, from other nodes.
//!
//! A few nodes read the tables for all. Each report between nodes says which versions its sender
//! knows and how old that knowledge is. That age counts from before the newest datagram that the
//! sender had got from this node, so that a report that was long on its way makes nothing look
//! young. A node whose knowledge grows old all the same asks, and at last reads the tables itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::freshness::{KnownVersion, Versions};
use keeljunction_core::serving::table_version::TableVersion;

use super::calls;
use super::message::Message;
use crate::event::{self, Event};
use crate::node::pause::jitter;
use crate::node::{Node, staleness, table};
use crate::runtime;

/// The time between two looks at how old the knowledge is.
const LOOK: Duration = Duration::from_millis(400);
/// The part of its bound at which knowledge is ageing: reports did not make it young.
const AGEING_PART: f64 = 0.5;
/// The part of its bound at which a reader asks another region: that costs the narrow link, and what
/// comes back has to reach the nodes of this region in time.
const AGEING_PART_FAR: f64 = 0.7;

/// Asks the nodes that read for all while this node's knowledge is ageing, and any other as well
/// while it is old.
pub(super) async fn ask(node: Arc<Node>) {
    let bound = node.get_fresh_bound();
    let mut was_fresh = true;
    loop {
        runtime::sleep(jitter(LOOK)).await;
        let now = node.now();
        let age = node.with(|state| state.freshness.get_age(now));
        let is_fresh = age.is_some_and(|age| age <= bound);
        if is_fresh != was_fresh {
            was_fresh = is_fresh;
            event::emit(&Event::FreshnessChanged { is_fresh, age_ms: age, bound_ms: bound });
        }
        let is_ageing = staleness::is_configuration_older_than(&node, AGEING_PART)
            || staleness::is_servers_older_than(&node, AGEING_PART);
        if !is_ageing {
            continue;
        }
        let targets = list_targets(&node, now).into_iter().chain(list_far_targets(&node, now));
        for address in targets.collect::<Vec<SocketAddr>>() {
            node.link.send(now, address, &Message::AskVersions).await;
        }
    }
}

/// Lists whom to ask: an aggregator asks the readers, and another node its aggregator, so that the
/// few nodes query the readers.
fn list_targets(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let is_old = staleness::is_configuration_old(node) || staleness::is_servers_old(node);
    node.with(|state| {
        let mut targets = match state.members.get_own_aggregator() {
            Some(aggregator) => vec![aggregator.address],
            None => state.members.list_table_readers(),
        };
        if is_old {
            let heard = state.members.list_reachable(now);
            targets.extend(fastrand::choice(heard));
            targets.extend(fastrand::choice(state.members.list_table_readers()));
        }
        targets
    })
}

/// Lists whom a reader asks in other regions: it did not reach the table service for a while.
fn list_far_targets(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let is_ageing = staleness::is_configuration_older_than(node, AGEING_PART_FAR)
        || staleness::is_servers_older_than(node, AGEING_PART_FAR);
    node.with(|state| match is_ageing && state.members.is_table_reader(now) {
        true => state.members.list_carriers(now, fastrand::usize(..1_024)).concat(),
        false => Vec::new(),
    })
}

/// Takes what an aggregator of another region knows: it confirms what this node has. What this node
/// lacks, its own region's readers get.
pub(super) fn confirm(node: &Node, asked_at: Option<Millis>, versions: &Versions) {
    if let Some(known) = versions.configuration {
        confirm_configuration(node, asked_at, known);
    }
    if let Some(known) = versions.servers {
        table::note_era(node, known.version.era);
        confirm_servers(node, asked_at, known);
    }
}

/// Takes what a node knows, of a time after `asked_at` on this node's clock: confirms what this
/// node has, or gets what it lacks.
pub(super) fn take(
    node: &Arc<Node>,
    from: SocketAddr,
    asked_at: Option<Millis>,
    versions: &Versions,
) {
    if let Some(known) = versions.configuration {
        match has_configuration(node, known.version) {
            true => confirm_configuration(node, asked_at, known),
            false => runtime::spawn(get_newer_configuration(node.clone(), from, asked_at, known)),
        }
    }
    if let Some(known) = versions.servers {
        table::note_era(node, known.version.era);
        let has_servers = node.with(|state| {
            state.directory.is_known() && state.directory.get_version() >= known.version
        });
        match has_servers {
            true => confirm_servers(node, asked_at, known),
            false => runtime::spawn(get_newer_servers(node.clone(), from, asked_at, known)),
        }
    }
}

/// Returns `true` if this node's configuration has a version, or a newer one.
fn has_configuration(node: &Node, version: u64) -> bool {
    node.with(|state| state.configuration.as_ref().is_some_and(|own| own.version >= version))
}

/// Gets a newer configuration from the node that knows it.
async fn get_newer_configuration(
    node: Arc<Node>,
    from: SocketAddr,
    asked_at: Option<Millis>,
    known: KnownVersion<u64>,
) {
    calls::get_configuration(node.clone(), from).await;
    confirm_configuration(&node, asked_at, known);
}

/// Gets a newer list of servers from the node that knows it.
async fn get_newer_servers(
    node: Arc<Node>,
    from: SocketAddr,
    asked_at: Option<Millis>,
    known: KnownVersion<TableVersion>,
) {
    calls::get_servers(node.clone(), from).await;
    confirm_servers(&node, asked_at, known);
}

/// Confirms this node's configuration by what a peer knows; one that is older than that stays unconfirmed.
fn confirm_configuration(node: &Node, asked_at: Option<Millis>, known: KnownVersion<u64>) {
    let Some(asked_at) = asked_at.filter(|_| has_configuration(node, known.version)) else {
        return;
    };
    node.with(|state| state.freshness.confirm_by_peer(asked_at, known.age));
}

/// Confirms the list of servers by a peer's. The list that was got may be newer than the one that was
/// reported, and never older; that a list of an earlier era was the newest says nothing of this one.
fn confirm_servers(node: &Node, asked_at: Option<Millis>, known: KnownVersion<TableVersion>) {
    let Some(asked_at) = asked_at else { return };
    node.with(|state| {
        let own = state.directory.get_version();
        let is_current = state.directory.is_known() && own >= known.version;
        if is_current && own.era == known.version.era {
            state.servers_freshness.confirm_by_peer(asked_at, known.age);
        }
    });
}
