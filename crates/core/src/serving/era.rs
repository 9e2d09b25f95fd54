//! Which copy of the table service's rows a node deals with.
//!
//! The table service may come back from an older copy of its rows. What was written since that copy is
//! gone, and versions are given out again. Each return begins another era, whose number every answer
//! carries. The operator and the servers write again what was lost of theirs; of the nodes' rows nobody
//! else knows.
//!
//! A node that saw an era begin knows its age. One that starts later reads it from a row that the first node
//! has written ([`Origin`]).

use serde::{Deserialize, Serialize};

use crate::Millis;

/// The time after a return in which the operator and the servers have written again what was lost.
pub const REWRITE_PERIOD: Millis = 2_000;

/// How far the wall clocks of two nodes may differ.
const CLOCKS_DIFFER_BY: Millis = 4_000;

/// An era of the table service: a number that rises by one with each return, or none where the service does
/// not name eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(Option<u64>);

impl Era {
    /// The era of a table service that does not name any.
    pub const UNNAMED: Self = Self(None);

    /// Makes the era of a number.
    pub fn named(number: u64) -> Self {
        Self(Some(number))
    }

    /// Returns its number; `None` where the table service names no eras.
    pub fn get_number(self) -> Option<u64> {
        self.0
    }
}

/// When the first node saw an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Milliseconds since then.
    pub age: Millis,
    /// That time on the node's wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// An era that a node did not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraChange {
    /// The era.
    pub era: Era,
    /// The one before it, where the node knew one.
    pub before: Option<Era>,
}

/// The newest era that a node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eras {
    current: Option<Current>,
}

#[derive(Clone, Copy, Debug)]
struct Current {
    era: Era,
    /// When it had begun at the latest; `None` where the node has not seen it begin, nor read its origin.
    begun_at: Option<Millis>,
    /// Whether the node knew an earlier one.
    is_return: bool,
    origin: Option<Origin>,
    /// Whether the operator was seen to have written again.
    is_rewritten: bool,
}

impl Eras {
    /// Returns the newest era that is known.
    pub fn get(&self) -> Era {
        self.current.map_or(Era::UNNAMED, |current| current.era)
    }

    /// Returns `true` if an era is earlier than the newest one that is known.
    pub fn is_superseded(&self, era: Era) -> bool {
        self.current.is_some_and(|current| era < current.era)
    }

    /// Notes the era of an answer, or of what another node knows; returns it where it is newer than what
    /// is known.
    pub fn note(&mut self, now: Millis, era: Era) -> Option<EraChange> {
        let before = self.current.map(|current| current.era);
        if before >= Some(era) {
            return None;
        }
        let is_return = before.is_some();
        let begun_at = is_return.then_some(now);
        self.current =
            Some(Current { era, begun_at, is_return, origin: None, is_rewritten: false });
        Some(EraChange { era, before })
    }

    /// Returns `true` if the node knew an earlier era than the current one.
    pub fn is_restored(&self) -> bool {
        self.current.is_some_and(|current| current.is_return)
    }

    /// Notes the origin of an era, where that is the current one.
    pub fn set_origin(&mut self, now: Millis, era: Era, origin: Origin) {
        let Some(current) = self.current.as_mut().filter(|current| current.era == era) else {
            return;
        };
        let begun_at = now.saturating_sub(origin.age);
        current.begun_at = Some(current.begun_at.map_or(begun_at, |known| known.min(begun_at)));
        current.origin = Some(origin);
    }

    /// Returns the origin of the current era, where it is known.
    pub fn get_origin(&self) -> Option<Origin> {
        self.current?.origin
    }

    /// Returns the milliseconds since the current era began, at the least; `None` where that is not
    /// known. A table service that names no eras loses nothing.
    ///
    /// The first era of a deployment has an age too: a node that has seen no other one cannot tell it from an era that
    /// began with a copy from before the first write.
    pub fn get_age(&self, now: Millis) -> Option<Millis> {
        let Some(current) = self.current else { return Some(Millis::MAX) };
        if current.era == Era::UNNAMED {
            return Some(Millis::MAX);
        }
        current.begun_at.map(|at| now.saturating_sub(at))
    }

    /// Notes that the operator has written again what it had written in an earlier era.
    pub fn note_configuration_rewritten(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_rewritten = true;
        }
    }

    /// Returns `true` if the operator and the servers have had the time to write again.
    pub fn is_settled(&self, now: Millis) -> bool {
        self.get_age(now).is_some_and(|age| age >= REWRITE_PERIOD)
    }

    /// Returns `true` if the operator's configuration is as new as it ever was.
    pub fn is_configuration_current(&self, now: Millis) -> bool {
        self.current.is_some_and(|current| current.is_rewritten) || self.is_settled(now)
    }

    /// Returns `true` if nothing that could be done at a time of the wall clock, at the earliest, was done in
    /// an earlier era.
    pub fn is_certainly_after_restore(&self, unix_ms: u64) -> bool {
        if self.get() == Era::UNNAMED {
            return true;
        }
        let Some(origin) = self.get_origin() else { return false };
        unix_ms >= origin.unix_ms + CLOCKS_DIFFER_BY
    }
}
