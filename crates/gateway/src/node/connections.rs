//! Limits idle connections to this node's share of the connections that servers accept.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::serving::configuration::Configuration;

use super::Node;
use crate::runtime;

/// The interval between updates; configurations and nodes change rarely.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// The fraction of a server's connections that may be idle across all nodes. The rest is for
/// requests in flight; one node may have many.
const IDLE_FRACTION: f64 = 0.5;
/// The minimum number of idle connections to a server that a node may keep: one in regular use, and
/// one for a second request.
const MIN_IDLE_CONNECTIONS: usize = 2;

/// Updates the maximum number of idle connections until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let now = node.now();
        let known = node.with(|state| {
            let nodes = state.members.get_reachability(now).known;
            state.configuration.clone().map(|configuration| (configuration, nodes))
        });
        if let Some((configuration, nodes)) = known
            && let Some(max) = get_max_idle(&configuration, nodes)
        {
            node.get_http_client().set_max_idle_per_address(max);
        }
        runtime::sleep(UPDATE_INTERVAL).await;
    }
}

/// Returns how many idle connections to a server each node may keep; `None` if no service limits
/// its connections.
fn get_max_idle(configuration: &Configuration, nodes: usize) -> Option<usize> {
    let bounds = configuration.services.values().map(|service| service.max_connections);
    let min_bound = bounds.filter(|max| *max > 0).min()?;
    let share = f64::from(min_bound) * IDLE_FRACTION / nodes.max(1) as f64;
    Some((share as usize).max(MIN_IDLE_CONNECTIONS))
}
