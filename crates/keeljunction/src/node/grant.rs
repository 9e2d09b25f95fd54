//! Backend servers for requests: from the owner of a shard, or alone where no owner answers.

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

/// Time for an owner's answer beyond the time that the request may wait, in milliseconds.
const OWNER_SLACK_MS: Millis = 300;
/// How often a grant on a server that leaves is given back for another.
const STALE_GRANTS: usize = 4;
/// When to come back where no server is known, in milliseconds.
const NO_SERVER_RETRY_MS: Millis = 1_000;

/// A shard of a service.
pub type ShardKey = (String, u32);

/// The queues that this node keeps, and the grants that it has.
#[derive(Default)]
pub struct Book {
    /// The queues of the shards that this node owns.
    pub owned: Mutex<HashMap<ShardKey, Arc<Shard>>>,
    /// The queues by which this node decides alone.
    pub alone: Mutex<HashMap<ShardKey, Arc<Shard>>>,
    /// The grants that this node has, by name.
    pub out: Mutex<HashMap<String, Out>>,
    /// Messages to owners that wait to be sent together.
    pub outbox: Mutex<HashMap<(String, ShardKey), wire::SettleRequest>>,
    /// Signals that there are messages in the outbox.
    pub posted: Event,
}

/// A grant that this node has.
#[derive(Clone, Debug)]
pub struct Out {
    /// The grant.
    pub grant: Grant,
    /// The shard that it is of.
    pub shard: ShardKey,
    /// The node that granted it; `None` where this node decided alone.
    pub owner: Option<String>,
}

/// How a request asks for a server.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// How long it may wait for its turn.
    pub wait: Millis,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Servers not to choose, by name.
    pub avoid: &'a [String],
}

/// What became of a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// What the request really cost, where that is known.
    pub cost: Option<u64>,
    /// Whether the server failed it.
    pub is_failed: bool,
}

/// Asks for a backend server for a request.
///
/// # Errors
///
/// Returns a [`Refusal`] with when to come back.
pub async fn acquire(
    node: &Arc<Node>,
    request: &Request,
    want: Want<'_>,
) -> Result<Grant, Refusal> {
    let mut avoid = want.avoid.to_vec();
    let mut refusal = Refusal { retry_after: NO_SERVER_RETRY_MS };
    for _ in 0..STALE_GRANTS {
        let want = Want { avoid: &avoid, ..want };
        let grant = match acquire_from_shards(node, request, want).await {
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

/// Gives a grant back.
pub fn release(node: &Arc<Node>, id: &str, usage: Usage) {
    let Some(out) = runtime::lock(&node.book.out).remove(id) else { return };
    match &out.owner {
        Some(owner) if owner != node.get_name() => {
            let cost = usage.cost.unwrap_or(out.grant.cost);
            let released = wire::Grant { cost, failed: usage.is_failed, ..to_wire(&out.grant) };
            with_outbox(node, owner, &out.shard, |message| message.released.push(released));
        }
        _ => {
            if let Some(shard) = find_local(node, &out) {
                note_end(&shard, &out.grant.server, usage.is_failed);
                shard.release(id, usage.cost);
            }
        }
    }
}

/// Notes that the first token came for a grant.
pub fn first_token(node: &Arc<Node>, id: &str) {
    let Some(out) = runtime::lock(&node.book.out).get(id).cloned() else { return };
    match &out.owner {
        Some(owner) if owner != node.get_name() => {
            with_outbox(node, owner, &out.shard, |message| message.read.push(id.to_owned()));
        }
        _ => {
            if let Some(shard) = find_local(node, &out) {
                shard.with(|queue, _| queue.record_first_token(id));
            }
        }
    }
}

/// Notes how a grant's server did.
pub fn note_end(shard: &Shard, server: &str, is_failed: bool) {
    shard.with(|queue, now| {
        if is_failed { queue.record_failure(now, server) } else { queue.record_success(server) }
    });
}

/// Finds the node that owns a shard.
pub fn owner_of(node: &Node, shard: &ShardKey) -> Option<String> {
    let nodes = node.usable_nodes();
    let key = shard::owner_key(&shard.0, shard.1);
    rendezvous::owner(&key, nodes.iter().map(|(name, _)| name.as_str())).map(str::to_owned)
}

/// Returns the queue of a shard that this node owns, made anew where it is not there yet.
pub fn owned_shard(node: &Arc<Node>, key: &ShardKey) -> Option<Arc<Shard>> {
    local_shard(node, &node.book.owned, key, 1)
}

/// Brings the servers and weights of all queues of this node up to date.
pub fn sync_all(node: &Arc<Node>) {
    for shards in [&node.book.owned, &node.book.alone] {
        let shards: Vec<(ShardKey, Arc<Shard>)> =
            runtime::lock(shards).iter().map(|(key, shard)| (key.clone(), shard.clone())).collect();
        for (key, shard) in shards {
            sync(node, &key, &shard);
        }
    }
}

/// Writes a grant for a message.
pub fn to_wire(grant: &Grant) -> wire::Grant {
    wire::Grant {
        grant: grant.id.clone(),
        server: grant.server.clone(),
        group: grant.group.clone(),
        cost: grant.cost,
        failed: false,
    }
}

/// Reads a grant that another node announces.
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
    want: Want<'_>,
) -> Result<Grant, Refusal> {
    let mut refusal = Refusal { retry_after: NO_SERVER_RETRY_MS };
    for number in shard_order(node, request) {
        let key = (request.service.name.clone(), number);
        let ask = make_ask(node, request, want);
        match acquire_from(node, &key, ask).await {
            Ok(grant) => return Ok(grant),
            Err(refused) => refusal = refused,
        }
    }
    Err(refusal)
}

/// Orders the shards of a service for a request: two at most, the one of its prompt's start first.
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

fn make_ask(node: &Node, request: &Request, want: Want<'_>) -> GrantRequest {
    GrantRequest {
        id: Uuid::new_v4().to_string(),
        group: request.group.clone(),
        priority: want.priority,
        deadline: request.deadline,
        wait: want.wait.min(request.deadline.saturating_sub(node.now())),
        prompt_tokens: request.prompt.tokens,
        output_tokens: request.prompt.output_tokens,
        prefix: request.prompt.prefix.clone(),
        avoid: want.avoid.to_vec(),
    }
}

async fn acquire_from(
    node: &Arc<Node>,
    key: &ShardKey,
    ask: GrantRequest,
) -> Result<Grant, Refusal> {
    let owner = if node.settings.routing.owners { owner_of(node, key) } else { None };
    let (grant, owner) = match owner {
        Some(owner) if owner != node.get_name() => match ask_owner(node, &owner, key, &ask).await {
            Ok(answer) => (answer?, Some(owner)),
            Err(status) => {
                node.metric.count("grants_alone", 1);
                log::debug!("owner {owner} did not answer: {}", status.message());
                (decide_alone(node, key, ask).await?, None)
            }
        },
        Some(owner) => {
            let shard =
                owned_shard(node, key).ok_or(Refusal { retry_after: NO_SERVER_RETRY_MS })?;
            (shard.acquire(ask, node.get_name()).await?, Some(owner))
        }
        None => (decide_alone(node, key, ask).await?, None),
    };
    let out = Out { grant: grant.clone(), shard: key.clone(), owner };
    runtime::lock(&node.book.out).insert(grant.id.clone(), out);
    Ok(grant)
}

async fn decide_alone(
    node: &Arc<Node>,
    key: &ShardKey,
    ask: GrantRequest,
) -> Result<Grant, Refusal> {
    let nodes = node.usable_nodes().len().max(1) as u32;
    let shard = local_shard(node, &node.book.alone, key, nodes);
    let shard = shard.ok_or(Refusal { retry_after: NO_SERVER_RETRY_MS })?;
    shard.acquire(ask, node.get_name()).await
}

async fn ask_owner(
    node: &Node,
    owner: &str,
    key: &ShardKey,
    ask: &GrantRequest,
) -> Result<Result<Grant, Refusal>, Status> {
    let address = node.get_peer_address(owner);
    let address = address.ok_or_else(|| Status::not_found("the owner's address is not known"))?;
    let message = wire::AcquireRequest {
        service: key.0.clone(),
        shard: key.1,
        group: ask.group.clone(),
        priority: ask.priority,
        deadline_left_ms: ask.deadline.saturating_sub(node.now()),
        wait_ms: ask.wait,
        prompt_tokens: ask.prompt_tokens,
        output_tokens: ask.output_tokens,
        prefix: ask.prefix.clone(),
        avoid: ask.avoid.clone(),
        grant: ask.id.clone(),
        node: node.get_name().to_owned(),
    };
    let time = Duration::from_millis(ask.wait + OWNER_SLACK_MS);
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
        id: ask.id.clone(),
        group: ask.group.clone(),
        server: reply.server,
        address: reply.address,
        cached_tokens: reply.cached_tokens,
        uncached_tokens: ask.prompt_tokens.saturating_sub(reply.cached_tokens),
        cost: reply.cost,
    }))
}

fn find_local(node: &Node, out: &Out) -> Option<Arc<Shard>> {
    let shards = if out.owner.is_some() { &node.book.owned } else { &node.book.alone };
    runtime::lock(shards).get(&out.shard).cloned()
}

fn with_outbox(
    node: &Node,
    owner: &str,
    shard: &ShardKey,
    act: impl FnOnce(&mut wire::SettleRequest),
) {
    let mut outbox = runtime::lock(&node.book.outbox);
    let message =
        outbox.entry((owner.to_owned(), shard.clone())).or_insert_with(|| wire::SettleRequest {
            node: node.get_name().to_owned(),
            service: shard.0.clone(),
            shard: shard.1,
            ..wire::SettleRequest::default()
        });
    act(message);
    drop(outbox);
    node.book.posted.notify(1);
}

/// Returns a queue of this node's own, whose limits are shared by `sharers` nodes.
fn local_shard(
    node: &Arc<Node>,
    shards: &Mutex<HashMap<ShardKey, Arc<Shard>>>,
    key: &ShardKey,
    sharers: u32,
) -> Option<Arc<Shard>> {
    if let Some(shard) = runtime::lock(shards).get(key) {
        return Some(shard.clone());
    }
    let service: Service = node.get_force()?.document.get_service(&key.0)?.clone();
    let queue = Queue::new(service.slots, service.prefill_tokens_per_second)
        .shared_by(sharers)
        .policy(node.settings.routing.policy);
    let shard = Arc::new(Shard::new(node.clock, queue));
    sync(node, key, &shard);
    let mut shards = runtime::lock(shards);
    Some(shards.entry(key.clone()).or_insert(shard).clone())
}

fn sync(node: &Arc<Node>, key: &ShardKey, shard: &Shard) {
    let Some(force) = node.get_force() else { return };
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
        queue.set_weights(force.document.groups.iter().map(|g| (g.name.as_str(), g.weight)));
    });
}
