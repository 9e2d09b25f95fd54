//! Starts a node and runs it until it has stopped.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use keeljunction_core::serving::usage::Incarnation;
use keeljunction_core::{Error, ErrorKind};

use super::peers::link::Link;
use super::state::{BYTES_PER_MB, Start};
use super::{Node, connections, duty, listeners, memory, peers, quarantine_rows, stop, watch};
use crate::event::{self, Event};
use crate::exchange;
use crate::http::{Limits, Server, StopSignal};
use crate::port::Platform;
use crate::runtime::{self, Clock};
use crate::settings::Settings;

/// Descriptors kept back from callers' connections, for files, servers and peers.
const DESCRIPTORS_KEPT: usize = 1_000;
/// The part of the process's memory that callers' connections may take: as much as bodies and
/// answers may. Where both are full, samples of the resident memory take off the latter.
const CONNECTIONS_PART: f64 = 0.4;
/// Memory of a connection, in bytes: 42 kB of resident memory for each of 300 whose small bodies
/// rested, and what the system keeps for its socket.
const BYTES_PER_CONNECTION: f64 = 50_000.0;
/// Connections that are taken in any case, for operators and probes.
const LEAST_CONNECTIONS: usize = 100;
/// Time for answers in flight to be written out at the very end.
const WRITE_OUT: Duration = Duration::from_millis(300);

/// Runs a node until it has stopped.
///
/// # Errors
///
/// Returns [`ErrorKind::Unavailable`] where an address cannot be listened at.
pub async fn serve(settings: Settings, path: PathBuf, platform: Platform) -> Result<(), Error> {
    let mut settings = settings;
    let closing = StopSignal::new();
    let (callers, at) =
        bind("listen.callers", settings.listen.callers, &settings, &closing).await?;
    settings.listen.callers = at;
    let never = StopSignal::new();
    let (readiness, at) =
        bind("listen.readiness", settings.listen.readiness, &settings, &never).await?;
    settings.listen.readiness = at;
    let (metrics, at) = bind("listen.metrics", settings.listen.metrics, &settings, &never).await?;
    settings.listen.metrics = at;
    let (peer_calls, at) = bind("listen.peers", settings.listen.peers, &settings, &never).await?;
    settings.listen.peers = at;
    let incarnation = Incarnation { node: settings.node.name.clone(), number: fastrand::u64(..) };
    let link = Link::bind(at, incarnation.number, settings.limits.link_mbps)
        .map_err(|error| busy("listen.peers", at, &error))?;
    let topology = settings.get_topology()?;
    let start = Start { incarnation, clock: Clock::new(), link, topology };
    let node = Node::new(settings, platform, closing, start);
    let listen = &node.settings.listen;
    event::emit(&Event::Started {
        node: &node.incarnation.node,
        incarnation: node.incarnation.number,
        callers: listen.callers,
        readiness: listen.readiness,
        peers: listen.peers,
        metrics: listen.metrics,
    });
    runtime::spawn(watch::configuration(node.clone()));
    runtime::spawn(watch::freshness(node.clone()));
    runtime::spawn(watch::servers(node.clone()));
    runtime::spawn(connections::run(node.clone()));
    peers::start(&node);
    let called = node.clone();
    runtime::spawn(peer_calls.serve(move |request| peers::calls::serve(called.clone(), request)));
    runtime::spawn(duty::run(node.clone()));
    runtime::spawn(quarantine_rows::run(node.clone()));
    runtime::spawn(memory::watch(node.clone()));
    exchange::watch_callers(&node);
    let (checked, shown, answering) = (node.clone(), node.clone(), node.clone());
    runtime::spawn(readiness.serve(move |request| listeners::readiness(checked.clone(), request)));
    runtime::spawn(metrics.serve(move |request| listeners::metrics(shown.clone(), request)));
    let resting = node.clone();
    let callers = callers.with_head_timeout(Arc::new(move || resting.get_rest_bound()));
    let open = callers.get_connection_count();
    runtime::spawn(callers.serve(move |request| exchange::handle(answering.clone(), request)));
    wait_for_end(&node, path).await?;
    runtime::timeout(WRITE_OUT, async {
        while open.get() > 0 {
            runtime::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
    crate::log::flush();
    Ok(())
}

/// Returns how many connections a listener takes at once: as many as there are descriptors and
/// memory for.
fn count_connections(settings: &Settings) -> usize {
    let descriptors = settings.limits.descriptors.saturating_sub(DESCRIPTORS_KEPT);
    let bytes = settings.limits.memory_mb * BYTES_PER_MB * CONNECTIONS_PART;
    let fitting = (bytes / BYTES_PER_CONNECTION) as usize;
    descriptors.min(fitting).max(LEAST_CONNECTIONS)
}

async fn bind(
    key: &'static str,
    address: SocketAddr,
    settings: &Settings,
    stop: &StopSignal,
) -> Result<(Server, SocketAddr), Error> {
    let limits = Limits { connections: count_connections(settings), ..Limits::default() };
    let bound = Server::bind(address, limits, stop.clone()).await;
    let server = bound.map_err(|error| busy(key, address, &error))?;
    let at = server.get_address().map_err(|error| busy(key, address, &error))?;
    Ok((server, at))
}

/// Waits for the signal to stop, and then until the node has stopped.
async fn wait_for_end(node: &Arc<Node>, path: PathBuf) -> Result<(), Error> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|error| {
        Error::new(ErrorKind::Unavailable, format!("no signals can be had: {error}"))
    })?;
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(node, &path),
            _ => break,
        }
    }
    stop::run(node).await;
    Ok(())
}

/// Reads the settings again. What is bound to sockets or a lease stays until the next start.
fn reload(node: &Node, path: &std::path::Path) {
    match Settings::load(path) {
        Ok(settings) => {
            let is_changed = settings != node.settings;
            node.with(|state| state.members.add_seeds(&settings.seeds));
            crate::log::set_level(&settings.log.level);
            event::emit(&Event::Reloaded { is_changed });
        }
        Err(error) => event::emit(&Event::DocumentRejected { error: error.to_string() }),
    }
}

fn busy(key: &str, address: SocketAddr, error: &io::Error) -> Error {
    Error::new(ErrorKind::Unavailable, format!("cannot listen: {error}"))
        .key(key)
        .value(address.to_string())
        .allowed("an address of this machine with a free port")
        .tip("port 0 takes any free port")
}
