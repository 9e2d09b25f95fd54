//! Counts a request in the load of its server.

use std::sync::Arc;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::{RequestCost, short_id};

use super::admission::Exchange;
use crate::node::{Node, record_load_change, slots};

/// Counts a request in a server's load until dropped.
pub(super) struct LoadGuard {
    node: Arc<Node>,
    service: String,
    server: String,
    cost: RequestCost,
    body_bytes: u64,
    started_at: Millis,
    had_first_token: bool,
}

impl LoadGuard {
    /// Counts a request that is about to be sent to a server.
    pub fn begin(node: &Arc<Node>, server: &Server, exchange: &Exchange) -> Self {
        let (cost, body_bytes) = (exchange.cost, exchange.body_bytes as u64);
        node.with(|state| {
            state.in_flight_bytes.begin(&server.id, body_bytes);
            state.loads.begin(&server.id, &cost);
            state.demand.begin_request(&server.service);
        });
        slots::record_begin(node, &server.id);
        record_load_change(node, &server.id, true);
        let (service, server) = (server.service.clone(), server.id.clone());
        let started_at = node.now();
        let node = node.clone();
        Self { node, service, server, cost, body_bytes, started_at, had_first_token: false }
    }

    /// Returns the time when the request was sent.
    pub fn get_start(&self) -> Millis {
        self.started_at
    }

    /// Records the first token of the response.
    pub fn record_first_token(&mut self) {
        if !self.had_first_token {
            self.had_first_token = true;
            self.node.with(|state| state.loads.record_first_token(&self.server, &self.cost));
            record_load_change(&self.node, &self.server, false);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let had_first_token = self.had_first_token;
        self.node.with(|state| {
            state.in_flight_bytes.end(&self.server, self.body_bytes);
            state.loads.end(&self.server, &self.cost, had_first_token);
            state.demand.end_request(&self.service);
        });
        slots::record_end(&self.node, short_id(&self.server));
        record_load_change(&self.node, &self.server, false);
    }
}
