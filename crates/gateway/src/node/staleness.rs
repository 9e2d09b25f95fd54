//! How old the knowledge of the platform's tables may be, and how old it is.

use keeljunction_core::Millis;
use keeljunction_core::serving::freshness::{KnownVersion, Versions};

use super::Node;

/// The part of the drain bound after which the list of servers counts as old.
const SERVERS_OLD_PART: f64 = 0.85;
/// The part of the time in which a new configuration must be in force after which this node's
/// counts as old: the readers themselves may have lost the table service, all at once.
const CONFIGURATION_OLD_PART: f64 = 0.65;
/// The part of the freshness bound after which the configuration counts as old at the latest: the
/// rest is for the node's own call, and for trying that again.
const CONFIRMATION_OLD_PART: f64 = 0.6;

/// Returns the versions that this node knows.
pub(super) fn get_versions(node: &Node) -> Versions {
    let now = node.now();
    node.with(|state| {
        let configuration = state.configuration.as_ref().zip(state.freshness.get_age(now));
        let servers_age = state.servers_freshness.get_age(now);
        Versions {
            configuration: configuration
                .map(|(configuration, age)| KnownVersion { version: configuration.version, age }),
            servers: servers_age
                .map(|age| KnownVersion { version: state.directory.get_version(), age }),
        }
    })
}

/// Returns `true` if the list of servers is older than it may be.
pub(super) fn is_servers_old(node: &Node) -> bool {
    is_servers_older_than(node, 1.0)
}

/// Returns `true` if the list of servers is older than a part of what it may be.
pub(super) fn is_servers_older_than(node: &Node, part: f64) -> bool {
    let bound = node.settings.bounds.drain_ms as f64 * SERVERS_OLD_PART * part;
    let now = node.now();
    !node.with(|state| state.servers_freshness.is_within(now, bound as Millis))
}

/// Returns `true` if the configuration is older than it should be.
pub(super) fn is_configuration_old(node: &Node) -> bool {
    is_configuration_older_than(node, 1.0)
}

/// Returns `true` if the configuration is older than a part of what it should be.
pub(super) fn is_configuration_older_than(node: &Node, part: f64) -> bool {
    let apply = node.settings.bounds.config_apply_ms as f64 * CONFIGURATION_OLD_PART;
    let confirmation = node.get_fresh_bound() as f64 * CONFIRMATION_OLD_PART;
    let bound = apply.min(confirmation) * part;
    let now = node.now();
    !node.with(|state| state.freshness.is_within(now, bound as Millis))
}
