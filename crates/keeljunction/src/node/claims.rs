//! Claims on requests that must not be repeated, written in batched transactions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::claim::{self, Answer, Row, Verdict};

use super::{Node, Request};
use crate::platform::{self, Commit, Fault, Transaction};
use crate::runtime;

const MAX_BATCH_CLAIMS: usize = 64;
/// Time that the first claim of a batch waits for others.
const BATCH_DELAY: Duration = Duration::from_millis(3);
const QUEUE_CAPACITY: usize = 4_096;
/// Attempts to write the final state of a claim in the background, where no client waits for it.
const MAX_SETTLE_ATTEMPTS: u32 = 60;
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The queue of claims that are waiting to be written.
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
    /// Creates an empty queue.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(QUEUE_CAPACITY);
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
/// Returns a [`Fault`] if it is not certain that the claim was written. The request must not be
/// sent then.
pub async fn claim(node: &Node, request: &Request, attempt: &str) -> Result<Verdict, Fault> {
    let row = make_row(node, request, attempt);
    let (reply, replied) = async_channel::bounded(1);
    let pending = Pending { key: claim::row_key(&request.account, &request.key), row, reply };
    if node.claims.sender.try_send(pending).is_err() {
        return Err(Fault::NotSent("too many claims wait".to_owned()));
    }
    let dropped = |_| Err(Fault::NotSent("the claim was dropped".to_owned()));
    replied.recv().await.unwrap_or_else(dropped)
}

/// Writes queued claims in batches. Never returns.
pub async fn run(node: Arc<Node>) {
    while let Ok(first) = node.claims.receiver.recv().await {
        runtime::sleep(BATCH_DELAY).await;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_CLAIMS {
            let Ok(next) = node.claims.receiver.try_recv() else { break };
            batch.push(next);
        }
        let node = node.clone();
        runtime::spawn(async move { write(&node, batch).await });
    }
}

/// Records the answer in a claim, in the background.
pub fn record(node: &Arc<Node>, request: &Request, attempt: &str, answer: Answer) {
    let row = Row { answer: Some(answer), ..make_row(node, request, attempt) };
    settle(node, claim::row_key(&request.account, &request.key), row);
}

/// Releases a claim whose attempt was not and will not be sent, in the background.
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
        let committed = node.platform.commit(&make_transaction(&batch)).await;
        match committed {
            Ok(Commit::Done(_)) => {
                for pending in batch.drain(..) {
                    let _ = pending.reply.try_send(Ok(Verdict::Run));
                }
            }
            Ok(Commit::Conflict(keys)) => {
                let is_conflicting = |pending: &Pending| keys.contains(&pending.key);
                let (conflicting, rest): (Vec<_>, Vec<_>) =
                    batch.into_iter().partition(is_conflicting);
                if conflicting.is_empty() {
                    reply_failure(rest, &Fault::Refused(409));
                    return;
                }
                read_back(
                    node,
                    conflicting,
                    &Fault::Unknown("a conflicting row vanished".to_owned()),
                )
                .await;
                batch = rest;
            }
            Err(fault @ Fault::Unknown(_)) => {
                read_back(node, batch, &fault).await;
                return;
            }
            Err(fault) => {
                reply_failure(batch, &fault);
                return;
            }
        }
    }
}

fn make_transaction(batch: &[Pending]) -> Transaction {
    batch.iter().fold(Transaction::new(), |transaction, pending| {
        let value = serde_json::to_string(&pending.row).unwrap_or_default();
        transaction.expect(&pending.key, None).put(&pending.key, value)
    })
}

/// Reads the rows of a batch and decides each claim by them. Without a row the request is
/// unclaimed.
async fn read_back(node: &Node, batch: Vec<Pending>, fault: &Fault) {
    node.metric.count("claims_read_back", batch.len() as u64);
    let keys = batch.iter().map(|pending| pending.key.clone()).collect();
    let rows = match node.platform.read_all(keys).await {
        Ok(rows) => rows,
        Err(fault) => return reply_failure(batch, &fault),
    };
    let rows: HashMap<&str, &platform::Row> =
        rows.iter().map(|row| (row.key.as_str(), row)).collect();
    for pending in batch {
        let current = rows.get(pending.key.as_str());
        let parsed = current.and_then(|row| Some((*row, serde_json::from_str(&row.value).ok()?)));
        let verdict = match parsed {
            None => Err(fault.clone()),
            Some((row, current)) => match claim::evaluate(&current, &pending.row) {
                Verdict::Available => replace(node, row, &pending.row).await,
                verdict => Ok(verdict),
            },
        };
        let _ = pending.reply.try_send(verdict);
    }
}

/// Takes over a released claim. The node that replaces the row first holds the claim.
async fn replace(node: &Node, current: &platform::Row, new_row: &Row) -> Result<Verdict, Fault> {
    let value = serde_json::to_string(new_row).unwrap_or_default();
    let transaction =
        Transaction::new().expect(&current.key, Some(current.version)).put(&current.key, value);
    match node.platform.commit(&transaction).await? {
        Commit::Done(_) => Ok(Verdict::Run),
        Commit::Conflict(_) => Ok(Verdict::HeldByOther(String::new())),
    }
}

fn reply_failure(batch: Vec<Pending>, fault: &Fault) {
    for pending in batch {
        let _ = pending.reply.try_send(Err(fault.clone()));
    }
}

/// Writes the final state of a claim held by this attempt, with retries.
fn settle(node: &Arc<Node>, key: String, final_row: Row) {
    let node = node.clone();
    runtime::spawn(async move {
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            if try_settle(&node, &key, &final_row).await {
                return;
            }
            runtime::sleep(SETTLE_RETRY_INTERVAL).await;
        }
        node.metric.count("claims_unsettled", 1);
        log::error!("could not write the final state of claim {key}");
    });
}

/// Tries once to write the final state of a claim.
///
/// A missing row is written too, so that an insert whose response was lost cannot succeed later.
async fn try_settle(node: &Node, key: &str, final_row: &Row) -> bool {
    let Ok(row) = node.platform.read(key).await else { return false };
    let current: Option<Row> = row.as_ref().and_then(|row| serde_json::from_str(&row.value).ok());
    let is_settled_or_other_attempt =
        |current: &Row| current.attempt != final_row.attempt || current.answer.is_some();
    if current.as_ref().is_some_and(is_settled_or_other_attempt) {
        return true;
    }
    let value = serde_json::to_string(final_row).unwrap_or_default();
    let version = row.map(|row| row.version);
    let transaction = Transaction::new().expect(key, version).put(key, value);
    let is_settled = matches!(node.platform.commit(&transaction).await, Ok(Commit::Done(_)));
    if is_settled {
        node.metric.count("claims_settled", 1);
    }
    is_settled
}
