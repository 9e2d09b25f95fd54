//! Tests of the decision logic, one module per behaviour.

mod attempt;
mod bucket;
mod bundle;
mod claim;
mod drain;
mod fleet;
mod lease;
mod member;
mod retry;
mod route;
mod shard;
mod stream;
mod succession;
