//! Tracks which software versions of each service may be running streams.

use std::collections::BTreeSet;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Change;

use super::Node;
use super::state::State;
use crate::event::{self, Event};

/// Records the listed versions of the services that a change of the server list affects.
pub(super) fn observe(node: &Node, changes: &[Change]) {
    let now = node.now();
    let services = node.with(|state| {
        if state.directory.is_known() {
            state.version_history.record_list_known(now);
        }
        list_affected(state, changes)
    });
    if services.is_empty() {
        return;
    }
    update(node, now, |state| {
        for service in &services {
            let listed = list_versions(state, service);
            state.version_history.observe(now, service, &listed);
        }
        services
    });
}

/// Changes the history, and reports those of the changed services that became mixed.
pub(super) fn update(
    node: &Node,
    now: Millis,
    change: impl FnOnce(&mut State) -> BTreeSet<String>,
) {
    let mixed = node.with(|state| {
        let before = state.version_history.clone();
        let mut services = change(state);
        services.retain(|service| {
            !before.is_mixed(now, service) && state.version_history.is_mixed(now, service)
        });
        services
    });
    for service in mixed {
        emit_mixed(node, now, &service);
    }
}

/// Lists the services that gained or lost a version by changes of the server list. Most
/// changes do neither.
fn list_affected(state: &State, changes: &[Change]) -> BTreeSet<String> {
    // Thousands of servers of one version may change at once.
    let software: BTreeSet<(&str, &str, bool)> = changes.iter().map(describe).collect();
    let affected = software.into_iter().filter(|(service, version, is_gone)| match is_gone {
        true => state.directory.iter_service(service).all(|other| other.version != *version),
        false => !state.version_history.is_listed(service, version),
    });
    let services: BTreeSet<&str> = affected.map(|(service, ..)| service).collect();
    services.into_iter().map(str::to_owned).collect()
}

/// Returns the service and the software version of a changed server, and whether it is gone.
fn describe(change: &Change) -> (&str, &str, bool) {
    let (Change::Joined(server) | Change::Leaving(server) | Change::Gone(server)) = change;
    (&server.service, &server.version, matches!(change, Change::Gone(_)))
}

fn list_versions(state: &State, service: &str) -> BTreeSet<String> {
    let servers = state.directory.iter_service(service);
    let versions: BTreeSet<&str> = servers.map(|server| server.version.as_str()).collect();
    versions.into_iter().map(str::to_owned).collect()
}

fn emit_mixed(node: &Node, now: Millis, service: &str) {
    let possible = node.with(|state| state.version_history.get_possible(now, service));
    let versions = possible.versions.iter().map(String::as_str).collect();
    event::emit(&Event::VersionsMixed { service, versions, is_complete: possible.is_complete });
}
