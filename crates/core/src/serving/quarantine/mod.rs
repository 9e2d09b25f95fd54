//! Finds the requests that crash the servers that run them, and quarantines them.
//!
//! A request may crash every server that starts it, because its content triggers a bug in the
//! server's program. Its caller retries it under a new id at any node, so a single request can
//! crash all servers of a service again and again. Requests that merely ran next to it are cut off
//! with the same servers, and many requests are cut off at once when a data centre is lost.
//!
//! The cause may also be a part that the prompts of many different requests share.
//!
//! Each node reports the server crashes that it notices, with the fingerprints of its interrupted
//! requests and the parts of their prompts, to the aggregator that owns the service. This owner sees all requests that ran at a
//! server when it crashed, and looks for the smallest set of requests and parts that explains them
//! (`crash_analyzer`). Its verdicts are gossiped to all nodes, which then refuse quarantined
//! requests.
//!
//! | module | content |
//! |---|---|
//! | `fingerprint` | identifies the content of a request |
//! | `report` | the report of a crash, and its resending until the owner has it |
//! | `crash_analyzer` | decides, at the owner, which request or part crashes servers |
//! | `crash_record` | a crash, with the requests and parts that it interrupted |
//! | `part_suspects` | the parts of the prompts that ran at crashed servers |
//! | `verdict` | the decision on a request |
//! | `verdict_cache` | the verdicts that a node knows |
//! | `tracker` | the whole quarantine state of a node |
//! | `completed_requests` | requests that were completed recently |
//!
//! All state is bounded and expires. An owner that stops loses its evidence; the nodes send the
//! next owner the reports of the last minute.

mod completed_requests;
mod crash_analyzer;
mod crash_record;
mod fingerprint;
mod part_suspects;
mod report;
mod tracker;
mod verdict;
mod verdict_cache;

pub use completed_requests::CompletedRequests;
pub use crash_analyzer::CrashAnalyzer;
pub use fingerprint::{Content, Fingerprint};
pub use report::{Crash, InterruptedPrompt, InterruptedRequest, Outbox, PromptCrash, Report};
pub use tracker::{MergeOutcome, Tracker};
pub use verdict::{Standing, Verdict};
pub use verdict_cache::VerdictCache;

use crate::Millis;

/// How long after the first byte of its response a request is still suspected if its server
/// crashes, in milliseconds.
///
/// A request that crashes a server does so when the server starts to run it: in 19 crashes of a
/// recorded day that had one request in common, its response had not started. Long streams next to
/// it are not suspected.
pub const SUSPICION_PERIOD_MS: Millis = 1_000;
/// How long a request is quarantined, in milliseconds. A caller that retries it thus costs at most
/// three servers in ten minutes, and a request that a new version of the servers can run waits no
/// longer than this.
pub const QUARANTINE_PERIOD_MS: Millis = 600_000;
