//! Which bundle version is in force.
//!
//! Each roll has a number one above the roll before it; a rollback is a new roll of an earlier
//! version. A node adopts only a higher number, so that whatever arrives late, twice or from a
//! node that slept cannot bring an older version back.

use serde::{Deserialize, Serialize};

use super::Signature;

/// Explains why a roll was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A version was rolled.
    Roll,
    /// An earlier roll's version was rolled again.
    Rollback,
}

/// One roll, as the table service keeps it. It is an entry of the audit trail too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// The roll's number, from 1.
    pub number: u64,
    /// The SHA-256 digest of the bundle's body, in hex.
    pub digest: String,
    /// The operators' name of the version.
    pub version: String,
    /// Why the roll was made.
    pub action: Action,
    /// Who made it.
    pub operator: String,
    /// When it was made, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// A random name, by which a roll whose answer was lost is found again.
    pub id: String,
    /// The signature of the body.
    pub signature: Signature,
}

/// Says what to do with news of a roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is newer: put it in force.
    Adopt,
    /// It is the one in force, or older: keep what is in force.
    Keep,
}

/// Decides whether a roll is newer than the one in force.
pub fn adopt(in_force: u64, offered: u64) -> Adoption {
    if offered > in_force { Adoption::Adopt } else { Adoption::Keep }
}

/// Computes the number of the next roll.
pub fn next_number(current: Option<&Roll>) -> u64 {
    current.map_or(0, |roll| roll.number) + 1
}
