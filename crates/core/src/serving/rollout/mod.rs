//! Moves the traffic of a service to servers of another version.
//!
//! The operator orders a roll-out; the platform starts servers of the new version beside the others.
//! One node at a time, the holder of the duties, decides its stage: a canary gets a small share of
//! the requests until the verdict, then all of them. Every node follows the stage that it hears.
//!
//! Invariants: while there is no verdict no node sends more than the canary's share of its own
//! requests to the new version, so that no exchange between nodes is needed to keep the bound over
//! all of them; a node that has not heard of the stage lately sends nothing there; and a version
//! that was rolled back gets nothing more.
//!
//! | module | does |
//! |---|---|
//! | `order` | says what was ordered and how far it has come |
//! | `exposure` | bounds the share of the canary |
//! | `tally` | counts answers, failures and latencies by route |
//! | `judge` | finds that a version is worse than the others, from tallies |
//! | `progress` | decides the next stage |
//! | `registry` | holds what a node knows of all roll-outs |

mod exposure;
mod judge;
mod order;
mod progress;
mod registry;
mod tally;

pub use self::exposure::{Exposure, Tolerance};
pub use self::judge::{Judge, Regression, Symptom};
pub use self::order::{Announcement, Order, Stage, Status};
pub use self::progress::{Action, Progress, Snapshot};
pub use self::registry::{Registry, Report, Summary, VersionFilter};
pub use self::tally::{Comparison, Latencies, Phase, Series, Tallies, Tally};
