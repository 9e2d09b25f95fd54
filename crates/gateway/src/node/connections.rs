//! Keeps the connections to servers that rest within this node's share of what servers accept.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::serving::configuration::Configuration;

use super::Node;
use crate::runtime;

/// The time between two looks: configurations and nodes change seldom.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// The fraction of a server's connections that may rest at all nodes together; the rest is for
/// requests under way, of which one node may have many.
const IDLE_FRACTION: f64 = 0.5;
/// Connections that a node may keep to a server in any case: one that is used again and again, and
/// one for a second request.
const MIN_IDLE_CONNECTIONS: usize = 2;

/// Sets how many connections to a server may rest, for as long as the process runs.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let now = node.now();
        let known = node.with(|state| {
            let nodes = state.members.get_reach(now).all;
            state.configuration.clone().map(|configuration| (configuration, nodes))
        });
        if let Some((configuration, nodes)) = known
            && let Some(max) = get_max_idle(&configuration, nodes)
        {
            node.http_client.set_idle_per_address(max);
        }
        runtime::sleep(UPDATE_INTERVAL).await;
    }
}

/// Returns how many connections to a server one of the nodes may keep; `None` where no service
/// bounds them.
fn get_max_idle(configuration: &Configuration, nodes: usize) -> Option<usize> {
    let bounds = configuration.services.values().map(|service| service.max_connections);
    let min_bound = bounds.filter(|max| *max > 0).min()?;
    let share = f64::from(min_bound) * IDLE_FRACTION / nodes.max(1) as f64;
    Some((share as usize).max(MIN_IDLE_CONNECTIONS))
}
