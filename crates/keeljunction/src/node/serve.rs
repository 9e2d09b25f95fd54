//! Startup of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use keeljunction_core::{Error, ErrorKind};
use serde::{Deserialize, Serialize};

use super::service::Service;
use super::{Node, adoption, claims, control, gossip, housekeeping, settlement, stop, watch};
use crate::caller;
use crate::http::{Limits, Server, Shutdown};
use crate::peer::Listener;
use crate::runtime;
use crate::settings::Settings;

/// Time after the last answer in which responses still carry `Connection: close`.
///
/// A client that has just read its answer may be about to send the next request on the same
/// connection.
const FINAL_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// The addresses that a node listens on. The node prints them to standard output at startup.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listening {
    /// The address for clients.
    pub caller: SocketAddr,
    /// The address for peers.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
}

/// Runs a node until it has stopped.
///
/// # Errors
///
/// Returns [`ErrorKind::Unavailable`] if an address cannot be bound.
pub async fn serve(settings: Settings) -> Result<(), Error> {
    let listen = settings.listen.clone();
    let limits =
        Limits { head_bytes: settings.limits.head_bytes, connections: settings.limits.connections };
    let shutdown = Shutdown::default();
    let bound = Server::bind(listen.caller, limits, shutdown.clone()).await;
    let callers = bound.map_err(|error| listen_error("listen.caller", listen.caller, &error))?;
    let bound = Server::bind(listen.operator, limits, Shutdown::default()).await;
    let operators =
        bound.map_err(|error| listen_error("listen.operator", listen.operator, &error))?;
    let bound = Listener::bind(listen.peer, &settings.peer_credential).await;
    let peers = bound.map_err(|error| listen_error("listen.peer", listen.peer, &error))?;
    let listening = get_addresses(&callers, &peers, &operators)
        .map_err(|error| listen_error("listen", listen.caller, &error))?;
    let node = Node::new(settings, listening.peer.to_string());
    spawn_tasks(&node);
    runtime::spawn(peers.serve(Service::new(node.clone())));
    let connections = callers.get_connections();
    let (caller_node, operator_node) = (node.clone(), node.clone());
    runtime::spawn(callers.serve(move |request| caller::answer(caller_node.clone(), request)));
    runtime::spawn(
        operators.serve(move |request| caller::operator(operator_node.clone(), request)),
    );
    println!("{}", serde_json::to_string(&listening).unwrap_or_default());
    log::info!("node {} is listening: {listening:?}", node.get_name());
    runtime::spawn(wait_for_signal(node.clone()));
    node.stopped.wait().await;
    runtime::sleep(FINAL_GRACE_PERIOD).await;
    shutdown.accepting.send();
    if !stop::close_connections(&connections, &shutdown).await {
        log::warn!("connections were still open at shutdown: {:?}", connections.count());
    }
    log::info!("node {} has stopped", node.get_name());
    Ok(())
}

fn spawn_tasks(node: &Arc<Node>) {
    runtime::spawn(adoption::watch(node.clone()));
    runtime::spawn(watch::run_vms(node.clone()));
    runtime::spawn(watch::run_loads(node.clone()));
    runtime::spawn(gossip::run(node.clone()));
    runtime::spawn(gossip::run_urgent(node.clone()));
    runtime::spawn(settlement::run(node.clone()));
    runtime::spawn(settlement::announce(node.clone()));
    runtime::spawn(housekeeping::sweep(node.clone()));
    runtime::spawn(claims::run(node.clone()));
    runtime::spawn(control::run(node.clone()));
}

async fn wait_for_signal(node: Arc<Node>) {
    let signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(error) => return log::error!("could not register signal handlers: {error}"),
    };
    let mut signals = signals;
    if signals.next().await.is_some() {
        stop::begin(&node, Duration::from_millis(node.settings.times.stop_ms));
    }
}

fn get_addresses(callers: &Server, peers: &Listener, operators: &Server) -> io::Result<Listening> {
    Ok(Listening {
        caller: callers.get_address()?,
        peer: peers.get_address()?,
        operator: operators.get_address()?,
    })
}

fn listen_error(key: &str, address: SocketAddr, error: &io::Error) -> Error {
    Error::new(ErrorKind::Unavailable, format!("cannot listen: {error}"))
        .key(key)
        .value(address.to_string())
        .allowed("an address of this VM with a free port")
        .tip("port 0 takes any free port")
}
