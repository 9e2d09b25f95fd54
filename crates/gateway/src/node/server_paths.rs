//! Detects that this node is cut off from the servers of a service, and when the cut ends.
//!
//! [`keeljunction_core::serving::server_path`] decides; this module probes servers and applies the
//! consequences. The failures that a cut-off node observes are caused by the cut, so it reports
//! neither crashes of servers nor failures of versions meanwhile.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use futures_util::future::join_all;
use keeljunction_core::Millis;
use keeljunction_core::serving::directory::Server;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::rollout::Phase;
use keeljunction_core::serving::server_path::{Path, ProbeResult, Way};

use super::state::State;
use super::{Node, crashes, rollouts};
use crate::event::{self, Event};
use crate::runtime;

/// Interval between two checks for due probes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Servers in a round of probes.
const PROBED_SERVERS: usize = 3;
/// Time without a response from any server of a service after which its servers are checked.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay of the report that an attempt failed. If the node is cut off from the servers, it finds
/// that out meanwhile.
const FAILURE_REPORT_DELAY: Duration = Duration::from_millis(400);

/// Returns the way that a request to a service takes.
pub(crate) fn get_way(node: &Node, service: &str) -> Way {
    let now = node.now();
    node.with(|state| state.paths.get_way(now, service))
}

/// Returns `true` if this node is cut off from the servers of a service.
pub(crate) fn is_cut_off(node: &Node, service: &str) -> bool {
    node.with(|state| state.paths.is_cut_off(service))
}

/// Records a response that was received over a connection to a server.
pub(crate) fn record_response(node: &Node, service: &str) {
    let now = node.now();
    node.with(|state| state.paths.get(service).record_response(now));
}

/// Records that a server could not be connected to, and probes others if the node may be cut off.
pub(crate) fn record_unreachable(node: &Arc<Node>, server: &Server) {
    let service = &server.service;
    let is_suspected = node.with(|state| {
        let ready = state.directory.iter_ready(service).count();
        state.paths.get(service).record_unreachable(short_id(&server.id), ready)
    });
    if is_suspected {
        runtime::spawn(probe(node.clone(), service.clone()));
    }
}

/// Ends the ejection of all servers of a service, which was a consequence of the cut.
fn forget_failures(state: &mut State, service: &str) {
    let State { directory, health, .. } = state;
    directory.iter_service(service).for_each(|server| health.forget(&server.id));
}

/// Checks the servers of a service if none of them responds for some time after a request was sent.
/// Never returns, so that it can be polled beside the request.
pub(crate) async fn watch_silence<T>(node: &Arc<Node>, service: &str, sent_at: Millis) -> T {
    runtime::sleep(SILENCE_TIMEOUT).await;
    let now = node.now();
    let is_due = node.with(|state| {
        let path = state.paths.get(service);
        path.begin_check(now, sent_at) && path.begin_probes()
    });
    if is_due {
        runtime::spawn(probe(node.clone(), service.to_owned()));
    }
    std::future::pending().await
}

/// Probes servers while the node is cut off from them, until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        runtime::sleep(TICK_INTERVAL).await;
        let now = node.now();
        for service in node.with(|state| state.paths.take_due_probes(now)) {
            runtime::spawn(probe(node.clone(), service));
        }
    }
}

/// Probes some servers of a service, and applies what that shows.
async fn probe(node: Arc<Node>, service: String) {
    let servers = pick_ready(&node, |server| server.service == service);
    let reached = count_listening(&node, &servers).await;
    let now = node.now();
    let result = node.with(|state| {
        let result = state.paths.get(&service).record_probes(now, reached, servers.len());
        if result == ProbeResult::CutOff {
            forget_failures(state, &service);
        }
        result
    });
    match result {
        ProbeResult::CutOff => event::emit(&Event::ServersCutOff { service: &service }),
        ProbeResult::Reached { cut_for } => {
            event::emit(&Event::ServersReached { service: &service, cut_ms: cut_for });
            close_idle(&node, &service);
        }
        ProbeResult::Unchanged => {}
    }
}

/// Counts the servers that accept connections, probing all of them at the same time.
async fn count_listening(node: &Node, servers: &[Server]) -> usize {
    let probes = servers.iter().map(|server| node.get_http_client().is_listening(server.address));
    join_all(probes).await.into_iter().filter(|is_listening| *is_listening).count()
}

/// Closes the idle connections to the servers of a service: those from before a cut may be dead.
fn close_idle(node: &Node, service: &str) {
    let addresses: Vec<_> = node
        .with(|state| state.directory.iter_service(service).map(|server| server.address).collect());
    addresses.into_iter().for_each(|address| node.get_http_client().close_idle(address));
}

/// Picks some random ready servers that pass a filter, preferably those that were not found
/// unreachable.
fn pick_ready(node: &Node, filter: impl Fn(&Server) -> bool) -> Vec<Server> {
    node.with(|state| {
        let ready = state.directory.iter().filter(|server| !server.is_leaving && filter(server));
        let mut servers: Vec<&Server> = ready.collect();
        Rng::new().shuffle(&mut servers);
        servers.sort_by_cached_key(|server| {
            state.paths.is_unreachable(&server.service, short_id(&server.id))
        });
        servers.into_iter().take(PROBED_SERVERS).cloned().collect()
    })
}

/// Returns `true` if a server that does not listen has crashed, because another one is reached. If
/// there is no other one, it has.
pub(super) async fn confirm_crash(node: &Arc<Node>, server: &Server) -> bool {
    record_unreachable(node, server);
    if is_cut_off(node, &server.service) {
        return false;
    }
    let others = pick_ready(node, |other| other.id != server.id);
    others.is_empty() || count_listening(node, &others).await > 0
}

/// Reports that an attempt at a server of a version failed, unless this node turns out to be cut
/// off from the servers. `is_broken` is `true` if the connection closed before the response was
/// complete, which says nothing of the version if the server's process ended.
pub(crate) fn report_failure(
    node: &Arc<Node>,
    server: &Server,
    route: &str,
    phase: Phase,
    is_broken: bool,
) {
    let (node, server, route) = (node.clone(), server.clone(), route.to_owned());
    let failed_at = node.now();
    runtime::spawn(async move {
        runtime::sleep(FAILURE_REPORT_DELAY).await;
        if is_cut_off(&node, &server.service) {
            return;
        }
        let has_ended = node.with(|state| crashes::has_ended(state, &server, failed_at));
        if is_broken && has_ended {
            rollouts::record_interruption(&node, &server, &route, phase);
        } else {
            rollouts::record_failure(&node, &server, &route, phase);
        }
    });
}

/// Updates the path to a service's servers after an offer to a peer.
pub(super) fn update_path<T>(node: &Node, service: &str, update: impl FnOnce(&mut Path) -> T) -> T {
    node.with(|state| update(state.paths.get(service)))
}
