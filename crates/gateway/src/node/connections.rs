//! Keeps the connections to servers that rest within this node's share of what servers accept.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::serving::configuration::Configuration;

use super::Node;
use crate::runtime;

/// The time between two looks: configurations and nodes change seldom.
const LOOK: Duration = Duration::from_secs(1);
/// The fraction of a server's connections that may rest at all nodes together; the rest is for
/// requests under way, of which one node may have many.
const RESTING_PART: f64 = 0.5;
/// Connections that a node may keep to a server in any case: one that is used again and again, and
/// one for a second request.
const LEAST_RESTING: usize = 2;

/// Sets how many connections to a server may rest, for as long as the process runs.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let now = node.now();
        let known = node.with(|state| {
            let nodes = state.members.get_reachability(now).known;
            state.configuration.clone().map(|configuration| (configuration, nodes))
        });
        if let Some((configuration, nodes)) = known
            && let Some(most) = get_share(&configuration, nodes)
        {
            node.http_client.set_max_idle_per_address(most);
        }
        runtime::sleep(LOOK).await;
    }
}

/// Returns how many connections to a server one of the nodes may keep; `None` where no service
/// bounds them.
fn get_share(configuration: &Configuration, nodes: usize) -> Option<usize> {
    let bounds = configuration.services.values().map(|service| service.max_connections);
    let least = bounds.filter(|most| *most > 0).min()?;
    let share = f64::from(least) * RESTING_PART / nodes.max(1) as f64;
    Some((share as usize).max(LEAST_RESTING))
}
