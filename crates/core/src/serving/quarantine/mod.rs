//! Which requests crash the servers that run them, and are refused for it.
//!
//! A request may crash each server that begins it: its content meets a fault of the server's program. Its
//! caller repeats it under a new id, at any node, so that one such request may crash all servers of a service
//! again and again. Requests that merely ran beside it are cut off with the same servers, and many requests are cut off at
//! once where a data centre is lost.
//!
//! Each node reports crashes of servers that it notices, with the fingerprints of its requests that were
//! cut off there, to the aggregator that owns the service. That one, the keeper, sees all requests that
//! ran at a server when it crashed, and looks for the fewest requests that explain the crashes (`crash_analyzer`).
//! What it decides goes to all nodes, which refuse the request from then on.
//!
//! | module | does |
//! |---|---|
//! | `fingerprint` | names the content of a request |
//! | `report` | says what a node reports of a crash, and repeats it until its keeper has it |
//! | `crash_analyzer` | decides, at the keeper, which request crashes servers |
//! | `verdict` | says what was decided of a request |
//! | `verdict_cache` | holds what was decided, at each node |
//! | `tracker` | holds all of it, at each node |
//! | `completed_requests` | remembers requests that were answered whole |
//!
//! All of it is bounded and forgotten with time. A keeper that ends loses its evidence; the nodes report
//! to the next one what they reported within the last minute.

mod completed_requests;
mod crash_analyzer;
mod fingerprint;
mod report;
mod tracker;
mod verdict;
mod verdict_cache;

pub use completed_requests::CompletedRequests;
pub use crash_analyzer::CrashAnalyzer;
pub use fingerprint::{Content, Fingerprint};
pub use report::{Crash, InterruptedRequest, Outbox};
pub use tracker::{MergeOutcome, Tracker};
pub use verdict::{Standing, Verdict};
pub use verdict_cache::VerdictCache;

use crate::Millis;

/// How long after the first piece of its answer a request is still suspected where its server crashes, in
/// milliseconds. A request that crashes a server does so when the server begins to run it: in 19 crashes of a
/// recorded day that had one request in common, its first piece had not come. Long streams beside it are
/// not suspected.
pub const SUSPICION_PERIOD: Millis = 1_000;
/// How long a request is refused, in milliseconds: a caller that repeats it costs three servers in ten
/// minutes at the most, and a request that a new version of the servers can run waits no longer.
pub const QUARANTINE_PERIOD: Millis = 600_000;
