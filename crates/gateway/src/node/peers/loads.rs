//! Keeps and asks for the loads of servers, where nodes report in groups.
//!
//! Each server's load is kept by one of the aggregators, which all nodes find by themselves. Nodes
//! tell it at once what they send to the server, and soon what ends there. Before a node chooses, it
//! asks for the loads of the few servers that it considers. What that costs depends on the requests
//! and not on the number of nodes, and the answer is some milliseconds old.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::Millis;
use keeljunction_core::serving::load::{Load, short_id};

use super::message::Message;
use crate::node::Node;
use crate::runtime::{self, lock};

/// How long answers are waited for: some times the way there and back within a region. A server
/// whose load is not known by then is judged by what this node sent there itself.
const ANSWERS_WITHIN: Duration = Duration::from_millis(25);
/// How long an answer counts.
const ANSWER_VALID_FOR: Millis = 100;
/// What a node has in flight counts for this long after it was told, where nothing more is heard.
const CHANGE_VALID_FOR: Millis = 2_500;
/// Reports between two repetitions of all that this node has in flight.
const REPEAT_TURNS: u64 = 4;
/// First tokens and ends of requests gather for this long: a server looks busier than it is
/// meanwhile.
const GATHER: Duration = Duration::from_millis(40);
/// Changes that wait to be sent; more are dropped, and are repeated with all the others.
const MOST_CHANGES: usize = 1_024;
/// Answers are kept under this name, which no node bears.
const ANSWERS: &str = "";

/// Questions that wait for answers, and changes that wait to be sent.
#[derive(Debug)]
pub(in crate::node) struct Pending {
    next: AtomicU32,
    waiting: Mutex<HashMap<u32, Question>>,
    changes: (Sender<Change>, Receiver<Change>),
}

#[derive(Debug)]
struct Question {
    answers_missing: usize,
    done: Sender<()>,
}

/// A change of what this node has in flight at a server.
#[derive(Clone, Copy, Debug)]
struct Change {
    server: u64,
    /// Whether a request is being sent there, which others must know before they choose.
    is_urgent: bool,
}

impl Default for Pending {
    fn default() -> Self {
        let changes = async_channel::bounded(MOST_CHANGES);
        Self { next: AtomicU32::default(), waiting: Mutex::default(), changes }
    }
}

impl Pending {
    fn begin(&self, answers_missing: usize) -> (u32, Receiver<()>) {
        let (done, receiver) = async_channel::bounded(1);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.waiting).insert(number, Question { answers_missing, done });
        (number, receiver)
    }

    fn answer(&self, number: u32) {
        let mut waiting = lock(&self.waiting);
        let Some(question) = waiting.get_mut(&number) else { return };
        question.answers_missing = question.answers_missing.saturating_sub(1);
        if question.answers_missing == 0 {
            // The one who asks may have given up.
            let _ = question.done.try_send(());
        }
    }

    fn end(&self, number: u32) {
        lock(&self.waiting).remove(&number);
    }

    fn change(&self, change: Change) {
        if self.changes.0.try_send(change).is_err() {
            log::debug!("a changed load is told with the others");
        }
    }
}

/// Asks for the loads of some servers, and returns once they are known or the time for that is
/// over.
pub(crate) async fn ask(node: &Node, servers: &[String]) {
    let shorts: Vec<u64> = servers.iter().map(|id| short_id(id)).collect();
    let by_owner = sort_by_owner(node, shorts);
    if by_owner.is_empty() {
        return;
    }
    let (question, done) = node.pending_loads.begin(by_owner.len());
    for (owner, servers) in by_owner {
        let message = Message::AskLoads { question, node: node.incarnation.node.clone(), servers };
        node.link.send(node.now(), owner, &message).await;
    }
    if runtime::within(ANSWERS_WITHIN, done.recv()).await.is_none() {
        node.metrics.unanswered_load_questions.inc();
    }
    node.pending_loads.end(question);
}

/// Sorts servers by the node that keeps their load, without those that this node keeps itself.
fn sort_by_owner(node: &Node, servers: Vec<u64>) -> BTreeMap<SocketAddr, Vec<u64>> {
    let mut by_owner: BTreeMap<SocketAddr, Vec<u64>> = BTreeMap::new();
    node.with(|state| {
        for server in servers {
            if let Some(owner) = state.members.find_owner(server) {
                by_owner.entry(owner).or_default().push(server);
            }
        }
    });
    by_owner
}

/// Answers another node with what all but that one have in flight.
pub(super) async fn answer(
    node: &Node,
    from: SocketAddr,
    question: u32,
    asking: &str,
    servers: &[u64],
) {
    let loads = node.with(|state| {
        let others = |server: &u64| {
            let mut load = state.loads.get_others(asking, *server);
            load.add(&state.loads.get_own_of(*server));
            (*server, load)
        };
        servers.iter().map(others).collect()
    });
    node.link.send(node.now(), from, &Message::Loads { question, loads }).await;
}

/// Takes an answer.
pub(super) fn take(node: &Node, question: u32, loads: Vec<(u64, Load)>) {
    let valid_until = node.now() + ANSWER_VALID_FOR;
    node.with(|state| {
        for (server, load) in loads {
            state.loads.merge_server(valid_until, ANSWERS, server, load);
        }
    });
    node.pending_loads.answer(question);
}

/// Takes what another node has in flight at servers whose load this node keeps.
pub(super) fn take_change(node: &Node, peer: &str, loads: Vec<(u64, Load)>) {
    let valid_until = node.now() + CHANGE_VALID_FOR;
    node.with(|state| {
        for (server, load) in loads {
            state.loads.merge_server(valid_until, peer, server, load);
        }
    });
}

/// Notes that what this node has in flight at a server has changed.
pub(crate) fn note_change(node: &Node, server: &str, is_urgent: bool) {
    if node.with(|state| state.members.is_grouped()) {
        node.pending_loads.change(Change { server: short_id(server), is_urgent });
    }
}

/// Repeats all that this node has in flight, each few reports.
pub(super) fn repeat(node: &Node, turn: u64) {
    if !turn.is_multiple_of(REPEAT_TURNS) {
        return;
    }
    for (server, _) in node.with(|state| state.loads.get_own()) {
        node.pending_loads.change(Change { server, is_urgent: false });
    }
}

/// Sends changes for as long as the process runs: urgent ones at once, with all that wait.
pub(super) async fn send_changes(node: Arc<Node>) {
    let changes = &node.pending_loads.changes.1;
    while let Ok(first) = changes.recv().await {
        let mut servers = BTreeSet::from([first.server]);
        let until = node.now() + GATHER.as_millis() as Millis;
        let mut is_urgent = first.is_urgent;
        while !is_urgent {
            let left = Duration::from_millis(until.saturating_sub(node.now()));
            let Some(Ok(next)) = runtime::within(left, changes.recv()).await else { break };
            servers.insert(next.server);
            is_urgent = next.is_urgent;
        }
        while let Ok(next) = changes.try_recv() {
            servers.insert(next.server);
        }
        send_own(&node, servers).await;
    }
}

async fn send_own(node: &Node, servers: BTreeSet<u64>) {
    for (owner, servers) in sort_by_owner(node, servers.into_iter().collect()) {
        let loads = node.with(|state| {
            servers.into_iter().map(|server| (server, state.loads.get_own_of(server))).collect()
        });
        let message = Message::LoadChanged { node: node.incarnation.node.clone(), loads };
        node.link.send(node.now(), owner, &message).await;
    }
}
