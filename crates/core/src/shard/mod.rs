//! Whose turn it is, whether there is room, and when to come back.
//!
//! The backend servers of a service are cut into shards. The shard's owner keeps the one queue
//! for its servers; a node that finds no owner keeps one of its own for a while.

mod ask;
mod drain_rate;
mod hopeless;
mod queue;
mod share;

pub use ask::{Decision, Grant, GrantRequest, Refusal};
pub use queue::Queue;
pub use share::{GENERATED_TOKEN_COST, VirtualCounters};

/// The most backend servers of one shard.
pub const MAX_SHARD_SERVERS: usize = 16;

/// Cuts server names into shards of at most [`MAX_SHARD_SERVERS`] and finds the shard of each.
///
/// A server stays in its shard while the number of shards stays the same.
pub fn shard_of(server: &str, shards: u32) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(server.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Computes how many shards a service with this many servers has.
pub fn shard_count(servers: usize) -> u32 {
    servers.div_ceil(MAX_SHARD_SERVERS).max(1) as u32
}

/// Names the key whose succession list gives the owner of a shard.
pub fn owner_key(service: &str, shard: u32) -> String {
    format!("shard/{service}/{shard}")
}
