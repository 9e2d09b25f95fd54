//! The memory budget: opens, grows and releases reservations.

use std::collections::{BTreeMap, HashMap};

use super::kind::Kind;
use super::release::Releases;
use super::reservation::{Requester, Reservation, ReservationId};
use super::share::Share;
use super::shortage::Shortage;
use crate::Millis;

/// The lowest utilization at which a node reports that it is not ready.
const MIN_UNREADY_LEVEL: f64 = 0.6;
/// The highest such utilization. Half of the nodes draw one above 1 and never become unready
/// because of memory: load balancers fall back to all nodes once half of them are not ready.
const MAX_UNREADY_LEVEL: f64 = 1.4;

/// The bytes that a node has reserved, and the bytes that it may reserve.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// The bytes that may be reserved if the process uses no other memory.
    pub(super) capacity: u64,
    /// The memory limit of the process, above which it is killed.
    pub(super) limit: u64,
    /// The resident memory in the last sample.
    pub(super) resident: Option<u64>,
    /// The resident memory that was not reserved in the last sample.
    pub(super) unreserved: u64,
    pub(super) held: BTreeMap<Kind, u64>,
    /// Bytes reserved for small bodies.
    pub(super) small_held: u64,
    pub(super) reservations: HashMap<ReservationId, Reservation>,
    /// The bytes that each client account holds and waits for.
    pub(super) shares: HashMap<String, Share>,
    pub(super) next_id: u64,
    pub(super) releases: Releases,
    /// The utilization at which the node reports that it is not ready.
    pub(super) unready_at: f64,
    pub(super) is_under_pressure: bool,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes for a process that is killed above `limit` bytes.
    ///
    /// `draw` is random, from 0 to 1, and sets the utilization at which this node reports that it
    /// is not ready. The nodes of a data centre thus become unready one after another, and half of
    /// them never do because of memory: load balancers fall back to all nodes once half of them are
    /// not ready.
    ///
    /// # Examples
    ///
    /// ```
    /// use keeljunction_core::serving::memory::{Kind, MemoryBudget, Requester};
    ///
    /// let mut memory = MemoryBudget::new(1_000, 2_500, 0.5);
    /// let requester = Requester { kind: Kind::RequestBody, account: "acme", urgency: 0 };
    /// let reservation = memory.open(0, &requester);
    /// assert!(memory.grow(0, reservation, 500).is_ok());
    /// assert!(memory.grow(0, reservation, 500).is_err());
    /// memory.close(0, reservation);
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
            reservations: HashMap::new(),
            shares: HashMap::new(),
            next_id: 0,
            releases: Releases::default(),
            unready_at: draw_unready_level(draw),
            is_under_pressure: false,
        }
    }

    /// Returns the bytes that are reserved for a kind.
    pub fn get_held(&self, kind: Kind) -> u64 {
        self.held.get(&kind).copied().unwrap_or(0)
    }

    /// Returns all bytes that are reserved.
    pub fn get_total(&self) -> u64 {
        self.held.values().sum()
    }

    /// Opens a reservation without any bytes.
    pub fn open(&mut self, now: Millis, requester: &Requester<'_>) -> ReservationId {
        let id = ReservationId(self.next_id);
        self.next_id += 1;
        let reservation = Reservation {
            kind: requester.kind,
            account: requester.account.to_owned(),
            urgency: requester.urgency,
            reserved: 0,
            received: 0,
            progressed_at: now,
            is_uploading: requester.kind == Kind::RequestBody,
            is_evicted: false,
            is_small: requester.kind == Kind::RequestBody,
        };
        self.reservations.insert(id, reservation);
        id
    }

    /// Adds bytes to a reservation.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if there is not enough memory; nothing is reserved then.
    pub fn grow(&mut self, now: Millis, id: ReservationId, bytes: u64) -> Result<(), Shortage> {
        let Some(reservation) = self.reservations.get(&id) else { return Err(Shortage::default()) };
        let has_room = self.get_shortfall(now, reservation, bytes) == 0;
        if !has_room || self.is_above_share(now, reservation, bytes) {
            return Err(self.refuse(now, id, bytes));
        }
        self.reserve(id, bytes);
        Ok(())
    }

    fn reserve(&mut self, id: ReservationId, bytes: u64) {
        let Some(reservation) = self.reservations.get_mut(&id) else { return };
        *self.held.entry(reservation.kind).or_default() += bytes;
        let was_small = reservation.is_small;
        reservation.is_small = reservation.is_small_with(bytes);
        if reservation.is_small {
            self.small_held += bytes;
        } else if was_small {
            self.small_held -= reservation.reserved;
        }
        reservation.reserved += bytes;
        if reservation.kind == Kind::RequestBody {
            let share = self.shares.entry(reservation.account.clone()).or_default();
            share.held += bytes;
            share.wait = None;
        }
    }

    /// Records that bytes of a body arrived.
    pub fn record_received(&mut self, now: Millis, id: ReservationId, bytes: u64) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.received += bytes;
            reservation.progressed_at = now;
        }
    }

    /// Records that a body is complete, so that it can no longer be evicted.
    pub fn complete_upload(&mut self, id: ReservationId) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.is_uploading = false;
            // The request keeps the memory, so it no longer counts as about to be free.
            reservation.is_evicted = false;
        }
    }

    /// Returns `true` if a reservation was picked for eviction.
    pub fn is_evicted(&self, id: ReservationId) -> bool {
        self.reservations.get(&id).is_some_and(|reservation| reservation.is_evicted)
    }

    /// Releases some bytes of a reservation.
    pub fn shrink(&mut self, now: Millis, id: ReservationId, bytes: u64) {
        let Some(reservation) = self.reservations.get_mut(&id) else { return };
        let bytes = bytes.min(reservation.reserved);
        reservation.reserved -= bytes;
        if reservation.is_small {
            self.small_held -= bytes;
        }
        if let Some(held) = self.held.get_mut(&reservation.kind) {
            *held -= bytes;
        }
        self.releases.add(now, bytes);
        let account = (reservation.kind == Kind::RequestBody).then(|| reservation.account.clone());
        let Some(account) = account else { return };
        if let Some(share) = self.shares.get_mut(&account) {
            share.held -= bytes;
            if share.held == 0 && !share.is_waiting(now) {
                self.shares.remove(&account);
            }
        }
    }

    /// Releases all bytes of a reservation and removes it.
    pub fn close(&mut self, now: Millis, id: ReservationId) {
        self.shrink(now, id, u64::MAX);
        self.reservations.remove(&id);
    }
}

/// Draws the utilization at which a node reports that it is not ready. `draw` is from 0 to 1.
fn draw_unready_level(draw: f64) -> f64 {
    MIN_UNREADY_LEVEL + draw * (MAX_UNREADY_LEVEL - MIN_UNREADY_LEVEL)
}
