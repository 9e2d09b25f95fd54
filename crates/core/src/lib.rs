//! The decision logic of keeljunction, free of I/O.
//!
//! Time and randomness are passed in and results are returned as values, so every decision can
//! be tested without a socket. Times are milliseconds on a monotonic clock ([`Millis`]) unless a
//! name says otherwise.
//!
//! | module | decides |
//! |---|---|
//! | [`bundle`] | whether a bundle is valid and trusted, and which roll is newer |
//! | [`member`] | which nodes are alive |
//! | [`directory`] | which backend servers exist, and which are leaving |
//! | [`gossip`] | which updates are piggybacked on the next message |
//! | [`rendezvous`] | which node owns a key, and which nodes succeed it |
//! | [`shard`] | admission: which request is granted a server next, and when a refused one may retry |
//! | [`route`] | which backend server is expected to respond first |
//! | [`stream`] | which tokens belong to a response |
//! | [`attempt`] | what to do after an attempt has ended |
//! | [`takeover`], [`record`] | how to resume a request whose node has failed |
//! | [`retry`] | whether a retry is within the budget |
//! | [`bucket`] | rate limiting with token buckets |
//! | [`claim`] | whether a non-repeatable request may run |
//! | [`lease`] | whether a lease holder may still act |
//! | [`drain`] | what happens to the streams on a VM that is being reclaimed |
//! | [`fleet`] | which VMs to run |
//! | [`percent`] | how text becomes part of a path, a query or a key |
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
pub mod percent;
pub mod record;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod serving;
pub mod shard;
pub mod stream;
pub mod takeover;

pub use error::{Error, ErrorKind};

/// A point in time on a monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;
