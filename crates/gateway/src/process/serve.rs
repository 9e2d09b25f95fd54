//! Starts a node and runs it until it has stopped.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use keeljunction_core::serving::usage::Incarnation;
use keeljunction_core::{Error, ErrorKind};

use super::{listeners, stop};
use crate::event::{self, Event};
use crate::exchange;
use crate::http::{Limits, Server, Shutdown};
use crate::node::process_context::{Listener, ProcessContext};
use crate::node::state::BYTES_PER_MB;
use crate::node::stop::beat_until;
use crate::node::{Cluster, Link, Node, tasks};
use crate::port::Platform;
use crate::runtime::{self, Clock};
use crate::settings::Settings;

/// File descriptors reserved for files, servers and peers; client connections may use the rest.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// The fraction of the process's memory that client connections may use, the same as for buffered
/// bodies and responses. If both are full, the samples of resident memory reduce the latter.
const CONNECTION_MEMORY_FRACTION: f64 = 0.4;
/// The memory of one connection: 42 kB of resident memory were measured for each of 300 connections
/// with small buffered bodies, and the kernel needs memory for the socket.
const BYTES_PER_CONNECTION: f64 = 50_000.0;
/// The minimum number of accepted connections, which leaves room for operators and probes.
const MIN_CONNECTIONS: usize = 100;

/// Runs a node until it has stopped.
///
/// # Errors
///
/// Returns [`ErrorKind::Unavailable`] if a listener cannot be bound to its address.
pub async fn serve(settings: Settings, path: PathBuf, platform: Platform) -> Result<(), Error> {
    let signals = register_signals()?;
    let mut settings = settings;
    let shutdown = Shutdown::default();
    let (callers, at) =
        bind("listen.callers", settings.listen.callers, &settings, &shutdown).await?;
    settings.listen.callers = at;
    let clients = Listener { shutdown, connections: callers.get_connections() };
    let never = Shutdown::default();
    let (readiness, at) =
        bind("listen.readiness", settings.listen.readiness, &settings, &never).await?;
    settings.listen.readiness = at;
    let (metrics, at) = bind("listen.metrics", settings.listen.metrics, &settings, &never).await?;
    settings.listen.metrics = at;
    let shutdown = Shutdown::default();
    let (peer_calls, at) =
        bind("listen.peers", settings.listen.peers, &settings, &shutdown).await?;
    settings.listen.peers = at;
    let peer_listener = Listener { shutdown, connections: peer_calls.get_connections() };
    let incarnation = Incarnation { node: settings.node.name.clone(), number: fastrand::u64(..) };
    let cluster = Cluster::new(&settings.node.cluster);
    let link = Link::bind(at, cluster, incarnation.number, settings.limits.link_mbps)
        .map_err(|error| make_bind_error("listen.peers", at, &error))?;
    let topology = settings.get_topology()?;
    let clock = Clock::new();
    let context =
        ProcessContext { incarnation, clock, link, topology, clients, peers: peer_listener };
    let node = Node::new(settings, platform, context);
    let listen = &node.settings.listen;
    event::emit(&Event::Started {
        node: &node.incarnation.node,
        incarnation: node.incarnation.number,
        callers: listen.callers,
        readiness: listen.readiness,
        peers: listen.peers,
        metrics: listen.metrics,
    });
    tasks::start(&node, peer_calls);
    exchange::watch_callers(&node);
    let (readiness_node, metrics_node, client_node) = (node.clone(), node.clone(), node.clone());
    runtime::spawn(
        readiness.serve(move |request| listeners::readiness(readiness_node.clone(), request)),
    );
    runtime::spawn(metrics.serve(move |request| listeners::metrics(metrics_node.clone(), request)));
    let timeout_node = node.clone();
    let callers = callers.with_head_timeout(Arc::new(move || timeout_node.get_idle_timeout()));
    runtime::spawn(callers.serve(move |request| exchange::handle(client_node.clone(), request)));
    run_until_stopped(&node, signals, path).await;
    crate::log::flush();
    Ok(())
}

/// Returns the maximum number of simultaneous connections of a listener, as limited by file
/// descriptors and memory.
fn count_connections(settings: &Settings) -> usize {
    let descriptors = settings.limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let bytes = settings.limits.memory_mb * BYTES_PER_MB * CONNECTION_MEMORY_FRACTION;
    let fitting = (bytes / BYTES_PER_CONNECTION) as usize;
    descriptors.min(fitting).max(MIN_CONNECTIONS)
}

async fn bind(
    key: &'static str,
    address: SocketAddr,
    settings: &Settings,
    shutdown: &Shutdown,
) -> Result<(Server, SocketAddr), Error> {
    let limits = Limits { connections: count_connections(settings), ..Limits::default() };
    let bound = Server::bind(address, limits, shutdown.clone()).await;
    let server = bound.map_err(|error| make_bind_error(key, address, &error))?;
    let at = server.get_address().map_err(|error| make_bind_error(key, address, &error))?;
    Ok((server, at))
}

/// Registers the handlers of the signals that stop the node or reload its settings.
fn register_signals() -> Result<Signals, Error> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|error| {
        Error::new(ErrorKind::Unavailable, format!("cannot register signal handlers: {error}"))
    })
}

/// Waits for a stop signal, and then until the node has stopped.
async fn run_until_stopped(node: &Arc<Node>, mut signals: Signals, path: PathBuf) {
    while let Some(signal) = beat_until(signals.next(), || node.beat()).await {
        match signal {
            Ok(Signal::Hup) => reload(node, &path),
            _ => break,
        }
    }
    stop::run(node).await;
}

/// Reloads the settings. Those bound to sockets or a lease take effect at the next start.
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

fn make_bind_error(key: &str, address: SocketAddr, error: &io::Error) -> Error {
    Error::new(ErrorKind::Unavailable, format!("cannot listen: {error}"))
        .key(key)
        .value(address.to_string())
        .allowed("an address of this machine with a free port")
        .tip("port 0 takes any free port")
}
