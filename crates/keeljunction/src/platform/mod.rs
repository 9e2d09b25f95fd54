//! The platform: its table service, object store, VM list and notices.
//!
//! Each call has a timeout and is subject to a rate limit. If the response of a commit is lost, it
//! returns [`Fault::Unknown`], and the caller must read the rows back before it continues.

mod client;
mod message;

pub use client::{Client, Fault};
pub use message::{
    Commit, Expect, Notice, Put, Read, Role, Row, Scan, Start, Started, Transaction, Vm, VmState,
};

/// The table key of the active roll.
pub const ROLL_KEY: &str = "bundle/roll";
/// The prefix of the table keys of all rolls, which form the audit log.
pub const AUDIT_PREFIX: &str = "audit/";
