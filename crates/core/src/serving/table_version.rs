//! Versions of the rows of the table service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::era::Era;

/// A version of a row of the table service.
///
/// Numbers are reused after a restore from an older copy, so a version of a later era is newer,
/// whatever its number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion {
    /// The era.
    pub era: Era,
    /// The number, which rises with each transaction of the era.
    pub number: u64,
}

impl TableVersion {
    /// Creates a version.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the version of a missing row.
    pub fn absent(era: Era) -> Self {
        Self { era, number: 0 }
    }

    /// Returns `true` if this is the version of a missing row.
    pub fn is_absent(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era.get_number() {
            Some(era) => write!(f, "{era}.{}", self.number),
            None => write!(f, "{}", self.number),
        }
    }
}

impl FromStr for TableVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (era, number) = match text.split_once('.') {
            Some((era, number)) => (Era::named(era.parse()?), number),
            None => (Era::UNNAMED, text),
        };
        Ok(Self { era, number: number.parse()? })
    }
}
