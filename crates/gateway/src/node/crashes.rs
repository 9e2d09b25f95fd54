//! Detects crashed servers and the requests that they were serving.
//!
//! A connection that breaks in the middle of a response may have been reset on its own, so the node
//! probes whether the server still listens. If it does not, it crashed while serving the requests
//! whose connections broke at that moment, and one of them may be the cause.
//!
//! A server that restarts within that time still listens. It is reported with the parts of its
//! prompts only, and while other prompts are completed: parts need crashes of several requests and no
//! completed response anywhere, whereas a single request may be interrupted some times by chance.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{Directory, Server};
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::quarantine::{
    Crash, Fingerprint, InterruptedPrompt, InterruptedRequest, PromptCrash, SUSPICION_PERIOD_MS,
};

use super::interrupted_attempts::InterruptedAttempt;
use super::state::State;
use super::{Node, peers, server_paths};
use crate::event::{self, Event};
use crate::metrics::ServiceLabels;
use crate::runtime::{self, lock};

/// The delay before a server is probed, during which the other broken connections are detected. On
/// a small VM, tens of tasks must run first.
const CORRELATION_DELAY: Duration = Duration::from_millis(40);
/// The maximum number of recorded attempts per server; a server processes fewer at once.
const MAX_ATTEMPTS_PER_SERVER: usize = 64;

/// Records that the connection of an attempt broke, and schedules a probe of the server.
///
/// Only an attempt that broke soon after its response started may have caused a crash. During a
/// rollout, a server is probed in any case, because responses that a crash interrupts say nothing of
/// its version. A server that is leaving or gone closes connections for another reason.
pub(crate) fn record_interrupted_attempt(
    node: &Arc<Node>,
    server: &Server,
    attempt: InterruptedAttempt,
) {
    let is_suspected = attempt
        .response_started_at
        .is_none_or(|since| attempt.interrupted_at < since + SUSPICION_PERIOD_MS);
    let is_probed = node.with(|state| {
        let is_compared = state.rollouts.is_undecided(&server.service);
        (is_suspected || is_compared) && !is_leaving(&state.directory, server)
    });
    if !is_probed {
        return;
    }
    let mut pending = lock(&node.interrupted_attempts);
    let is_first = !pending.contains_key(&server.id);
    let attempts = pending.entry(server.id.clone()).or_default();
    if is_suspected && attempts.len() < MAX_ATTEMPTS_PER_SERVER {
        attempts.push(attempt);
    }
    if is_first {
        runtime::spawn(probe(node.clone(), server.clone()));
    }
}

/// Returns `true` if a server is leaving or gone. A server that has restarted since the attempt
/// crashed before it left.
fn is_leaving(directory: &Directory, server: &Server) -> bool {
    let Some(known) = directory.get(&server.id) else { return true };
    known.is_leaving && !directory.is_superseded(server)
}

/// Returns `true` if the process of a server has ended since a response of it broke off: it crashed,
/// restarted, left or is leaving.
pub(super) fn has_ended(state: &State, server: &Server, broken_at: Millis) -> bool {
    let State { directory, rollouts, .. } = state;
    rollouts.has_crashed(&server.id, broken_at)
        || directory.is_superseded(server)
        || is_leaving(directory, server)
}

/// Probes whether a server still listens and has not restarted.
async fn probe(node: Arc<Node>, server: Server) {
    runtime::sleep(CORRELATION_DELAY).await;
    let is_listening = node.get_http_client().is_listening(server.address).await;
    let attempts = lock(&node.interrupted_attempts).remove(&server.id).unwrap_or_default();
    if is_listening && !node.with(|state| state.directory.is_superseded(&server)) {
        if attempts.is_empty() {
            return;
        }
        report_reset(&node, &server, &attempts).await;
        return;
    }
    if !server_paths::confirm_crash(&node, &server).await {
        return;
    }
    let now = node.now();
    node.with(|state| {
        state.health.record_connect_failure(now, &server.id);
        state.rollouts.record_crash(now, &server.id);
    });
    let labels = ServiceLabels { service: server.service.as_str().into() };
    node.metrics.servers_down.get_or_create(&labels).inc();
    let running = attempts.iter().map(|attempt| event::InterruptedRequest {
        fingerprint: attempt.fingerprint.to_string(),
        parts: attempt.shared_parts.iter().map(Fingerprint::to_string).collect(),
        ran_ms: attempt.get_duration(),
    });
    let running = running.collect();
    event::emit(&Event::ServerDown { server: &server.id, service: &server.service, running });
    if attempts.is_empty() {
        return;
    }
    node.with(|state| {
        state.quarantine.record_crash(now, make_crash(now, &server, &attempts));
        state.quarantine.record_prompt_crash(now, make_prompt_crash(now, &server, &attempts));
    });
    peers::quarantine::send_reports(&node).await;
}

/// Reports the parts of prompts that were interrupted at a server that listens.
async fn report_reset(node: &Arc<Node>, server: &Server, attempts: &[InterruptedAttempt]) {
    if server_paths::is_cut_off(node, &server.service) {
        return;
    }
    let now = node.now();
    let crash = make_prompt_crash(now, server, attempts);
    if node.with(|state| state.quarantine.record_prompt_reset(now, crash)) {
        let labels = ServiceLabels { service: server.service.as_str().into() };
        node.metrics.servers_reset.get_or_create(&labels).inc();
        peers::quarantine::send_reports(node).await;
    }
}

/// Builds the report of the prompts that were interrupted at a server.
fn make_prompt_crash(now: Millis, server: &Server, attempts: &[InterruptedAttempt]) -> PromptCrash {
    let Crash { service, server, age, .. } = make_crash(now, server, attempts);
    let prompts = attempts.iter().map(|attempt| InterruptedPrompt {
        request: attempt.fingerprint,
        parts: attempt.shared_parts.to_vec(),
        ran_for: attempt.get_duration(),
    });
    PromptCrash { service, server, age, prompts: prompts.collect() }
}

/// Builds the report of a crashed server.
fn make_crash(now: Millis, server: &Server, attempts: &[InterruptedAttempt]) -> Crash {
    let crashed_at = attempts.iter().map(|attempt| attempt.interrupted_at).min().unwrap_or(now);
    let attempts = attempts.iter();
    let attempts = attempts.map(|attempt| InterruptedRequest {
        fingerprint: attempt.fingerprint,
        ran_for: attempt.get_duration(),
    });
    Crash {
        service: short_id(&server.service),
        server: short_id(&server.id),
        age: now.saturating_sub(crashed_at),
        runs: attempts.collect(),
    }
}
