//! Records attempts in the node's state, its logs and its metrics.

use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::spill::{Cause, get_region};

use super::admission::Exchange;
use super::attempt::Failed;
use super::pick::{self, Pick};
use super::respond::Record;
use crate::event::{self, Event};
use crate::metrics::{ReasonLabels, SpillLabels};
use crate::node::{Node, notify_request_started};

/// Logs and counts the choice of a server, and reports a long prompt to the other nodes.
pub(super) fn note_choice(node: &Node, exchange: &Exchange, record: &mut Record, pick: &Pick) {
    record.attempts += 1;
    let server = &pick.server;
    let now = node.now();
    let (candidates, chosen, criteria) = node.with(|state| {
        let throughput = state.throughputs.get(&exchange.service);
        let candidates = state.directory.iter_ready(&exchange.service).count();
        let chosen = pick::weigh(state, throughput, now, server);
        (candidates, chosen, pick::get_criteria(state, exchange))
    });
    let expected_ms = criteria.estimate(&chosen);
    if let Some(reading_ms) = expected_ms.filter(|_| exchange.has_engine) {
        notify_request_started(node, &server.id, &exchange.work, reading_ms);
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
        candidates,
        prompt_tokens: criteria.prompt_tokens,
        waiting_tokens: chosen.load.get_waiting_tokens(),
        slowness: chosen.slowness,
        expected_ms,
        left_ms: exchange.get_left(now),
        version: record.version.unwrap_or(0),
        age_ms: record.age,
        region,
        spill,
    });
}

/// Logs and counts a failed attempt, and ejects the server where it fails too often.
pub(super) fn note_failure(
    node: &Node,
    exchange: &Exchange,
    record: &Record,
    server: &Server,
    failed: Failed,
) {
    let now = node.now();
    let pause = node.with(|state| match failed {
        // What came of an earlier start of the server says nothing of this one.
        _ if state.directory.is_superseded(server) => None,
        Failed::NotConnected => {
            state.health.record_connect_failure(now, &server.id);
            None
        }
        Failed::Declined | Failed::OtherServer => None,
        Failed::Ended | Failed::Cut | Failed::Broken | Failed::ServerError | Failed::Timeout => {
            state.health.record_failure(now, &server.id)
        }
    });
    if let Some(ejected_for_ms) = pause {
        event::emit(&Event::ServerEjected { server: &server.id, ejected_for_ms });
    }
    let reason = failed.as_str();
    let labels = ReasonLabels { reason: reason.to_owned() };
    node.metrics.failed_attempts.get_or_create(&labels).inc();
    event::emit(&Event::AttemptFailed {
        request: exchange.head.id.as_deref().unwrap_or(""),
        server: &server.id,
        attempt: record.attempts,
        may_have_run: failed.may_have_run(),
        why: reason,
    });
}
