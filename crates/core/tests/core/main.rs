//! The decisions, by behaviour.

mod attempt;
mod bundle;
mod claim;
mod drain;
mod fleet;
mod lease;
mod member;
mod rate;
mod retry;
mod route;
mod shard;
mod stream;
mod succession;
