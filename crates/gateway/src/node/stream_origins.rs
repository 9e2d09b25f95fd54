//! Records which software version began each stream, and sends the records to the nodes that hold
//! them: before the first event while several versions of a service are possible, and in batches
//! otherwise, in case that another version appears while this node cannot send them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::Millis;
use keeljunction_core::serving::stream_origin::{Batch, Decision, Key, Origin, Record, decide};

use super::Node;
use super::peers::stream_origins as peers;
use super::state::State;
use crate::runtime;

/// The time between two batches of the records of services with one possible version. Records that
/// are younger are lost if the node fails.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two repetitions of the records of running streams.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of records whose holders are found before other tasks run.
const RECORDS_PER_TURN: usize = 64;
/// The pause between two turns, in which other tasks run.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// The number of services that may wait until their records are sent.
const PUBLICATION_CAPACITY: usize = 256;

/// Services whose records are to be sent to their holders.
#[derive(Debug)]
pub(super) struct Publications {
    services: (Sender<String>, Receiver<String>),
}

impl Default for Publications {
    fn default() -> Self {
        Self { services: async_channel::bounded(PUBLICATION_CAPACITY) }
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
    /// The time that other nodes were asked for, in milliseconds.
    pub asked_ms: Option<Millis>,
}

/// Records the origin of a stream that this node begins or resumes.
///
/// If several versions of the service are possible, the record is sent to its holders before this
/// returns, and with the next batch otherwise.
pub(crate) async fn begin(
    node: &Arc<Node>,
    key: Key,
    origin: &Origin,
    expires_at: Millis,
) -> RunningStream {
    let now = node.now();
    let published = node.with(|state| {
        state.stream_origins.begin(now, key, origin, expires_at);
        if !state.version_history.is_mixed(now, &origin.service) {
            state.stream_origins.queue(key);
            return None;
        }
        state.stream_origins.get_record(now, key)
    });
    if let Some(record) = published {
        publish(node, vec![record]).await;
    }
    RunningStream { node: node.clone(), key }
}

/// Finds the origin of a stream on a route with the given services. `key` is `None` if the request
/// does not name the stream.
pub(crate) async fn find(node: &Node, key: Option<Key>, services: &[&str]) -> Finding {
    let now = node.now();
    let own = node.with(|state| peers::get_answer(state, now, key, services));
    let Some(key) = key.filter(|_| !own.is_recorded()) else {
        return Finding { decision: decide(&own, &[]), asked_ms: None };
    };
    let answers = peers::ask(node, key, services, &own).await;
    Finding { decision: decide(&own, &answers), asked_ms: Some(node.now() - now) }
}

/// Sends the records of a service's streams to their holders, because a second version of the
/// service has become possible.
pub(super) fn publish_service(node: &Node, service: &str) {
    if node.stream_publications.services.0.try_send(service.to_owned()).is_err() {
        log::warn!(
            "too many services wait to send their streams; {service} sends running ones only"
        );
    }
}

/// Sends the records of services on request, until the process ends.
pub(super) async fn run_publications(node: Arc<Node>) {
    while let Ok(service) = node.stream_publications.services.1.recv().await {
        let now = node.now();
        publish(&node, node.with(|state| state.stream_origins.list_service(now, &service))).await;
    }
}

/// Sends the queued records in batches, until the process ends.
pub(super) async fn run_batches(node: Arc<Node>) {
    loop {
        runtime::sleep(BATCH_INTERVAL).await;
        let now = node.now();
        publish(&node, node.with(|state| state.stream_origins.take_queued(now))).await;
    }
}

/// Sends the records of running streams again and again, until the process ends: datagrams get lost,
/// and holders restart.
pub(super) async fn run_repetitions(node: Arc<Node>) {
    loop {
        runtime::sleep(REPEAT_INTERVAL).await;
        let now = node.now();
        let running = node.with(|state| {
            state.stream_origins.expire(now);
            list_running(state, now)
        });
        publish(&node, running).await;
    }
}

/// Lists the records of running streams of services with several possible versions.
fn list_running(state: &State, now: Millis) -> Vec<Record> {
    let Some(configuration) = &state.configuration else { return Vec::new() };
    let services = configuration.services.keys();
    let mixed: Vec<&String> =
        services.filter(|service| state.version_history.is_mixed(now, service)).collect();
    if mixed.is_empty() {
        return Vec::new();
    }
    state.stream_origins.list_running(now, |service| mixed.iter().any(|mixed| *mixed == service))
}

/// Sends records to their holders.
async fn publish(node: &Node, records: Vec<Record>) {
    let mut by_holder: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
    for turn in records.chunks(RECORDS_PER_TURN) {
        for record in turn {
            for holder in peers::list_record_holders(node, record.key) {
                by_holder.entry(holder).or_default().push(record.clone());
            }
        }
        if turn.len() == RECORDS_PER_TURN {
            runtime::sleep(TURN_PAUSE).await;
        }
    }
    for (holder, records) in by_holder {
        for batches in Batch::pack(records) {
            peers::send(node, holder, batches).await;
        }
    }
}
