//! Finds the answer of a client that reconnects.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::StreamExt;
use keeljunction_core::member::State;
use keeljunction_core::rendezvous;

use super::request::make_ranking_key;
use super::state::HeldRecord;
use super::{Answer, Node, copy, ending, takeover};
use crate::peer::wire;
use crate::runtime;

const MAX_QUERIED_NODES: usize = 4;
/// Timeout of one query. While a suspended node is undetected, requests with a client key wait this
/// long.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Searches for the answer after the node that had it is gone.
const MAX_SEARCHES: u32 = 20;
/// Queries to the node that holds a claim, until it confirms that it runs the request.
const MAX_RUNNER_QUERIES: u32 = 4;
const RUNNER_QUERY_INTERVAL: Duration = Duration::from_millis(50);
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// The result of a search for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Another node runs it or has its answer. Contains the peer address of that node.
    Remote(String),
    /// This node has taken it over.
    Local,
    /// The key was used for a different request.
    Mismatch,
    /// No queried node knows it.
    NotFound,
}

/// Searches for the request and follows its answer. Returns `false` if no node knows the request.
pub async fn follow_known(node: &Arc<Node>, answer: &Arc<Answer>) -> bool {
    match search(node, answer).await {
        Found::NotFound => false,
        Found::Local => true,
        Found::Mismatch => {
            let ended = super::answer::not_run(422, "the key was used for another request", 0);
            ending::refuse(node, answer, ended);
            true
        }
        Found::Remote(address) => {
            answer.set_accepted();
            mirror(node, answer, address).await;
            true
        }
    }
}

/// Follows the answer at the named node. Returns `false` if that node does not confirm the request.
pub async fn follow_runner(node: &Arc<Node>, answer: &Arc<Answer>, runner: &str) -> bool {
    for _ in 0..MAX_RUNNER_QUERIES {
        if let Some(address) = ask_owner(node, answer, runner).await {
            answer.set_accepted();
            mirror(node, answer, address).await;
            return true;
        }
        runtime::sleep(RUNNER_QUERY_INTERVAL).await;
    }
    false
}

async fn search(node: &Arc<Node>, answer: &Arc<Answer>) -> Found {
    let id = answer.request.get_id();
    let held = runtime::lock(&node.records).get(&id).cloned();
    if let Some(held) = held.filter(|held| !held.is_failed()) {
        if held.record.body_digest != answer.request.digest {
            return Found::Mismatch;
        }
        if let Some(address) = ask_owner(node, answer, &held.record.owner).await {
            return Found::Remote(address);
        }
        takeover::resume_from_record(node, answer, held).await;
        return Found::Local;
    }
    let peers = rank_peers(node, answer);
    if peers.is_empty() {
        search_store(node, answer).await
    } else {
        search_peers(node, answer, &peers).await
    }
}

/// Searches for the record in the object store. Used if there is no peer to query.
async fn search_store(node: &Arc<Node>, answer: &Arc<Answer>) -> Found {
    let Some(record) = copy::read_stored(node, &answer.request).await else {
        return Found::NotFound;
    };
    if record.body_digest != answer.request.digest {
        return Found::Mismatch;
    }
    let now = node.now();
    let held = HeldRecord { deadline: now + record.deadline_left_ms, since: now, record };
    takeover::resume_from_record(node, answer, held).await;
    Found::Local
}

/// Queries all peers concurrently. The first one in the list that knows the request decides.
async fn search_peers(node: &Arc<Node>, answer: &Arc<Answer>, peers: &[String]) -> Found {
    let addresses: Vec<String> =
        peers.iter().filter_map(|name| node.get_peer_address(name)).collect();
    let queries: Vec<_> = addresses
        .into_iter()
        .map(|address| {
            let (node, answer) = (node.clone(), answer.clone());
            runtime::spawn_with_handle(async move {
                (ask(&node, &answer, &address, false).await, address)
            })
        })
        .collect();
    for reply in queries {
        let (Some(reply), address) = reply.await else { continue };
        if !reply.known {
            continue;
        }
        if reply.body_digest != answer.request.digest {
            return Found::Mismatch;
        }
        if reply.here {
            return Found::Remote(address);
        }
        if let Some(owner) = ask_owner(node, answer, &reply.owner).await {
            return Found::Remote(owner);
        }
        if ask(node, answer, &address, true).await.is_some_and(|reply| reply.here) {
            return Found::Remote(address);
        }
    }
    Found::NotFound
}

/// Returns the address of the owner if it still runs the request or has its answer.
async fn ask_owner(node: &Node, answer: &Answer, owner: &str) -> Option<String> {
    if owner == node.get_name() {
        return None;
    }
    let address = node.get_peer_address(owner)?;
    let reply = ask(node, answer, &address, false).await?;
    (reply.known && reply.here).then_some(address)
}

async fn ask(node: &Node, answer: &Answer, address: &str, revive: bool) -> Option<wire::FindReply> {
    let (account, key) = answer.request.get_id();
    let message = wire::FindRequest { account, key, revive };
    node.peers
        .call(address, CALL_TIMEOUT, |mut peer| async move { peer.find(message).await })
        .await
        .ok()
}

fn rank_peers(node: &Node, answer: &Answer) -> Vec<String> {
    let key = make_ranking_key(&answer.request.account, &answer.request.key);
    let members = runtime::lock(&node.members);
    let others = members.iter().filter(|m| m.state != State::Dead && m.name != node.get_name());
    let names: Vec<&str> = others.map(|member| member.name.as_str()).collect();
    let order = rendezvous::rank(&key, names.into_iter());
    order.into_iter().take(MAX_QUERIED_NODES).map(str::to_owned).collect()
}

/// Follows an answer at another node, and searches for it again if that node is lost.
async fn mirror(node: &Arc<Node>, answer: &Arc<Answer>, address: String) {
    let mut address = address;
    for _ in 0..MAX_SEARCHES {
        if follow(node, answer, &address).await {
            return;
        }
        runtime::sleep(SEARCH_INTERVAL).await;
        match search(node, answer).await {
            Found::Remote(other) => address = other,
            Found::Local => return,
            Found::Mismatch | Found::NotFound => {}
        }
    }
    let lost = super::answer::unknown(502, "the node that had the answer is gone", 0);
    answer.finish(node.now(), lost);
}

/// Reads an answer from another node. Returns `true` if it was read to its end.
async fn follow(node: &Node, answer: &Answer, address: &str) -> bool {
    let (account, key) = answer.request.get_id();
    let message = wire::FollowRequest { account, key, from_offset: answer.get_length() };
    let called = node
        .peers
        .call(address, CALL_TIMEOUT, |mut peer| async move { peer.follow(message).await });
    let Ok(mut stream) = called.await else { return false };
    let idle = Duration::from_millis(node.settings.limits.idle_ms);
    loop {
        let Some(Some(Ok(reply))) = runtime::timeout(idle, stream.next()).await else {
            return false;
        };
        if reply.offset != answer.get_length() {
            return false;
        }
        answer.push(reply.tokens);
        if let Some(ended) = reply.r#final {
            answer.finish(node.now(), ended);
            return true;
        }
    }
}
