//! The queue of one shard and the requests that wait in it.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::Millis;
use keeljunction_core::shard::{Decision, Grant, GrantRequest, Queue, Refusal};

use crate::runtime::{self, Clock};

/// Age up to which a grant is kept although its node has not announced it, in milliseconds.
const UNLISTED_GRANT_GRACE_MS: Millis = 5_000;

/// The queue of one shard and the requests that wait in it.
pub struct Shard {
    clock: Clock,
    queue: Mutex<Queue>,
    waiters: Mutex<HashMap<String, Sender<Decision>>>,
    holders: Mutex<HashMap<String, Holder>>,
    next_events: Mutex<HashMap<String, u64>>,
}

/// The node that holds a grant.
struct Holder {
    node: String,
    since: Millis,
}

impl Shard {
    /// Creates a shard with a queue.
    pub fn new(clock: Clock, queue: Queue) -> Self {
        Self {
            clock,
            queue: Mutex::new(queue),
            waiters: Mutex::default(),
            holders: Mutex::default(),
            next_events: Mutex::default(),
        }
    }

    /// Acquires a backend server on behalf of a node, and waits in the queue if necessary.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] at once, or if the request was not granted in time.
    pub async fn acquire(&self, request: GrantRequest, node: &str) -> Result<Grant, Refusal> {
        let id = request.id.clone();
        let (sender, receiver) = async_channel::bounded(1);
        runtime::lock(&self.waiters).insert(id.clone(), sender);
        let wait = Duration::from_millis(request.wait);
        let decision = runtime::lock(&self.queue).submit(self.clock.now(), request);
        let waiter = Waiter { shard: self, id: &id, receiver, is_received: false };
        let grant = match decision {
            Decision::Granted(grant) => Ok(grant),
            Decision::Refused(refusal) => Err(refusal),
            Decision::Waiting => waiter.wait(wait).await,
        };
        runtime::lock(&self.waiters).remove(&id);
        if grant.is_ok() {
            self.record_holder(&id, node);
        }
        grant
    }

    /// Updates the queue, then notifies the requests that it has decided.
    pub fn with<T>(&self, update: impl FnOnce(&mut Queue, Millis) -> T) -> T {
        let output = update(&mut runtime::lock(&self.queue), self.clock.now());
        self.poll();
        output
    }

    /// Notifies the requests that were granted or have timed out.
    pub fn poll(&self) {
        let decided = runtime::lock(&self.queue).poll(self.clock.now());
        for (id, decision) in decided {
            let waiter = runtime::lock(&self.waiters).remove(&id);
            let is_notified = waiter.is_some_and(|sender| sender.try_send(decision).is_ok());
            if !is_notified {
                runtime::lock(&self.queue).release(self.clock.now(), &id, Some(0));
            }
        }
    }

    /// Releases a grant.
    pub fn release(&self, id: &str, cost: Option<u64>) {
        runtime::lock(&self.holders).remove(id);
        self.with(|queue, now| queue.release(now, id, cost));
    }

    /// Sets the grants that a node holds: releases its other grants and adds unknown ones.
    pub fn set_held(&self, node: &str, held: Vec<Grant>) {
        let now = self.clock.now();
        let listed: HashSet<&str> = held.iter().map(|grant| grant.id.as_str()).collect();
        let holders = runtime::lock(&self.holders);
        let is_lost = |id: &str, holder: &Holder| {
            holder.node == node
                && !listed.contains(id)
                && now > holder.since + UNLISTED_GRANT_GRACE_MS
        };
        let lost: Vec<String> =
            holders.iter().filter(|(id, h)| is_lost(id, h)).map(|(id, _)| id.clone()).collect();
        drop(holders);
        for id in lost {
            self.release(&id, None);
        }
        for grant in held {
            self.record_holder(&grant.id, node);
            self.with(|queue, _| queue.restore(grant));
        }
    }

    /// Releases all grants of a dead node.
    pub fn release_node(&self, node: &str) {
        let holders = runtime::lock(&self.holders);
        let held: Vec<String> =
            holders.iter().filter(|(_, h)| h.node == node).map(|(id, _)| id.clone()).collect();
        drop(holders);
        for id in held {
            self.release(&id, None);
        }
    }

    /// Returns the number of the next cache event to read from a server.
    pub fn get_next_event(&self, server: &str) -> u64 {
        runtime::lock(&self.next_events).get(server).copied().unwrap_or(0)
    }

    /// Sets the number of the next cache event to read from a server.
    pub fn set_next_event(&self, server: &str, number: u64) {
        runtime::lock(&self.next_events).insert(server.to_owned(), number);
    }

    fn record_holder(&self, id: &str, node: &str) {
        let holder = Holder { node: node.to_owned(), since: self.clock.now() };
        runtime::lock(&self.holders).entry(id.to_owned()).or_insert(holder);
    }
}

/// A request that waits in the queue.
///
/// If it is dropped before its decision is received, the request is removed from the queue and a
/// late grant is released.
struct Waiter<'a> {
    shard: &'a Shard,
    id: &'a str,
    receiver: Receiver<Decision>,
    is_received: bool,
}

impl Waiter<'_> {
    /// Waits for the decision. After the timeout, polls the queue so that it decides.
    async fn wait(mut self, time: Duration) -> Result<Grant, Refusal> {
        let decision = match runtime::timeout(time, self.receiver.recv()).await {
            Some(decision) => decision,
            None => {
                self.shard.poll();
                self.receiver.recv().await
            }
        };
        self.is_received = true;
        match decision {
            Ok(Decision::Granted(grant)) => Ok(grant),
            Ok(Decision::Refused(refusal)) => Err(refusal),
            Ok(Decision::Waiting) | Err(_) => Err(Refusal { retry_after: UNLISTED_GRANT_GRACE_MS }),
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.is_received {
            return;
        }
        runtime::lock(&self.shard.waiters).remove(self.id);
        runtime::lock(&self.shard.queue).cancel(self.id);
        if let Ok(Decision::Granted(grant)) = self.receiver.try_recv() {
            self.shard.release(&grant.id, Some(0));
        }
    }
}
