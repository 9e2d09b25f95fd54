//! Rolls, which put a bundle version into force.
//!
//! Each roll has a number one above the previous roll; a rollback is a new roll of an earlier
//! version. A node adopts only higher numbers, so a roll that arrives late, twice or from a node
//! that was suspended cannot restore an older version.

use serde::{Deserialize, Serialize};

use super::Signature;

/// The reason for a roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A version was rolled out.
    Roll,
    /// The version of an earlier roll was restored.
    Rollback,
}

/// A roll, as stored in the table service. It is also an entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// The number of the roll, starting at 1.
    pub number: u64,
    /// The SHA-256 digest of the bundle's body, in hex.
    pub digest: String,
    /// The version name chosen by the operators.
    pub version: String,
    /// The reason for the roll.
    pub action: Action,
    /// The operator who made it.
    pub operator: String,
    /// Time of the roll, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// A random ID, by which a roll is found again if the response to its write was lost.
    pub id: String,
    /// The signature of the body.
    pub signature: Signature,
}

/// What to do with an offered roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The roll is newer: put it into force.
    Adopt,
    /// The roll is the current one or older: keep the current one.
    Keep,
}

/// Returns whether to adopt a roll, given the numbers of the current and the offered roll.
pub fn adopt(in_force: u64, offered: u64) -> Adoption {
    if offered > in_force { Adoption::Adopt } else { Adoption::Keep }
}

/// Returns the number of the next roll.
pub fn next_number(current: Option<&Roll>) -> u64 {
    current.map_or(0, |roll| roll.number) + 1
}
