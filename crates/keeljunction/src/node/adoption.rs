//! Puts the newest roll in force, from the table service or from peers.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::bundle::{self, Roll};
use keeljunction_core::directory::Server;
use keeljunction_core::{Error, ErrorKind};

use super::state::ActiveBundle;
use super::{Node, grant};
use crate::peer::wire;
use crate::platform::ROLL_KEY;
use crate::runtime;

const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks a roll and its bundle, and puts them in force if they are newer.
///
/// # Errors
///
/// Returns [`ErrorKind::Untrusted`] or [`ErrorKind::Malformed`] where the bundle is refused.
pub fn adopt(node: &Arc<Node>, roll: Roll, body: Vec<u8>) -> Result<bool, Error> {
    if bundle::digest(&body) != roll.digest {
        return Err(Error::new(ErrorKind::Untrusted, "the bundle is not the one that was rolled"));
    }
    bundle::verify(&node.settings.trusted_keys, &body, &roll.signature)?;
    let text = std::str::from_utf8(&body)
        .map_err(|_| Error::new(ErrorKind::Malformed, "the bundle is not text"))?;
    let document = bundle::parse(text)?;
    let (number, version) = (roll.number, roll.version.clone());
    let is_adopted = node.activate(ActiveBundle { roll, body, document });
    if is_adopted {
        log::info!(target: "audit", "roll {number}, version {version}, is in force");
        node.metric.gauge("roll", number);
        grant::sync_all(node);
        node.notify_peers();
    }
    Ok(is_adopted)
}

/// Reads the roll from the table service for as long as the process lives.
pub async fn watch(node: Arc<Node>) {
    let mut round: u64 = 0;
    loop {
        if node.is_read_due(ROLL_KEY, round) || node.get_active_bundle().is_none() {
            read_roll(&node).await;
        }
        round += 1;
        runtime::sleep(Duration::from_millis(node.settings.times.roll_poll_ms)).await;
    }
}

/// Reads the roll from the table service once, and its bundle if it is newer.
pub async fn read_roll(node: &Arc<Node>) {
    let row = match node.platform.read(ROLL_KEY).await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(fault) => return log::debug!("the roll was not read: {fault}"),
    };
    let Ok(roll) = serde_json::from_str::<Roll>(&row.value) else {
        return log::error!("the roll row is not understood");
    };
    if roll.number <= node.get_roll() {
        return;
    }
    match node.platform.get_object(&roll.digest).await {
        Ok(body) => log_rejection(adopt(node, roll, body.to_vec())),
        Err(fault) => log::warn!("the bundle of roll {} was not read: {fault}", roll.number),
    }
}

/// Reads a newer bundle, and the backend servers, from a peer.
pub async fn fetch(node: &Arc<Node>, address: &str) {
    let message = wire::FetchRequest { above_roll: node.get_roll() };
    let call = node
        .peers
        .call(address, FETCH_TIMEOUT, |mut peer| async move { peer.fetch(message).await });
    let Ok(reply) = call.await else { return };
    merge_servers(node, &reply.servers);
    if reply.roll <= node.get_roll() {
        return;
    }
    match serde_json::from_slice::<Roll>(&reply.row) {
        Ok(roll) => log_rejection(adopt(node, roll, reply.body)),
        Err(error) => log::error!("a peer's roll is not understood: {error}"),
    }
}

/// Writes what this node knows for a peer whose roll is older.
pub fn reply(node: &Node, above_roll: u64) -> wire::FetchReply {
    let servers = servers(node);
    let active = node.get_active_bundle().filter(|active| active.roll.number > above_roll);
    let Some(active) = active else {
        return wire::FetchReply { servers, ..wire::FetchReply::default() };
    };
    wire::FetchReply {
        roll: active.roll.number,
        row: serde_json::to_vec(&active.roll).unwrap_or_default(),
        body: active.body.clone(),
        servers,
    }
}

fn servers(node: &Node) -> Vec<wire::Server> {
    let directory = runtime::lock(&node.directory);
    let to_wire = |server: &Server| wire::Server {
        name: server.name.clone(),
        service: server.service.clone(),
        address: server.address.clone(),
        data_centre: server.data_centre.clone(),
        leaving: directory.is_leaving(&server.name),
    };
    directory.iter().map(to_wire).collect()
}

fn merge_servers(node: &Arc<Node>, servers: &[wire::Server]) {
    let mut directory = runtime::lock(&node.directory);
    for server in servers.iter().filter(|server| !server.leaving) {
        directory.add(Server {
            name: server.name.clone(),
            service: server.service.clone(),
            address: server.address.clone(),
            data_centre: server.data_centre.clone(),
        });
    }
}

fn log_rejection(adopted: Result<bool, Error>) {
    if let Err(error) = adopted {
        log::error!("a bundle was refused: {error}");
    }
}
