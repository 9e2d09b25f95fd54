//! Grants of backend servers, from the owner of a shard or from a local queue if no owner responds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::Event;
use keeljunction_core::bundle::Service;
use keeljunction_core::shard::{self, Grant, GrantRequest, Queue, Refusal};
use keeljunction_core::{Millis, rendezvous};
use tonic::Status;
use uuid::Uuid;

use super::shard::Shard;
use super::{Node, Request};
use crate::peer::wire;
use crate::runtime;

/// Time for the owner's response in addition to the queueing time of the request, in milliseconds.
const OWNER_ANSWER_MARGIN_MS: Millis = 300;
/// Grants on leaving servers that are released before the request is rejected.
const MAX_STALE_GRANTS: usize = 4;
/// Retry delay sent when no server is known, in milliseconds.
const NO_SERVER_RETRY_AFTER_MS: Millis = 1_000;

/// The key of a shard: the service and the number of the shard.
pub type ShardKey = (String, u32);

/// The queues of this node and the grants that it holds.
#[derive(Default)]
pub struct GrantTable {
    /// The queues of the shards that this node owns.
    pub owned: Mutex<HashMap<ShardKey, Arc<Shard>>>,
    /// The queues from which this node grants servers itself if the owner does not respond.
    pub fallback: Mutex<HashMap<ShardKey, Arc<Shard>>>,
    /// The grants that this node holds, by ID.
    pub held: Mutex<HashMap<String, HeldGrant>>,
    /// Messages to owners, waiting to be sent in batches.
    pub outbox: Mutex<HashMap<(String, ShardKey), wire::SettleRequest>>,
    /// Notified when a message is added to the outbox.
    pub outbox_changed: Event,
}

/// A grant that this node holds.
#[derive(Clone, Debug)]
pub struct HeldGrant {
    /// The grant.
    pub grant: Grant,
    /// The shard that it belongs to.
    pub shard: ShardKey,
    /// The owner that granted it, or `None` if it comes from a fallback queue.
    pub owner: Option<String>,
}

/// How a server is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct GrantOptions<'a> {
    /// The longest time in the queue, in milliseconds.
    pub wait: Millis,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The names of servers to avoid.
    pub avoid: &'a [String],
}

/// How a grant was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The actual cost of the request, if known.
    pub cost: Option<u64>,
    /// Whether the server failed.
    pub is_failed: bool,
}

/// Acquires a grant of a backend server for a request.
///
/// # Errors
///
/// Returns a [`Refusal`] with a retry delay if no server has capacity before the deadline.
pub async fn acquire(
    node: &Arc<Node>,
    request: &Request,
    options: GrantOptions<'_>,
) -> Result<Grant, Refusal> {
    let mut avoid = options.avoid.to_vec();
    let mut refusal = Refusal { retry_after: NO_SERVER_RETRY_AFTER_MS };
    for _ in 0..MAX_STALE_GRANTS {
        let options = GrantOptions { avoid: &avoid, ..options };
        let grant = match acquire_from_shards(node, request, options).await {
            Ok(grant) => grant,
            Err(refused) => {
                refusal = refused;
                break;
            }
        };
        if !node.is_leaving(&grant.server) {
            return Ok(grant);
        }
        avoid.push(grant.server.clone());
        release(node, &grant.id, Usage { cost: Some(0), is_failed: false });
    }
    Err(refusal)
}

/// Releases a grant.
pub fn release(node: &Arc<Node>, id: &str, usage: Usage) {
    let Some(held) = runtime::lock(&node.grants.held).remove(id) else { return };
    match &held.owner {
        Some(owner) if owner != node.get_name() => {
            let cost = usage.cost.unwrap_or(held.grant.cost);
            let released = wire::Grant { cost, failed: usage.is_failed, ..to_wire(&held.grant) };
            with_outbox(node, owner, &held.shard, |message| message.released.push(released));
        }
        _ => {
            if let Some(shard) = find_local(node, &held) {
                record_result(&shard, &held.grant.server, usage.is_failed);
                shard.release(id, usage.cost);
            }
        }
    }
}

/// Records that the first token of a granted request has arrived.
pub fn record_first_token(node: &Arc<Node>, id: &str) {
    let Some(held) = runtime::lock(&node.grants.held).get(id).cloned() else { return };
    match &held.owner {
        Some(owner) if owner != node.get_name() => {
            with_outbox(node, owner, &held.shard, |message| message.read.push(id.to_owned()));
        }
        _ => {
            if let Some(shard) = find_local(node, &held) {
                shard.with(|queue, _| queue.record_first_token(id));
            }
        }
    }
}

/// Records a success or failure of a server.
pub fn record_result(shard: &Shard, server: &str, is_failed: bool) {
    shard.with(|queue, now| {
        if is_failed { queue.record_failure(now, server) } else { queue.record_success(server) }
    });
}

/// Returns the node that owns a shard.
pub fn owner_of(node: &Node, shard: &ShardKey) -> Option<String> {
    let nodes = node.usable_nodes();
    let key = shard::owner_key(&shard.0, shard.1);
    rendezvous::owner(&key, nodes.iter().map(|(name, _)| name.as_str())).map(str::to_owned)
}

/// Returns the queue of a shard that this node owns, and creates it if it does not exist.
pub fn owned_shard(node: &Arc<Node>, key: &ShardKey) -> Option<Arc<Shard>> {
    local_shard(node, &node.grants.owned, key, 1)
}

/// Updates the servers and weights of all queues of this node.
pub fn sync_all(node: &Arc<Node>) {
    for shards in [&node.grants.owned, &node.grants.fallback] {
        let shards: Vec<(ShardKey, Arc<Shard>)> =
            runtime::lock(shards).iter().map(|(key, shard)| (key.clone(), shard.clone())).collect();
        for (key, shard) in shards {
            sync(node, &key, &shard);
        }
    }
}

/// Converts a grant to its wire format.
pub fn to_wire(grant: &Grant) -> wire::Grant {
    wire::Grant {
        grant: grant.id.clone(),
        server: grant.server.clone(),
        group: grant.group.clone(),
        cost: grant.cost,
        failed: false,
    }
}

/// Converts a grant from its wire format.
pub fn from_wire(node: &Node, grant: wire::Grant) -> Grant {
    let directory = runtime::lock(&node.directory);
    let address = directory.get(&grant.server).map(|s| s.address.clone()).unwrap_or_default();
    Grant {
        id: grant.grant,
        group: grant.group,
        server: grant.server,
        address,
        cached_tokens: 0,
        uncached_tokens: 0,
        cost: grant.cost,
    }
}

async fn acquire_from_shards(
    node: &Arc<Node>,
    request: &Request,
    options: GrantOptions<'_>,
) -> Result<Grant, Refusal> {
    let mut refusal = Refusal { retry_after: NO_SERVER_RETRY_AFTER_MS };
    for number in shard_order(node, request) {
        let key = (request.service.name.clone(), number);
        let grant_request = make_grant_request(node, request, options);
        match acquire_from(node, &key, grant_request).await {
            Ok(grant) => return Ok(grant),
            Err(refused) => refusal = refused,
        }
    }
    Err(refusal)
}

/// Returns up to two shards of a service for a request, ranked by the first block of its prompt.
fn shard_order(node: &Node, request: &Request) -> Vec<u32> {
    let directory = runtime::lock(&node.directory);
    let names: Vec<&str> =
        directory.iter_service(&request.service.name).map(|server| server.name.as_str()).collect();
    let count = shard::shard_count(names.len());
    let mut filled: Vec<u32> = names.iter().map(|name| shard::shard_of(name, count)).collect();
    filled.sort_unstable();
    filled.dedup();
    let start = request.prompt.prefix.first();
    let key = start.map_or_else(|| request.key.clone(), u64::to_string);
    let labels: Vec<String> = filled.iter().map(u32::to_string).collect();
    let order = rendezvous::rank(&key, labels.iter().map(String::as_str));
    order.into_iter().take(2).filter_map(|label| label.parse().ok()).collect()
}

fn make_grant_request(node: &Node, request: &Request, options: GrantOptions<'_>) -> GrantRequest {
    GrantRequest {
        id: Uuid::new_v4().to_string(),
        group: request.group.clone(),
        priority: options.priority,
        deadline: request.deadline,
        wait: options.wait.min(request.deadline.saturating_sub(node.now())),
        prompt_tokens: request.prompt.tokens,
        output_tokens: request.prompt.output_tokens,
        prefix: request.prompt.prefix.clone(),
        avoid: options.avoid.to_vec(),
    }
}

async fn acquire_from(
    node: &Arc<Node>,
    key: &ShardKey,
    grant_request: GrantRequest,
) -> Result<Grant, Refusal> {
    let owner = if node.settings.routing.owners { owner_of(node, key) } else { None };
    let (grant, owner) = match owner {
        Some(owner) if owner != node.get_name() => {
            match ask_owner(node, &owner, key, &grant_request).await {
                Ok(answer) => (answer?, Some(owner)),
                Err(status) => {
                    node.metric.count("grants_alone", 1);
                    log::debug!("owner {owner} did not respond: {}", status.message());
                    (grant_locally(node, key, grant_request).await?, None)
                }
            }
        }
        Some(owner) => {
            let shard =
                owned_shard(node, key).ok_or(Refusal { retry_after: NO_SERVER_RETRY_AFTER_MS })?;
            (shard.acquire(grant_request, node.get_name()).await?, Some(owner))
        }
        None => (grant_locally(node, key, grant_request).await?, None),
    };
    let held = HeldGrant { grant: grant.clone(), shard: key.clone(), owner };
    runtime::lock(&node.grants.held).insert(grant.id.clone(), held);
    Ok(grant)
}

async fn grant_locally(
    node: &Arc<Node>,
    key: &ShardKey,
    grant_request: GrantRequest,
) -> Result<Grant, Refusal> {
    let nodes = node.usable_nodes().len().max(1) as u32;
    let shard = local_shard(node, &node.grants.fallback, key, nodes);
    let shard = shard.ok_or(Refusal { retry_after: NO_SERVER_RETRY_AFTER_MS })?;
    shard.acquire(grant_request, node.get_name()).await
}

async fn ask_owner(
    node: &Node,
    owner: &str,
    key: &ShardKey,
    grant_request: &GrantRequest,
) -> Result<Result<Grant, Refusal>, Status> {
    let address = node.get_peer_address(owner);
    let address =
        address.ok_or_else(|| Status::not_found("the address of the owner is unknown"))?;
    let message = wire::AcquireRequest {
        service: key.0.clone(),
        shard: key.1,
        group: grant_request.group.clone(),
        priority: grant_request.priority,
        deadline_left_ms: grant_request.deadline.saturating_sub(node.now()),
        wait_ms: grant_request.wait,
        prompt_tokens: grant_request.prompt_tokens,
        output_tokens: grant_request.output_tokens,
        prefix: grant_request.prefix.clone(),
        avoid: grant_request.avoid.clone(),
        grant: grant_request.id.clone(),
        node: node.get_name().to_owned(),
    };
    let time = Duration::from_millis(grant_request.wait + OWNER_ANSWER_MARGIN_MS);
    let call =
        node.peers.call(&address, time, |mut peer| async move { peer.acquire(message).await });
    let reply = call.await?;
    if reply.not_owner {
        return Err(Status::failed_precondition("not the owner"));
    }
    if reply.server.is_empty() {
        return Ok(Err(Refusal { retry_after: reply.retry_after_ms }));
    }
    Ok(Ok(Grant {
        id: grant_request.id.clone(),
        group: grant_request.group.clone(),
        server: reply.server,
        address: reply.address,
        cached_tokens: reply.cached_tokens,
        uncached_tokens: grant_request.prompt_tokens.saturating_sub(reply.cached_tokens),
        cost: reply.cost,
    }))
}

fn find_local(node: &Node, held: &HeldGrant) -> Option<Arc<Shard>> {
    let shards = if held.owner.is_some() { &node.grants.owned } else { &node.grants.fallback };
    runtime::lock(shards).get(&held.shard).cloned()
}

fn with_outbox(
    node: &Node,
    owner: &str,
    shard: &ShardKey,
    update: impl FnOnce(&mut wire::SettleRequest),
) {
    let mut outbox = runtime::lock(&node.grants.outbox);
    let message =
        outbox.entry((owner.to_owned(), shard.clone())).or_insert_with(|| wire::SettleRequest {
            node: node.get_name().to_owned(),
            service: shard.0.clone(),
            shard: shard.1,
            ..wire::SettleRequest::default()
        });
    update(message);
    drop(outbox);
    node.grants.outbox_changed.notify(1);
}

/// Returns a queue of this node, and creates it if it does not exist.
///
/// The limits of its servers are divided by the number of nodes that share them.
fn local_shard(
    node: &Arc<Node>,
    shards: &Mutex<HashMap<ShardKey, Arc<Shard>>>,
    key: &ShardKey,
    sharers: u32,
) -> Option<Arc<Shard>> {
    if let Some(shard) = runtime::lock(shards).get(key) {
        return Some(shard.clone());
    }
    let service: Service = node.get_active_bundle()?.document.get_service(&key.0)?.clone();
    let queue = Queue::new(service.slots, service.prefill_tokens_per_second)
        .shared_by(sharers)
        .policy(node.settings.routing.policy);
    let shard = Arc::new(Shard::new(node.clock, queue));
    sync(node, key, &shard);
    let mut shards = runtime::lock(shards);
    Some(shards.entry(key.clone()).or_insert(shard).clone())
}

fn sync(node: &Arc<Node>, key: &ShardKey, shard: &Shard) {
    let Some(active) = node.get_active_bundle() else { return };
    let directory = runtime::lock(&node.directory);
    let count = shard::shard_count(directory.iter_service(&key.0).count());
    let servers =
        directory.iter_service(&key.0).filter(|s| shard::shard_of(&s.name, count) == key.1);
    let listed: Vec<(&str, &str, &str, bool)> = servers
        .map(|s| {
            (
                s.name.as_str(),
                s.address.as_str(),
                s.data_centre.as_str(),
                directory.is_leaving(&s.name),
            )
        })
        .collect();
    shard.with(|queue, _| {
        queue.set_servers(listed.into_iter());
        queue.set_weights(active.document.groups.iter().map(|g| (g.name.as_str(), g.weight)));
    });
}
