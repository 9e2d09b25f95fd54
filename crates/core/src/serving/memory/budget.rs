//! The accountant: opens holders, and reserves and releases their bytes.

use std::collections::{BTreeMap, HashMap};

use super::eviction::Shortage;
use super::kind::Kind;
use super::pressure::draw_level;
use super::release::Releases;
use super::reservation::{Requester, Reservation, ReservationId};
use super::share::Share;
use crate::Millis;

/// The bytes that a node holds, and how many it may hold.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// The bytes that may be held while the process takes no others.
    pub(super) capacity: u64,
    /// Memory of the process, beyond which it is killed.
    pub(super) limit: u64,
    /// The resident memory in the last sample.
    pub(super) resident: Option<u64>,
    /// What of the resident memory was not reserved in the last sample.
    pub(super) unreserved: u64,
    pub(super) held: BTreeMap<Kind, u64>,
    /// What is held of small bodies.
    pub(super) small_held: u64,
    pub(super) holders: HashMap<ReservationId, Reservation>,
    /// What each client account holds and waits for.
    pub(super) shares: HashMap<String, Share>,
    pub(super) next_id: u64,
    pub(super) releases: Releases,
    /// The part in use at which the node calls itself not ready.
    pub(super) leaves_at: f64,
    pub(super) is_short: bool,
}

impl MemoryBudget {
    /// Makes an accountant of a node that may hold so many bytes, and whose process is killed beyond
    /// `limit` bytes.
    ///
    /// `draw` is random, from 0 to 1, and sets the level at which this node calls itself not ready.
    /// The nodes of a data centre thus leave one after another, and half of them never do for their
    /// memory: balancers fall back to all nodes once half of them are not ready.
    ///
    /// # Examples
    ///
    /// ```
    /// use keeljunction_core::serving::memory::{MemoryBudget, Requester, Kind};
    ///
    /// let mut memory = MemoryBudget::new(1_000, 2_500, 0.5);
    /// let claim = Requester { kind: Kind::RequestBody, account: "acme", urgency: 0 };
    /// let holder = memory.open(0, &claim);
    /// assert!(memory.grow(0, holder, 500).is_ok());
    /// assert!(memory.grow(0, holder, 500).is_err());
    /// memory.close(0, holder);
    /// assert_eq!(memory.get_total(), 0);
    /// ```
    pub fn new(capacity: u64, limit: u64, draw: f64) -> Self {
        Self {
            capacity,
            limit,
            resident: None,
            unreserved: 0,
            held: BTreeMap::new(),
            small_held: 0,
            holders: HashMap::new(),
            shares: HashMap::new(),
            next_id: 0,
            releases: Releases::default(),
            leaves_at: draw_level(draw),
            is_short: false,
        }
    }

    /// Returns the bytes that are held of a kind.
    pub fn get_held(&self, kind: Kind) -> u64 {
        self.held.get(&kind).copied().unwrap_or(0)
    }

    /// Returns all bytes that are held.
    pub fn get_total(&self) -> u64 {
        self.held.values().sum()
    }

    /// Begins to count a holder, which holds nothing yet.
    pub fn open(&mut self, now: Millis, claim: &Requester<'_>) -> ReservationId {
        let id = ReservationId(self.next_id);
        self.next_id += 1;
        let holder = Reservation {
            kind: claim.kind,
            account: claim.account.to_owned(),
            urgency: claim.urgency,
            reserved: 0,
            received: 0,
            progressed_at: now,
            is_uploading: claim.kind == Kind::RequestBody,
            is_evicted: false,
            is_small: claim.kind == Kind::RequestBody,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Reserves more bytes for a holder.
    ///
    /// # Errors
    ///
    /// Returns when to retry where there is no room for them; nothing is reserved then.
    pub fn grow(&mut self, now: Millis, id: ReservationId, bytes: u64) -> Result<(), Shortage> {
        let Some(holder) = self.holders.get(&id) else { return Err(Shortage::default()) };
        let has_room = self.get_shortfall(now, holder, bytes) == 0;
        if !has_room || self.is_beyond_share(now, holder, bytes) {
            return Err(self.refuse(now, id, bytes));
        }
        self.reserve(id, bytes);
        Ok(())
    }

    fn reserve(&mut self, id: ReservationId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        *self.held.entry(holder.kind).or_default() += bytes;
        let was_small = holder.is_small;
        holder.is_small = holder.is_small_with(bytes);
        if holder.is_small {
            self.small_held += bytes;
        } else if was_small {
            self.small_held -= holder.reserved;
        }
        holder.reserved += bytes;
        if holder.kind == Kind::RequestBody {
            let share = self.shares.entry(holder.account.clone()).or_default();
            share.held += bytes;
            share.wait = None;
        }
    }

    /// Notes that bytes of a body came.
    pub fn record_received(&mut self, now: Millis, id: ReservationId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.received += bytes;
            holder.progressed_at = now;
        }
    }

    /// Notes that a body is whole: it is not evicted any more.
    pub fn complete_upload(&mut self, id: ReservationId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_uploading = false;
            // Its memory stays in use for the request, and counts no longer as about to be free.
            holder.is_evicted = false;
        }
    }

    /// Returns `true` if a holder was picked to make room.
    pub fn is_evicted(&self, id: ReservationId) -> bool {
        self.holders.get(&id).is_some_and(|holder| holder.is_evicted)
    }

    /// Releases some of a holder's bytes.
    pub fn shrink(&mut self, now: Millis, id: ReservationId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let bytes = bytes.min(holder.reserved);
        holder.reserved -= bytes;
        if holder.is_small {
            self.small_held -= bytes;
        }
        if let Some(held) = self.held.get_mut(&holder.kind) {
            *held -= bytes;
        }
        self.releases.add(now, bytes);
        let account = (holder.kind == Kind::RequestBody).then(|| holder.account.clone());
        let Some(account) = account else { return };
        if let Some(share) = self.shares.get_mut(&account) {
            share.held -= bytes;
            if share.held == 0 && !share.is_waiting(now) {
                self.shares.remove(&account);
            }
        }
    }

    /// Releases all of a holder's bytes and forgets it.
    pub fn close(&mut self, now: Millis, id: ReservationId) {
        self.shrink(now, id, u64::MAX);
        self.holders.remove(&id);
    }
}
