//! Claims of requests that must not be repeated, several in one transaction.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::claim::{self, Answer, Row, Verdict};

use super::{Node, Request};
use crate::platform::{self, Commit, Fault, Transaction};
use crate::runtime;

/// Claims in one transaction at most.
const BATCH: usize = 64;
/// How long the first claim of a batch waits for others.
const GATHER: Duration = Duration::from_millis(3);
/// Claims that may wait to be written.
const WAITING: usize = 4_096;
/// How often and with what pause a row is written that nobody waits for.
const BACKGROUND_TRIES: u32 = 60;
const BACKGROUND_PAUSE: Duration = Duration::from_millis(500);

/// Claims that wait to be written.
pub struct Claims {
    sender: Sender<Pending>,
    receiver: Receiver<Pending>,
}

struct Pending {
    key: String,
    row: Row,
    reply: Sender<Result<Verdict, Fault>>,
}

impl Claims {
    /// Makes an empty queue of claims.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(WAITING);
        Self { sender, receiver }
    }
}

impl Default for Claims {
    fn default() -> Self {
        Self::new()
    }
}

/// Claims a request for an attempt.
///
/// # Errors
///
/// Returns a [`Fault`] where it is not certain that the claim stands; nothing may be sent then.
pub async fn claim(node: &Node, request: &Request, attempt: &str) -> Result<Verdict, Fault> {
    let row = make_row(node, request, attempt);
    let (reply, replied) = async_channel::bounded(1);
    let pending = Pending { key: claim::row_key(&request.account, &request.key), row, reply };
    if node.claims.sender.try_send(pending).is_err() {
        return Err(Fault::NotSent("too many claims wait".to_owned()));
    }
    let lost = |_| Err(Fault::NotSent("the claim was dropped".to_owned()));
    replied.recv().await.unwrap_or_else(lost)
}

/// Writes claims for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    while let Ok(first) = node.claims.receiver.recv().await {
        runtime::sleep(GATHER).await;
        let mut batch = vec![first];
        while batch.len() < BATCH {
            let Ok(next) = node.claims.receiver.try_recv() else { break };
            batch.push(next);
        }
        let node = node.clone();
        runtime::spawn(async move { write(&node, batch).await });
    }
}

/// Adds the answer to a claim in the background.
pub fn record(node: &Arc<Node>, request: &Request, attempt: &str, answer: Answer) {
    let row = Row { answer: Some(answer), ..make_row(node, request, attempt) };
    settle(node, claim::row_key(&request.account, &request.key), row);
}

/// Releases a claim in the background whose attempt was never sent and never will be.
pub fn release(node: &Arc<Node>, request: &Request, attempt: &str) {
    let row = Row { released: true, ..make_row(node, request, attempt) };
    settle(node, claim::row_key(&request.account, &request.key), row);
}

fn make_row(node: &Node, request: &Request, attempt: &str) -> Row {
    Row {
        attempt: attempt.to_owned(),
        instance: request.instance.clone(),
        node: node.get_name().to_owned(),
        digest: request.digest.clone(),
        unix_ms: runtime::unix_ms(),
        released: false,
        answer: None,
    }
}

async fn write(node: &Node, mut batch: Vec<Pending>) {
    while !batch.is_empty() {
        let committed = node.platform.commit(&insertion(&batch)).await;
        match committed {
            Ok(Commit::Done(_)) => {
                for pending in batch.drain(..) {
                    let _ = pending.reply.try_send(Ok(Verdict::Run));
                }
            }
            Ok(Commit::Conflict(keys)) => {
                let is_taken = |pending: &Pending| keys.contains(&pending.key);
                let (taken, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_taken);
                if taken.is_empty() {
                    fail(rest, &Fault::Refused(409));
                    return;
                }
                read_back(node, taken, &Fault::Unknown("a conflicting row vanished".to_owned()))
                    .await;
                batch = rest;
            }
            Err(fault @ Fault::Unknown(_)) => {
                read_back(node, batch, &fault).await;
                return;
            }
            Err(fault) => {
                fail(batch, &fault);
                return;
            }
        }
    }
}

fn insertion(batch: &[Pending]) -> Transaction {
    batch.iter().fold(Transaction::new(), |transaction, pending| {
        let value = serde_json::to_string(&pending.row).unwrap_or_default();
        transaction.expect(&pending.key, None).put(&pending.key, value)
    })
}

/// Decides by the rows that stand. A row that is not there leaves the request unclaimed.
async fn read_back(node: &Node, batch: Vec<Pending>, fault: &Fault) {
    node.metric.count("claims_read_back", batch.len() as u64);
    let keys = batch.iter().map(|pending| pending.key.clone()).collect();
    let rows = match node.platform.read_all(keys).await {
        Ok(rows) => rows,
        Err(fault) => return fail(batch, &fault),
    };
    let rows: HashMap<&str, &platform::Row> =
        rows.iter().map(|row| (row.key.as_str(), row)).collect();
    for pending in batch {
        let stands = rows.get(pending.key.as_str());
        let judged = stands.and_then(|row| Some((*row, serde_json::from_str(&row.value).ok()?)));
        let verdict = match judged {
            None => Err(fault.clone()),
            Some((row, stands)) => match claim::evaluate(&stands, &pending.row) {
                Verdict::Available => replace(node, row, &pending.row).await,
                verdict => Ok(verdict),
            },
        };
        let _ = pending.reply.try_send(verdict);
    }
}

/// Takes a released claim over; whoever replaces the row first has it.
async fn replace(node: &Node, stands: &platform::Row, mine: &Row) -> Result<Verdict, Fault> {
    let value = serde_json::to_string(mine).unwrap_or_default();
    let transaction =
        Transaction::new().expect(&stands.key, Some(stands.version)).put(&stands.key, value);
    match node.platform.commit(&transaction).await? {
        Commit::Done(_) => Ok(Verdict::Run),
        Commit::Conflict(_) => Ok(Verdict::HeldByOther(String::new())),
    }
}

fn fail(batch: Vec<Pending>, fault: &Fault) {
    for pending in batch {
        let _ = pending.reply.try_send(Err(fault.clone()));
    }
}

/// Writes the last state of a claim of this attempt's own, until that has worked.
fn settle(node: &Arc<Node>, key: String, last: Row) {
    let node = node.clone();
    runtime::spawn(async move {
        for _ in 0..BACKGROUND_TRIES {
            if try_settle(&node, &key, &last).await {
                return;
            }
            runtime::sleep(BACKGROUND_PAUSE).await;
        }
        node.metric.count("claims_unsettled", 1);
        log::error!("the claim {key} could not be settled");
    });
}

/// An absent row is written too, so that an insert whose answer was lost cannot arrive later.
async fn try_settle(node: &Node, key: &str, last: &Row) -> bool {
    let Ok(row) = node.platform.read(key).await else { return false };
    let stands: Option<Row> = row.as_ref().and_then(|row| serde_json::from_str(&row.value).ok());
    let is_others = |stands: &Row| stands.attempt != last.attempt || stands.answer.is_some();
    if stands.as_ref().is_some_and(is_others) {
        return true;
    }
    let value = serde_json::to_string(last).unwrap_or_default();
    let version = row.map(|row| row.version);
    let transaction = Transaction::new().expect(key, version).put(key, value);
    let is_settled = matches!(node.platform.commit(&transaction).await, Ok(Commit::Done(_)));
    if is_settled {
        node.metric.count("claims_settled", 1);
    }
    is_settled
}
