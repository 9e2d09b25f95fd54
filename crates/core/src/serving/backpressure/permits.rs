//! Grants permits for rate-limited servers, at the node that owns them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::InstanceKey;
use crate::Millis;
use crate::bucket::TokenBucket;
use crate::serving::quota::Reachability;

/// The lowest rate at which permits are granted, in requests per second: only a response can show
/// that a limit has ended.
const MIN_RATE_PER_SECOND: f64 = 0.1;
/// The burst of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 0.25;
/// The minimum burst of a bucket: a permit must not be lost because no request arrives at the very
/// moment it becomes available.
const MIN_BURST_PERMITS: f64 = 2.0;
/// The longest denial because of other nodes in the queue. The node may have no request for the
/// server when its turn comes. The time until the next permit may be longer.
const MAX_QUEUE_WAIT_MS: Millis = 2_000;
/// The longest denial: by then more nodes may have joined, and the limit may have ended.
const MAX_DENIAL_MS: Millis = 10_000;
/// Added to the time until a node's turn, in milliseconds, so that rounding does not make it retry
/// before the permit is available.
const TURN_SLACK_MS: Millis = 5;
/// How long an unused bucket is kept. A new bucket starts empty.
const IDLE_TTL_MS: Millis = 60_000;

/// The decision of a server's owner on a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may be sent.
    Granted,
    /// The server is at its limit.
    Denied {
        /// The time in milliseconds after which the node may retry, behind the nodes denied before
        /// it.
        retry_after: Millis,
    },
    /// The server no longer reports a limit.
    Unlimited {
        /// The time since the response that showed this, in milliseconds.
        age: Millis,
    },
    /// The node is not the owner.
    Undecided,
}

/// The token buckets of the rate-limited servers that a node owns.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Random, from 0 to 1, so that nodes that are connected to few others grant their first
    /// permits at different times.
    draw: f64,
    /// By the servers' short ids.
    pools: BTreeMap<u64, Pool>,
}

#[derive(Clone, Copy, Debug)]
struct Pool {
    incarnation: u64,
    bucket: TokenBucket,
    /// Nodes that were denied and have not been granted a permit since.
    queued: u32,
    /// The turn of the last queued node.
    last_turn: Millis,
    used_at: Millis,
}

impl Permits {
    /// Creates the permits of a node that owns no server yet. `draw` is random, from 0 to 1.
    pub fn new(draw: f64) -> Self {
        Self { draw, pools: BTreeMap::new() }
    }

    /// Decides on a request to a server that accepts `rate` requests per second from all nodes.
    ///
    /// A node that hears only a fraction of the others grants only that fraction of the rate: the
    /// rest may have another owner. A bucket starts empty, because another node may have granted
    /// permits until now.
    pub fn decide(
        &mut self,
        now: Millis,
        key: InstanceKey,
        rate: f64,
        reach: Reachability,
    ) -> Decision {
        let fraction = reach.get_fraction();
        let rate = rate.max(MIN_RATE_PER_SECOND) * fraction;
        let pool = self.get_pool(now, key, -self.draw * (1.0 - fraction));
        pool.used_at = now;
        pool.bucket.set_limits(now, rate, (rate * BURST_SECONDS).max(MIN_BURST_PERMITS));
        match pool.bucket.take(now) {
            Ok(()) => {
                pool.queued = pool.queued.saturating_sub(1);
                Decision::Granted
            }
            Err(wait) => Decision::Denied { retry_after: pool.queue(now, wait, rate) },
        }
    }

    /// Returns the permit of a request that was not sent.
    pub fn return_permit(&mut self, key: InstanceKey) {
        let pool = self.pools.get_mut(&key.server);
        if let Some(pool) = pool.filter(|pool| pool.incarnation == key.incarnation) {
            pool.bucket.available += 1.0;
        }
    }

    /// Removes buckets that are unused.
    pub fn expire(&mut self, now: Millis) {
        self.pools.retain(|_, pool| now < pool.used_at.saturating_add(IDLE_TTL_MS));
    }

    /// Returns the bucket of a server. A new one starts at `level`.
    fn get_pool(&mut self, now: Millis, key: InstanceKey, level: f64) -> &mut Pool {
        let new_pool = Pool {
            incarnation: key.incarnation,
            bucket: TokenBucket::new(now, level),
            queued: 0,
            last_turn: now,
            used_at: now,
        };
        let pool = self.pools.entry(key.server).or_insert(new_pool);
        if pool.incarnation < key.incarnation {
            *pool = new_pool;
        }
        pool
    }
}

impl Pool {
    /// Queues a node that is denied. Returns the time until its turn.
    fn queue(&mut self, now: Millis, wait: Millis, rate: f64) -> Millis {
        if self.last_turn < now {
            self.queued = 0;
        }
        let behind = (f64::from(self.queued) / rate * 1_000.0) as Millis;
        let until_turn =
            wait.saturating_add(behind).min(wait.clamp(MAX_QUEUE_WAIT_MS, MAX_DENIAL_MS));
        self.queued += 1;
        self.last_turn = self.last_turn.max(now + until_turn);
        until_turn + TURN_SLACK_MS
    }
}
