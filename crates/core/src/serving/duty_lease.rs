//! Which node makes the calls that one node at a time may make.
//!
//! The lease is a row of the platform's table. It names its holder, a term that rises with each
//! new holder (the fence of its calls), and when it ends on the table's own steady clock, so that
//! no two clocks are compared. A holder knows how far that clock can have come at most, from the
//! last answer and the time since its last call, and stops a margin before the end.
//!
//! Each era of the table service has a row of its own. A holder of the era before may not have heard of the
//! return and acts until its lease ends, so that the first lease of an era is taken a lease after the
//! era began. The fence orders holders by era, and by term within it.

use serde::{Deserialize, Serialize};

use super::era::Era;
use crate::Millis;

/// Terms of one era: a fence of a later era is higher than all of an earlier one.
const TERMS_IN_ERA: u64 = 1 << 24;

/// The lease, as the table keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The node that holds it.
    pub holder: String,
    /// The incarnation of that node.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Rises with each new holder.
    pub term: u64,
    /// When it ends, on the table's clock.
    pub ends_at: Millis,
}

/// A reading of the table's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableClock {
    /// When the question was sent, on this node's clock.
    pub asked_at: Millis,
    /// The table's time in the answer.
    pub table_time: Millis,
}

impl TableClock {
    /// Computes the latest that the table's clock can show at `now`.
    pub fn latest_at(&self, now: Millis) -> Millis {
        self.table_time + now.saturating_sub(self.asked_at)
    }
}

/// What a node should do about the lease after it has read the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this row, if the row has not changed since.
    Write(LeaseRow),
    /// Another node holds it, or may hold that of the era before; look again after this time.
    Wait(Millis),
}

/// One node's knowledge of the lease.
#[derive(Clone, Debug)]
pub struct DutyLease {
    holder: String,
    incarnation: u64,
    length: Millis,
    margin: Millis,
    /// The era of the row that is read and written.
    era: Era,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Held {
    term: u64,
    until: Millis,
}

impl DutyLease {
    /// Makes a lease that is not held.
    ///
    /// # Panics
    ///
    /// In debug builds, where the margin is not shorter than the lease.
    pub fn new(holder: String, incarnation: u64, length: Millis, margin: Millis) -> Self {
        debug_assert!(margin < length, "the margin must be shorter than the lease");
        Self { holder, incarnation, length, margin, era: Era::UNNAMED, held: None }
    }

    /// Returns the fence to send with a call, or `None` where the lease is not surely held.
    pub fn get_fence(&self, now: Millis) -> Option<u64> {
        let held = self.held.as_ref().filter(|held| now < held.until)?;
        let eras_before = self.era.get_number().map_or(0, |number| number + 1);
        Some(eras_before * TERMS_IN_ERA + held.term)
    }

    /// Begins with another era; a lease of the one before is held no longer.
    pub fn begin_era(&mut self, era: Era) {
        self.era = era;
        self.held = None;
    }

    /// Decides what to do, given the row of the era as it was read, and how long ago the era began.
    pub fn decide(
        &self,
        now: Millis,
        row: Option<&LeaseRow>,
        clock: TableClock,
        era_age: Millis,
    ) -> Step {
        let ends_at = clock.latest_at(now) + self.length;
        let Some(row) = row else {
            return match self.length.checked_sub(era_age).filter(|left| *left > 0) {
                Some(left) => Step::Wait(left),
                None => Step::Write(self.row(1, ends_at)),
            };
        };
        if self.is_mine(row) && row.ends_at > clock.table_time {
            return Step::Write(self.row(row.term, ends_at));
        }
        // A node that started again is the same holder: its former incarnation cannot act any more.
        let is_free = row.ends_at <= clock.table_time || row.holder == self.holder;
        if is_free {
            return Step::Write(self.row(row.term + 1, ends_at));
        }
        Step::Wait(row.ends_at - clock.table_time)
    }

    /// Notes the row as the table surely holds it; returns whether this node holds the lease.
    ///
    /// `clock` is the reading that the row's end was computed from or a later one. A row of another era than
    /// the lease's changes nothing.
    pub fn confirm(&mut self, era: Era, row: &LeaseRow, clock: TableClock) -> bool {
        if era != self.era {
            return false;
        }
        if !self.is_mine(row) {
            self.held = None;
            return false;
        }
        let left = row.ends_at.saturating_sub(clock.table_time);
        let until = (clock.asked_at + left).saturating_sub(self.margin);
        self.held = Some(Held { term: row.term, until });
        true
    }

    /// Returns the lease's length.
    pub fn get_length(&self) -> Millis {
        self.length
    }

    fn is_mine(&self, row: &LeaseRow) -> bool {
        row.holder == self.holder && row.incarnation == self.incarnation
    }

    fn row(&self, term: u64, ends_at: Millis) -> LeaseRow {
        LeaseRow { holder: self.holder.clone(), incarnation: self.incarnation, term, ends_at }
    }
}
