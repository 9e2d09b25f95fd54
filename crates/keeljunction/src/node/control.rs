//! The control loop of a service: sends orders to engines and starts VMs.
//!
//! Only one node may do this at a time, so the owner of the service's first shard acquires a lease
//! first. Ownership alone is not enough, because two nodes can consider themselves the owner at
//! once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::bundle::Service;

use super::fleet::VmStarter;
use super::lease::LeaseClient;
use super::order::Orders;
use super::state::ActiveBundle;
use super::{Node, fleet, grant, order};
use crate::runtime;

const CONTROL_INTERVAL: Duration = Duration::from_millis(300);

/// The control state of one service.
#[derive(Default)]
struct ServiceControl {
    lease_client: LeaseClient,
    orders: Orders,
    vm_starter: VmStarter,
}

/// Runs the control loop for the services that this node owns. Never returns.
pub async fn run(node: Arc<Node>) {
    let mut controls: HashMap<String, ServiceControl> = HashMap::new();
    loop {
        if let Some(active) = node.get_active_bundle().filter(|_| !node.is_stopping()) {
            for service in &active.document.services {
                control_service(&node, &active, service, &mut controls).await;
            }
        }
        runtime::sleep(CONTROL_INTERVAL).await;
    }
}

async fn control_service(
    node: &Arc<Node>,
    active: &ActiveBundle,
    service: &Service,
    controls: &mut HashMap<String, ServiceControl>,
) {
    let is_owner =
        grant::owner_of(node, &(service.name.clone(), 0)).as_deref() == Some(node.get_name());
    if !is_owner || !(order::is_needed(service) || fleet::is_needed(service)) {
        controls.remove(&service.name);
        return;
    }
    let control = controls.entry(service.name.clone()).or_default();
    if let Err(fault) =
        control.lease_client.acquire_or_renew(node, &format!("lease/{}", service.name)).await
    {
        log::debug!("could not renew the lease of {}: {fault}", service.name);
    }
    control.orders.send(node, active, service, &mut control.lease_client).await;
    control.vm_starter.start_next(node, active, service, &control.lease_client).await;
}
