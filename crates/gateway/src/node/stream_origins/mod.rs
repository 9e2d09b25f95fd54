//! Records which software version began each stream, and keeps copies of the records at other nodes.
//!
//! A copy is sent before the first event, so that a caller that has received an event can resume the
//! stream at any node. [`keeljunction_core::serving::stream_origin`] decides which nodes get copies.

pub(in crate::node) mod confirmation;
mod copies;

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use keeljunction_core::Millis;
use keeljunction_core::serving::load::short_id;
use keeljunction_core::serving::members::{Entry, HolderRanking, Members};
use keeljunction_core::serving::stream_origin::{
    Answer, Batch, Decision, HolderId, Key, Origin, Record, Shard, Standing, decide,
    decide_archived, decide_confirmed,
};

use self::copies::Copies;
use super::peers::stream_origins as peers;
use super::state::State;
use super::{Node, stream_archive};
use crate::metrics::ReasonLabels;
use crate::runtime;

/// The interval between checks for copies to be sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The number of records whose holders are found before other tasks run.
const RECORDS_PER_TURN: usize = 64;
/// The pause between two turns, in which other tasks run.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// The number of datagrams that are sent without a pause.
const DATAGRAMS_PER_BURST: usize = 8;
/// The pause after that number of datagrams.
const BURST_PAUSE: Duration = Duration::from_millis(4);

/// Why copies of records are sent, as in the metrics.
#[derive(Clone, Copy, Debug)]
enum Reason {
    /// A stream has begun or was resumed.
    Begin,
    /// Fewer nodes hold a copy than should.
    Repair,
    /// Another node has started and requested its copies.
    Recovery,
    /// This node shuts down.
    HandOver,
}

impl Reason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Begin => "begin",
            Self::Repair => "repair",
            Self::Recovery => "recovery",
            Self::HandOver => "hand_over",
        }
    }
}

/// A stream that runs at this node until this is dropped.
pub(crate) struct RunningStream {
    node: Arc<Node>,
    key: Key,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node.with(|state| state.stream_origins.end(now, self.key));
    }
}

/// The origin of a stream that a request resumes.
#[derive(Debug)]
pub(crate) struct Finding {
    /// Who may continue the stream.
    pub decision: Decision,
    /// The search at other nodes; `None` if this node needed none.
    pub search: Option<Search>,
}

/// A search for the origin of a stream at other nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Search {
    /// The number of nodes that were queried.
    pub asked: usize,
    /// The number of nodes that answered.
    pub answered: usize,
    /// How long it took, in milliseconds.
    pub took: Millis,
}

/// Records the origin of a stream that this node begins or resumes, and sends copies of the record.
pub(crate) async fn begin(
    node: &Arc<Node>,
    key: Key,
    origin: &Origin,
    expires_at: Millis,
) -> RunningStream {
    let now = node.now();
    let copies = node.with(|state| {
        state.stream_origins.begin(now, key, origin, expires_at);
        plan_copies(state, now, &[key])
    });
    send_copies(node, copies, Reason::Begin).await;
    RunningStream { node: node.clone(), key }
}

/// Finds the origin of a stream on a route with the given services. `key` is `None` if the request
/// does not name the stream.
pub(crate) async fn find(node: &Arc<Node>, key: Option<Key>, services: &[&str]) -> Finding {
    let now = node.now();
    let own = node.with(|state| peers::get_answer(state, now, key, services));
    let Some(key) = key.filter(|_| !own.is_recorded()) else {
        return Finding { decision: settle(node, key, services, &own, &[]).await, search: None };
    };
    let inquiry = peers::ask(node, key, services, &own).await;
    let mut decision = settle(node, Some(key), services, &own, &inquiry.answers).await;
    if decision == Decision::Unknown {
        decision = decide_archived(stream_archive::find(node, key).await.as_ref());
    }
    let search =
        Search { asked: inquiry.asked, answered: inquiry.answers.len(), took: node.now() - now };
    Finding { decision, search: Some(search) }
}

/// Decides who may continue a stream. That a version is the only possible one is confirmed first.
async fn settle(
    node: &Node,
    key: Option<Key>,
    services: &[&str],
    own: &Answer,
    answers: &[Answer],
) -> Decision {
    match decide(own, answers) {
        Decision::OnlyVersion(_) => {
            let confirmed = confirmation::confirm(node, key, services).await;
            decide_confirmed(own, answers, confirmed.as_ref())
        }
        decision => decision,
    }
}

/// Sends the copies that are missing, until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        runtime::sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let due = node.with(|state| {
            state.stream_origins.expire(now);
            state.stream_origins.list_due(now)
        });
        let mut copies = Copies::default();
        for keys in due.chunks(RECORDS_PER_TURN) {
            copies.merge(node.with(|state| plan_copies(state, now, keys)));
            if keys.len() == RECORDS_PER_TURN {
                runtime::sleep(TURN_PAUSE).await;
            }
        }
        send_copies(&node, copies, Reason::Repair).await;
        peers::request_copies(&node).await;
    }
}

/// Sends the records of a node that shuts down to the nodes that hold them afterwards.
pub(super) async fn hand_over(node: &Node) {
    let copies = collect(node, |ranking, record| {
        let holders = ranking.list_copy_holders(record.key.get_number());
        holders.into_iter().map(|entry| entry.address).collect()
    });
    send_copies(node, copies.await, Reason::HandOver).await;
}

/// Sends a node that has started the copies that it should hold, to the address that it sent its
/// request from. The known entry may still have the address of its former process.
pub(super) async fn restore(node: &Node, entry: &Entry, address: SocketAddr) {
    node.with(|state| state.stream_origins.forget_holder(short_id(&entry.name)));
    let copies = collect(node, |ranking, record| {
        let is_asked = ranking.is_asked(record.key.get_number(), entry);
        is_asked.then_some(address).into_iter().collect()
    });
    send_copies(node, copies.await, Reason::Recovery).await;
}

/// Collects copies of all records, of this node's streams and of others, for the addresses that
/// `select` returns for each.
async fn collect(
    node: &Node,
    select: impl Fn(&HolderRanking<'_>, &Record) -> Vec<SocketAddr>,
) -> Copies {
    let now = node.now();
    let records = node.with(|state| state.stream_origins.list(now));
    let mut copies = Copies::default();
    for turn in records.chunks(RECORDS_PER_TURN) {
        node.with(|state| {
            let ranking = state.members.get_holder_ranking(now);
            for record in turn {
                for address in select(&ranking, record) {
                    copies.add(address, record.clone());
                }
            }
        });
        runtime::sleep(TURN_PAUSE).await;
    }
    copies
}

/// Plans the copies of records of this node's streams.
fn plan_copies(state: &mut State, now: Millis, keys: &[Key]) -> Copies {
    let State { members, stream_origins, version_history, .. } = state;
    let ranking: OnceCell<HolderRanking<'_>> = OnceCell::new();
    let is_mixed = |record: Option<Record>| match record.map(|record| record.standing) {
        Some(Standing::Known(origin)) => version_history.is_mixed(now, &origin.service),
        Some(Standing::Ambiguous) | None => false,
    };
    let mut copies = Copies::default();
    for key in keys {
        let is_live = |holder| members.is_live_holder(now, holder);
        let rank = || {
            let ranking = ranking.get_or_init(|| members.get_holder_ranking(now));
            let candidates = ranking.list_candidates(key.get_number()).into_iter();
            candidates.map(|entry| short_id(&entry.name)).collect()
        };
        let is_archived = is_mixed(stream_origins.get_record(now, *key));
        let archivist = is_archived.then(|| {
            let ranking = ranking.get_or_init(|| members.get_holder_ranking(now));
            get_other_archivist(ranking, members, *key)
        });
        stream_origins.set_archivist(*key, archivist.flatten());
        let holders = stream_origins.plan_copies(now, *key, is_live, rank);
        let Some(record) = stream_origins.get_record(now, *key) else { continue };
        let holders = holders.into_iter().filter_map(|holder| members.get_holder(holder));
        for holder in holders {
            copies.add(holder.address, record.clone());
        }
    }
    copies
}

/// Returns the node that archives a stream's record; `None` if this node does.
fn get_other_archivist(
    ranking: &HolderRanking<'_>,
    members: &Members,
    key: Key,
) -> Option<HolderId> {
    let archivist = ranking.get_archivist(Shard::of(key))?;
    (!members.is_own(archivist)).then(|| short_id(&archivist.name))
}

/// Sends copies of records to their holders, with pauses so that they do not overflow the queue of a
/// narrow link.
async fn send_copies(node: &Node, copies: Copies, reason: Reason) {
    let labels = ReasonLabels { reason: reason.as_str().to_owned() };
    let mut sent = 0;
    for (address, records) in copies {
        node.metrics.stream_copies.get_or_create(&labels).inc_by(records.len() as u64);
        for batches in Batch::pack(records) {
            peers::send(node, address, batches).await;
            sent += 1;
            if sent % DATAGRAMS_PER_BURST == 0 {
                runtime::sleep(BURST_PAUSE).await;
            }
        }
    }
}
