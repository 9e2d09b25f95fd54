//! Activates the newest roll, read from the table service or from peers.

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

/// Verifies a roll and its bundle, and activates them if they are newer.
///
/// Returns `true` if they were activated.
///
/// # Errors
///
/// Returns [`ErrorKind::Untrusted`] if the digest or signature does not match, or
/// [`ErrorKind::Malformed`] if the bundle cannot be parsed.
pub fn adopt(node: &Arc<Node>, roll: Roll, body: Vec<u8>) -> Result<bool, Error> {
    if bundle::digest(&body) != roll.digest {
        return Err(Error::new(
            ErrorKind::Untrusted,
            "the bundle does not match the digest of the roll",
        ));
    }
    bundle::verify(&node.settings.trusted_keys, &body, &roll.signature)?;
    let text = std::str::from_utf8(&body)
        .map_err(|_| Error::new(ErrorKind::Malformed, "the bundle is not valid UTF-8"))?;
    let document = bundle::parse(text)?;
    let (number, version) = (roll.number, roll.version.clone());
    let is_adopted = node.activate(ActiveBundle { roll, body, document });
    if is_adopted {
        log::info!(target: "audit", "roll {number}, version {version}, is active");
        node.metric.gauge("roll", number);
        grant::sync_all(node);
        node.notify_peers();
    }
    Ok(is_adopted)
}

/// Polls the roll in the table service. Never returns.
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

/// Reads the roll from the table service once, and fetches its bundle if the roll is newer.
pub async fn read_roll(node: &Arc<Node>) {
    let row = match node.platform.read(ROLL_KEY).await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(fault) => return log::debug!("could not read the roll: {fault}"),
    };
    let Ok(roll) = serde_json::from_str::<Roll>(&row.value) else {
        return log::error!("the roll row is malformed");
    };
    if roll.number <= node.get_roll() {
        return;
    }
    match node.platform.get_object(&roll.digest).await {
        Ok(body) => log_rejection(adopt(node, roll, body.to_vec())),
        Err(fault) => log::warn!("could not read the bundle of roll {}: {fault}", roll.number),
    }
}

/// Fetches a newer bundle and the list of backend servers from a peer.
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
        Err(error) => log::error!("a peer sent a malformed roll: {error}"),
    }
}

/// Builds the reply to a peer: the servers, and the active bundle if its roll is above
/// `above_roll`.
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
        log::error!("rejected a bundle: {error}");
    }
}
