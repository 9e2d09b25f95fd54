//! Starts a node and runs it until it has stopped.

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
use crate::http::{Limits, Server, StopSignal};
use crate::peer::Listener;
use crate::runtime;
use crate::settings::Settings;

/// Time for responses in flight to be written out at the very end.
const WRITE_OUT: Duration = Duration::from_secs(10);
/// Time after the last answer in which answers still carry `Connection: close`: one
/// that has just read its answer may be about to ask again on the same connection.
const LINGER: Duration = Duration::from_millis(250);
const LOOK: Duration = Duration::from_millis(10);

/// Where a node listens, as it says on standard output once it does.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listening {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// Runs a node until it has stopped.
///
/// # Errors
///
/// Returns [`ErrorKind::Unavailable`] where an address cannot be listened at.
pub async fn serve(settings: Settings) -> Result<(), Error> {
    let listen = settings.listen.clone();
    let limits =
        Limits { head_bytes: settings.limits.head_bytes, connections: settings.limits.connections };
    let stop = StopSignal::new();
    let bound = Server::bind(listen.caller, limits, stop.clone()).await;
    let callers = bound.map_err(|error| busy("listen.caller", listen.caller, &error))?;
    let bound = Server::bind(listen.operator, limits, StopSignal::new()).await;
    let operators = bound.map_err(|error| busy("listen.operator", listen.operator, &error))?;
    let bound = Listener::bind(listen.peer, &settings.peer_credential).await;
    let peers = bound.map_err(|error| busy("listen.peer", listen.peer, &error))?;
    let at = listening(&callers, &peers, &operators)
        .map_err(|error| busy("listen", listen.caller, &error))?;
    let node = Node::new(settings, at.peer.to_string());
    start_loops(&node);
    runtime::spawn(peers.serve(Service::new(node.clone())));
    let open = callers.get_connection_count();
    let (answering, operating) = (node.clone(), node.clone());
    runtime::spawn(callers.serve(move |request| caller::answer(answering.clone(), request)));
    runtime::spawn(operators.serve(move |request| caller::operator(operating.clone(), request)));
    println!("{}", serde_json::to_string(&at).unwrap_or_default());
    log::info!("node {} listens: {at:?}", node.get_name());
    runtime::spawn(wait_for_signal(node.clone()));
    node.ended.wait().await;
    runtime::sleep(LINGER).await;
    stop.send();
    let waited = runtime::timeout(WRITE_OUT, async {
        while open.get() > 0 {
            runtime::sleep(LOOK).await;
        }
    });
    if waited.await.is_none() {
        log::warn!("{} connections were still open at the end", open.get());
    }
    log::info!("node {} has stopped", node.get_name());
    Ok(())
}

fn start_loops(node: &Arc<Node>) {
    runtime::spawn(adoption::watch(node.clone()));
    runtime::spawn(watch::vms(node.clone()));
    runtime::spawn(watch::loads(node.clone()));
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
        Err(error) => return log::error!("no signals can be had: {error}"),
    };
    let mut signals = signals;
    if signals.next().await.is_some() {
        stop::begin(&node, Duration::from_millis(node.settings.times.stop_ms));
    }
}

fn listening(callers: &Server, peers: &Listener, operators: &Server) -> io::Result<Listening> {
    Ok(Listening {
        caller: callers.get_address()?,
        peer: peers.get_address()?,
        operator: operators.get_address()?,
    })
}

fn busy(key: &str, address: SocketAddr, error: &io::Error) -> Error {
    Error::new(ErrorKind::Unavailable, format!("cannot listen: {error}"))
        .key(key)
        .value(address.to_string())
        .allowed("an address of this VM with a free port")
        .tip("port 0 takes any free port")
}
