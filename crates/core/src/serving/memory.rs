//! How much memory a node may hold for callers and servers, and who gets it when it is short.
//!
//! Whoever holds bytes of a request or an answer reserves them first and releases them afterwards.

use std::collections::BTreeMap;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A request's body, until its last attempt has ended.
    RequestBody,
    /// A part of an answer that its caller has not read yet.
    ReadAhead,
}

/// The bytes that a node holds, and how many it may hold.
#[derive(Clone, Debug)]
pub struct Accountant {
    capacity: u64,
    held: BTreeMap<Kind, u64>,
}

impl Accountant {
    /// Makes an accountant of a node that may hold so many bytes.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, held: BTreeMap::new() }
    }

    /// Returns the bytes that the node may hold.
    pub fn get_capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the bytes that are held of a kind.
    pub fn get_held(&self, kind: Kind) -> u64 {
        self.held.get(&kind).copied().unwrap_or(0)
    }

    /// Returns all bytes that are held.
    pub fn get_total(&self) -> u64 {
        self.held.values().sum()
    }

    /// Reserves bytes; returns `false`, and reserves nothing, where there is no room for them.
    #[must_use]
    pub fn reserve(&mut self, kind: Kind, bytes: u64) -> bool {
        let fits = self.get_total().saturating_add(bytes) <= self.capacity;
        if fits {
            *self.held.entry(kind).or_default() += bytes;
        }
        fits
    }

    /// Releases bytes that were reserved.
    pub fn release(&mut self, kind: Kind, bytes: u64) {
        let held = self.held.entry(kind).or_default();
        *held = held.saturating_sub(bytes);
    }
}
