//! The queue of one shard, with the requests that wait at it.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use keeljunction_core::Millis;
use keeljunction_core::shard::{Decision, Grant, GrantRequest, Queue, Refusal};

use crate::runtime::{self, Clock};

/// A grant younger than this is kept though its node does not list it yet, in milliseconds.
const UNLISTED_GRACE_MS: Millis = 5_000;

/// The queue of one shard, with the requests that wait at it.
pub struct Shard {
    clock: Clock,
    queue: Mutex<Queue>,
    waiters: Mutex<HashMap<String, Sender<Decision>>>,
    holders: Mutex<HashMap<String, Holder>>,
    next_events: Mutex<HashMap<String, u64>>,
}

/// The node that has a grant.
struct Holder {
    node: String,
    since: Millis,
}

impl Shard {
    /// Makes a shard round a queue.
    pub fn new(clock: Clock, queue: Queue) -> Self {
        Self {
            clock,
            queue: Mutex::new(queue),
            waiters: Mutex::default(),
            holders: Mutex::default(),
            next_events: Mutex::default(),
        }
    }

    /// Asks for a backend server on behalf of a node, and waits for the turn.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`], at once or when the turn has not come in time.
    pub async fn acquire(&self, ask: GrantRequest, node: &str) -> Result<Grant, Refusal> {
        let id = ask.id.clone();
        let (sender, receiver) = async_channel::bounded(1);
        runtime::lock(&self.waiters).insert(id.clone(), sender);
        let wait = Duration::from_millis(ask.wait);
        let decision = runtime::lock(&self.queue).submit(self.clock.now(), ask);
        let turn = Turn { shard: self, id: &id, receiver, is_taken: false };
        let grant = match decision {
            Decision::Granted(grant) => Ok(grant),
            Decision::Refused(refusal) => Err(refusal),
            Decision::Waiting => turn.wait(wait).await,
        };
        runtime::lock(&self.waiters).remove(&id);
        if grant.is_ok() {
            self.note_holder(&id, node);
        }
        grant
    }

    /// Works on the queue, then notifies the requests whose turn has come.
    pub fn with<T>(&self, act: impl FnOnce(&mut Queue, Millis) -> T) -> T {
        let output = act(&mut runtime::lock(&self.queue), self.clock.now());
        self.poll();
        output
    }

    /// Notifies the requests whose turn has come, or has not come in time.
    pub fn poll(&self) {
        let decided = runtime::lock(&self.queue).poll(self.clock.now());
        for (id, decision) in decided {
            let waiter = runtime::lock(&self.waiters).remove(&id);
            let is_told = waiter.is_some_and(|sender| sender.try_send(decision).is_ok());
            if !is_told {
                runtime::lock(&self.queue).release(self.clock.now(), &id, Some(0));
            }
        }
    }

    /// Takes a grant back.
    pub fn release(&self, id: &str, cost: Option<u64>) {
        runtime::lock(&self.holders).remove(id);
        self.with(|queue, now| queue.release(now, id, cost));
    }

    /// Takes in which grants a node still has: drops others of that node, adds those unknown.
    pub fn set_held(&self, node: &str, held: Vec<Grant>) {
        let now = self.clock.now();
        let listed: HashSet<&str> = held.iter().map(|grant| grant.id.as_str()).collect();
        let holders = runtime::lock(&self.holders);
        let is_lost = |id: &str, holder: &Holder| {
            holder.node == node && !listed.contains(id) && now > holder.since + UNLISTED_GRACE_MS
        };
        let lost: Vec<String> =
            holders.iter().filter(|(id, h)| is_lost(id, h)).map(|(id, _)| id.clone()).collect();
        drop(holders);
        for id in lost {
            self.release(&id, None);
        }
        for grant in held {
            self.note_holder(&grant.id, node);
            self.with(|queue, _| queue.restore(grant));
        }
    }

    /// Takes back all grants of a node that is gone.
    pub fn drop_node(&self, node: &str) {
        let holders = runtime::lock(&self.holders);
        let held: Vec<String> =
            holders.iter().filter(|(_, h)| h.node == node).map(|(id, _)| id.clone()).collect();
        drop(holders);
        for id in held {
            self.release(&id, None);
        }
    }

    /// Returns the number of the next cache event to read of a server.
    pub fn get_next_event(&self, server: &str) -> u64 {
        runtime::lock(&self.next_events).get(server).copied().unwrap_or(0)
    }

    /// Notes the number of the next cache event to read of a server.
    pub fn set_next_event(&self, server: &str, number: u64) {
        runtime::lock(&self.next_events).insert(server.to_owned(), number);
    }

    fn note_holder(&self, id: &str, node: &str) {
        let holder = Holder { node: node.to_owned(), since: self.clock.now() };
        runtime::lock(&self.holders).entry(id.to_owned()).or_insert(holder);
    }
}

/// A request that waits. Dropped before its turn, it leaves the queue, and gives back a grant
/// that came too late.
struct Turn<'a> {
    shard: &'a Shard,
    id: &'a str,
    receiver: Receiver<Decision>,
    is_taken: bool,
}

impl Turn<'_> {
    /// Waits for the turn. When the time is over the queue is made to say so.
    async fn wait(mut self, time: Duration) -> Result<Grant, Refusal> {
        let decision = match runtime::timeout(time, self.receiver.recv()).await {
            Some(decision) => decision,
            None => {
                self.shard.poll();
                self.receiver.recv().await
            }
        };
        self.is_taken = true;
        match decision {
            Ok(Decision::Granted(grant)) => Ok(grant),
            Ok(Decision::Refused(refusal)) => Err(refusal),
            Ok(Decision::Waiting) | Err(_) => Err(Refusal { retry_after: UNLISTED_GRACE_MS }),
        }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        runtime::lock(&self.shard.waiters).remove(self.id);
        runtime::lock(&self.shard.queue).cancel(self.id);
        if let Ok(Decision::Granted(grant)) = self.receiver.try_recv() {
            self.shard.release(&grant.id, Some(0));
        }
    }
}
