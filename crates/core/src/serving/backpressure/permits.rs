//! Gives permits for limited servers, at the node that owns them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::InstanceKey;
use crate::Millis;
use crate::bucket::TokenBucket;
use crate::serving::quota::Reachability;

/// The lowest rate at which permits are given, in requests a second: only an answer shows that a limit
/// has ended.
const LOWEST_RATE: f64 = 0.1;
/// The seconds of a limit that an unused bucket saves up.
const SAVED_SECONDS: f64 = 0.25;
/// The permits that a full bucket holds at the least: a permit is not lost because no request comes in the
/// moment in which it is there.
const LEAST_SAVED: f64 = 2.0;
/// The longest time for which a node is denied, but for the one until the next permit, in milliseconds:
/// it may find no request for the server when its turn comes.
const LONGEST_TURN: Millis = 2_000;
/// The longest time for which a node is denied, in milliseconds: more nodes may be heard by then, and
/// the limit may have ended.
const LONGEST_DENIAL: Millis = 10_000;
/// Added to the time until a node's turn, in milliseconds: a permit is there then in spite of rounding.
const TURN_SLACK: Millis = 5;
/// How long a bucket is kept that nobody uses, in milliseconds. A new one begins empty.
const KEPT: Millis = 60_000;

/// What the owner of a server decides about a request to it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may be sent.
    Granted,
    /// The server is at its limit.
    Denied {
        /// The time in milliseconds after which the node may ask again, behind those denied before it.
        retry_after: Millis,
    },
    /// The server names no limit any more.
    Unlimited {
        /// The time since the answer that showed it, in milliseconds.
        age: Millis,
    },
    /// The node is not the owner.
    Undecided,
}

/// The buckets of the limited servers that a node owns.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Random, from 0 to 1. Nodes that hear few others give their first permits at different times.
    draw: f64,
    /// By the servers' short names.
    pools: BTreeMap<u64, Pool>,
}

#[derive(Clone, Copy, Debug)]
struct Pool {
    incarnation: u64,
    bucket: TokenBucket,
    /// Nodes that were denied and have not got a permit since.
    queued: u32,
    /// When the last of them has its turn.
    last_turn: Millis,
    used_at: Millis,
}

impl Permits {
    /// Makes the state of a node that owns no server yet; `draw` is random, from 0 to 1.
    pub fn new(draw: f64) -> Self {
        Self { draw, pools: BTreeMap::new() }
    }

    /// Decides about a request to a server that takes `rate` requests a second from all nodes.
    ///
    /// A node that hears a part of the others only gives that part of the rate: those that it does not
    /// hear may have an owner of their own. A bucket begins empty, because another node may have given
    /// permits until now.
    pub fn decide(
        &mut self,
        now: Millis,
        key: InstanceKey,
        rate: f64,
        reach: Reachability,
    ) -> Decision {
        let fraction = reach.get_fraction();
        let rate = rate.max(LOWEST_RATE) * fraction;
        let pool = self.get_pool(now, key, -self.draw * (1.0 - fraction));
        pool.used_at = now;
        pool.bucket.set_limits(now, rate, (rate * SAVED_SECONDS).max(LEAST_SAVED));
        match pool.bucket.take(now) {
            Ok(()) => {
                pool.queued = pool.queued.saturating_sub(1);
                Decision::Granted
            }
            Err(wait) => Decision::Denied { retry_after: pool.queue(now, wait, rate) },
        }
    }

    /// Takes back the permit of a request that was not sent.
    pub fn return_permit(&mut self, key: InstanceKey) {
        let pool = self.pools.get_mut(&key.server);
        if let Some(pool) = pool.filter(|pool| pool.incarnation == key.incarnation) {
            pool.bucket.available += 1.0;
        }
    }

    /// Forgets buckets that nobody uses.
    pub fn expire(&mut self, now: Millis) {
        self.pools.retain(|_, pool| now < pool.used_at.saturating_add(KEPT));
    }

    /// Returns the bucket of a server; a new one begins at a level.
    fn get_pool(&mut self, now: Millis, key: InstanceKey, level: f64) -> &mut Pool {
        let fresh = Pool {
            incarnation: key.incarnation,
            bucket: TokenBucket::new(now, level),
            queued: 0,
            last_turn: now,
            used_at: now,
        };
        let pool = self.pools.entry(key.server).or_insert(fresh);
        if pool.incarnation < key.incarnation {
            *pool = fresh;
        }
        pool
    }
}

impl Pool {
    /// Queues a node that is denied; returns the time until its turn.
    fn queue(&mut self, now: Millis, wait: Millis, rate: f64) -> Millis {
        if self.last_turn < now {
            self.queued = 0;
        }
        let behind = (f64::from(self.queued) / rate * 1_000.0) as Millis;
        let until_turn = wait.saturating_add(behind).min(wait.clamp(LONGEST_TURN, LONGEST_DENIAL));
        self.queued += 1;
        self.last_turn = self.last_turn.max(now + until_turn);
        until_turn + TURN_SLACK
    }
}
