//! Every decision of keeljunction, without input or output.
//!
//! Time and randomness are passed in and outcomes are returned as values, so that each decision
//! can be tested without a socket. Times are milliseconds on a monotonic clock ([`Millis`])
//! unless a name says otherwise.
//!
//! | module | decides |
//! |---|---|
//! | [`bundle`] | what a bundle may say, who signed it, which roll is newer |
//! | [`member`] | which nodes live |
//! | [`directory`] | which backend servers there are, and which are leaving |
//! | [`gossip`] | which news ride on the next message |
//! | [`rendezvous`] | which node owns a key, and who comes after it |
//! | [`shard`] | whose turn it is, whether there is room, and when to come back |
//! | [`route`] | which backend server is expected to answer first |
//! | [`stream`] | which tokens belong to an answer |
//! | [`attempt`] | what to do after an attempt has ended |
//! | [`takeover`], [`record`] | how to go on with a request whose node is gone |
//! | [`retry`] | whether another try is allowed |
//! | [`bucket`] | how much may be used in a second |
//! | [`claim`] | whether a request that must not be repeated may run |
//! | [`lease`] | whether a holder may still act |
//! | [`drain`] | what becomes of the streams on a VM that is going away |
//! | [`fleet`] | which VMs to hold |
//! | [`serving`] | all of the above for relayed exchanges, whose bodies are opaque |

pub mod attempt;
pub mod bucket;
pub mod bundle;
pub mod claim;
pub mod directory;
pub mod drain;
pub mod error;
pub mod fleet;
pub mod lease;
pub mod member;
pub mod outcome;

pub mod gossip;
pub mod record;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod serving;
pub mod shard;
pub mod stream;
pub mod takeover;

pub use error::{Error, ErrorKind};

/// A point on a monotonic clock, or a span of it, in milliseconds.
pub type Millis = u64;
