//! Starts the tasks that maintain the state of a node.

use std::sync::Arc;

use super::{
    Node, connections, leader, memory, peers, quarantine_rows, server_paths, stream_archive,
    stream_origins, version_rows, watch,
};
use crate::http::Server;
use crate::runtime;

/// Starts the tasks of a node, which run until the process ends. `peer_calls` listens for calls of
/// other nodes.
pub(crate) fn start(node: &Arc<Node>, peer_calls: Server) {
    runtime::spawn(watch::watch_configuration(node.clone()));
    runtime::spawn(watch::confirm_freshness(node.clone()));
    runtime::spawn(watch::watch_servers(node.clone()));
    runtime::spawn(connections::run(node.clone()));
    runtime::spawn(server_paths::run(node.clone()));
    peers::start(node);
    let peer_node = node.clone();
    runtime::spawn(
        peer_calls.serve(move |request| peers::calls::serve(peer_node.clone(), request)),
    );
    runtime::spawn(leader::run(node.clone()));
    runtime::spawn(quarantine_rows::run(node.clone()));
    runtime::spawn(version_rows::read(node.clone()));
    runtime::spawn(version_rows::write(node.clone()));
    runtime::spawn(memory::watch(node.clone()));
    runtime::spawn(stream_origins::run(node.clone()));
    runtime::spawn(stream_archive::run(node.clone()));
}
