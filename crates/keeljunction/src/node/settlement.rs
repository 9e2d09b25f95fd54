//! Reports of used and released grants to shard owners.
//!
//! Reports are batched for a short delay. In addition, each node periodically announces all its
//! grants of a shard to the owner, so that a new owner learns of them after the previous one was
//! killed.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::shard::Grant;

use super::grant::{self, HeldGrant, ShardKey};
use super::{Node, service};
use crate::peer::wire;
use crate::runtime;

const BATCH_DELAY: Duration = Duration::from_millis(10);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends batched reports. Never returns.
pub async fn run(node: Arc<Node>) {
    loop {
        let outbox_changed = node.grants.outbox_changed.listen();
        if runtime::lock(&node.grants.outbox).is_empty() {
            outbox_changed.await;
            runtime::sleep(BATCH_DELAY).await;
        }
        let outbox = std::mem::take(&mut *runtime::lock(&node.grants.outbox));
        for ((owner, _), message) in outbox {
            send(&node, &owner, message);
        }
    }
}

/// Announces the grants of this node periodically. Never returns.
pub async fn announce(node: Arc<Node>) {
    let mut announced = HashSet::new();
    loop {
        announced = announce_once(&node, &announced);
        drop_unowned_shards(&node);
        runtime::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Announces all grants to the current owners.
///
/// Sends an empty list for each shard that had grants in the previous round and has none now.
fn announce_once(node: &Arc<Node>, before: &HashSet<ShardKey>) -> HashSet<ShardKey> {
    let held = group_by_shard(node);
    let emptied = before.iter().filter(|shard| !held.contains_key(*shard));
    let empty = emptied.map(|shard| (shard.clone(), Vec::new()));
    let lists: Vec<(ShardKey, Vec<Grant>)> = empty.chain(held.clone()).collect();
    for (shard, grants) in lists {
        let Some(owner) = grant::owner_of(node, &shard) else { continue };
        set_owner(node, &shard, &owner);
        let message = wire::SettleRequest {
            node: node.get_name().to_owned(),
            service: shard.0.clone(),
            shard: shard.1,
            full: true,
            held: grants.iter().map(grant::to_wire).collect(),
            ..wire::SettleRequest::default()
        };
        send(node, &owner, message);
    }
    held.into_keys().collect()
}

fn group_by_shard(node: &Node) -> HashMap<ShardKey, Vec<Grant>> {
    let mut held: HashMap<ShardKey, Vec<Grant>> = HashMap::new();
    let held_grants = runtime::lock(&node.grants.held);
    for HeldGrant { grant, shard, .. } in held_grants.values().filter(|held| held.owner.is_some()) {
        held.entry(shard.clone()).or_default().push(grant.clone());
    }
    held
}

fn set_owner(node: &Node, shard: &ShardKey, owner: &str) {
    let mut held_grants = runtime::lock(&node.grants.held);
    for held in held_grants.values_mut().filter(|held| held.owner.is_some() && held.shard == *shard)
    {
        held.owner = Some(owner.to_owned());
    }
}

fn send(node: &Arc<Node>, owner: &str, message: wire::SettleRequest) {
    if owner == node.get_name() {
        service::settle(node, message);
        return;
    }
    let Some(address) = node.get_peer_address(owner) else { return };
    let node = node.clone();
    runtime::spawn(async move {
        let call = node
            .peers
            .call(&address, CALL_TIMEOUT, |mut peer| async move { peer.settle(message).await });
        if call.await.is_err() {
            node.metric.count("settlements_lost", 1);
        }
    });
}

/// Drops the queues of shards that this node no longer owns.
fn drop_unowned_shards(node: &Arc<Node>) {
    let keys: Vec<ShardKey> = runtime::lock(&node.grants.owned).keys().cloned().collect();
    for key in keys {
        if grant::owner_of(node, &key).as_deref() != Some(node.get_name()) {
            runtime::lock(&node.grants.owned).remove(&key);
        }
    }
}
