//! Admission: which request is granted a server next, and when a refused one may retry.
//!
//! The backend servers of a service are partitioned into shards. The owner of a shard keeps the
//! only queue for its servers; a node that cannot reach the owner uses a queue of its own for a
//! while.

mod blocked;
mod drain_rate;
mod queue;
mod request;
mod share;

pub use queue::Queue;
pub use request::{Decision, Grant, GrantRequest, Refusal};
pub use share::{GENERATED_TOKEN_COST, VirtualCounters};

/// Target for the maximum number of backend servers per shard.
pub const MAX_SHARD_SERVERS: usize = 16;

/// Returns the shard of a server.
///
/// A server stays in its shard as long as the number of shards does not change.
pub fn shard_of(server: &str, shards: u32) -> u32 {
    (xxhash_rust::xxh3::xxh3_64(server.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Returns the number of shards of a service, with [`MAX_SHARD_SERVERS`] servers each on average at
/// most.
pub fn shard_count(servers: usize) -> u32 {
    servers.div_ceil(MAX_SHARD_SERVERS).max(1) as u32
}

/// Returns the rendezvous hashing key that determines the owner of a shard.
pub fn owner_key(service: &str, shard: u32) -> String {
    format!("shard/{service}/{shard}")
}
