//! Grants the slots of brittle servers, at the node that owns them.
//!
//! Nodes state how many requests they have at a server, including the one that they ask for. The
//! owner grants a slot if the sum over all nodes is within the slots. Stated counts replace each
//! other, so the next message replaces a lost one, and a new owner learns all counts within
//! one period in which nodes repeat them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::denials::{Cause, Denials};
use super::{Brittleness, Decision, InstanceKey};
use crate::Millis;
use crate::serving::quota::Reachability;

/// How long a node's count is kept after its last message. Nodes repeat their counts several times
/// within this.
const HOLDER_TTL_MS: Millis = 2_000;
/// How long a new owner grants nothing: by then all nodes have repeated their counts to it.
const SETTLE_PERIOD_MS: Millis = 700;
/// How long after its last use a pool counts as current when the owners of servers change.
const CURRENT_PERIOD_MS: Millis = 1_000;
/// How long after servers became brittle their queues still take requests that the owner has not
/// heard of.
const ONSET_PERIOD_MS: Millis = 2_000;
/// One slot in this many is left free, because new connections and health checks take slots for a
/// moment.
const SPARE_DIVISOR: u32 = 16;
/// The bounds of the time for which a node that was denied requests no further slot of the server.
const MIN_DENIAL_MS: Millis = 5;
const MAX_DENIAL_MS: Millis = 100;
/// The fraction of the mean time between freed slots after which a denied node may ask again.
const DENIAL_FRACTION: f64 = 0.5;
/// The weight of the latest freed slot in the mean time between them.
const FREED_WEIGHT: f64 = 0.2;
/// The window in which a server counts its rejections.
const REJECTION_WINDOW_MS: Millis = 1_000;
/// How long nothing is granted after a rejection: requests whose slots were granted before may be
/// rejected as well.
const REJECTION_PAUSE_MS: Millis = 100;
/// The fraction of the tolerated rejections after which nothing is granted for the rest of
/// the window. The rest is for requests in transit, and for owners that do not know of each other.
const TOLERATED_REJECTIONS_DIVISOR: u32 = 2;
/// The time without a rejection after which one more slot is granted, up to all.
const RAISE_INTERVAL_MS: Millis = 1_500;
/// How long an unused pool is kept.
const IDLE_TTL_MS: Millis = 60_000;

/// A node's request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The count of the node, including this request.
    pub holding: Holding,
    /// Slots of the server.
    pub slots: u32,
    /// The short id of the server's service.
    pub service: u64,
    /// What the node knows of the service, if anything.
    pub observation: Option<Brittleness>,
}

/// The number of requests that a node has at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The incarnation of the server.
    pub key: InstanceKey,
    /// The process that states its count.
    pub holder: u64,
    /// Rises with each count that the process states.
    pub sequence: u64,
    /// Requests at the server, and those about to be sent.
    pub held: u32,
}

/// What the owner's decision depends on besides the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerView {
    /// The count of the owner itself.
    pub own: Holding,
    /// How many nodes state their counts to this owner.
    pub reach: Reachability,
    /// The time since the servers became brittle, or `None` if that is not known.
    pub brittle_for: Option<Millis>,
}

/// The slots of the servers that a node owns.
#[derive(Clone, Debug, Default)]
pub struct SlotPools {
    /// By the servers' short ids.
    pools: BTreeMap<u64, Pool>,
    /// The aggregators, which own the servers.
    owners: Vec<u64>,
    /// When the owners of servers last changed, in this node's view.
    owners_changed_at: Millis,
    denials: Denials,
}

#[derive(Clone, Debug)]
struct Pool {
    incarnation: u64,
    opened_at: Millis,
    used_at: Millis,
    /// By the processes that stated them.
    holders: BTreeMap<u64, Stated>,
    /// The mean time between freed slots, in milliseconds.
    freed_interval: f64,
    /// When a slot was last freed.
    freed_at: Millis,
    /// Slots that the server was found to have room for, if fewer than it announces.
    bound: Option<u32>,
    /// When the bound last changed.
    bounded_at: Millis,
    /// Nothing is granted until then.
    paused_until: Millis,
    /// Times of the rejections in the last window.
    rejections: VecDeque<Millis>,
}

/// A count that another node stated.
#[derive(Clone, Copy, Debug)]
struct Stated {
    sequence: u64,
    held: u32,
    at: Millis,
}

impl SlotPools {
    /// Records the current owners of servers, as short ids of nodes.
    pub fn record_owners(&mut self, now: Millis, owners: &[u64]) {
        if self.owners != owners {
            self.owners = owners.to_vec();
            self.owners_changed_at = now;
            // Another node may have granted the slots meanwhile.
            self.pools.retain(|_, pool| now < pool.used_at + CURRENT_PERIOD_MS);
        }
    }

    /// Records the count of another node.
    pub fn record(&mut self, now: Millis, holding: &Holding) {
        if let Some(pool) = self.get_pool(now, holding.key) {
            pool.record(now, holding);
        }
    }

    /// Decides on a request for a slot. A request of the owner itself states its own count.
    pub fn decide(&mut self, now: Millis, request: &SlotRequest, view: &OwnerView) -> Decision {
        let owners_changed_at = self.owners_changed_at;
        let Some(pool) = self.get_pool(now, request.holding.key) else {
            // The server has restarted, which the requesting node does not know yet.
            return Decision::Denied { retry_after: MIN_DENIAL_MS };
        };
        pool.record(now, &view.own);
        let wait = pool.get_wait(now, owners_changed_at, view.brittle_for);
        let held = pool.count_held(now, Some(request.holding.holder)) + request.holding.held;
        let capacity = pool.get_capacity(now, request.slots, view);
        if wait == 0 && held <= capacity {
            pool.record(now, &request.holding);
            return Decision::Granted;
        }
        // A denied request is not at the server.
        let held_there = request.holding.held.saturating_sub(1);
        pool.record(now, &Holding { held: held_there, ..request.holding });
        let denied = Decision::Denied { retry_after: wait.max(pool.get_denial()) };
        let cause = pool.find_cause(now, held, request.slots);
        self.denials.record(cause);
        denied
    }

    /// Returns the denied slots by cause.
    pub fn get_denials(&self) -> &Denials {
        &self.denials
    }

    /// Records that a server rejected a request for lack of room. `own` is the count of the owner.
    pub fn record_rejection(&mut self, now: Millis, own: &Holding, max_rejections: u32) {
        if let Some(pool) = self.get_pool(now, own.key) {
            pool.record(now, own);
            pool.record_rejection(now, max_rejections);
        }
    }

    /// Returns the number of servers that are granted fewer requests than they announce slots.
    pub fn count_bounded(&self) -> usize {
        self.pools.values().filter(|pool| pool.bound.is_some()).count()
    }

    /// Removes counts that nodes no longer repeat, and unused pools.
    pub fn expire(&mut self, now: Millis) {
        self.pools.retain(|_, pool| {
            pool.holders.retain(|_, stated| now < stated.at + HOLDER_TTL_MS);
            now < pool.used_at + IDLE_TTL_MS
        });
    }

    /// Returns the pool of a server, or `None` if a later incarnation of the server is known.
    fn get_pool(&mut self, now: Millis, key: InstanceKey) -> Option<&mut Pool> {
        let pool = self.pools.entry(key.server).or_insert_with(|| Pool::new(now, key.incarnation));
        if pool.incarnation < key.incarnation {
            *pool = Pool::new(now, key.incarnation);
        }
        pool.used_at = now;
        (pool.incarnation == key.incarnation).then_some(pool)
    }
}

impl Pool {
    fn new(now: Millis, incarnation: u64) -> Self {
        Self {
            incarnation,
            opened_at: now,
            used_at: now,
            holders: BTreeMap::new(),
            freed_interval: 0.0,
            freed_at: now,
            bound: None,
            bounded_at: now,
            paused_until: 0,
            rejections: VecDeque::new(),
        }
    }

    fn record(&mut self, now: Millis, holding: &Holding) {
        let known = self.holders.get(&holding.holder);
        // A count that arrives late must not hide requests that were sent since.
        let is_late = known.is_some_and(|known| known.sequence > holding.sequence);
        let held = match known {
            Some(known) if is_late => known.held.max(holding.held),
            _ => holding.held,
        };
        let sequence = known.map_or(0, |known| known.sequence).max(holding.sequence);
        let freed = known.map_or(0, |known| known.held).saturating_sub(held);
        if freed > 0 {
            self.record_freed(now, freed);
        }
        self.holders.insert(holding.holder, Stated { sequence, held, at: now });
    }

    fn record_freed(&mut self, now: Millis, slots: u32) {
        let interval = now.saturating_sub(self.freed_at) as f64 / f64::from(slots);
        self.freed_interval += (interval - self.freed_interval) * FREED_WEIGHT;
        self.freed_at = now;
    }

    /// Returns the time for which a denied node requests no further slot.
    fn get_denial(&self) -> Millis {
        let denial = (self.freed_interval * DENIAL_FRACTION) as Millis;
        denial.clamp(MIN_DENIAL_MS, MAX_DENIAL_MS)
    }

    /// Returns the milliseconds for which nothing is granted.
    ///
    /// Until all nodes have repeated their counts to a new owner, it does not know which slots are
    /// in use. Servers that have just become brittle still have their queues.
    fn get_wait(
        &self,
        now: Millis,
        owners_changed_at: Millis,
        brittle_for: Option<Millis>,
    ) -> Millis {
        let has_queue = brittle_for.is_none_or(|brittle_for| brittle_for < ONSET_PERIOD_MS);
        let is_settled = has_queue || self.opened_at < owners_changed_at;
        let settled_at = if is_settled { now } else { owners_changed_at + SETTLE_PERIOD_MS };
        settled_at.max(self.paused_until).saturating_sub(now)
    }

    /// Returns why a slot is denied that would raise the requests at the server to `held`.
    fn find_cause(&self, now: Millis, held: u32, slots: u32) -> Cause {
        if now < self.paused_until {
            return Cause::Paused;
        }
        if held > get_usable(slots) {
            return Cause::InUse;
        }
        match self.bound {
            Some(bound) if held > bound => Cause::Bounded,
            _ if now < self.opened_at + SETTLE_PERIOD_MS => Cause::Unsettled,
            _ => Cause::Unheard,
        }
    }

    /// Returns the requests of all nodes, or of all but one.
    fn count_held(&self, now: Millis, except: Option<u64>) -> u32 {
        let others = self.holders.iter().filter(|(holder, _)| Some(**holder) != except);
        let valid = others.filter(|(_, stated)| now < stated.at + HOLDER_TTL_MS);
        valid.map(|(_, stated)| stated.held).sum()
    }

    /// Returns how many requests the server may have at a time from the nodes that this owner hears.
    ///
    /// The others may have another owner. The larger part of the nodes rounds its share up and the
    /// smaller one down, so both together stay within the slots.
    fn get_capacity(&mut self, now: Millis, slots: u32, view: &OwnerView) -> u32 {
        let usable = get_usable(slots);
        let fraction = view.brittle_for.map_or(1.0, |_| view.reach.get_fraction());
        let share = f64::from(usable) * fraction;
        let share = if fraction > 0.5 { share.ceil() } else { share.floor() } as u32;
        match self.get_bound(now, usable) {
            Some(bound) => share.min(bound),
            None => share,
        }
    }

    /// Returns the learned bound, which rises while the server rejects nothing.
    fn get_bound(&mut self, now: Millis, slots: u32) -> Option<u32> {
        let bound = self.bound?;
        if now >= self.bounded_at + RAISE_INTERVAL_MS {
            self.bounded_at = now;
            self.bound = Some(bound + 1).filter(|bound| *bound < slots);
        }
        self.bound
    }

    fn record_rejection(&mut self, now: Millis, max_rejections: u32) {
        // The rejected request is still counted by its node.
        let held = self.count_held(now, None);
        let bound = held.saturating_sub(1).max(1);
        self.bound = Some(self.bound.map_or(bound, |known| known.min(bound)));
        self.bounded_at = now;
        self.rejections.push_back(now);
        self.rejections.retain(|at| now < at + REJECTION_WINDOW_MS);
        let is_at_limit =
            self.rejections.len() as u32 >= (max_rejections / TOLERATED_REJECTIONS_DIVISOR).max(1);
        let pause = if is_at_limit { REJECTION_WINDOW_MS } else { REJECTION_PAUSE_MS };
        self.paused_until = self.paused_until.max(now + pause);
    }
}

/// Returns the slots of a server that may be granted.
fn get_usable(slots: u32) -> u32 {
    let slots = slots.max(1);
    slots - slots / SPARE_DIVISOR
}
