//! The age of the node's copies of the platform's tables, and its bounds.

use keeljunction_core::Millis;
use keeljunction_core::serving::freshness::{KnownVersion, Versions};

use super::Node;

/// The fraction of the drain bound after which the server list is stale.
const SERVERS_STALE_FRACTION: f64 = 0.85;
/// The fraction of the time within which a new configuration must be in force after which the
/// node's configuration is stale. The rest allows for readers that lose the table service all at
/// once.
const CONFIGURATION_STALE_FRACTION: f64 = 0.65;
/// The fraction of the freshness bound after which the configuration is stale at the latest. The
/// rest is for the node's own call and a retry.
const CONFIRMATION_STALE_FRACTION: f64 = 0.6;

/// Returns the versions that this node has, with their ages.
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

/// Returns `true` if the server list is stale.
pub(super) fn is_servers_stale(node: &Node) -> bool {
    is_servers_older_than(node, 1.0)
}

/// Returns `true` if the server list is older than a fraction of the age at which it becomes stale.
pub(super) fn is_servers_older_than(node: &Node, fraction: f64) -> bool {
    let bound = node.settings.bounds.drain_ms as f64 * SERVERS_STALE_FRACTION * fraction;
    let now = node.now();
    !node.with(|state| state.servers_freshness.is_within(now, bound as Millis))
}

/// Returns `true` if the configuration is stale.
pub(super) fn is_configuration_stale(node: &Node) -> bool {
    is_configuration_older_than(node, 1.0)
}

/// Returns `true` if the configuration is older than a fraction of the age at which it becomes
/// stale.
pub(super) fn is_configuration_older_than(node: &Node, fraction: f64) -> bool {
    let apply = node.settings.bounds.config_apply_ms as f64 * CONFIGURATION_STALE_FRACTION;
    let confirmation = node.get_max_configuration_age() as f64 * CONFIRMATION_STALE_FRACTION;
    let bound = apply.min(confirmation) * fraction;
    let now = node.now();
    !node.with(|state| state.freshness.is_within(now, bound as Millis))
}
