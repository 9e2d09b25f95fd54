//! Replication of a request's record to one peer, or to the object store if there is no peer.
//!
//! The holder is the first other node in the rendezvous ranking for the key, preferably one
//! in another data centre. Any node that a client reconnects to can therefore compute which peers
//! to query.

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

const MAX_HOLDER_ATTEMPTS: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Failed messages in a row after which another holder is chosen.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// The location of a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// At the named peer, with this number of tokens.
    Peer(String, u64),
    /// In the object store.
    Store,
}

/// Copies the record of a request. Returns `None` if neither a peer nor the object store accepted
/// it.
pub async fn create(node: &Node, answer: &Answer) -> Option<Location> {
    let record = full_record(node, answer);
    let copied = record.tokens.len() as u64;
    let mut nodes = node.usable_nodes();
    for _ in 0..MAX_HOLDER_ATTEMPTS {
        let Some(holder) = pick_holder(node, &answer.request, &nodes) else { break };
        let message =
            wire::HoldRequest { record: Some(record.clone()), ..wire::HoldRequest::default() };
        if send(node, &holder, message).await {
            return Some(Location::Peer(holder, copied));
        }
        nodes.retain(|(name, _)| *name != holder);
    }
    node.metric.count("records_in_store", 1);
    let key = object_key(&answer.request);
    let stored = node.platform.put_object(&key, record.encode_to_vec().into());
    stored.await.is_ok().then_some(Location::Store)
}

/// Keeps the copy up to date in the background until the answer has ended.
pub fn keep_updated(node: &Arc<Node>, answer: &Arc<Answer>, location: Location) {
    let (node, answer) = (node.clone(), answer.clone());
    runtime::spawn(async move {
        let mut location = location;
        while let Location::Peer(holder, copied) = &location {
            match replicate(&node, &answer, holder, *copied).await {
                ReplicationEnd::Ended => return,
                ReplicationEnd::HolderLost => match self::create(&node, &answer).await {
                    Some(other) => location = other,
                    None => return,
                },
            }
        }
    });
}

/// Hands a request over to the holder of its record, or to the object store.
///
/// Returns `true` if the record was accepted.
pub async fn hand_over(node: &Node, answer: &Answer) -> bool {
    let message = wire::HoldRequest {
        record: Some(full_record(node, answer)),
        handover: true,
        ..wire::HoldRequest::default()
    };
    let nodes = node.usable_nodes();
    match pick_holder(node, &answer.request, &nodes) {
        Some(holder) => send(node, &holder, message).await,
        None => create(node, answer).await.is_some(),
    }
}

/// Asks the holder to discard the record of a request that did not run.
pub async fn discard(node: &Node, answer: &Answer, location: &Location) {
    if let Location::Peer(holder, _) = location {
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

/// Returns the key of a record in the object store.
fn object_key(request: &Request) -> String {
    let name = format!("{}\0{}", request.account, request.key);
    format!("record-{}", bundle::digest(name.as_bytes()))
}

/// Returns `true` if a record with this result need not be kept.
pub fn is_discardable(ended: &wire::Final) -> bool {
    ended.outcome == Outcome::NotRun.as_str()
}

enum ReplicationEnd {
    Ended,
    HolderLost,
}

/// Sends updates to the holder until the answer has ended or the holder is lost.
///
/// After a takeover the holder attaches to the running attempt, and the engine still has its
/// tokens. The attempt is therefore copied at once but the tokens only periodically, unless the
/// engine's VM or this node is known to leave.
async fn replicate(node: &Node, answer: &Answer, holder: &str, copied: u64) -> ReplicationEnd {
    let period = Duration::from_millis(node.settings.times.progress_ms);
    let mut acknowledged = copied;
    let mut replicated_attempt: Option<Attempt> = None;
    let mut failures = 0;
    loop {
        runtime::timeout(
            period,
            answer.wait_replication_due(acknowledged, replicated_attempt.as_ref()),
        )
        .await;
        if !node.usable_nodes().iter().any(|(name, _)| name == holder) {
            return ReplicationEnd::HolderLost;
        }
        let update = answer.get_since(acknowledged);
        let attempt = answer.get_attempt();
        let is_last = update.ended.is_some();
        let count = update.tokens.len() as u64;
        if !is_last && count == 0 && attempt == replicated_attempt {
            continue;
        }
        let message = progress(node, answer, acknowledged, update, attempt.as_ref());
        if send(node, holder, message).await {
            failures = 0;
            acknowledged += count;
            replicated_attempt = attempt;
            if is_last {
                return ReplicationEnd::Ended;
            }
        } else {
            failures += 1;
            if failures >= MAX_CONSECUTIVE_FAILURES {
                return ReplicationEnd::HolderLost;
            }
        }
        runtime::sleep(MIN_SEND_INTERVAL).await;
    }
}

fn progress(
    node: &Node,
    answer: &Answer,
    from_offset: u64,
    update: super::answer::Update,
    attempt: Option<&Attempt>,
) -> wire::HoldRequest {
    let request = &answer.request;
    let record = wire::Record {
        account: request.account.clone(),
        key: request.key.clone(),
        owner: node.get_name().to_owned(),
        tokens: update.tokens,
        r#final: update.ended,
        ..with_attempt(wire::Record::default(), attempt)
    };
    wire::HoldRequest { record: Some(record), progress: true, from_offset, handover: false }
}

fn full_record(node: &Node, answer: &Answer) -> wire::Record {
    let update = answer.get_since(0);
    let record = answer.request.to_record(node.now(), node.get_name());
    let record = wire::Record { tokens: update.tokens, r#final: update.ended, ..record };
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

/// Picks the holder. Returns `None` if there is no live peer.
fn pick_holder(node: &Node, request: &Request, nodes: &[(String, String)]) -> Option<String> {
    let (local, data_centre) = (node.get_name(), node.settings.node.data_centre.as_str());
    let key = request.get_ranking_key();
    rendezvous::replica(&key, local, data_centre, nodes).map(str::to_owned)
}

async fn send(node: &Node, holder: &str, message: wire::HoldRequest) -> bool {
    let Some(address) = node.get_peer_address(holder) else { return false };
    let held =
        node.peers.call(&address, CALL_TIMEOUT, |mut peer| async move { peer.hold(message).await });
    held.await.is_ok_and(|reply| reply.held)
}
