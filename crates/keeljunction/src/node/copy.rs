//! Copies of a request's record: at one peer, or in the object store where there is no peer.
//!
//! The peer is the first of the key's succession list that is not this node and stands in
//! another data centre where there is a choice, so that any node a caller comes back to knows
//! whom to ask.

use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::bundle;
use keeljunction_core::outcome::Outcome;
use keeljunction_core::rendezvous;
use prost::Message;

use super::answer::Attempt;
use super::{Answer, Node, Request};
use crate::peer::wire;
use crate::runtime;

/// Peers that are tried in turn.
const TRIES: usize = 3;
const CALL: Duration = Duration::from_millis(500);
/// Time between two messages about the same request at least.
const PAUSE: Duration = Duration::from_millis(100);
/// Messages that may fail one after another before another holder is looked for.
const FAILURES: u32 = 3;

/// Where a record is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// At a peer, by name, with so many tokens of the answer.
    Peer(String, u64),
    /// In the object store.
    Store,
}

/// Copies the record of a request; `None` where neither a peer nor the store took it.
pub async fn place(node: &Node, answer: &Answer) -> Option<Place> {
    let record = full_record(node, answer);
    let copied = record.tokens.len() as u64;
    let mut nodes = node.usable_nodes();
    for _ in 0..TRIES {
        let Some(holder) = pick(node, &answer.request, &nodes) else { break };
        let message =
            wire::HoldRequest { record: Some(record.clone()), ..wire::HoldRequest::default() };
        if send(node, &holder, message).await {
            return Some(Place::Peer(holder, copied));
        }
        nodes.retain(|(name, _)| *name != holder);
    }
    node.metric.count("records_in_store", 1);
    let key = object_key(&answer.request);
    let stored = node.platform.put_object(&key, record.encode_to_vec().into());
    stored.await.is_ok().then_some(Place::Store)
}

/// Keeps the copy up to date until the answer has ended.
pub fn keep(node: &Arc<Node>, answer: &Arc<Answer>, place: Place) {
    let (node, answer) = (node.clone(), answer.clone());
    runtime::spawn(async move {
        let mut place = place;
        while let Place::Peer(holder, copied) = &place {
            match pump(&node, &answer, holder, *copied).await {
                Pumped::Ended => return,
                Pumped::Lost => match self::place(&node, &answer).await {
                    Some(another) => place = another,
                    None => return,
                },
            }
        }
    });
}

/// Gives a request up to the holder of its record, or to the object store.
pub async fn hand_over(node: &Node, answer: &Answer) -> bool {
    let message = wire::HoldRequest {
        record: Some(full_record(node, answer)),
        handover: true,
        ..wire::HoldRequest::default()
    };
    let nodes = node.usable_nodes();
    match pick(node, &answer.request, &nodes) {
        Some(holder) => send(node, &holder, message).await,
        None => place(node, answer).await.is_some(),
    }
}

/// Lets the holder forget a request that did not run.
pub async fn forget(node: &Node, answer: &Answer, place: &Place) {
    if let Place::Peer(holder, _) = place {
        let record = wire::Record {
            r#final: Some(super::answer::not_run(503, "refused", 0)),
            body: Vec::new(),
            ..full_record(node, answer)
        };
        let message = wire::HoldRequest {
            record: Some(record),
            progress: true,
            ..wire::HoldRequest::default()
        };
        send(node, holder, message).await;
    }
}

/// Reads the record of a request from the object store.
pub async fn read_stored(node: &Node, request: &Request) -> Option<wire::Record> {
    let stored = node.platform.get_object(&object_key(request)).await.ok()?;
    wire::Record::decode(stored).ok()
}

/// Names the object of a record.
fn object_key(request: &Request) -> String {
    let name = format!("{}\0{}", request.account, request.key);
    format!("record-{}", bundle::digest(name.as_bytes()))
}

/// Returns `true` if an end leaves nothing to remember.
pub fn is_forgotten(ended: &wire::Final) -> bool {
    ended.outcome == Outcome::NotRun.as_str()
}

enum Pumped {
    Ended,
    Lost,
}

/// Sends what is new to the holder, until the answer has ended or the holder goes.
///
/// The tokens are at the engine, and a holder attaches to the running attempt there. So the copy
/// needs the attempt at once, and the tokens only now and then, unless the engine's VM or this
/// node is known to go.
async fn pump(node: &Node, answer: &Answer, holder: &str, copied: u64) -> Pumped {
    let period = Duration::from_millis(node.settings.times.progress_ms);
    let mut acknowledged = copied;
    let mut known: Option<Attempt> = None;
    let mut failures = 0;
    loop {
        runtime::timeout(period, answer.pressing(acknowledged, known.as_ref())).await;
        if !node.usable_nodes().iter().any(|(name, _)| name == holder) {
            return Pumped::Lost;
        }
        let news = answer.get_since(acknowledged);
        let attempt = answer.get_attempt();
        let is_last = news.ended.is_some();
        let count = news.tokens.len() as u64;
        if !is_last && count == 0 && attempt == known {
            continue;
        }
        let message = progress(node, answer, acknowledged, news, attempt.as_ref());
        if send(node, holder, message).await {
            failures = 0;
            acknowledged += count;
            known = attempt;
            if is_last {
                return Pumped::Ended;
            }
        } else {
            failures += 1;
            if failures >= FAILURES {
                return Pumped::Lost;
            }
        }
        runtime::sleep(PAUSE).await;
    }
}

fn progress(
    node: &Node,
    answer: &Answer,
    from_offset: u64,
    news: super::answer::News,
    attempt: Option<&Attempt>,
) -> wire::HoldRequest {
    let request = &answer.request;
    let record = wire::Record {
        account: request.account.clone(),
        key: request.key.clone(),
        owner: node.get_name().to_owned(),
        tokens: news.tokens,
        r#final: news.ended,
        ..with_attempt(wire::Record::default(), attempt)
    };
    wire::HoldRequest { record: Some(record), progress: true, from_offset, handover: false }
}

fn full_record(node: &Node, answer: &Answer) -> wire::Record {
    let news = answer.get_since(0);
    let record = answer.request.to_record(node.now(), node.get_name());
    let record = wire::Record { tokens: news.tokens, r#final: news.ended, ..record };
    with_attempt(record, answer.get_attempt().as_ref())
}

fn with_attempt(record: wire::Record, attempt: Option<&Attempt>) -> wire::Record {
    match attempt {
        None => record,
        Some(attempt) => wire::Record {
            attempt: attempt.id.clone(),
            server: attempt.server.clone(),
            server_address: attempt.address.clone(),
            ..record
        },
    }
}

/// Picks the holder; `None` where there is no live peer.
fn pick(node: &Node, request: &Request, nodes: &[(String, String)]) -> Option<String> {
    let (me, data_centre) = (node.get_name(), node.settings.node.data_centre.as_str());
    let key = request.get_succession_key();
    rendezvous::replica(&key, me, data_centre, nodes).map(str::to_owned)
}

async fn send(node: &Node, holder: &str, message: wire::HoldRequest) -> bool {
    let Some(address) = node.get_peer_address(holder) else { return false };
    let held = node.peers.call(&address, CALL, |mut peer| async move { peer.hold(message).await });
    held.await.is_ok_and(|reply| reply.held)
}
