//! Finds out which servers crashed, and under which requests.
//!
//! A connection that breaks off in the middle of an answer may have been reset by itself, so that the
//! node looks whether its server still listens. One that does not has crashed under the requests whose
//! connections broke off at that moment: one of them may be the cause.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::directory::{Directory, Server};
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::quarantine::{Crash, InterruptedRequest, SUSPICION_PERIOD};

use super::interrupted_attempts::InterruptedAttempt;
use super::{Node, peers};
use crate::event::{self, Event};
use crate::metrics::ServiceLabels;
use crate::runtime::{self, lock};

/// The pause before the look at a server, in which the other connections that ended with it are
/// noticed: on a small VM some tens of tasks take their turns.
const GATHER: Duration = Duration::from_millis(40);
/// The most requests that are noted of one server; it works on fewer at once.
const MOST_RUNS: usize = 64;

/// Notes that the connection of a run broke off, and looks at the server soon.
///
/// A server that is leaving or gone breaks off for another reason.
pub(crate) fn note_interrupted_attempt(node: &Arc<Node>, server: &Server, run: InterruptedAttempt) {
    let is_suspect =
        run.response_started_at.is_none_or(|since| run.interrupted_at < since + SUSPICION_PERIOD);
    if !is_suspect || node.with(|state| is_leaving(&state.directory, server)) {
        return;
    }
    let mut pending = lock(&node.interrupted_attempts);
    let is_first = !pending.contains_key(&server.id);
    let runs = pending.entry(server.id.clone()).or_default();
    if runs.len() < MOST_RUNS {
        runs.push(run);
    }
    if is_first {
        runtime::spawn(look(node.clone(), server.clone()));
    }
}

/// Returns `true` if a server is leaving or gone. One that has started again since has crashed before.
fn is_leaving(directory: &Directory, server: &Server) -> bool {
    let Some(known) = directory.get(&server.id) else { return true };
    known.is_leaving && !directory.is_superseded(server)
}

/// Looks whether a server still listens, and has not started again.
async fn look(node: Arc<Node>, server: Server) {
    runtime::sleep(GATHER).await;
    let is_listening = node.http_client.is_listening(server.address).await;
    let runs = lock(&node.interrupted_attempts).remove(&server.id).unwrap_or_default();
    if is_listening && !node.with(|state| state.directory.is_superseded(&server)) {
        return;
    }
    let now = node.now();
    node.with(|state| state.health.record_connect_failure(now, &server.id));
    let labels = ServiceLabels { service: server.service.clone() };
    node.metrics.servers_down.get_or_create(&labels).inc();
    let running = runs.iter().map(|run| event::InterruptedRequest {
        fingerprint: run.fingerprint.to_string(),
        ran_ms: run.get_span(),
    });
    let running = running.collect();
    event::emit(&Event::ServerDown { server: &server.id, service: &server.service, running });
    node.with(|state| state.quarantine.record_crash(now, make_report(now, &server, &runs)));
    peers::quarantine::send_reports(&node).await;
}

/// Makes the report of a server that crashed.
fn make_report(now: Millis, server: &Server, runs: &[InterruptedAttempt]) -> Crash {
    let crashed_at = runs.iter().map(|run| run.interrupted_at).min().unwrap_or(now);
    let runs = runs.iter();
    let runs = runs
        .map(|run| InterruptedRequest { fingerprint: run.fingerprint, ran_for: run.get_span() });
    Crash {
        service: short_id(&server.service),
        server: short_id(&server.id),
        age: now.saturating_sub(crashed_at),
        runs: runs.collect(),
    }
}
