//! Does what only one node may do for a service: orders to engines, and starting VMs.
//!
//! The owner of the service's first shard tries to hold the lease. The lease decides, not the
//! ownership: two nodes that both think themselves owners still act one after the other.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::bundle::Service;

use super::fleet::Buyer;
use super::lease::Tenure;
use super::order::Orders;
use super::state::ActiveBundle;
use super::{Node, fleet, grant, order};
use crate::runtime;

const PERIOD: Duration = Duration::from_millis(300);

/// What a node remembers of one service that it may act for.
#[derive(Default)]
struct Part {
    tenure: Tenure,
    orders: Orders,
    buyer: Buyer,
}

/// Acts for the services that this node owns, for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let mut parts: HashMap<String, Part> = HashMap::new();
    loop {
        if let Some(active) = node.get_active_bundle().filter(|_| !node.is_stopping()) {
            for service in &active.document.services {
                act(&node, &active, service, &mut parts).await;
            }
        }
        runtime::sleep(PERIOD).await;
    }
}

async fn act(
    node: &Arc<Node>,
    active: &ActiveBundle,
    service: &Service,
    parts: &mut HashMap<String, Part>,
) {
    let is_owner =
        grant::owner_of(node, &(service.name.clone(), 0)).as_deref() == Some(node.get_name());
    if !is_owner || !(order::is_needed(service) || fleet::is_needed(service)) {
        parts.remove(&service.name);
        return;
    }
    let part = parts.entry(service.name.clone()).or_default();
    if let Err(fault) = part.tenure.keep(node, &format!("lease/{}", service.name)).await {
        log::debug!("the lease of {} was not renewed: {fault}", service.name);
    }
    part.orders.send(node, active, service, &mut part.tenure).await;
    part.buyer.buy(node, active, service, &part.tenure).await;
}
