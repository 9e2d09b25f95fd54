//! Records attempts in the node's state, its logs and its metrics.

use std::sync::Arc;

use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::spill::{Cause, get_region};

use super::admission::Exchange;
use super::attempt_error::AttemptError;
use super::pick::{self, Pick};
use super::respond::RequestRecord;
use crate::event::{self, Event};
use crate::metrics::{ReasonLabels, SpillLabels};
use crate::node::{self, Node, notify_request_started};

/// Logs and counts the choice of a server, and reports a long prompt to the other nodes.
pub(super) fn record_choice(
    node: &Node,
    exchange: &Exchange,
    record: &mut RequestRecord,
    pick: &Pick,
    resumed_after: Option<u64>,
) {
    record.attempts += 1;
    let server = &pick.server;
    let now = node.now();
    let (candidates, chosen, criteria) = node.with(|state| {
        let throughput = state.throughputs.get(&exchange.service);
        let ready = state.directory.iter_ready(&exchange.service);
        let candidates = ready.filter(|server| exchange.is_pin_met(server)).count();
        let chosen = pick::make_candidate(state, throughput, now, server);
        (candidates, chosen, pick::get_criteria(state, exchange))
    });
    let expected_ms = criteria.estimate(&chosen);
    if let Some(reading_ms) = expected_ms.filter(|_| exchange.is_model_service) {
        notify_request_started(node, &server.id, &exchange.cost, reading_ms);
    }
    let is_multi_region = node.topology.is_multi_region();
    let region = is_multi_region.then(|| get_region(&node.topology, &server.data_centre));
    let spill = pick.spill.map(Cause::as_str);
    if let (Some(region), Some(reason)) = (region, spill) {
        node.metrics.spilled.get_or_create(&SpillLabels::new(region, reason)).inc();
    }
    event::emit(&Event::ServerChosen {
        request: &record.id,
        server: &server.id,
        server_version: &server.version,
        service: &exchange.service,
        attempt: record.attempts,
        resumed_after,
        candidates,
        prompt_tokens: criteria.prompt_tokens,
        waiting_tokens: chosen.load.get_waiting_tokens(),
        slowness: chosen.slowness,
        expected_ms,
        left_ms: exchange.get_time_remaining(now),
        version: record.configuration_version.unwrap_or(0),
        age_ms: record.configuration_age,
        region,
        spill,
    });
}

/// Logs and counts a failed attempt, and ejects the server if its attempts fail too often.
pub(super) fn record_failure(
    node: &Node,
    exchange: &Exchange,
    record: &RequestRecord,
    server: &Server,
    error: AttemptError,
) {
    let now = node.now();
    let pause = node.with(|state| match error {
        // An attempt at an earlier incarnation of the server is no evidence about the current one.
        _ if state.directory.is_superseded(server) => None,
        AttemptError::NotConnected => {
            state.health.record_connect_failure(now, &server.id);
            None
        }
        AttemptError::Declined | AttemptError::OtherServer => None,
        AttemptError::OtherRequest
        | AttemptError::Ended
        | AttemptError::Cut
        | AttemptError::Endless
        | AttemptError::Broken
        | AttemptError::ServerError
        | AttemptError::Timeout => state.health.record_failure(now, &server.id),
    });
    if let Some(ejected_for_ms) = pause {
        event::emit(&Event::ServerEjected { server: &server.id, ejected_for_ms });
    }
    let reason = error.as_str();
    let labels = ReasonLabels { reason: reason.to_owned() };
    node.metrics.failed_attempts.get_or_create(&labels).inc();
    event::emit(&Event::AttemptFailed {
        request: exchange.head.id.as_deref().unwrap_or(""),
        server: &server.id,
        attempt: record.attempts,
        may_have_run: error.may_have_run(),
        why: reason,
    });
}

/// Records that a server completed the request, so neither it nor its parts crash servers. An error
/// status does not show that, because a server may return it before it starts the request.
pub(super) fn record_success(node: &Arc<Node>, exchange: &Exchange, status: u16) {
    if (200..300).contains(&status) {
        node::record_request_completed(node, exchange.fingerprint);
        node::record_parts_completed(node, &exchange.shared_parts);
    }
}
