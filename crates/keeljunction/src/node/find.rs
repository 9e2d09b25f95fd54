//! Finds the answer of a caller that comes back.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::StreamExt;
use keeljunction_core::member::State;
use keeljunction_core::rendezvous;

use super::request::succession_key;
use super::state::Held;
use super::{Answer, Node, copy, ending, takeover};
use crate::peer::wire;
use crate::runtime;

/// Nodes of the succession list that are queried.
const QUERIED: usize = 4;
/// Time for one answer. It delays requests that came with a key while a node sleeps unnoticed.
const CALL: Duration = Duration::from_millis(250);
/// How often the answer is looked for again when the node that held it is gone.
const SEARCHES: u32 = 20;
/// How often the node that has a claim is queried, until it confirms that it runs the request.
const RUNNER_LOOKS: u32 = 4;
const RUNNER_PAUSE: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(250);

/// What is known of a request somewhere else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// A node runs it or has its answer; the address is for peers.
    At(String),
    /// This node has taken it over.
    Here,
    /// The key was used for another request.
    Mismatch,
    /// None of the queried nodes knows it.
    Nowhere,
}

/// Lets an answer follow one that is known elsewhere; returns `true` if there is one.
pub async fn resume(node: &Arc<Node>, answer: &Arc<Answer>) -> bool {
    match search(node, answer).await {
        Found::Nowhere => false,
        Found::Here => true,
        Found::Mismatch => {
            let ended = super::answer::not_run(422, "the key was used for another request", 0);
            ending::refuse(node, answer, ended);
            true
        }
        Found::At(address) => {
            answer.accept();
            mirror(node, answer, address).await;
            true
        }
    }
}

/// Lets an answer follow the named node, if that soon answers for the request.
pub async fn follow_at(node: &Arc<Node>, answer: &Arc<Answer>, runner: &str) -> bool {
    for _ in 0..RUNNER_LOOKS {
        if let Some(address) = ask_owner(node, answer, runner).await {
            answer.accept();
            mirror(node, answer, address).await;
            return true;
        }
        runtime::sleep(RUNNER_PAUSE).await;
    }
    false
}

async fn search(node: &Arc<Node>, answer: &Arc<Answer>) -> Found {
    let id = answer.request.get_id();
    let held = runtime::lock(&node.records).get(&id).cloned();
    if let Some(held) = held.filter(|held| !held.is_spent()) {
        if held.record.body_digest != answer.request.digest {
            return Found::Mismatch;
        }
        if let Some(address) = ask_owner(node, answer, &held.record.owner).await {
            return Found::At(address);
        }
        takeover::revive_into(node, answer, held).await;
        return Found::Here;
    }
    let peers = succession_list(node, answer);
    if peers.is_empty() {
        search_store(node, answer).await
    } else {
        search_peers(node, answer, &peers).await
    }
}

/// Looks for the record in the object store, where there is no peer to ask.
async fn search_store(node: &Arc<Node>, answer: &Arc<Answer>) -> Found {
    let Some(record) = copy::read_stored(node, &answer.request).await else {
        return Found::Nowhere;
    };
    if record.body_digest != answer.request.digest {
        return Found::Mismatch;
    }
    let now = node.now();
    let held = Held { deadline: now + record.deadline_left_ms, since: now, record };
    takeover::revive_into(node, answer, held).await;
    Found::Here
}

/// Asks all peers at once; the first in the list that knows the request counts.
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
            return Found::At(address);
        }
        if let Some(owner) = ask_owner(node, answer, &reply.owner).await {
            return Found::At(owner);
        }
        if ask(node, answer, &address, true).await.is_some_and(|reply| reply.here) {
            return Found::At(address);
        }
    }
    Found::Nowhere
}

/// Returns the address of the owner, if it still answers for the request.
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
    node.peers.call(address, CALL, |mut peer| async move { peer.find(message).await }).await.ok()
}

fn succession_list(node: &Node, answer: &Answer) -> Vec<String> {
    let key = succession_key(&answer.request.account, &answer.request.key);
    let members = runtime::lock(&node.members);
    let others = members.iter().filter(|m| m.state != State::Dead && m.name != node.get_name());
    let names: Vec<&str> = others.map(|member| member.name.as_str()).collect();
    let order = rendezvous::rank(&key, names.into_iter());
    order.into_iter().take(QUERIED).map(str::to_owned).collect()
}

/// Follows an answer at another node, and finds it again where that node goes.
async fn mirror(node: &Arc<Node>, answer: &Arc<Answer>, address: String) {
    let mut address = address;
    for _ in 0..SEARCHES {
        if follow(node, answer, &address).await {
            return;
        }
        runtime::sleep(PAUSE).await;
        match search(node, answer).await {
            Found::At(another) => address = another,
            Found::Here => return,
            Found::Mismatch | Found::Nowhere => {}
        }
    }
    let lost = super::answer::unknown(502, "the node that had the answer is gone", 0);
    answer.finish(node.now(), lost);
}

/// Reads an answer from another node; returns true once it has ended.
async fn follow(node: &Node, answer: &Answer, address: &str) -> bool {
    let (account, key) = answer.request.get_id();
    let message = wire::FollowRequest { account, key, from_offset: answer.get_length() };
    let called =
        node.peers.call(address, CALL, |mut peer| async move { peer.follow(message).await });
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
