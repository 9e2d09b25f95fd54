//! Eras of the table service: which copy of its rows a node deals with.
//!
//! The table service may be restored from an older copy of its rows. Everything written since that
//! copy is lost, and versions are reused. Each restore starts a new era, whose number is part of
//! every response. The operator and the servers rewrite their lost rows; the nodes' rows are known
//! to no one else.
//!
//! A node that saw an era begin knows its age. A node that starts later reads the age from a row
//! that the first node has written ([`Origin`]).

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The time after a restore in which the operator and the servers rewrite their lost rows.
pub const REWRITE_PERIOD_MS: Millis = 2_000;

/// The maximum difference between the wall clocks of two nodes.
const MAX_CLOCK_SKEW_MS: Millis = 4_000;

/// An era of the table service: a number that rises by one with each restore, or no number if the
/// service has no eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(Option<u64>);

impl Era {
    /// The era of a table service without eras.
    pub const UNNAMED: Self = Self(None);

    /// Creates the era with a number.
    pub fn named(number: u64) -> Self {
        Self(Some(number))
    }

    /// Returns the number of the era; `None` if the table service has no eras.
    pub fn get_number(self) -> Option<u64> {
        self.0
    }
}

/// When a node first saw an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Milliseconds since that time.
    pub age: Millis,
    /// That time on the node's wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// A change to an era that was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraChange {
    /// The new era.
    pub era: Era,
    /// The previous era, if the node knew one.
    pub before: Option<Era>,
}

/// The latest era that a node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eras {
    current: Option<Current>,
}

#[derive(Clone, Copy, Debug)]
struct Current {
    era: Era,
    /// The latest time at which the era may have begun; `None` if the node neither saw it begin nor
    /// read its origin.
    begun_at: Option<Millis>,
    /// Whether the node knew an earlier era.
    is_restored: bool,
    origin: Option<Origin>,
    /// Whether the operator was seen to have rewritten its configuration.
    is_rewritten: bool,
}

impl Eras {
    /// Returns the latest known era.
    pub fn get(&self) -> Era {
        self.current.map_or(Era::UNNAMED, |current| current.era)
    }

    /// Returns `true` if an era is earlier than the latest known one.
    pub fn is_superseded(&self, era: Era) -> bool {
        self.current.is_some_and(|current| era < current.era)
    }

    /// Records the era of a response or of another node's data; returns the change if the era is
    /// newer than the known one.
    pub fn record(&mut self, now: Millis, era: Era) -> Option<EraChange> {
        let before = self.current.map(|current| current.era);
        if before >= Some(era) {
            return None;
        }
        let is_restored = before.is_some();
        let begun_at = is_restored.then_some(now);
        self.current =
            Some(Current { era, begun_at, is_restored, origin: None, is_rewritten: false });
        Some(EraChange { era, before })
    }

    /// Returns `true` if the node knew an earlier era than the current one, that is, saw a restore.
    pub fn is_restored(&self) -> bool {
        self.current.is_some_and(|current| current.is_restored)
    }

    /// Records the origin of an era if it is the current one.
    pub fn set_origin(&mut self, now: Millis, era: Era, origin: Origin) {
        let Some(current) = self.current.as_mut().filter(|current| current.era == era) else {
            return;
        };
        let begun_at = now.saturating_sub(origin.age);
        current.begun_at = Some(current.begun_at.map_or(begun_at, |known| known.min(begun_at)));
        current.origin = Some(origin);
    }

    /// Returns the origin of the current era, if it is known.
    pub fn get_origin(&self) -> Option<Origin> {
        self.current?.origin
    }

    /// Returns the minimum age of the current era in milliseconds; `None` if the age is unknown.
    ///
    /// A table service without eras loses nothing, so its age is the largest value. The first era
    /// of a deployment has an age too: a node that has seen no other era cannot distinguish it from
    /// one that began with a copy from before the first write.
    pub fn get_age(&self, now: Millis) -> Option<Millis> {
        let Some(current) = self.current else { return Some(Millis::MAX) };
        if current.era == Era::UNNAMED {
            return Some(Millis::MAX);
        }
        current.begun_at.map(|at| now.saturating_sub(at))
    }

    /// Records that the operator has rewritten its configuration of an earlier era.
    pub fn record_configuration_rewritten(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_rewritten = true;
        }
    }

    /// Returns `true` if the operator and the servers have had time to rewrite their rows.
    pub fn is_settled(&self, now: Millis) -> bool {
        self.get_age(now).is_some_and(|age| age >= REWRITE_PERIOD_MS)
    }

    /// Returns `true` if the operator's configuration is as new as before the restore.
    pub fn is_configuration_current(&self, now: Millis) -> bool {
        self.current.is_some_and(|current| current.is_rewritten) || self.is_settled(now)
    }

    /// Returns `true` if work that could start at `unix_ms` at the earliest cannot have been done
    /// in an earlier era.
    pub fn is_certainly_after_restore(&self, unix_ms: u64) -> bool {
        if self.get() == Era::UNNAMED {
            return true;
        }
        let Some(origin) = self.get_origin() else { return false };
        unix_ms >= origin.unix_ms + MAX_CLOCK_SKEW_MS
    }
}
