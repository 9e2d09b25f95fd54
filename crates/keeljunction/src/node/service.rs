//! The peer service: calls from other nodes.

use std::pin::Pin;
use std::sync::Arc;

use futures_lite::Stream;
use keeljunction_core::record::Tokens;
use keeljunction_core::shard::GrantRequest;
use tonic::{Request, Response, Status};

use super::grant::{self, ShardKey};
use super::request::Id;
use super::state::HeldRecord;
use super::{Answer, Node, adoption, copy, gossip, takeover};
use crate::peer::wire;
use crate::peer::wire::peer_server::Peer;
use crate::runtime;

/// The peer service of a node.
pub struct Service {
    node: Arc<Node>,
}

impl Service {
    /// Creates the peer service of a node.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

type FollowStream = Pin<Box<dyn Stream<Item = Result<wire::FollowReply, Status>> + Send>>;

#[tonic::async_trait]
impl Peer for Service {
    type FollowStream = FollowStream;

    async fn probe(
        &self,
        request: Request<wire::ProbeRequest>,
    ) -> Result<Response<wire::ProbeReply>, Status> {
        let node = &self.node;
        let probe = request.into_inner();
        let is_known = runtime::lock(&node.members).get(&probe.from).is_some();
        if let Some(news) = probe.news {
            let address = node.get_peer_address(&probe.from);
            gossip::apply(node, news, address);
        }
        let alive = probe.target.is_empty() || gossip::probe_on_behalf(node, &probe.target).await;
        let news = if is_known {
            gossip::take_updates_for(node, &probe.from)
        } else {
            gossip::full_update(node)
        };
        Ok(Response::new(wire::ProbeReply { alive, news: Some(news) }))
    }

    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::FetchReply>, Status> {
        Ok(Response::new(adoption::reply(&self.node, request.into_inner().above_roll)))
    }

    async fn hold(
        &self,
        request: Request<wire::HoldRequest>,
    ) -> Result<Response<wire::HoldReply>, Status> {
        let held = hold(&self.node, request.into_inner());
        Ok(Response::new(wire::HoldReply { held }))
    }

    async fn find(
        &self,
        request: Request<wire::FindRequest>,
    ) -> Result<Response<wire::FindReply>, Status> {
        let wire::FindRequest { account, key, revive } = request.into_inner();
        Ok(Response::new(find(&self.node, &(account, key), revive)))
    }

    async fn follow(
        &self,
        request: Request<wire::FollowRequest>,
    ) -> Result<Response<FollowStream>, Status> {
        let wire::FollowRequest { account, key, from_offset } = request.into_inner();
        let answer = runtime::lock(&self.node.answers).get(&(account, key)).cloned();
        let answer = answer.ok_or_else(|| Status::not_found("no such request"))?;
        Ok(Response::new(follow(answer, from_offset)))
    }

    async fn acquire(
        &self,
        request: Request<wire::AcquireRequest>,
    ) -> Result<Response<wire::AcquireReply>, Status> {
        Ok(Response::new(acquire(&self.node, request.into_inner()).await))
    }

    async fn settle(
        &self,
        request: Request<wire::SettleRequest>,
    ) -> Result<Response<wire::SettleReply>, Status> {
        let owner = settle(&self.node, request.into_inner());
        Ok(Response::new(wire::SettleReply { owner }))
    }
}

/// Stores a record, or applies progress to a stored one. Returns `true` if it was accepted.
fn hold(node: &Arc<Node>, message: wire::HoldRequest) -> bool {
    let Some(record) = message.record else { return false };
    let id: Id = (record.account.clone(), record.key.clone());
    let is_own = runtime::lock(&node.answers).get(&id).is_some_and(|answer| answer.is_own());
    if is_own && !message.handover {
        return false;
    }
    if message.progress {
        update(node, &id, record, message.from_offset)
    } else {
        insert(node, id, record, message.handover)
    }
}

fn insert(node: &Arc<Node>, id: Id, record: wire::Record, is_handover: bool) -> bool {
    let now = node.now();
    let mut records = runtime::lock(&node.records);
    let size: usize = records.values().map(|held| held.record.body.len()).sum();
    if size + record.body.len() > node.settings.limits.record_bytes {
        node.metric.count("records_refused", 1);
        return false;
    }
    let deadline = now + record.deadline_left_ms;
    records.insert(id.clone(), HeldRecord { record, since: now, deadline });
    drop(records);
    if is_handover {
        takeover::take_over_request(node, &id);
    }
    true
}

fn update(node: &Node, id: &Id, progress: wire::Record, from_offset: u64) -> bool {
    let mut records = runtime::lock(&node.records);
    if progress.r#final.as_ref().is_some_and(copy::is_discardable) {
        records.remove(id);
        return true;
    }
    let Some(held) = records.get_mut(id) else { return false };
    let record = &mut held.record;
    if record.owner != progress.owner {
        return false;
    }
    let mut tokens = Tokens::new(std::mem::take(&mut record.tokens));
    let is_taken = tokens.extend(from_offset, progress.tokens);
    record.tokens = tokens.into_inner();
    if !is_taken {
        return false;
    }
    if !progress.attempt.is_empty() {
        record.attempt = progress.attempt;
        record.server = progress.server;
        record.server_address = progress.server_address;
    }
    if progress.r#final.is_some() {
        record.r#final = progress.r#final;
    }
    true
}

fn find(node: &Arc<Node>, id: &Id, revive: bool) -> wire::FindReply {
    if revive {
        takeover::take_over_request(node, id);
    }
    let answer = runtime::lock(&node.answers).get(id).cloned();
    if let Some(answer) = answer.filter(|answer| answer.is_own() && !answer.is_failed()) {
        return wire::FindReply {
            known: true,
            here: true,
            owner: node.get_name().to_owned(),
            body_digest: answer.request.digest.clone(),
        };
    }
    match runtime::lock(&node.records).get(id).filter(|held| !held.is_failed()) {
        None => wire::FindReply::default(),
        Some(held) => wire::FindReply {
            known: true,
            here: false,
            owner: held.record.owner.clone(),
            body_digest: held.record.body_digest.clone(),
        },
    }
}

fn follow(answer: Arc<Answer>, from_offset: u64) -> FollowStream {
    let (sender, receiver) = async_channel::bounded(4);
    runtime::spawn(async move {
        let mut offset = from_offset;
        loop {
            let update = answer.wait_beyond(offset).await;
            let is_last = update.ended.is_some();
            let count = update.tokens.len() as u64;
            let reply = wire::FollowReply { tokens: update.tokens, offset, r#final: update.ended };
            if sender.send(Ok(reply)).await.is_err() || is_last {
                return;
            }
            offset += count;
        }
    });
    Box::pin(receiver)
}

async fn acquire(node: &Arc<Node>, message: wire::AcquireRequest) -> wire::AcquireReply {
    let key: ShardKey = (message.service, message.shard);
    let not_owner = wire::AcquireReply { not_owner: true, ..wire::AcquireReply::default() };
    if grant::owner_of(node, &key).as_deref() != Some(node.get_name()) {
        return not_owner;
    }
    let Some(shard) = grant::owned_shard(node, &key) else { return not_owner };
    let grant_request = GrantRequest {
        id: message.grant,
        group: message.group,
        priority: message.priority,
        deadline: node.now() + message.deadline_left_ms,
        wait: message.wait_ms,
        prompt_tokens: message.prompt_tokens,
        output_tokens: message.output_tokens,
        prefix: message.prefix,
        avoid: message.avoid,
    };
    match shard.acquire(grant_request, &message.node).await {
        Ok(grant) => wire::AcquireReply {
            server: grant.server,
            address: grant.address,
            cached_tokens: grant.cached_tokens,
            cost: grant.cost,
            ..wire::AcquireReply::default()
        },
        Err(refusal) => wire::AcquireReply {
            retry_after_ms: refusal.retry_after,
            ..wire::AcquireReply::default()
        },
    }
}

/// Applies a report of the grants that a node uses, has released and still holds.
///
/// Returns `true` if this node owns the shard.
pub fn settle(node: &Arc<Node>, message: wire::SettleRequest) -> bool {
    let key: ShardKey = (message.service, message.shard);
    let Some(shard) = grant::owned_shard(node, &key) else { return false };
    for id in &message.read {
        shard.with(|queue, _| queue.record_first_token(id));
    }
    for released in &message.released {
        grant::record_result(&shard, &released.server, released.failed);
        shard.release(&released.grant, Some(released.cost));
    }
    if message.full {
        let held = message.held.into_iter().map(|held| grant::from_wire(node, held)).collect();
        shard.set_held(&message.node, held);
    }
    grant::owner_of(node, &key).as_deref() == Some(node.get_name())
}
