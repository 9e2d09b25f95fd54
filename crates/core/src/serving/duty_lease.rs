//! The lease that selects the duty holder: the one node that may make the calls that only one node
//! at a time may make.
//!
//! The lease is a row of the platform's table. It names its holder, a term that rises with each new
//! holder (the fencing token of its calls), and its end on the table's own steady clock, so that no
//! two clocks are compared. A holder computes the latest time that the table's clock may show from
//! the last response and the time since its last call, and stops a safety margin before the end.
//!
//! Each era of the table service has its own row. The holder of the previous era may not have heard
//! of the restore, and acts until its lease ends. The first lease of an era is therefore taken one
//! lease length after the era began. The fencing token orders holders by era, and by term within an
//! era.

use serde::{Deserialize, Serialize};

use super::era::Era;
use crate::Millis;

/// The number of terms per era, so that a fencing token of a later era exceeds all those of an
/// earlier one.
const TERMS_PER_ERA: u64 = 1 << 24;

/// The lease as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The name of the node that holds the lease.
    pub holder: String,
    /// The incarnation of that node.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The term, which rises with each new holder.
    pub term: u64,
    /// The end of the lease, on the table's clock.
    pub ends_at: Millis,
}

/// A reading of the table's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableClock {
    /// When the request was sent, on this node's clock.
    pub asked_at: Millis,
    /// The table's time in the response.
    pub table_time: Millis,
}

impl TableClock {
    /// Computes the latest time that the table's clock may show at `now`.
    pub fn latest_at(&self, now: Millis) -> Millis {
        self.table_time + now.saturating_sub(self.asked_at)
    }
}

/// The next step of a node that has read the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this row, provided that the stored row has not changed since.
    Write(LeaseRow),
    /// Wait this long before reading the row again: another node holds the lease, or may still hold
    /// that of the previous era.
    Wait(Millis),
}

/// The state of the lease as one node knows it.
#[derive(Clone, Debug)]
pub struct DutyLease {
    holder: String,
    incarnation: u64,
    length: Millis,
    margin: Millis,
    /// The era of the row that is read and written.
    era: Era,
    held: Option<HeldLease>,
}

#[derive(Clone, Debug)]
struct HeldLease {
    term: u64,
    until: Millis,
}

impl DutyLease {
    /// Creates a lease that is not held.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the margin is not shorter than the lease.
    pub fn new(holder: String, incarnation: u64, length: Millis, margin: Millis) -> Self {
        debug_assert!(margin < length, "the margin must be shorter than the lease");
        Self { holder, incarnation, length, margin, era: Era::UNNAMED, held: None }
    }

    /// Returns the fencing token to send with a call, or `None` if the lease is not certainly held.
    pub fn get_fence(&self, now: Millis) -> Option<u64> {
        let held = self.held.as_ref().filter(|held| now < held.until)?;
        let eras_before = self.era.get_number().map_or(0, |number| number + 1);
        Some(eras_before * TERMS_PER_ERA + held.term)
    }

    /// Switches to another era and gives up the lease of the previous one.
    pub fn begin_era(&mut self, era: Era) {
        self.era = era;
        self.held = None;
    }

    /// Returns the next step, given the row of the era as it was read, and the age of the era.
    pub fn decide(
        &self,
        now: Millis,
        row: Option<&LeaseRow>,
        clock: TableClock,
        era_age: Millis,
    ) -> Step {
        let ends_at = clock.latest_at(now) + self.length;
        let Some(row) = row else {
            return match self.length.checked_sub(era_age).filter(|remaining| *remaining > 0) {
                Some(remaining) => Step::Wait(remaining),
                None => Step::Write(self.make_row(1, ends_at)),
            };
        };
        if self.is_own_row(row) && row.ends_at > clock.table_time {
            return Step::Write(self.make_row(row.term, ends_at));
        }
        // A restarted node is the same holder: its former incarnation can no longer act.
        let is_free = row.ends_at <= clock.table_time || row.holder == self.holder;
        if is_free {
            return Step::Write(self.make_row(row.term + 1, ends_at));
        }
        Step::Wait(row.ends_at - clock.table_time)
    }

    /// Records the row that the table certainly holds; returns `true` if this node holds the lease.
    ///
    /// `clock` is the reading from which the end of the lease was computed, or a later one. A row
    /// of another era is ignored.
    pub fn confirm(&mut self, era: Era, row: &LeaseRow, clock: TableClock) -> bool {
        if era != self.era {
            return false;
        }
        if !self.is_own_row(row) {
            self.held = None;
            return false;
        }
        let remaining = row.ends_at.saturating_sub(clock.table_time);
        let until = (clock.asked_at + remaining).saturating_sub(self.margin);
        self.held = Some(HeldLease { term: row.term, until });
        true
    }

    /// Returns the length of the lease.
    pub fn get_length(&self) -> Millis {
        self.length
    }

    fn is_own_row(&self, row: &LeaseRow) -> bool {
        row.holder == self.holder && row.incarnation == self.incarnation
    }

    fn make_row(&self, term: u64, ends_at: Millis) -> LeaseRow {
        LeaseRow { holder: self.holder.clone(), incarnation: self.incarnation, term, ends_at }
    }
}
