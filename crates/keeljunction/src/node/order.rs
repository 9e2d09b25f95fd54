//! Orders to engines: which models, adapters and versions to run.
//!
//! An order states the whole desired set, so that a late double changes nothing. The fence is
//! read just before each order is sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::bundle::{Kind, Service};
use serde_json::json;

use super::lease::{LONGEST_ORDER_MS, Tenure};
use super::state::Force;
use super::{Node, attempt};
use crate::backend::Ordered;
use crate::runtime;

/// The rolls that servers were last ordered to run.
#[derive(Debug, Default)]
pub struct Orders {
    sent: HashMap<String, u64>,
}

/// Returns `true` if a service's servers take orders.
pub fn is_needed(service: &Service) -> bool {
    service.kind == Kind::Model
}

impl Orders {
    /// Sends each server of a service what the bundle in force says, once for each roll.
    pub async fn send(
        &mut self,
        node: &Arc<Node>,
        force: &Force,
        service: &Service,
        tenure: &mut Tenure,
    ) {
        if !is_needed(service) {
            return;
        }
        for (name, address) in staying(node, service) {
            if self.sent.get(&name) == Some(&force.roll.number) {
                continue;
            }
            let Some(fence) = tenure.get_fence(node.now()) else { return };
            let order = json!({
                "fence": fence, "node": node.get_name(), "roll": force.roll.number, "models": service.models,
            });
            let engine = attempt::engine(node, address);
            let sending = engine.order(&order);
            let answer = runtime::timeout(Duration::from_millis(LONGEST_ORDER_MS), sending).await;
            match answer {
                Some(Ordered::Taken) => {
                    self.sent.insert(name, force.roll.number);
                    node.metric.count("orders_sent", 1);
                }
                Some(Ordered::OldFence) => {
                    node.metric.count("orders_fenced_off", 1);
                    return tenure.lose();
                }
                Some(Ordered::Failed) | None => node.metric.count("orders_failed", 1),
            }
        }
    }
}

fn staying(node: &Node, service: &Service) -> Vec<(String, SocketAddr)> {
    let directory = runtime::lock(&node.directory);
    let servers = directory.iter_service(&service.name).filter(|s| !directory.is_leaving(&s.name));
    servers.filter_map(|server| Some((server.name.clone(), server.address.parse().ok()?))).collect()
}
