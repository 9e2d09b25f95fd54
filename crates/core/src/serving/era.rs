//! Which copy of the table service's rows a node deals with.
//!
//! The table service may come back from an older copy of its rows. What was written since that copy is
//! gone, and versions are given out again. Each return begins another era, whose number every answer
//! carries.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of an era of the table service; it rises by one with each return.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl Era {
    /// The era of a table service that does not name any.
    pub const UNNAMED: Self = Self(0);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The newest era that a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Eras {
    current: Option<Era>,
}

/// An era that a node did not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun {
    /// The era.
    pub era: Era,
    /// The one before it, where the node knew one.
    pub before: Option<Era>,
}

impl Eras {
    /// Returns the newest era that is known.
    pub fn get(&self) -> Option<Era> {
        self.current
    }

    /// Notes the era of an answer, or of what another node knows; returns it where it is newer than what
    /// is known.
    pub fn note(&mut self, era: Era) -> Option<Begun> {
        if self.current >= Some(era) {
            return None;
        }
        let before = self.current.replace(era);
        Some(Begun { era, before })
    }
}
