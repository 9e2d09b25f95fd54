//! The platform: its table service, object store, VM list and notices.
//!
//! Each call has a bound on its time and stays under a rate. A commit whose answer was lost says
//! so ([`Fault::Unknown`]); the calling task reads back before doing anything else.

mod client;
mod message;

pub use client::{Client, Fault};
pub use message::{
    Commit, Expect, Notice, Put, Read, Role, Row, Scan, Start, Started, Transaction, Vm, VmState,
};

/// The table key of the roll in force.
pub const ROLL_KEY: &str = "bundle/roll";
/// The prefix of the table keys of all rolls, which are the audit trail.
pub const AUDIT_PREFIX: &str = "audit/";
