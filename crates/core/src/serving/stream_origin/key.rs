//! Identifies a stream.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies a stream by the client account and the request that began it. The same request id of
/// another account gives another key.
///
/// The key is a 64-bit hash. With 65,536 records kept, one unknown stream in some 10^14 is mistaken
/// for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
    /// Computes the key of a stream. `account` is empty if the route needs none.
    pub fn new(account: &str, request_id: &str) -> Self {
        Self(xxh3_64_with_seed(request_id.as_bytes(), xxh3_64(account.as_bytes())))
    }

    /// Returns the key as a number.
    pub fn get_number(self) -> u64 {
        self.0
    }
}
