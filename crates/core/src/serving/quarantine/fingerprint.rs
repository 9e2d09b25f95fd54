//! Identifies the content of a request, or a part of its prompt.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies the content of a request, or a part of prompts. The same caller that sends the same body to the same path
/// has the same fingerprint at every node, whatever the request's id.
///
/// The fingerprint is a 64-bit hash. With a few hundred remembered at a time, one request in some
/// 10^16 is mistaken for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

/// Keeps the fingerprints of parts apart from those of requests.
const PART_SEED: u64 = 0x7061_7274;

/// The content that a fingerprint is computed from.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The client account, or an empty string if the route needs none.
    pub account: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(content: &Content<'_>) -> Self {
        let account = xxh3_64(content.account.as_bytes());
        let host = xxh3_64_with_seed(content.host.as_bytes(), account);
        let path = xxh3_64_with_seed(content.path.as_bytes(), host);
        Self(xxh3_64_with_seed(content.body, path))
    }

    /// Computes the fingerprint of a part of prompts.
    pub fn of_part(id: u64) -> Self {
        Self(xxh3_64_with_seed(&id.to_le_bytes(), PART_SEED))
    }

    /// Creates a fingerprint from its number.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the fingerprint as a number.
    pub fn get_number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
