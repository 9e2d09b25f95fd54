//! Orders to engines: which models, adapters and versions to run.
//!
//! An order contains the complete desired state, so a late duplicate has no effect. The fencing
//! token is read immediately before each order is sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::bundle::{Kind, Service};
use serde_json::json;

use super::lease::{LeaseClient, ORDER_TIMEOUT_MS};
use super::state::ActiveBundle;
use super::{Node, attempt};
use crate::backend::OrderResult;
use crate::runtime;

/// The last roll that each server was ordered to run.
#[derive(Debug, Default)]
pub struct Orders {
    sent: HashMap<String, u64>,
}

/// Returns `true` if the servers of a service take orders.
pub fn is_needed(service: &Service) -> bool {
    service.kind == Kind::Model
}

impl Orders {
    /// Sends the models of the active bundle to each server of a service, once per roll.
    pub async fn send(
        &mut self,
        node: &Arc<Node>,
        active: &ActiveBundle,
        service: &Service,
        lease_client: &mut LeaseClient,
    ) {
        if !is_needed(service) {
            return;
        }
        for (name, address) in remaining_servers(node, service) {
            if self.sent.get(&name) == Some(&active.roll.number) {
                continue;
            }
            let Some(fence) = lease_client.get_fence(node.now()) else { return };
            let order = json!({
                "fence": fence, "node": node.get_name(), "roll": active.roll.number, "models": service.models,
            });
            let engine = attempt::engine(node, address);
            let sending = engine.order(&order);
            let answer = runtime::timeout(Duration::from_millis(ORDER_TIMEOUT_MS), sending).await;
            match answer {
                Some(OrderResult::Accepted) => {
                    self.sent.insert(name, active.roll.number);
                    node.metric.count("orders_sent", 1);
                }
                Some(OrderResult::Fenced) => {
                    node.metric.count("orders_fenced_off", 1);
                    return lease_client.drop_lease();
                }
                Some(OrderResult::Failed) | None => node.metric.count("orders_failed", 1),
            }
        }
    }
}

fn remaining_servers(node: &Node, service: &Service) -> Vec<(String, SocketAddr)> {
    let directory = runtime::lock(&node.directory);
    let servers = directory.iter_service(&service.name).filter(|s| !directory.is_leaving(&s.name));
    servers.filter_map(|server| Some((server.name.clone(), server.address.parse().ok()?))).collect()
}
