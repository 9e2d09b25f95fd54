//! Exchanges copies of the origins of streams with the nodes that hold them, and queries these nodes.

use std::net::SocketAddr;
use std::slice;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::members::{Entry, Members};
use keeljunction_core::serving::stream_origin::{
    Answer, Batch, Decision, HolderId, Key, PossibleOrigins, decide,
};

use super::message::Message;
use crate::node::state::State;
use crate::node::{Node, stream_archive, stream_origins};

/// The timeout for the answers of all holders: several round trips within a region, and the
/// scheduling delay of a task on a small VM.
///
/// For holders in other regions the timeout follows the measured round-trip times.
const ASK_TIMEOUT_MS: Millis = 40;
/// The timeout while the stream would be refused without a further answer.
const UNDECIDED_ASK_TIMEOUT_MS: Millis = 150;

/// The maximum number of readers that confirm a stream's origin.
const MAX_ASKED_READERS: usize = 2;

/// The answers of other nodes about the origin of a stream.
pub(in crate::node) struct Inquiry {
    /// The number of nodes that were queried.
    pub asked: usize,
    /// The answers received before the timeout, or up to the first record.
    pub answers: Vec<Answer>,
}

/// Sends copies of records to one of their holders.
pub(in crate::node) async fn send(node: &Node, holder: SocketAddr, batches: Vec<Batch>) {
    node.link.send(node.now(), holder, &Message::StreamOrigins(batches)).await;
}

/// Queries the holders of a stream's record at once. Returns when the first one has a record, when all
/// have answered, or after the timeout. `own` is this node's knowledge.
///
/// If the stream would be refused, further nodes are queried: the holders may just have been
/// replaced.
pub(in crate::node) async fn ask(
    node: &Node,
    key: Key,
    services: &[&str],
    own: &Answer,
) -> Inquiry {
    let now = node.now();
    let (first, others) = node.with(|state| {
        let ranking = state.members.get_holder_ranking(now);
        let first = ranking.list_asked_holders(key.get_number());
        let others = ranking.list_widely_asked_holders(key.get_number());
        (list_others(&state.members, &first), list_others(&state.members, &others))
    });
    let answers = ask_holders(node, key, services, own, &first).await;
    let mut inquiry = Inquiry { asked: first.len(), answers };
    if decide(own, &inquiry.answers) == Decision::Unknown && !others.is_empty() {
        inquiry.asked += others.len();
        inquiry.answers.extend(ask_holders(node, key, services, own, &others).await);
    }
    inquiry
}

fn list_others(members: &Members, holders: &[&Entry]) -> Vec<SocketAddr> {
    let others = holders.iter().filter(|holder| !members.is_own(holder));
    others.map(|holder| holder.address).collect()
}

/// Asks some nodes at once for the record of a stream.
async fn ask_holders(
    node: &Node,
    key: Key,
    services: &[&str],
    own: &Answer,
    holders: &[SocketAddr],
) -> Vec<Answer> {
    let query = node.pending_stream_origins.begin_many(holders.len());
    let services = services.iter().map(|service| (*service).to_owned()).collect();
    let message = Message::QueryStreamOrigin { query_id: query.id, key, services };
    let asked_at = node.now();
    for holder in holders {
        node.link.send(asked_at, *holder, &message).await;
    }
    let timeout = get_timeout(node, holders);
    let mut answers = Vec::new();
    while answers.len() < holders.len() && !answers.iter().any(Answer::is_recorded) {
        let is_undecided = decide(own, &answers) == Decision::Unknown;
        let timeout = if is_undecided { timeout.max(UNDECIDED_ASK_TIMEOUT_MS) } else { timeout };
        let remaining = (asked_at + timeout).saturating_sub(node.now());
        let Some(answer) = query.wait(Duration::from_millis(remaining)).await else { break };
        answers.push(answer);
    }
    answers
}

/// Asks nodes that read the platform's tables for what is known of a stream's origin as of a time
/// after this call began. Returns the first answer that proves that; `None` if there is none in time.
pub(in crate::node) async fn ask_readers(
    node: &Node,
    key: Option<Key>,
    services: &[&str],
) -> Option<Answer> {
    let mut readers = node.with(|state| state.members.list_table_readers());
    fastrand::shuffle(&mut readers);
    readers.truncate(MAX_ASKED_READERS);
    let query = node.pending_stream_origins.begin_many(readers.len());
    let services = services.iter().map(|service| (*service).to_owned()).collect();
    let message = Message::ConfirmStreamOrigin { query_id: query.id, key, services };
    let asked_at = node.now();
    for reader in &readers {
        node.link.send(asked_at, *reader, &message).await;
    }
    let timeout = get_timeout(node, &readers).max(UNDECIDED_ASK_TIMEOUT_MS);
    for _ in &readers {
        let remaining = (asked_at + timeout).saturating_sub(node.now());
        let answer = query.wait(Duration::from_millis(remaining)).await?;
        if answer.is_conclusive() {
            return Some(answer);
        }
    }
    None
}

/// Asks the archivist of a stream's shard for what is archived; `None` if it does not answer in time, or
/// could not read the shard.
pub(in crate::node) async fn ask_archivist(
    node: &Node,
    key: Key,
    archivist: SocketAddr,
) -> Option<Answer> {
    let query = node.pending_stream_origins.begin();
    let message = Message::QueryArchivedOrigin { query_id: query.id, key };
    node.link.send(node.now(), archivist, &message).await;
    let timeout = get_timeout(node, &[archivist]).max(UNDECIDED_ASK_TIMEOUT_MS);
    query.wait(Duration::from_millis(timeout)).await
}

/// Returns the timeout for the answers of all holders.
fn get_timeout(node: &Node, holders: &[SocketAddr]) -> Millis {
    let regions = holders.iter().filter_map(|holder| node.link.get_remote_region(*holder));
    let regions: Vec<String> = regions.collect();
    node.with(|state| {
        let timeouts =
            regions.iter().map(|region| state.round_trips.get_timeout(region, ASK_TIMEOUT_MS));
        timeouts.max().unwrap_or(ASK_TIMEOUT_MS)
    })
}

/// Returns this node's knowledge of a stream's origin.
pub(in crate::node) fn get_answer(
    state: &State,
    now: Millis,
    key: Option<Key>,
    services: &[&str],
) -> Answer {
    if let Some(standing) = key.and_then(|key| state.stream_origins.find(now, key)) {
        return standing.into();
    }
    let possible =
        services.iter().map(|service| (*service, state.version_history.get_possible(now, service)));
    Answer::Unknown(PossibleOrigins::collect(possible))
}

/// Merges the copies that another node sent, and confirms them.
pub(super) async fn handle_copies(node: &Node, from: SocketAddr, batches: &[Batch]) {
    let now = node.now();
    node.with(|state| batches.iter().for_each(|batch| state.stream_origins.merge(now, batch)));
    let streams = batches.iter().flat_map(|batch| &batch.streams);
    let keys = streams.map(|stream| stream.key).collect();
    let message = Message::StreamOriginsStored { holder: get_own_id(node), keys };
    node.link.send(now, from, &message).await;
}

/// Records that another node has stored copies.
pub(super) fn handle_stored(node: &Node, holder: HolderId, keys: &[Key]) {
    node.with(|state| state.stream_origins.confirm(holder, keys));
}

/// Requests the copies that this node should hold from nodes that have not answered yet, for some
/// time after its start.
pub(in crate::node) async fn request_copies(node: &Node) {
    let now = node.now();
    let holders = node.with(|state| {
        let State { members, stream_recovery, .. } = state;
        let due = stream_recovery.take_due(now, members.iter_holders());
        let entries = due.iter().filter_map(|holder| members.get_holder(*holder));
        entries.map(|entry| entry.address).collect()
    });
    let message = Message::RequestStreamOrigins(node.get_entry());
    node.link.send_to_all(now, holders, &message).await;
}

/// Sends a node that has started the copies that it should hold.
pub(super) async fn answer_request(node: Arc<Node>, from: SocketAddr, entry: Entry) {
    let now = node.now();
    node.with(|state| state.members.merge_entries(now, slice::from_ref(&entry)));
    stream_origins::restore(&node, &entry, from).await;
    let records = node.with(|state| state.stream_origins.len()) as u32;
    let message = Message::StreamOriginsSent { holder: get_own_id(&node), records };
    node.link.send(node.now(), from, &message).await;
}

/// Records that a node has answered the request for copies.
pub(super) fn handle_sent(node: &Node, holder: HolderId, records: u32) {
    node.with(|state| state.stream_recovery.record_answer(holder, records));
}

fn get_own_id(node: &Node) -> HolderId {
    short_id(&node.incarnation.node)
}

/// Answers the query of another node.
pub(super) async fn answer_query(
    node: &Node,
    from: SocketAddr,
    query_id: u32,
    key: Key,
    services: &[String],
) {
    let now = node.now();
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    let answer = node.with(|state| get_answer(state, now, Some(key), &services));
    node.link.send(now, from, &Message::StreamOrigin { query_id, answer }).await;
}

/// Answers the query of another node after this node has read the tables itself. Without that, the
/// answer proves nothing.
pub(super) async fn answer_confirmation(
    node: Arc<Node>,
    from: SocketAddr,
    query_id: u32,
    key: Option<Key>,
    services: Vec<String>,
) {
    let is_read = stream_origins::confirmation::read(&node).await;
    let now = node.now();
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    let answer = match is_read {
        true => node.with(|state| get_answer(state, now, key, &services)),
        false => Answer::Unknown(PossibleOrigins::default()),
    };
    node.link.send(now, from, &Message::StreamOrigin { query_id, answer }).await;
}

/// Answers the query of another node after this node has read the shard of the stream.
pub(super) async fn answer_archived(node: Arc<Node>, from: SocketAddr, query_id: u32, key: Key) {
    // The other node reads the shard itself if it gets no answer.
    let Some(answer) = stream_archive::read(&node, key).await else { return };
    node.link.send(node.now(), from, &Message::StreamOrigin { query_id, answer }).await;
}

/// Handles an answer. One that arrives too late, or after the first record, is not needed.
pub(super) fn handle_answer(node: &Node, query_id: u32, answer: Answer) {
    if !node.pending_stream_origins.deliver(query_id, answer) {
        log::debug!("an answer about the origin of a stream was not needed any more");
    }
}
